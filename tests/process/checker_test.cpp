#include "tests/process/checker.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::process_tests;

namespace {

JobResult finishedJob(const std::string &Id, TaskClass Class) {
  JobResult Job;
  Job.Id_ = Id;
  Job.Spec_.Class_ = Class;
  Job.Spec_.Payload_ = "crates";
  Job.Spec_.Size_ = Resources{1000, 64, 0, 1, 1};
  Job.Accepted_ = true;
  Job.Final_ = true;
  Job.State_ = JobState::Finished;
  Job.Answers_ = {makeAnswer(true, Id + ":crates")};
  return Job;
}

LogEntry entry(std::int64_t Time, const std::string &Attempt,
               const std::string &Event, std::int64_t Epoch = 1) {
  const std::string Job = Attempt.substr(0, Attempt.find('.'));
  return LogEntry{Millis{Time},
                  Attempt,
                  Job,
                  Event,
                  Epoch,
                  "",
                  Resources{1000, 64, 0, 1, 1}};
}

WorkerLog workerLog(const std::string &Id, std::vector<LogEntry> Entries) {
  return WorkerLog{Id, Resources{16000, 65536, 0, 8, 64}, std::move(Entries)};
}

WorkerLog goodLog() {
  return workerLog(
      "w1", {entry(100, "a.0.1", "started"), entry(200, "a.0.1", "finished")});
}

std::vector<ViolationKind> kindsOf(const std::vector<Violation> &Found) {
  std::vector<ViolationKind> Kinds;
  Kinds.reserve(Found.size());
  for (const Violation &Each : Found)
    Kinds.push_back(Each.Kind_);
  return Kinds;
}

void expectOnly(ViolationKind Kind, const std::vector<JobResult> &Jobs,
                const std::vector<WorkerLog> &Logs) {
  const std::vector<ViolationKind> Kinds = kindsOf(checkRun(Jobs, Logs));
  BOOST_REQUIRE_MESSAGE(Kinds.size() == 1,
                        "violations found: " << Kinds.size());
  BOOST_TEST(violationName(Kinds[0]) == violationName(Kind));
}

} // namespace

// Each case feeds the checker a faulty run, so that a checker that accepts it
// does not pass for a correct cluster.
BOOST_AUTO_TEST_SUITE(Checker)

BOOST_AUTO_TEST_CASE(AcceptsACorrectRun) {
  JobResult Refused = finishedJob("b", TaskClass::Batch);
  Refused.Accepted_ = false;
  Refused.State_ = JobState::NotRun;
  Refused.Answers_.clear();
  JobResult Retried = finishedJob("c", TaskClass::Batch);
  const WorkerLog Other = workerLog("w2", {entry(100, "c.0.1", "started"),
                                           entry(300, "c.0.1", "lapsed"),
                                           entry(300, "c.0.2", "started", 2),
                                           entry(400, "c.0.2", "finished", 2)});
  BOOST_TEST(checkRun({finishedJob("a", TaskClass::Request), Refused, Retried},
                      {goodLog(), Other})
                 .empty());
}

BOOST_AUTO_TEST_CASE(FindsAcceptedJobWithoutOutcome) {
  JobResult Job = finishedJob("a", TaskClass::Batch);
  Job.Final_ = false;
  expectOnly(ViolationKind::Lost, {Job}, {goodLog()});
}

BOOST_AUTO_TEST_CASE(FindsLateOutcome) {
  JobResult Job = finishedJob("a", TaskClass::Batch);
  Job.Ended_ = MaxOutcomeTime + Millis{1};
  expectOnly(ViolationKind::Late, {Job}, {goodLog()});
  Job.Ended_ = MaxOutcomeTime;
  BOOST_TEST(checkRun({Job}, {goodLog()}).empty());
}

BOOST_AUTO_TEST_CASE(FindsAcceptedJobThatWasNotRun) {
  JobResult Job = finishedJob("a", TaskClass::Batch);
  Job.State_ = JobState::NotRun;
  Job.Answers_.clear();
  expectOnly(ViolationKind::Lost, {Job}, {});
}

BOOST_AUTO_TEST_CASE(FindsIdempotentJobWithUnknownOutcome) {
  JobResult Job = finishedJob("a", TaskClass::Batch);
  Job.State_ = JobState::Unknown;
  Job.Answers_.clear();
  expectOnly(ViolationKind::Lost, {Job}, {});
  Job.Spec_.Idempotent_ = false;
  BOOST_TEST(checkRun({Job}, {}).empty());
}

BOOST_AUTO_TEST_CASE(FindsFailedAnswer) {
  JobResult Job = finishedJob("a", TaskClass::Batch);
  Job.Answers_ = {makeAnswer(false, "lapsed")};
  expectOnly(ViolationKind::Lost, {Job}, {goodLog()});
}

BOOST_AUTO_TEST_CASE(FindsSecondFinish) {
  const WorkerLog Log = workerLog(
      "w1", {entry(100, "a.0.1", "started"), entry(200, "a.0.1", "finished"),
             entry(300, "a.0.2", "started"), entry(400, "a.0.2", "finished")});
  expectOnly(ViolationKind::FinishedTwice, {finishedJob("a", TaskClass::Batch)},
             {Log});
  // A caller repeats a lookup, so it may run again.
  BOOST_TEST(checkRun({finishedJob("a", TaskClass::Lookup)}, {Log}).empty());
}

BOOST_AUTO_TEST_CASE(FindsNonIdempotentSecondStart) {
  JobResult Job = finishedJob("a", TaskClass::Request);
  Job.Spec_.Idempotent_ = false;
  const WorkerLog Log = workerLog(
      "w1", {entry(100, "a.0.1", "started"), entry(200, "a.0.1", "lapsed"),
             entry(300, "a.0.2", "started"), entry(400, "a.0.2", "finished")});
  expectOnly(ViolationKind::RanTwice, {Job}, {Log});
}

BOOST_AUTO_TEST_CASE(FindsNotRunThatRan) {
  JobResult Job = finishedJob("a", TaskClass::Request);
  Job.Accepted_ = false;
  Job.State_ = JobState::NotRun;
  Job.Answers_.clear();
  expectOnly(ViolationKind::NotRunButRan, {Job}, {goodLog()});
  Job.Ambiguous_ = true;
  BOOST_TEST(checkRun({Job}, {goodLog()}).empty());
}

BOOST_AUTO_TEST_CASE(FindsOverlapAcrossWorkers) {
  const WorkerLog First = workerLog(
      "w1", {entry(100, "a.0.1", "started"), entry(300, "a.0.1", "lapsed")});
  const WorkerLog Second = workerLog(
      "w2", {entry(299, "a.0.2", "started"), entry(400, "a.0.2", "finished")});
  expectOnly(ViolationKind::Overlap, {finishedJob("a", TaskClass::Batch)},
             {First, Second});
  // An attempt without an end still runs.
  const WorkerLog Endless = workerLog("w1", {entry(100, "a.0.1", "started")});
  expectOnly(ViolationKind::Overlap, {finishedJob("a", TaskClass::Batch)},
             {Endless, Second});
  // The same attempt id on two workers is two runs.
  const WorkerLog Same = workerLog(
      "w2", {entry(150, "a.0.1", "started"), entry(400, "a.0.1", "finished")});
  expectOnly(ViolationKind::Overlap, {finishedJob("a", TaskClass::Batch)},
             {First, Same});
}

BOOST_AUTO_TEST_CASE(FindsOverCommittedWorker) {
  std::vector<JobResult> Jobs;
  std::vector<LogEntry> Entries;
  // The ninth task exceeds the eight slots.
  for (int Index = 0; Index < 9; ++Index) {
    const std::string Id = "j" + std::to_string(Index);
    JobResult Job = finishedJob(Id, TaskClass::Service);
    Job.Final_ = false;
    Jobs.push_back(Job);
    Entries.push_back(entry(100 + Index, Id + ".0.1", "started"));
  }
  expectOnly(ViolationKind::OverLimit, Jobs, {workerLog("w1", Entries)});
  // A checkpointed task holds nothing until it is resumed.
  Entries.insert(Entries.end() - 1, entry(107, "j0.0.1", "checkpointed"));
  BOOST_TEST(checkRun(Jobs, {workerLog("w1", Entries)}).empty());
  Entries.push_back(entry(110, "j0.0.1", "resumed"));
  expectOnly(ViolationKind::OverLimit, Jobs, {workerLog("w1", Entries)});
}

BOOST_AUTO_TEST_CASE(FindsOverCommitmentThatTheWorkerRefused) {
  WorkerLog Log = goodLog();
  Log.Entries_.push_back(entry(300, "b.0.1", "over_limit"));
  Log.Entries_.push_back(entry(300, "b.0.1", "refused"));
  expectOnly(ViolationKind::OverLimit, {finishedJob("a", TaskClass::Batch)},
             {Log});
}

BOOST_AUTO_TEST_CASE(FindsWrongAnswers) {
  JobResult Foreign = finishedJob("a", TaskClass::Lookup);
  Foreign.Answers_ = {makeAnswer(true, "b:crates")};
  expectOnly(ViolationKind::WrongAnswer, {Foreign}, {goodLog()});
  JobResult Short = finishedJob("a", TaskClass::Lookup);
  Short.Answers_[0].Body_.pop_back();
  expectOnly(ViolationKind::WrongAnswer, {Short}, {goodLog()});
  JobResult Missing = finishedJob("a", TaskClass::Lookup);
  Missing.Answers_.clear();
  expectOnly(ViolationKind::WrongAnswer, {Missing}, {goodLog()});
}

// A node names each execution of a lookup; only this prefix may differ.
BOOST_AUTO_TEST_CASE(KnowsTheNamesOfLookups) {
  const std::string Id = "0123456789abcdef0123456789abcdef";
  BOOST_TEST(callersJob("lookup-node-1-" + Id) == Id);
  BOOST_TEST(callersJob("other-" + Id) == "other-" + Id);
  JobResult Job = finishedJob(Id, TaskClass::Lookup);
  const std::string Named = "lookup-node-1-" + Id;
  Job.Answers_ = {makeAnswer(true, Named + ":crates")};
  const WorkerLog Log = workerLog("w1", {entry(100, Id + ".0.1", "started"),
                                         entry(200, Id + ".0.1", "finished")});
  BOOST_TEST(checkRun({Job}, {Log}).empty());
  const std::string Other = "f123456789abcdef0123456789abcdef";
  Job.Answers_ = {makeAnswer(true, "lookup-node-1-" + Other + ":crates")};
  expectOnly(ViolationKind::WrongAnswer, {Job}, {Log});
}

BOOST_AUTO_TEST_CASE(FindsFinishThatNoWorkerSaw) {
  expectOnly(ViolationKind::WrongAnswer, {finishedJob("a", TaskClass::Batch)},
             {});
}

BOOST_AUTO_TEST_CASE(FindsStartUnderLowerEpoch) {
  const WorkerLog Log = workerLog("w1", {entry(100, "a.0.1", "started", 2),
                                         entry(150, "a.0.1", "finished", 2),
                                         entry(200, "b.0.1", "started", 1),
                                         entry(250, "b.0.1", "finished", 1)});
  expectOnly(
      ViolationKind::LowerEpoch,
      {finishedJob("a", TaskClass::Batch), finishedJob("b", TaskClass::Batch)},
      {Log});
}

BOOST_AUTO_TEST_CASE(FindsJobThatNobodySubmitted) {
  expectOnly(ViolationKind::UnknownJob, {}, {goodLog()});
}

BOOST_AUTO_TEST_CASE(FindsStartsAfterATime) {
  WorkerLog Log = goodLog();
  Log.Entries_.push_back(entry(300, "b.0.1", "refused"));
  BOOST_TEST(startsAfter(Log, Millis{100}).size() == 1U);
  BOOST_TEST(startsAfter(Log, Millis{99}).size() == 2U);
  BOOST_TEST(startsAfter(Log, Millis{300}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
