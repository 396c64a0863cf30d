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

/// The policy library with one home and one owner for the whole fleet.
class PolicyScheduler : public Scheduler {
public:
  PolicyScheduler(const Fleet &Workers, std::uint64_t Seed,
                  policy::ShareSettings Settings = {});

  bool submit(const policy::QueuedJob &Job, Millis Now) override;
  void finish(const std::string &Job, Millis RealRun, Millis Now) override;
  std::vector<Decision> decide(Millis Now) override;
  Resources held() const override { return Ledger_.totals().Reserved_; }

private:
  struct Running {
    policy::QueuedJob Job_;
    Millis DeclaredRun_{};
    Millis Started_{};
    std::vector<std::string> Attempts_;
  };

  bool tryStart(const policy::Candidate &Next, Millis Now,
                std::vector<Decision> &Decided);
  /// Makes room for urgent work; the tasks that give way are queued again.
  bool preempt(const policy::QueuedJob &Job, Millis Now,
               std::vector<Decision> &Decided);
  void pause(const std::string &Job, Millis Now);
  bool startTask(const policy::QueuedJob &Job, Millis Now);
  bool startGang(const policy::QueuedJob &Job, Millis Now);
  void noteStarted(const policy::QueuedJob &Job, Millis Now,
                   std::vector<std::string> Attempts);
  void noteBlocked(const policy::QueuedJob &Job, Millis Now);
  void refreshReservations(Millis Now);

  policy::Ledger Ledger_;
  policy::Shares Shares_;
  policy::JobQueue Queue_;
  policy::Admission Admission_;
  policy::Estimator Estimator_{policy::EstimatorSettings{}};
  policy::GangHolds Holds_;
  std::vector<policy::BackfillReservation> Reservations_;
  std::unordered_map<std::string, Running> Running_;
  std::unordered_map<std::string, Millis> DeclaredRuns_;
  policy::PreemptionBudget Budget_;
  std::mt19937_64 Random_;
  bool CapacityGrew_ = false;
  Millis Refreshed_{};
};

/// The naive scheduler.
class NaiveAdapter : public Scheduler {
public:
  NaiveAdapter(const Fleet &Workers, std::size_t Passed);

  bool submit(const policy::QueuedJob &Job, Millis Now) override;
  void finish(const std::string &Job, Millis RealRun, Millis Now) override;
  std::vector<Decision> decide(Millis Now) override;
  Resources held() const override { return Held_; }

private:
  policy::NaiveScheduler Scheduler_;
  std::unordered_map<std::string, policy::NaiveStart> Running_;
  Resources Held_;
};

/// Adds the workers of a fleet to a ledger, listed and ready.
void addWorkers(policy::Ledger &Accounts, const Fleet &Workers);

} // namespace damaskglade::bench

#endif
