#include "tests/node/shard_fixture.h"

#include <map>
#include <random>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

policy::PreemptionStep makeStep(const std::string &Attempt,
                                TaskControl Action) {
  return policy::PreemptionStep{Attempt, "w1", Action, {}};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OwnedShardPreemption, ShardFixture)

// Guards against checkpointed tasks that stay suspended because queued work
// takes the freed capacity, and against a resume that is repeated after it took
// effect.
BOOST_AUTO_TEST_CASE(FreedRoomGoesToCheckpointedTaskFirst) {
  renewLeases();
  const std::string Suspended = startTask("suspended");
  for (const char *Job : {"a", "b", "c"})
    startTask(Job);
  Shard_.applyPreemption(makeStep(Suspended, TaskControl::Checkpoint));
  const std::string Urgent = startTask("urgent");
  BOOST_TEST(Shard_.beginResumes(now()).empty());
  BOOST_TEST(Shard_.applyReport("w1", finishedReport(Urgent)));
  BOOST_TEST(reserve(makeReserveRequest("queued")).empty());
  BOOST_TEST(
      (Shard_.beginResumes(now()) == std::vector<std::string>{Suspended}));
  // The resume is in flight.
  BOOST_TEST(Shard_.beginResumes(now()).empty());
  Shard_.endResume(Suspended, true);
  constexpr Millis AfterRetryDelay{5000};
  advance(AfterRetryDelay);
  BOOST_TEST(Shard_.beginResumes(now()).empty());
  BOOST_TEST((worker().Free_ == Resources{}));
}

// Guards against a suspended task whose capacity goes to new work although the
// urgent task that preempted it was never started.
BOOST_AUTO_TEST_CASE(ReleasedHoldGoesToCheckpointedTaskFirst) {
  renewLeases();
  const std::string Suspended = startTask("suspended");
  for (const char *Job : {"a", "b", "c"})
    startTask(Job);
  Shard_.applyPreemption(makeStep(Suspended, TaskControl::Checkpoint));
  const std::vector<Attempt> Reserved = reserve(makeReserveRequest("urgent"));
  BOOST_REQUIRE_EQUAL(Reserved.size(), 1U);
  BOOST_TEST(Shard_.release(attemptId("urgent", Reserved.front())));
  BOOST_TEST(reserve(makeReserveRequest("queued")).empty());
  BOOST_TEST(
      (Shard_.beginResumes(now()) == std::vector<std::string>{Suspended}));
}

// Guards against recording the failed answer of a stopped task as the answer of
// its job; the home must place the task again.
BOOST_AUTO_TEST_CASE(StoppedTaskIsReportedAsLost) {
  renewLeases();
  const std::string Id = startTask("job");
  Shard_.applyPreemption(makeStep(Id, TaskControl::Stop));
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  BOOST_TEST(Shard_.applyReport("w1", finishedReport(Id, false)));
  const std::vector<EndedTask> Ended = Shard_.dueNotices(now(), 10);
  BOOST_REQUIRE_EQUAL(Ended.size(), 1U);
  BOOST_TEST((Ended.front().Status_ == OwnerStatus{OwnerVerdict::Lost, {}}));
  // A stop that the owner asked for does not count against the worker.
  BOOST_TEST(Shard_.takeOutcomes().empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// Simulates two workers and recounts independently which tasks use their
// capacity.
class RandomWorkload : public ShardFixture {
public:
  RandomWorkload() {
    Shard_.setWorkers({workerVm("w1"), workerVm("w2")}, now());
    renewLeasesOfAll();
  }

  void step() {
    constexpr int Actions = 8;
    switch (randomBelow(Actions)) {
    case 0:
    case 1:
    case 2:
      reserveSome();
      break;
    case 3:
    case 4:
      startOne();
      break;
    case 5:
      finishOne();
      break;
    case 6:
      releaseOne();
      break;
    default:
      advance(Millis{static_cast<std::int64_t>(randomBelow(1000))});
      renewLeasesOfAll();
    }
    // Reservations expire; the recount applies the same rule.
    Shard_.dropExpiredHolds(now());
    std::erase_if(Reserved_, [&](const auto &Entry) {
      return Clock_.monotonic() > Entry.second.HoldEnd_;
    });
  }

  void checkFreeCapacity() const {
    for (const char *Id : {"w1", "w2"}) {
      Resources Used;
      for (const auto *Tasks : {&Reserved_, &Running_})
        for (const auto &[Attempt, Task] : *Tasks)
          if (Task.Try_.Worker_ == Id)
            Used = Used + Task.Size_;
      BOOST_REQUIRE(fits(Used, WorkerCapacity));
      BOOST_REQUIRE((worker(Id).Free_ == WorkerCapacity - Used));
    }
  }

  std::size_t started() const { return Started_; }
  std::size_t refused() const { return Refused_; }

private:
  struct TrackedTask {
    std::string Job_;
    Attempt Try_;
    Resources Size_;
    Millis HoldEnd_;
  };
  using TrackedTasks = std::map<std::string, TrackedTask>;

  std::uint64_t randomBelow(std::uint64_t Bound) { return Random_() % Bound; }

  void reserveSome() {
    ReserveRequest Request =
        makeReserveRequest("job" + std::to_string(++Jobs_),
                           static_cast<std::int64_t>(1 + randomBelow(3)));
    Request.Size_ =
        Resources{static_cast<std::int64_t>(100 + randomBelow(2000)),
                  static_cast<std::int64_t>(100 + randomBelow(4000)), 0,
                  static_cast<std::int64_t>(randomBelow(3)),
                  static_cast<std::int64_t>(randomBelow(4))};
    const std::vector<Attempt> Reserved = reserve(Request);
    Refused_ += Request.Tries_.size() - Reserved.size();
    for (const Attempt &Try : Reserved)
      Reserved_.emplace(
          attemptId(Request.Job_, Try),
          TrackedTask{Request.Job_, Try, Request.Size_,
                      Clock_.monotonic() + shardSettings().HoldTime_});
  }

  TrackedTasks::iterator randomEntry(TrackedTasks &Tasks) {
    return std::next(Tasks.begin(),
                     static_cast<std::ptrdiff_t>(randomBelow(Tasks.size())));
  }

  void startOne() {
    if (Reserved_.empty())
      return;
    const auto Chosen = randomEntry(Reserved_);
    if (beginStart(Chosen->second.Job_, Chosen->second.Try_)) {
      Shard_.confirmStart(Chosen->first, now());
      Running_.insert(*Chosen);
      ++Started_;
    }
    Reserved_.erase(Chosen);
  }

  void finishOne() {
    if (Running_.empty())
      return;
    const auto Chosen = randomEntry(Running_);
    BOOST_REQUIRE(Shard_.applyReport(Chosen->second.Try_.Worker_,
                                     finishedReport(Chosen->first)));
    Running_.erase(Chosen);
  }

  void releaseOne() {
    if (Reserved_.empty())
      return;
    const auto Chosen = randomEntry(Reserved_);
    BOOST_REQUIRE(Shard_.release(Chosen->first));
    Reserved_.erase(Chosen);
  }

  void renewLeasesOfAll() {
    for (const RenewalPlan &Plan : dueRenewals()) {
      std::vector<RunningTask> Running;
      for (const auto &[Attempt, Task] : Running_)
        if (Task.Try_.Worker_ == Plan.Worker_)
          Running.push_back(RunningTask{Attempt, Task.Size_, false});
      Shard_.applyRenewal(Plan, replyTo(Plan, Running), now());
    }
  }

  std::mt19937_64 Random_{20261204};
  TrackedTasks Reserved_;
  TrackedTasks Running_;
  int Jobs_ = 0;
  std::size_t Started_ = 0;
  std::size_t Refused_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OwnedShardLimits)

// Guards against reservations beyond the capacity of a worker, and against
// accounting that deviates from the reserved and running tasks.
BOOST_AUTO_TEST_CASE(RandomSequenceEqualsRecount) {
  RandomWorkload Workload;
  constexpr int Steps = 5000;
  for (int Step = 0; Step < Steps; ++Step) {
    Workload.step();
    Workload.checkFreeCapacity();
  }
  // The sequence tests the accounting only if it started and refused work.
  BOOST_TEST(Workload.started() > 100U);
  BOOST_TEST(Workload.refused() > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
