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

constexpr Millis Wait{5000};

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

// Runs the body on each index from its own thread.
void inParallel(int Count, const std::function<void(int)> &Body) {
  std::vector<Thread> Threads;
  Threads.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Threads.emplace_back([&Body, Index] { Body(Index); });
}

// Each job row has exactly one index row, of the kind its state calls for.
std::string indexProblem(FakeTable &Table) {
  std::set<TableKey> Expected;
  std::set<TableKey> Found;
  for (const auto &[Key, Row] : Table.rows()) {
    if (Key.Kind_ != JobKind) {
      Found.insert(Key);
      continue;
    }
    const JobRow Job = decodeJobRow(Row).value();
    const bool Final = isFinal(Job.Record_.State_);
    if (Job.Meta_.Index_.Kind_ != (Final ? DoneKind : OpenKind))
      return "wrong kind of index for " + Key.Id_;
    Expected.insert(Job.Meta_.Index_);
  }
  return Expected == Found ? "" : "index rows do not match the job rows";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobStoreTests, Fixture)

// Guards against recovery that misses a job, or reads those of another home or
// of the past.
BOOST_AUTO_TEST_CASE(ListsUnfinishedJobsOfOneHome) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  std::vector<JobRecord> Jobs;
  Jobs.reserve(40);
  for (int Index = 0; Index < 40; ++Index)
    Jobs.push_back(
        Store.create(makeRecord("job-" + std::to_string(Index)), Wait).value());
  for (int Index = 0; Index < 30; ++Index)
    BOOST_TEST(Store.update(finished(Jobs[Index]), Wait).has_value());
  JobRecord Moved = Jobs[39];
  Moved.Home_ = "n2";
  Moved.HomeIncarnation_ = 4;
  BOOST_TEST(Store.update(Moved, Wait).has_value());

  const std::int64_t ReadsBefore = Table_.reads();
  BOOST_TEST(Store.listByHome("n1", 1, Wait).value().size() == 9U);
  BOOST_TEST(Table_.reads() - ReadsBefore == 10);
  BOOST_TEST(Store.listByHome("n2", 4, Wait).value().size() == 1U);
  BOOST_TEST(Store.listByHome("n", 1, Wait).value().empty());
  BOOST_TEST(indexProblem(Table_) == "");
}

// Guards against a conflict of one row that fails or delays the other rows of
// its group.
BOOST_AUTO_TEST_CASE(ConflictFailsOnlyItsOwnRow) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  std::vector<JobRecord> Jobs;
  Jobs.reserve(60);
  for (int Index = 0; Index < 60; ++Index)
    Jobs.push_back(
        Store.create(makeRecord("job-" + std::to_string(Index)), Wait).value());
  // Another node takes over job 7 behind the store's back.
  JobRow Taken =
      decodeJobRow(*Table_.read({JobKind, Jobs[7].Id_}, Wait).value()).value();
  Taken.Meta_.Trail_ = {"n2#1"};
  Table_.overwrite(
      {{JobKind, Jobs[7].Id_}, 2, encodeJobRow(Taken.Record_, Taken.Meta_)});
  const std::int64_t CommitsBefore = Table_.commits();
  const auto Results = Store.updateEach(Jobs, Wait);
  for (std::size_t Index = 0; Index < Results.size(); ++Index)
    BOOST_TEST(Results[Index].has_value() == (Index != 7));
  BOOST_TEST((Results[7].error().Reason_ == Reason::TableConflict));
  BOOST_TEST((Results[7].error().Effect_ == Effect::None));
  BOOST_TEST(Table_.commits() - CommitsBefore <= 3);
  BOOST_TEST(Store.updateAll({Jobs[7]}, Wait).has_error());
}

// Guards against two submissions of one key that are both accepted.
BOOST_AUTO_TEST_CASE(CreateIsRefusedIfTheRowIsPresent) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  std::vector<int> Accepted(8);
  inParallel(8, [&](int Index) {
    const auto Created = Store.create(makeRecord("same"), Wait);
    Accepted[Index] = Created ? 1 : 0;
  });
  BOOST_TEST(std::count(Accepted.begin(), Accepted.end(), 1) == 1);
}

// Guards against callers that hang, and against "not run" for a change that
// may still be applied.
BOOST_AUTO_TEST_CASE(OutageIsReportedTruthfully) {
  StoreOptions Options = fastOptions();
  Options.MaxPending_ = 2;
  JobStore Store(Options, Table_, Time_, Metrics_);
  Store.start();
  Table_.setOutage(true, Millis{60});
  std::vector<Effect> Effects(6, Effect::None);
  std::vector<Reason> Reasons(6, Reason::None);
  const Millis Begin = Time_.monotonic();
  inParallel(6, [&](int Index) {
    // The first is in a call when the others arrive, and stays so until they
    // have left.
    while (Index > 0 && Table_.commits() == 0)
      sleepFor(Millis{1});
    const auto Created =
        Store.create(makeRecord("job-" + std::to_string(Index)),
                     Millis{Index == 0 ? 600 : 100});
    Reasons[Index] = Created ? Reason::None : Created.error().Reason_;
    Effects[Index] = Created ? Effect::None : Created.error().Effect_;
  });
  BOOST_TEST((Time_.monotonic() - Begin).Value_ < 2000);
  for (const Reason Each : Reasons)
    BOOST_TEST((Each == Reason::TableUnavailable));
  // One was sent, two waited behind it, and three did not fit the queue.
  BOOST_TEST(std::count(Effects.begin(), Effects.end(), Effect::Unknown) == 1);
  Table_.setOutage(false);
  BOOST_TEST(Store.create(makeRecord("after"), Wait).has_value());
  BOOST_TEST(Table_.rows().contains({JobKind, makeRecord("after").Id_}));
}

// Guards against accepted changes that a shutdown drops.
BOOST_AUTO_TEST_CASE(StopFlushesAndRefuses) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  Table_.plan(std::vector<Fault>(3, Fault::Slow));
  std::atomic<int> Written = 0;
  std::atomic<int> OtherErrors = 0;
  {
    Thread Callers([&] {
      inParallel(20, [&](int Index) {
        const auto Created =
            Store.create(makeRecord("job-" + std::to_string(Index)), Wait);
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
  BOOST_TEST(Store.create(makeRecord("late"), Wait).has_error());
}

// Guards against a table that is overloaded by one node.
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
                              Wait)
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
// jobs that are unfinished or young.
BOOST_AUTO_TEST_CASE(SweepRemovesOldFinishedJobs) {
  StoreOptions Options = fastOptions();
  Options.Retention_ = Millis{800};
  Options.SweepInterval_ = Millis{20};
  JobStore Store(Options, Table_, Time_, Metrics_);
  Store.start();
  for (int Index = 0; Index < 70; ++Index) {
    const JobRecord Job =
        Store.create(makeRecord("job-" + std::to_string(Index)), Wait).value();
    if (Index > 0)
      BOOST_TEST(Store.update(finished(Job), Wait).has_value());
  }
  const Millis End = Time_.monotonic() + Millis{5000};
  while (Table_.rows().size() > 2 && Time_.monotonic() < End)
    sleepFor(Millis{10});
  BOOST_TEST(Table_.rows().size() == 2U);
  const JobRecord Young = Store.create(makeRecord("young"), Wait).value();
  BOOST_TEST(Store.update(finished(Young), Wait).has_value());
  sleepFor(Millis{60});
  BOOST_TEST(Store.read(Young.Id_, Wait).value().has_value());
  BOOST_TEST(indexProblem(Table_) == "");
}

// Guards against a job that can never change again because its index row was
// removed by hand.
BOOST_AUTO_TEST_CASE(DamagedIndexIsRepaired) {
  JobStore Store(fastOptions(), Table_, Time_, Metrics_);
  Store.start();
  const JobRecord Job = Store.create(makeRecord("job"), Wait).value();
  const std::string OpenId = openPrefix("n1", 1) + Job.Id_;
  BOOST_REQUIRE(
      Table_.commit({{{OpenKind, OpenId}, 1, "", true}}, "by hand", Wait));
  BOOST_TEST(Store.update(finished(Job), Wait).has_value());
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

// Steps on three jobs: some on the latest version, some on a stale one.
struct StepPlan {
  int Job_ = 0;
  bool Stale_ = false;
  bool Finish_ = false;
};

} // namespace

// Guards against results that faults of the table change: every call ends as
// it does for a naive store on a table without faults.
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
    std::vector<JobRecord> Earlier(3);
    int Number = 0;
    for (const int Code : Steps) {
      const StepPlan Step{Code % 3, Code / 3 % 2 == 1, Code / 6 == 1};
      JobRecord Next = Step.Stale_ ? Earlier[Step.Job_] : Latest[Step.Job_];
      const std::int64_t Version = Next.Version_;
      if (Version == 0)
        Next = makeRecord("job-" + std::to_string(Step.Job_));
      Next = withPayload(Next, "write-" + std::to_string(++Number));
      if (Step.Finish_)
        Next = finished(Next);
      const auto Actual =
          Version == 0 ? Store.create(Next, Wait) : Store.update(Next, Wait);
      const auto Expected = Naive.write(Next);
      RC_ASSERT(Actual.has_value() == Expected.has_value());
      if (!Actual) {
        RC_ASSERT(Actual.error().Reason_ == Reason::TableConflict);
        RC_ASSERT(Actual.error().Effect_ == Effect::None);
        continue;
      }
      RC_ASSERT(Actual.value() == Expected.value());
      Earlier[Step.Job_] = Latest[Step.Job_];
      Latest[Step.Job_] = Actual.value();
    }
    Store.stop();
    Faulty.deliverLate();
    for (const auto &[Key, Row] : Healthy.rows()) {
      const auto Found = Faulty.read(Key, Wait).value();
      RC_ASSERT(Found.has_value());
      RC_ASSERT(decodeJobRow(*Found).value().Record_ ==
                decodeJobRecord(Row.Body_, Row.Version_).value());
    }
    RC_ASSERT(indexProblem(Faulty).empty());
  }));
}

// Guards against acknowledged writes that are lost, refused writes that were
// applied, and writes that are applied twice, with callers in parallel and
// deadlines that pass while the outcome is open.
BOOST_AUTO_TEST_CASE(AcknowledgedWritesAreAppliedOnce) {
  BOOST_TEST(rc::check("writes", [] {
    FakeTable Table;
    Table.plan(*faultPlan(60));
    const Millis Timeout{*rc::gen::element(1, 2, 4, 2000)};
    const SystemClock Time;
    NullMetrics Metrics;
    // The second store stands for another node that changes the same jobs.
    JobStore First(fastOptions(), Table, Time, Metrics);
    JobStore Second(fastOptions(), Table, Time, Metrics);
    First.start();
    Second.start();
    Mutex Guard;
    std::set<std::string> Acknowledged;
    std::set<std::string> Refused;
    inParallel(6, [&](int Caller) {
      JobStore &Store = Caller % 2 == 0 ? First : Second;
      for (int Number = 0; Number < 6; ++Number) {
        const std::string Mark =
            std::to_string(Caller) + "-" + std::to_string(Number);
        // Two callers of different stores share each job.
        const JobRecord Base = makeRecord(std::to_string(Caller / 2));
        const auto Seen = Store.read(Base.Id_, Timeout);
        if (!Seen)
          continue;
        const auto Outcome =
            Seen.value()
                ? Store.update(withPayload(*Seen.value(), Mark), Timeout)
                : Store.create(withPayload(Base, Mark), Timeout);
        const MutexLock Lock(Guard);
        if (Outcome)
          Acknowledged.insert(Mark);
        else if (Outcome.error().Effect_ == Effect::None)
          Refused.insert(Mark);
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
    for (const auto &[Mark, Times] : Applied)
      RC_ASSERT(Times == 1);
    for (const std::string &Mark : Acknowledged)
      RC_ASSERT(Applied.contains(Mark));
    for (const std::string &Mark : Refused)
      RC_ASSERT(!Applied.contains(Mark));
    RC_ASSERT(indexProblem(Table).empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
