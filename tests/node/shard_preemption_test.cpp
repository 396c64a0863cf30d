#include "tests/node/shard_fixture.h"

#include <map>
#include <random>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

policy::PreemptionStep stepFor(const std::string &Attempt, TaskControl Action) {
  return policy::PreemptionStep{Attempt, "w1", Action, {}};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OwnedShardPreemption, ShardFixture)

// Guards against checkpointed tasks that a full queue keeps suspended, and
// against a resume that is sent again after it took effect.
BOOST_AUTO_TEST_CASE(FreedRoomGoesToCheckpointedTaskFirst) {
  exchange();
  const std::string Suspended = run("suspended");
  for (const char *Job : {"a", "b", "c"})
    run(Job);
  Shard_.applyPreemption(stepFor(Suspended, TaskControl::Checkpoint));
  const std::string Urgent = run("urgent");
  BOOST_TEST(Shard_.beginResumes(now()).empty());
  BOOST_TEST(Shard_.applyReport("w1", finishedReport(Urgent)));
  BOOST_TEST(reserve(requestFor("queued")).empty());
  BOOST_TEST(
      (Shard_.beginResumes(now()) == std::vector<std::string>{Suspended}));
  // The resume is under way.
  BOOST_TEST(Shard_.beginResumes(now()).empty());
  Shard_.endResume(Suspended, true);
  constexpr Millis AfterRetryDelay{5000};
  advance(AfterRetryDelay);
  BOOST_TEST(Shard_.beginResumes(now()).empty());
  BOOST_TEST((worker().Free_ == Resources{}));
}

// Guards against a suspended task that loses its room to new work when the
// urgent task it made way for was never started.
BOOST_AUTO_TEST_CASE(ReleasedHoldGoesToCheckpointedTaskFirst) {
  exchange();
  const std::string Suspended = run("suspended");
  for (const char *Job : {"a", "b", "c"})
    run(Job);
  Shard_.applyPreemption(stepFor(Suspended, TaskControl::Checkpoint));
  const std::vector<Attempt> Held = reserve(requestFor("urgent"));
  BOOST_REQUIRE_EQUAL(Held.size(), 1U);
  BOOST_TEST(Shard_.release(attemptId("urgent", Held.front())));
  BOOST_TEST(reserve(requestFor("queued")).empty());
  BOOST_TEST(
      (Shard_.beginResumes(now()) == std::vector<std::string>{Suspended}));
}

// Guards against the failed answer of a stopped task that is recorded as the
// job's own; its home must place it again.
BOOST_AUTO_TEST_CASE(StoppedTaskIsReportedAsLost) {
  exchange();
  const std::string Id = run("job");
  Shard_.applyPreemption(stepFor(Id, TaskControl::Stop));
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

// Plays two workers and keeps its own account of who holds what.
class RandomRun : public ShardFixture {
public:
  RandomRun() {
    Shard_.setWorkers({workerVm("w1"), workerVm("w2")}, now());
    renewAll();
  }

  void step() {
    constexpr int Actions = 8;
    switch (pick(Actions)) {
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
      advance(Millis{static_cast<std::int64_t>(pick(1000))});
      renewAll();
    }
    // Holds end by themselves; the recount follows the same rule.
    Shard_.dropExpiredHolds(now());
    std::erase_if(Held_, [&](const auto &Entry) {
      return Clock_.monotonic() > Entry.second.HoldEnd_;
    });
  }

  void check() const {
    for (const char *Id : {"w1", "w2"}) {
      Resources Used;
      for (const auto *Holders : {&Held_, &Running_})
        for (const auto &[Attempt, Each] : *Holders)
          if (Each.Try_.Worker_ == Id)
            Used = Used + Each.Size_;
      BOOST_REQUIRE(fits(Used, WorkerCapacity));
      BOOST_REQUIRE((worker(Id).Free_ == WorkerCapacity - Used));
    }
  }

  std::size_t started() const { return Started_; }
  std::size_t refused() const { return Refused_; }

private:
  struct Holder {
    std::string Job_;
    Attempt Try_;
    Resources Size_;
    Millis HoldEnd_;
  };
  using Holders = std::map<std::string, Holder>;

  std::uint64_t pick(std::uint64_t Bound) { return Random_() % Bound; }

  void reserveSome() {
    ReserveRequest Request = requestFor("job" + std::to_string(++Jobs_),
                                        static_cast<std::int64_t>(1 + pick(3)));
    Request.Size_ = Resources{static_cast<std::int64_t>(100 + pick(2000)),
                              static_cast<std::int64_t>(100 + pick(4000)), 0,
                              static_cast<std::int64_t>(pick(3)),
                              static_cast<std::int64_t>(pick(4))};
    const std::vector<Attempt> Held = reserve(Request);
    Refused_ += Request.Tries_.size() - Held.size();
    for (const Attempt &Try : Held)
      Held_.emplace(attemptId(Request.Job_, Try),
                    Holder{Request.Job_, Try, Request.Size_,
                           Clock_.monotonic() + shardSettings().HoldTime_});
  }

  Holders::iterator any(Holders &From) {
    return std::next(From.begin(),
                     static_cast<std::ptrdiff_t>(pick(From.size())));
  }

  void startOne() {
    if (Held_.empty())
      return;
    const auto Chosen = any(Held_);
    if (begin(Chosen->second.Job_, Chosen->second.Try_)) {
      Shard_.confirmStart(Chosen->first, now());
      Running_.insert(*Chosen);
      ++Started_;
    }
    Held_.erase(Chosen);
  }

  void finishOne() {
    if (Running_.empty())
      return;
    const auto Chosen = any(Running_);
    BOOST_REQUIRE(Shard_.applyReport(Chosen->second.Try_.Worker_,
                                     finishedReport(Chosen->first)));
    Running_.erase(Chosen);
  }

  void releaseOne() {
    if (Held_.empty())
      return;
    const auto Chosen = any(Held_);
    BOOST_REQUIRE(Shard_.release(Chosen->first));
    Held_.erase(Chosen);
  }

  void renewAll() {
    for (const RenewalPlan &Plan : due()) {
      std::vector<RunningTask> Running;
      for (const auto &[Attempt, Each] : Running_)
        if (Each.Try_.Worker_ == Plan.Worker_)
          Running.push_back(RunningTask{Attempt, Each.Size_, false});
      Shard_.applyRenewal(Plan, replyOf(Plan, Running), now());
    }
  }

  std::mt19937_64 Random_{20261204};
  Holders Held_;
  Holders Running_;
  int Jobs_ = 0;
  std::size_t Started_ = 0;
  std::size_t Refused_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OwnedShardLimits)

// Guards against grants beyond what a worker has, and against accounts that
// drift from what is held and running.
BOOST_AUTO_TEST_CASE(RandomSequenceEqualsRecount) {
  RandomRun Run;
  constexpr int Steps = 5000;
  for (int Step = 0; Step < Steps; ++Step) {
    Run.step();
    Run.check();
  }
  // The sequence is worth nothing unless it started and refused work.
  BOOST_TEST(Run.started() > 100U);
  BOOST_TEST(Run.refused() > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
