#include "node/job_table.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

JobEntry makeEntryInState(const std::string &Id,
                          JobState State = JobState::Queued) {
  JobRecord Record;
  Record.Id_ = Id;
  Record.State_ = State;
  return makeEntry(Record);
}

template <typename Condition> bool eventually(Condition IsTrue) {
  const SystemClock Time;
  const Millis Deadline = Time.monotonic() + Millis{5000};
  while (!IsTrue()) {
    if (Time.monotonic() > Deadline)
      return false;
    sleepFor(Millis{1});
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Jobs)

// Guards against lost updates: two threads change copies of one entry at the
// same time.
BOOST_AUTO_TEST_CASE(OneThreadAtATimeChangesAnEntry) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(makeEntryInState("job")));
  constexpr int Threads = 4;
  constexpr int ChangesPerThread = 200;
  std::atomic<int> ConcurrentGuards{0};
  std::atomic<int> Overlaps{0};
  {
    std::vector<Thread> Writers;
    Writers.reserve(Threads);
    for (int Number = 0; Number < Threads; ++Number)
      Writers.emplace_back([&] {
        for (int Change = 0; Change < ChangesPerThread; ++Change) {
          JobTable::Guard Job(Table, "job");
          if (++ConcurrentGuards != 1)
            ++Overlaps;
          ++Job.entry().FailedPlacements_;
          Job.store();
          --ConcurrentGuards;
        }
      });
  }
  BOOST_TEST(Overlaps == 0);
  JobTable::Guard Job(Table, "job");
  BOOST_REQUIRE(static_cast<bool>(Job));
  BOOST_TEST(Job.entry().FailedPlacements_ == Threads * ChangesPerThread);
}

// Guards against changes that become visible without store().
BOOST_AUTO_TEST_CASE(ChangeIsInvisibleUntilStored) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(makeEntryInState("job")));
  {
    JobTable::Guard Job(Table, "job");
    Job.entry().Record_.State_ = JobState::Running;
    BOOST_TEST((Table.find("job")->State_ == JobState::Queued));
  }
  BOOST_TEST((Table.find("job")->State_ == JobState::Queued));
  JobTable::Guard Job(Table, "job");
  Job.entry().Record_.State_ = JobState::Running;
  Job.store();
  BOOST_TEST((Table.find("job")->State_ == JobState::Running));
}

// Guards against callers that wait until their timeout although the job has
// ended.
BOOST_AUTO_TEST_CASE(WaiterWakesOnTheEnd) {
  JobTable Table;
  const SystemClock Time;
  BOOST_REQUIRE(Table.add(makeEntryInState("job")));
  std::optional<JobRecord> Observed;
  std::atomic<bool> Done{false};
  constexpr Millis Timeout{60000};
  Thread Waiter([&] {
    Observed = Table.waitFinal("job", Timeout, Time);
    Done = true;
  });
  {
    JobTable::Guard Job(Table, "job");
    Job.entry().Record_.State_ = JobState::Running;
    Job.store();
  }
  sleepFor(Millis{20});
  BOOST_TEST(!Done);
  {
    JobTable::Guard Job(Table, "job");
    Job.entry().Record_.State_ = JobState::Finished;
    Job.store();
  }
  BOOST_TEST(eventually([&] { return Done.load(); }));
  Waiter.join();
  BOOST_REQUIRE(Observed);
  BOOST_TEST((Observed->State_ == JobState::Finished));
}

// Guards against a wait that exceeds its timeout or returns no state.
BOOST_AUTO_TEST_CASE(WaitTimesOutWithTheState) {
  JobTable Table;
  const SystemClock Time;
  BOOST_REQUIRE(Table.add(makeEntryInState("job", JobState::Running)));
  const auto Observed = Table.waitFinal("job", Millis{10}, Time);
  BOOST_REQUIRE(Observed);
  BOOST_TEST((Observed->State_ == JobState::Running));
  BOOST_TEST(!Table.waitFinal("absent", Millis{10}, Time));
}

// Guards against a job that another home has adopted and that store() adds
// again.
BOOST_AUTO_TEST_CASE(ErasedEntryIsNotStoredBack) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(makeEntryInState("job")));
  {
    JobTable::Guard Job(Table, "job");
    Job.erase();
    BOOST_TEST(!Job);
    Job.store();
    BOOST_TEST(!Table.find("job"));
  }
  BOOST_TEST(!Table.find("job"));
  BOOST_TEST(Table.size() == 0U);
}

// Guards against the guard of an erased entry that unlocks or overwrites a new
// entry with the same id, added for example by an adoption.
BOOST_AUTO_TEST_CASE(ErasedGuardLeavesNewEntryAlone) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(makeEntryInState("job")));
  auto ErasedGuard = std::make_unique<JobTable::Guard>(Table, "job");
  ErasedGuard->erase();
  BOOST_REQUIRE(Table.add(makeEntryInState("job", JobState::Running)));
  ErasedGuard->store();
  BOOST_TEST((Table.find("job")->State_ == JobState::Running));

  std::atomic<bool> Entered{false};
  Thread SecondThread;
  {
    const JobTable::Guard NewGuard(Table, "job");
    ErasedGuard.reset();
    SecondThread = Thread([&] {
      const JobTable::Guard SecondGuard(Table, "job");
      Entered = true;
    });
    sleepFor(Millis{50});
    BOOST_TEST(!Entered);
  }
  BOOST_TEST(eventually([&] { return Entered.load(); }));
  SecondThread.join();
}

// Guards against ended jobs that accumulate in the memory of a home.
BOOST_AUTO_TEST_CASE(EndedEntriesAreEvicted) {
  JobTable Table;
  constexpr int EndedJobs = 100;
  for (int Number = 0; Number < EndedJobs; ++Number) {
    const std::string Id = "job" + std::to_string(Number);
    BOOST_REQUIRE(Table.add(makeEntryInState(Id)));
    JobTable::Guard Job(Table, Id);
    Job.entry().Record_.State_ = JobState::Finished;
    Job.store();
  }
  BOOST_REQUIRE(Table.add(makeEntryInState("running", JobState::Running)));
  constexpr std::size_t MaxKept = 32;
  Table.evictEnded(MaxKept);
  BOOST_TEST(Table.size() <= MaxKept + 1);
  BOOST_TEST(Table.find("running").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
