#ifndef DAMASKGLADE_TESTS_BENCH_SCHEDULERS_H
#define DAMASKGLADE_TESTS_BENCH_SCHEDULERS_H

#include "policy/admission.h"
#include "policy/backfill.h"
#include "policy/estimator.h"
#include "policy/gang.h"
#include "policy/placement.h"
#include "policy/preemption.h"
#include "tests/bench/simulation.h"
#include "tests/policy/naive.h"

#include <random>
#include <string>
#include <unordered_map>

namespace damaskglade::bench {

/// Schedules with the policy library, as a single node that manages all jobs
/// and owns all shards of the fleet.
class PolicyScheduler : public Scheduler {
public:
  PolicyScheduler(const Fleet &Workers, std::uint64_t Seed,
                  policy::ShareSettings ShareConfig = {});

  bool submit(const policy::QueuedJob &Job, Millis Now) override;
  void finish(const std::string &Job, Millis ActualRunTime,
              Millis Now) override;
  std::vector<Decision> decide(Millis Now) override;
  Resources allocated() const override { return Ledger_.totals().Reserved_; }

private:
  struct Running {
    policy::QueuedJob Job_;
    Millis DeclaredRunTime_{};
    Millis StartTime_{};
    std::vector<std::string> Attempts_;
  };

  bool tryStart(const policy::Candidate &Selected, Millis Now,
                std::vector<Decision> &Decisions);
  /// Preempts running jobs so that an urgent job fits, and queues them again.
  /// Returns true if capacity was freed.
  bool preempt(const policy::QueuedJob &Job, Millis Now,
               std::vector<Decision> &Decisions);
  void pause(const std::string &Job, Millis Now);
  bool startTask(const policy::QueuedJob &Job, Millis Now);
  bool startGang(const policy::QueuedJob &Job, Millis Now);
  void recordStart(const policy::QueuedJob &Job, Millis Now,
                   std::vector<std::string> Attempts);
  void reserveIfDue(const policy::QueuedJob &Job, Millis Now);
  void refreshReservations(Millis Now);

  policy::Ledger Ledger_;
  policy::Shares Shares_;
  policy::JobQueue Queue_;
  policy::Admission Admission_;
  policy::Estimator Estimator_{policy::EstimatorSettings{}};
  policy::GangHolds Holds_;
  std::vector<policy::BackfillReservation> Reservations_;
  std::unordered_map<std::string, Running> Running_;
  std::unordered_map<std::string, Millis> DeclaredRunTimes_;
  policy::PreemptionBudget Budget_;
  std::mt19937_64 Random_;
  bool CapacityFreed_ = false;
  Millis LastRefresh_{};
};

/// Runs NaiveScheduler, the baseline, in the simulation.
class NaiveAdapter : public Scheduler {
public:
  NaiveAdapter(const Fleet &Workers, std::size_t MaxSkipped);

  bool submit(const policy::QueuedJob &Job, Millis Now) override;
  void finish(const std::string &Job, Millis ActualRunTime,
              Millis Now) override;
  std::vector<Decision> decide(Millis Now) override;
  Resources allocated() const override { return Allocated_; }

private:
  policy::NaiveScheduler Scheduler_;
  std::unordered_map<std::string, policy::NaiveStart> Running_;
  Resources Allocated_;
};

/// Adds the workers of a fleet to a ledger.
void addWorkers(policy::Ledger &WorkerLedger, const Fleet &Workers);

} // namespace damaskglade::bench

#endif
