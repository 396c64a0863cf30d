#include "records/job_store.h"

#include "core/codec.h"
#include "records/job_row.h"
#include "tests/records/fake_table.h"
#include "tests/records/naive_store.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace damaskglade;
using namespace damaskglade::records;

namespace {

constexpr Millis CallTimeout{5000};

StoreOptions fastOptions() {
  StoreOptions Options;
  Options.Writer_ = "n1";
  Options.WritesPerSecond_ = 20000;
  Options.ReadsPerSecond_ = 20000;
  Options.RetryDelay_ = {Millis{1}, Millis{2}};
  return Options;
}

JobRecord makeRecord(const std::string &Key) {
  JobRecord Record;
  Record.Spec_.Team_ = "dock";
  Record.Spec_.Key_ = Key;
  Record.Id_ = jobIdFor(Record.Spec_);
  Record.Home_ = "n1";
  Record.HomeIncarnation_ = 1;
  return Record;
}

JobRecord withPayload(JobRecord Record, const std::string &Payload) {
  Record.Spec_.Payload_ = Payload;
  return Record;
}

JobRecord finished(JobRecord Record) {
  Record.State_ = JobState::Finished;
  Record.Answers_ = {makeAnswer(true, "done")};
  return Record;
}

struct Fixture {
  FakeTable Table_;
  SystemClock Time_;
  NullMetrics Metrics_;
};

// Calls Body for each index below Count, each from its own thread.
void inParallel(int Count, const std::function<void(int)> &Body) {
  std::vector<Thread> Threads;
  Threads.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Threads.emplace_back([&Body, Index] { Body(Index); });
}

// Checks that each job row has exactly one index row, of the kind that belongs
// to its state. Returns an empty text or the problem found.
std::string indexProblem(FakeTable &Table) {
  std::set<TableKey> Expected;
  std::set<TableKey> IndexRows;
  for (const auto &[Key, Row] : Table.rows()) {
    if (Key.Kind_ != JobKind) {
      IndexRows.insert(Key);
      continue;
    }
    const JobRow Job = decodeJobRow(Row).value();
    const bool Final = isFinal(Job.Record_.State_);
    if (Job.Meta_.Index_.Kind_ != (Final ? DoneKind : OpenKind))
      return "wrong kind of index for " + Key.Id_;
    Expected.insert(Job.Meta_.Index_);
  }
  return Expected == IndexRows ? "" : "index rows do not match the job rows";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobStoreTests, Fixture)

// Guards against a recovery that misses a job, and against one that reads
// finished jobs or those of another home.
BOOST_AUTO_TEST_CASE(ListsUnfinishedJobsOfOneHome) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  std::vector<JobRecord> Jobs;
  Jobs.reserve(40);
  for (int Index = 0; Index < 40; ++Index)
    Jobs.push_back(
        Store.create(makeRecord("job-" + std::to_string(Index)), CallTimeout)
            .value());
  for (int Index = 0; Index < 30; ++Index)
    BOOST_TEST(Store.update(finished(Jobs[Index]), CallTimeout).has_value());
  JobRecord MovedJob = Jobs[39];
  MovedJob.Home_ = "n2";
  MovedJob.HomeIncarnation_ = 4;
  BOOST_TEST(Store.update(MovedJob, CallTimeout).has_value());

  const std::int64_t ReadsBefore = Table_.reads();
  BOOST_TEST(Store.listByHome("n1", 1, CallTimeout).value().size() == 9U);
  BOOST_TEST(Table_.reads() - ReadsBefore == 10);
  BOOST_TEST(Store.listByHome("n2", 4, CallTimeout).value().size() == 1U);
  BOOST_TEST(Store.listByHome("n", 1, CallTimeout).value().empty());
  BOOST_TEST(indexProblem(Table_) == "");
}

// Guards against a conflict on one row that fails or delays the other changes
// of its group.
BOOST_AUTO_TEST_CASE(ConflictFailsOnlyItsRow) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  std::vector<JobRecord> Jobs;
  Jobs.reserve(60);
  for (int Index = 0; Index < 60; ++Index)
    Jobs.push_back(
        Store.create(makeRecord("job-" + std::to_string(Index)), CallTimeout)
            .value());
  // Another node changes the row of job 7 without this store's knowledge.
  JobRow OtherRow =
      decodeJobRow(*Table_.read({JobKind, Jobs[7].Id_}, CallTimeout).value())
          .value();
  OtherRow.Meta_.RecentWrites_ = {"n2#1"};
  Table_.overwrite({{JobKind, Jobs[7].Id_},
                    2,
                    encodeJobRow(OtherRow.Record_, OtherRow.Meta_)});
  const std::int64_t CommitsBefore = Table_.commits();
  const auto Results = Store.updateEach(Jobs, CallTimeout);
  for (std::size_t Index = 0; Index < Results.size(); ++Index)
    BOOST_TEST(Results[Index].has_value() == (Index != 7));
  BOOST_TEST((Results[7].error().Reason_ == Reason::TableConflict));
  BOOST_TEST((Results[7].error().Effect_ == Effect::None));
  BOOST_TEST(Table_.commits() - CommitsBefore <= 3);
  BOOST_TEST(Store.updateAll({Jobs[7]}, CallTimeout).has_error());
}

// Guards against two submissions with the same key that are both accepted.
BOOST_AUTO_TEST_CASE(CreateFailsIfRowExists) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  std::vector<int> Accepted(8);
  inParallel(8, [&](int Index) {
    const auto Created = Store.create(makeRecord("same"), CallTimeout);
    Accepted[Index] = Created ? 1 : 0;
  });
  BOOST_TEST(std::count(Accepted.begin(), Accepted.end(), 1) == 1);
}

// Guards against callers that block past their deadline, and against
// Effect::None for a change that may still be applied.
BOOST_AUTO_TEST_CASE(OutageReportsEffect) {
  StoreOptions Options = fastOptions();
  Options.MaxPending_ = 2;
  JobStore Store(Options, Table_, Time_, Metrics_);
  Store.start();
  Table_.setOutage(true, Millis{60});
  std::vector<Effect> Effects(6, Effect::None);
  std::vector<Reason> Reasons(6, Reason::None);
  const Millis Begin = Time_.monotonic();
  inParallel(6, [&](int Index) {
    // The first change is being sent when the others arrive, and is still
    // undecided when their timeouts have passed.
    while (Index > 0 && Table_.commits() == 0)
      sleepFor(Millis{1});
    const auto Created =
        Store.create(makeRecord("job-" + std::to_string(Index)),
                     Millis{Index == 0 ? 600 : 100});
    Reasons[Index] = Created ? Reason::None : Created.error().Reason_;
    Effects[Index] = Created ? Effect::None : Created.error().Effect_;
  });
  BOOST_TEST((Time_.monotonic() - Begin).Value_ < 2000);
  for (const Reason Cause : Reasons)
    BOOST_TEST((Cause == Reason::TableUnavailable));
  // One change was sent, two were queued, and three exceeded MaxPending_.
  BOOST_TEST(std::count(Effects.begin(), Effects.end(), Effect::Unknown) == 1);
  Table_.setOutage(false);
  BOOST_TEST(Store.create(makeRecord("after"), CallTimeout).has_value());
  BOOST_TEST(Table_.rows().contains({JobKind, makeRecord("after").Id_}));
}

// Guards against accepted changes that are lost at shutdown.
BOOST_AUTO_TEST_CASE(StopCommitsQueuedChangesAndRefusesNew) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  Table_.plan(std::vector<Fault>(3, Fault::Slow));
  std::atomic<int> Written = 0;
  std::atomic<int> OtherErrors = 0;
  {
    Thread Callers([&] {
      inParallel(20, [&](int Index) {
        const auto Created = Store.create(
            makeRecord("job-" + std::to_string(Index)), CallTimeout);
        Written += Created ? 1 : 0;
        if (!Created && Created.error().Reason_ != Reason::ShuttingDown)
          ++OtherErrors;
      });
    });
    sleepFor(Millis{3});
    Store.stop();
  }
  std::size_t Rows = 0;
  for (const auto &[Key, Row] : Table_.rows())
    Rows += Key.Kind_ == JobKind ? 1 : 0;
  BOOST_TEST(Rows == static_cast<std::size_t>(Written));
  BOOST_TEST(OtherErrors == 0);
  BOOST_TEST(Store.create(makeRecord("late"), CallTimeout).has_error());
}

// Guards against one node that overloads the table.
BOOST_AUTO_TEST_CASE(WritesStayWithinTheBudget) {
  StoreOptions Options = fastOptions();
  Options.WritesPerSecond_ = 5;
  JobStore Store(Options, Table_, Time_, Metrics_);
  Store.start();
  const Millis Begin = Time_.monotonic();
  std::atomic<int> Written = 0;
  inParallel(30, [&](int Caller) {
    for (int Index = 0; Index < 10; ++Index)
      Written += Store.create(makeRecord(std::to_string(Caller) + "-" +
                                         std::to_string(Index)),
                              CallTimeout)
                         .has_value()
                     ? 1
                     : 0;
  });
  BOOST_TEST(Written == 300);
  const double Seconds =
      static_cast<double>((Time_.monotonic() - Begin).Value_) / 1000.0;
  BOOST_TEST(static_cast<double>(Table_.commits()) <=
             5.0 * (1.0 + Seconds) + 1);
  BOOST_TEST(Table_.largestCommit() <= MaxTransactionWrites);
}

// Guards against a table that grows without bound, and against the removal of
// jobs that are unfinished or within their retention time.
BOOST_AUTO_TEST_CASE(SweepRemovesOldFinishedJobs) {
  StoreOptions Options = fastOptions();
  Options.Retention_ = Millis{800};
  Options.SweepInterval_ = Millis{20};
  JobStore Store(Options, Table_, Time_, Metrics_);
  Store.start();
  for (int Index = 0; Index < 70; ++Index) {
    const JobRecord Job =
        Store.create(makeRecord("job-" + std::to_string(Index)), CallTimeout)
            .value();
    if (Index > 0)
      BOOST_TEST(Store.update(finished(Job), CallTimeout).has_value());
  }
  const Millis End = Time_.monotonic() + Millis{5000};
  while (Table_.rows().size() > 2 && Time_.monotonic() < End)
    sleepFor(Millis{10});
  BOOST_TEST(Table_.rows().size() == 2U);
  const JobRecord RetainedJob =
      Store.create(makeRecord("young"), CallTimeout).value();
  BOOST_TEST(Store.update(finished(RetainedJob), CallTimeout).has_value());
  sleepFor(Millis{60});
  BOOST_TEST(Store.read(RetainedJob.Id_, CallTimeout).value().has_value());
  BOOST_TEST(indexProblem(Table_) == "");
}

// Guards against a job whose row can never be updated again because its index
// row was removed manually.
BOOST_AUTO_TEST_CASE(DamagedIndexIsRepaired) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  const JobRecord Job = Store.create(makeRecord("job"), CallTimeout).value();
  const std::string OpenId = openIndexPrefix("n1", 1) + Job.Id_;
  BOOST_REQUIRE(Table_.commit({{{OpenKind, OpenId}, 1, "", true}}, "by hand",
                              CallTimeout));
  BOOST_TEST(Store.update(finished(Job), CallTimeout).has_value());
  BOOST_TEST(indexProblem(Table_) == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobStoreProperties)

namespace {

rc::Gen<std::vector<Fault>> faultPlan(std::size_t Length) {
  return rc::gen::container<std::vector<Fault>>(
      Length,
      rc::gen::element(Fault::None, Fault::None, Fault::Refused, Fault::Dropped,
                       Fault::AnswerLost, Fault::Late, Fault::Slow));
}

// One write to one of three jobs, based on its latest or on a stale version.
struct StepPlan {
  int Job_ = 0;
  bool UseStale_ = false;
  bool Finish_ = false;
};

} // namespace

// Guards against table faults that change results: every call returns what a
// naive store returns on a table without faults.
BOOST_AUTO_TEST_CASE(FaultsDoNotChangeResults) {
  BOOST_TEST(rc::check("results", [] {
    const auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3 * 2 * 2));
    FakeTable Faulty;
    Faulty.plan(*faultPlan(3 * Steps.size()));
    FakeTable Healthy;
    const SystemClock Time;
    NullMetrics Metrics;
    JobStore Store(fastOptions(), Faulty, Time, Metrics);
    Store.start();
    NaiveStore Naive(Healthy);
    std::vector<JobRecord> Latest(3);
    std::vector<JobRecord> Stale(3);
    int Number = 0;
    for (const int StepCode : Steps) {
      const StepPlan Step{StepCode % 3, StepCode / 3 % 2 == 1,
                          StepCode / 6 == 1};
      JobRecord Next = Step.UseStale_ ? Stale[Step.Job_] : Latest[Step.Job_];
      const std::int64_t Version = Next.Version_;
      if (Version == 0)
        Next = makeRecord("job-" + std::to_string(Step.Job_));
      Next = withPayload(Next, "write-" + std::to_string(++Number));
      if (Step.Finish_)
        Next = finished(Next);
      const auto Actual = Version == 0 ? Store.create(Next, CallTimeout)
                                       : Store.update(Next, CallTimeout);
      const auto Expected = Naive.write(Next);
      RC_ASSERT(Actual.has_value() == Expected.has_value());
      if (!Actual) {
        RC_ASSERT(Actual.error().Reason_ == Reason::TableConflict);
        RC_ASSERT(Actual.error().Effect_ == Effect::None);
        continue;
      }
      RC_ASSERT(Actual.value() == Expected.value());
      Stale[Step.Job_] = Latest[Step.Job_];
      Latest[Step.Job_] = Actual.value();
    }
    Store.stop();
    Faulty.deliverLate();
    for (const auto &[Key, Row] : Healthy.rows()) {
      const auto ActualRow = Faulty.read(Key, CallTimeout).value();
      RC_ASSERT(ActualRow.has_value());
      RC_ASSERT(decodeJobRow(*ActualRow).value().Record_ ==
                decodeJobRecord(Row.Body_, Row.Version_).value());
    }
    RC_ASSERT(indexProblem(Faulty).empty());
  }));
}

// Guards against acknowledged writes that are lost, refused writes that were
// applied, and writes that are applied twice. Callers run in parallel, and some
// deadlines pass before the outcome is known.
BOOST_AUTO_TEST_CASE(AcknowledgedWritesAreAppliedOnce) {
  BOOST_TEST(rc::check("writes", [] {
    FakeTable Table;
    Table.plan(*faultPlan(60));
    const Millis Timeout{*rc::gen::element(1, 2, 4, 2000)};
    const SystemClock Time;
    NullMetrics Metrics;
    // The second store simulates another node that changes the same jobs.
    JobStore First(fastOptions(), Table, Time, Metrics);
    JobStore Second(fastOptions(), Table, Time, Metrics);
    First.start();
    Second.start();
    Mutex ResultsMutex;
    std::set<std::string> Acknowledged;
    std::set<std::string> Refused;
    inParallel(6, [&](int Caller) {
      JobStore &Store = Caller % 2 == 0 ? First : Second;
      for (int Number = 0; Number < 6; ++Number) {
        const std::string Payload =
            std::to_string(Caller) + "-" + std::to_string(Number);
        // Two callers, one of each store, write to the same job.
        const JobRecord Base = makeRecord(std::to_string(Caller / 2));
        const auto Current = Store.read(Base.Id_, Timeout);
        if (!Current)
          continue;
        const auto Outcome =
            Current.value()
                ? Store.update(withPayload(*Current.value(), Payload), Timeout)
                : Store.create(withPayload(Base, Payload), Timeout);
        const MutexLock Lock(ResultsMutex);
        if (Outcome)
          Acknowledged.insert(Payload);
        else if (Outcome.error().Effect_ == Effect::None)
          Refused.insert(Payload);
      }
    });
    First.stop();
    Second.stop();
    Table.deliverLate();
    std::map<std::string, int> Applied;
    for (const auto &[Key, Bodies] : Table.history())
      if (Key.Kind_ == JobKind)
        for (const std::string &Body : Bodies)
          ++Applied[decodeJobRecord(Body, 1).value().Spec_.Payload_];
    for (const auto &[Payload, Count] : Applied)
      RC_ASSERT(Count == 1);
    for (const std::string &Payload : Acknowledged)
      RC_ASSERT(Applied.contains(Payload));
    for (const std::string &Payload : Refused)
      RC_ASSERT(!Applied.contains(Payload));
    RC_ASSERT(indexProblem(Table).empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
