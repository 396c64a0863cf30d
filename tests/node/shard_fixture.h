#ifndef DAMASKGLADE_TESTS_NODE_SHARD_FIXTURE_H
#define DAMASKGLADE_TESTS_NODE_SHARD_FIXTURE_H

#include "node/owned_shard.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace damaskglade::node {

constexpr Resources WorkerCapacity{4000, 8192, 0, 4, 8};
/// A quarter of a worker's capacity.
constexpr Resources TaskSize{1000, 2048, 0, 1, 2};
constexpr std::int64_t TasksPerWorker = 4;
constexpr Millis RenewInterval{2000};
constexpr Millis StartTime{5000}; ///< From a reservation to its start_by.

inline OwnerSettings shardSettings() {
  OwnerSettings Settings;
  // Class guarantees would keep part of the small workers of these tests free.
  Settings.Guards_ = policy::NoGuards;
  return Settings;
}

inline VmEntry workerVm(const std::string &Id, bool Leaving = false) {
  return VmEntry{Id, "z1", "r1", "127.0.0.1:" + Id, true, Leaving};
}

inline ReserveRequest makeReserveRequest(const std::string &Job,
                                         std::int64_t Tasks = 1) {
  ReserveRequest Request;
  Request.Job_ = Job;
  Request.Home_ = "home";
  Request.Team_ = "dock";
  Request.Size_ = TaskSize;
  Request.Run_ = Millis{60000};
  for (std::int64_t Member = 0; Member < Tasks; ++Member)
    Request.Tries_.push_back(Attempt{Member, 1, {}, {}, {}});
  return Request;
}

inline AttemptReport finishedReport(const std::string &Attempt,
                                    bool Ok = true) {
  return AttemptReport{Attempt, AttemptState::Finished, makeAnswer(Ok, "done")};
}

/// One shard with a manual clock; the tests act as the workers.
class ShardFixture {
public:
  ShardFixture() { Shard_.setWorkers({workerVm("w1")}, now()); }

  Moment now() const { return momentOf(Clock_); }
  void advance(Millis Time) { Clock_.advance(Time); }

  std::vector<RenewalPlan> dueRenewals() {
    return Shard_.dueRenewals(now(), RenewInterval);
  }

  static LeaseReply replyTo(const RenewalPlan &Plan,
                            std::vector<RunningTask> Running = {},
                            std::vector<AttemptReport> Finished = {}) {
    LeaseReply Reply;
    Reply.Worker_ = Plan.Worker_;
    Reply.Capacity_ = WorkerCapacity;
    if (Plan.Request_.List_)
      Reply.Running_ = std::move(Running);
    Reply.Finished_ = std::move(Finished);
    return Reply;
  }

  /// Answers the lease exchanges that are due, for all workers.
  void renewLeases(const std::vector<RunningTask> &Running = {}) {
    for (const RenewalPlan &Plan : dueRenewals())
      Shard_.applyRenewal(Plan, replyTo(Plan, Running), now());
  }

  /// Answers lease exchanges until one that asks for a listing is due; returns
  /// that one unanswered.
  RenewalPlan nextListingRenewal() {
    constexpr int MaxExchanges = 10;
    for (int Exchange = 0; Exchange < MaxExchanges; ++Exchange) {
      advance(RenewInterval);
      for (const RenewalPlan &Plan : dueRenewals()) {
        if (Plan.Request_.List_)
          return Plan;
        Shard_.applyRenewal(Plan, replyTo(Plan), now());
      }
    }
    BOOST_FAIL("no lease exchange asked for a listing");
    return {};
  }

  std::vector<Attempt> reserve(const ReserveRequest &Request) {
    return Shard_.reserve(Request, Clock_.wall() + StartTime, 0, now());
  }

  Result<HeldStart> beginStart(const std::string &Job, const Attempt &Try) {
    return Shard_.beginStart(StartCommand{Job, Try, Millis{60000}, "payload"},
                             now());
  }

  /// Reserves and starts one task; returns its attempt id.
  std::string startTask(const std::string &Job) {
    const std::vector<Attempt> Reserved = reserve(makeReserveRequest(Job));
    BOOST_REQUIRE_EQUAL(Reserved.size(), 1U);
    BOOST_REQUIRE(beginStart(Job, Reserved.front()));
    std::string Id = attemptId(Job, Reserved.front());
    Shard_.confirmStart(Id, now());
    return Id;
  }

  std::optional<OwnerStatus> statusOf(const std::string &Job,
                                      const Attempt &Try) {
    std::string Address;
    return Shard_.statusOf(Job, Try, now(), Address);
  }

  /// True if the shard has this verdict on the first attempt of a job.
  bool hasVerdict(const std::string &Job, OwnerVerdict Verdict) {
    const auto Status = statusOf(Job, Attempt{0, 1, "w1", "z1/r1", {}});
    return Status && Status->Verdict_ == Verdict;
  }

  WorkerStatus worker(const std::string &Id = "w1") const {
    std::vector<WorkerStatus> All;
    Shard_.addWorkers(All);
    for (const WorkerStatus &Entry : All)
      if (Entry.Id_ == Id)
        return Entry;
    return {};
  }

  ManualClock Clock_{Millis{1000000}};
  OwnedShard Shard_{"z1/r1", 7, "node-a", shardSettings(), now()};
};

} // namespace damaskglade::node

#endif
