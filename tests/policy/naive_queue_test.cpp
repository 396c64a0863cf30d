#include "fleet.h"
#include "naive.h"
#include "policy/gang.h"
#include "policy/placement.h"
#include "policy/queue.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

std::vector<Resources> randomFleet() {
  std::vector<Resources> Fleet;
  const int Count = *rc::gen::inRange(1, 7);
  Fleet.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    Fleet.push_back(Resources{*rc::gen::inRange<std::int64_t>(1, 17) * 1000,
                              *rc::gen::inRange<std::int64_t>(1, 65) * 1024,
                              *rc::gen::inRange(0, 3), 8, 64});
  return Fleet;
}

QueuedJob randomJob(int Number) {
  QueuedJob Job;
  Job.Id_ = "job" + std::to_string(Number);
  Job.Team_ = "team-" + std::to_string(*rc::gen::inRange(0, 3));
  Job.Class_ = randomClass();
  Job.Urgency_ = static_cast<Urgency>(
      *rc::gen::inRange(0, static_cast<int>(UrgencyCount)));
  Job.Size_ = Resources{*rc::gen::inRange<std::int64_t>(1, 40) * 200,
                        *rc::gen::inRange<std::int64_t>(1, 40) * 512,
                        *rc::gen::inRange(0, 6) == 0 ? 1 : 0, 1,
                        *rc::gen::inRange(0, 9)};
  if (Job.Class_ == TaskClass::Gang)
    Job.Tasks_ = *rc::gen::inRange(1, 9);
  Job.Run_ = Millis{*rc::gen::inRange(1, 1000)};
  return Job;
}

/// A complete scheduler made of the policy classes: one queue with fair shares
/// and one ledger of all workers.
struct PolicyScheduler {
  Shares Shares_{ShareSettings{}};
  JobQueue Queue_{QueueSettings{}, Shares_};
  Ledger Ledger_;
  GangHolds Holds_;
  std::vector<QueuedJob> Running_;

  explicit PolicyScheduler(const std::vector<Resources> &Fleet) {
    Resources Sum;
    for (std::size_t Number = 0; Number < Fleet.size(); ++Number) {
      const int Id = static_cast<int>(Number);
      RC_ASSERT(!!Ledger_.putWorker(makeWorker(Id, Fleet[Number])));
      Sum = Sum + Fleet[Number];
    }
    Shares_.setFleet(Sum);
  }

  static std::vector<std::string> attemptsOf(const QueuedJob &Job) {
    std::vector<std::string> Attempts;
    for (std::int64_t Member = 0; Member < Job.Tasks_; ++Member)
      Attempts.push_back(Job.Id_ + "." + std::to_string(Member) + ".1");
    return Attempts;
  }

  bool start(const QueuedJob &Job, Millis Now) {
    const auto Attempts = attemptsOf(Job);
    if (Job.Class_ == TaskClass::Gang) {
      GangRequest Request;
      Request.Job_ = Job.Id_;
      Request.Attempts_ = Attempts;
      Request.Size_ = Job.Size_;
      return !!Holds_.hold(Ledger_, Request, Now) &&
             !!Holds_.confirm(Ledger_, Job.Id_, Now);
    }
    PlacementRequest Request;
    Request.Job_ = Job.Id_;
    Request.Class_ = Job.Class_;
    Request.Size_ = Job.Size_;
    const auto Chosen = place(Ledger_, Request);
    return Chosen &&
           !!Ledger_.reserve(makeReservation(Attempts.front(), Chosen->Worker_,
                                             Job.Size_, Job.Class_));
  }

  /// Starts all jobs that can start and returns them in order.
  std::vector<QueuedJob> dispatch(Millis Now) {
    std::vector<QueuedJob> Started;
    Queue_.beginRound();
    while (const auto Next = Queue_.take(Now, Ledger_.totals().Free_)) {
      const QueuedJob &Job = Next->Job_;
      if (!start(Job, Now)) {
        Queue_.putBack(*Next);
        continue;
      }
      Shares_.start(Job.Class_, Job.Team_, Job.Urgency_, totalSize(Job), Now);
      Started.push_back(Job);
      Running_.push_back(Job);
    }
    return Started;
  }

  void finishOldest(Millis Now) {
    if (Running_.empty())
      return;
    const QueuedJob Oldest = Running_.front();
    Running_.erase(Running_.begin());
    for (const std::string &Attempt : attemptsOf(Oldest))
      RC_ASSERT(Ledger_.release(Attempt));
    Shares_.finish(Oldest.Class_, Oldest.Team_, Oldest.Urgency_,
                   totalSize(Oldest), Now);
  }
};

void checkCapacities(const PolicyScheduler &Scheduler,
                     const NaiveScheduler &Naive) {
  RC_ASSERT(!!Scheduler.Ledger_.verify());
  for (std::size_t Number = 0; Number < Naive.free().size(); ++Number) {
    const WorkerAccount *Account =
        Scheduler.Ledger_.worker(workerId(static_cast<int>(Number)));
    RC_ASSERT(Account != nullptr);
    RC_ASSERT(fits(Account->Reserved_, Account->Info_.Capacity_));
  }
  for (const Resources &Free : Naive.free())
    RC_ASSERT(fits(Resources{}, Free));
}

} // namespace

BOOST_AUTO_TEST_SUITE(DifferentialWithNaive)

// Guards against placements beyond a worker's capacity, against jobs that are
// started twice and against jobs that are lost between the queue and the
// ledger.
BOOST_AUTO_TEST_CASE(PlacementsStayWithinCapacity) {
  BOOST_TEST(holds("legal placements", [] {
    const auto Fleet = randomFleet();
    PolicyScheduler Scheduler(Fleet);
    NaiveScheduler Naive;
    for (const Resources &Capacity : Fleet)
      Naive.addWorker(Capacity);
    std::vector<NaiveStart> NaiveRunning;
    std::set<std::string> Started;
    const int Steps = *rc::gen::inRange(1, 40);
    int Submitted = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      const Millis Now{std::int64_t{Step} * 10};
      for (int Count = *rc::gen::inRange(0, 5); Count > 0; --Count) {
        const QueuedJob Job = randomJob(Submitted++);
        RC_ASSERT(!!Scheduler.Queue_.push(Job));
        Naive.submit(Job);
      }
      if (*rc::gen::arbitrary<bool>()) {
        Scheduler.finishOldest(Now);
        if (!NaiveRunning.empty()) {
          Naive.finish(NaiveRunning.back());
          NaiveRunning.pop_back();
        }
      }
      for (const QueuedJob &Job : Scheduler.dispatch(Now))
        RC_ASSERT(Started.insert(Job.Id_).second);
      for (NaiveStart &Start : Naive.dispatch())
        NaiveRunning.push_back(std::move(Start));
      checkCapacities(Scheduler, Naive);
      RC_ASSERT(
          std::cmp_equal(Scheduler.Queue_.size() + Started.size(), Submitted));
    }
  }));
}

// Guards against work that fits but is kept off an empty fleet by shares,
// reserves or placement rules.
BOOST_AUTO_TEST_CASE(PlacesOnAnEmptyFleetWhateverNaivePlaces) {
  BOOST_TEST(holds("empty fleet", [] {
    const auto Fleet = randomFleet();
    const QueuedJob Job = randomJob(0);
    NaiveScheduler Naive;
    for (const Resources &Capacity : Fleet)
      Naive.addWorker(Capacity);
    Naive.submit(Job);
    const bool NaivePlaced = Naive.dispatch().size() == 1;
    PolicyScheduler Scheduler(Fleet);
    RC_ASSERT(!!Scheduler.Queue_.push(Job));
    const bool PolicyPlaced = Scheduler.dispatch(Millis{0}).size() == 1;
    RC_ASSERT(PolicyPlaced || !NaivePlaced);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
