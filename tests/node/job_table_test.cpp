#include "node/job_table.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

JobEntry entryOf(const std::string &Id, JobState State = JobState::Queued) {
  JobRecord Record;
  Record.Id_ = Id;
  Record.State_ = State;
  return makeEntry(Record);
}

template <typename Condition> bool eventually(Condition Holds) {
  const SystemClock Time;
  const Millis End = Time.monotonic() + Millis{5000};
  while (!Holds()) {
    if (Time.monotonic() > End)
      return false;
    sleepFor(Millis{1});
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Jobs)

// Guards against changes that are lost because two threads changed copies of
// one entry at the same time.
BOOST_AUTO_TEST_CASE(OneThreadAtATimeChangesAnEntry) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(entryOf("job")));
  constexpr int Threads = 4;
  constexpr int Changes = 200;
  std::atomic<int> Inside{0};
  std::atomic<int> Overlaps{0};
  {
    std::vector<Thread> Running;
    Running.reserve(Threads);
    for (int Number = 0; Number < Threads; ++Number)
      Running.emplace_back([&] {
        for (int Change = 0; Change < Changes; ++Change) {
          JobTable::Guard Job(Table, "job");
          if (++Inside != 1)
            ++Overlaps;
          ++Job.entry().Tries_;
          Job.store();
          --Inside;
        }
      });
  }
  BOOST_TEST(Overlaps == 0);
  JobTable::Guard Job(Table, "job");
  BOOST_REQUIRE(static_cast<bool>(Job));
  BOOST_TEST(Job.entry().Tries_ == Threads * Changes);
}

// Guards against a change that becomes visible although it was not stored.
BOOST_AUTO_TEST_CASE(ChangeIsInvisibleUntilStored) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(entryOf("job")));
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

// Guards against callers that wait for their whole timeout although the job
// has ended.
BOOST_AUTO_TEST_CASE(WaiterWakesOnTheEnd) {
  JobTable Table;
  const SystemClock Time;
  BOOST_REQUIRE(Table.add(entryOf("job")));
  std::optional<JobRecord> Seen;
  std::atomic<bool> Done{false};
  constexpr Millis Timeout{60000};
  Thread Waiter([&] {
    Seen = Table.waitFinal("job", Timeout, Time);
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
  BOOST_REQUIRE(Seen);
  BOOST_TEST((Seen->State_ == JobState::Finished));
}

// Guards against a wait that outlasts its timeout or hides the state.
BOOST_AUTO_TEST_CASE(WaitTimesOutWithTheState) {
  JobTable Table;
  const SystemClock Time;
  BOOST_REQUIRE(Table.add(entryOf("job", JobState::Running)));
  const auto Seen = Table.waitFinal("job", Millis{10}, Time);
  BOOST_REQUIRE(Seen);
  BOOST_TEST((Seen->State_ == JobState::Running));
  BOOST_TEST(!Table.waitFinal("absent", Millis{10}, Time));
}

// Guards against a job of another home that reappears here.
BOOST_AUTO_TEST_CASE(ErasedEntryIsNotStoredBack) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(entryOf("job")));
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

// Guards against a guard of an erased entry that opens or overwrites the
// entry which was added anew under the same id, for example after an adoption.
BOOST_AUTO_TEST_CASE(ErasedGuardLeavesNewEntryAlone) {
  JobTable Table;
  BOOST_REQUIRE(Table.add(entryOf("job")));
  auto Old = std::make_unique<JobTable::Guard>(Table, "job");
  Old->erase();
  BOOST_REQUIRE(Table.add(entryOf("job", JobState::Running)));
  Old->store();
  BOOST_TEST((Table.find("job")->State_ == JobState::Running));

  std::atomic<bool> Entered{false};
  Thread Second;
  {
    const JobTable::Guard New(Table, "job");
    Old.reset();
    Second = Thread([&] {
      const JobTable::Guard Other(Table, "job");
      Entered = true;
    });
    sleepFor(Millis{50});
    BOOST_TEST(!Entered);
  }
  BOOST_TEST(eventually([&] { return Entered.load(); }));
  Second.join();
}

// Guards against ended jobs that fill the memory of a home.
BOOST_AUTO_TEST_CASE(EndedEntriesAreDropped) {
  JobTable Table;
  constexpr int Ended = 100;
  for (int Number = 0; Number < Ended; ++Number) {
    const std::string Id = "job" + std::to_string(Number);
    BOOST_REQUIRE(Table.add(entryOf(Id)));
    JobTable::Guard Job(Table, Id);
    Job.entry().Record_.State_ = JobState::Finished;
    Job.store();
  }
  BOOST_REQUIRE(Table.add(entryOf("running", JobState::Running)));
  constexpr std::size_t Keep = 32;
  Table.dropEnded(Keep);
  BOOST_TEST(Table.size() <= Keep + 1);
  BOOST_TEST(Table.find("running").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
