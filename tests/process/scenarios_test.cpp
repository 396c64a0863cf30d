#include "tests/process/scenario.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>

using namespace damaskglade;
using namespace damaskglade::process_tests;

namespace {

// Lease time plus 2 s, from the table of targets.
constexpr Millis TakeoverTarget{6000};
// Time until a leaving worker receives no more work.
constexpr Millis LeavingTarget{3000};
constexpr Millis After{4000};
// Until the load balancer's health check drops a node.
constexpr Millis HealthCheck{1000};

void killOwner(Scenario &Run, const std::string &Zone) {
  NodeSlot &Victim = Run.ownerIn(Zone);
  Victim.Process_->kill();
  const Millis Start = Run.now();
  sleepFor(HealthCheck);
  Run.cluster().entries().remove(Victim.address());
  Run.cluster().publishVms();
  Run.awaitTakeover(Victim, Millis{40000});
  const Millis Took = Run.now() - Start;
  std::printf("takeover of %s after %lld ms (target %lld ms)\n",
              Victim.Id_.c_str(), static_cast<long long>(Took.Value_),
              static_cast<long long>(TakeoverTarget.Value_));
  BOOST_CHECK_MESSAGE(Took <= TakeoverTarget,
                      "takeover took " << Took.Value_ << " ms");
}

/// Cuts a zone for a while; what is cut is chosen by the two flags.
void runZoneCut(const std::string &Name, bool Platform, bool Zones) {
  Scenario Run(Name);
  Run.begin();
  const std::string Zone = Run.cluster().zones()[1];
  Run.markFaultStart();
  if (Platform)
    Run.cluster().cutFromPlatform(Zone, true);
  if (Zones)
    Run.cluster().cutFromZones(Zone, true);
  // Longer than the ownership lease and its margins.
  sleepFor(stretched(Millis{8000}));
  Run.cluster().cutFromPlatform(Zone, false);
  Run.cluster().cutFromZones(Zone, false);
  Run.markFaultEnd();
  sleepFor(stretched(After));
  Run.finish();
  // The zone's own workers and entry nodes are still connected, so lookups
  // inside it go on.
  std::size_t Lookups = 0;
  std::size_t Served = 0;
  for (const JobResult &Job : Run.jobs())
    if (Job.Spec_.Class_ == TaskClass::Lookup) {
      ++Lookups;
      Served += Job.Final_ && Job.State_ == JobState::Finished ? 1U : 0U;
    }
  BOOST_TEST(Served * 100 >= Lookups * 95);
}

void runTableFault(const std::string &Name, const std::string &Fault,
                   Millis Time) {
  Scenario Run(Name);
  Run.begin();
  Run.markFaultStart();
  Run.cluster().setTableFault(Fault);
  sleepFor(stretched(Time));
  Run.cluster().setTableFault("{}");
  Run.markFaultEnd();
  sleepFor(stretched(After));
  Run.finish();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Scenarios)

// Guards against work that is lost or run twice when an owner dies, and
// against a takeover later than lease time plus 2 s.
BOOST_AUTO_TEST_CASE(KillOwner) {
  Scenario Run("kill_owner");
  Run.begin();
  Run.markFaultStart();
  killOwner(Run, Run.cluster().zones()[0]);
  Run.markFaultEnd();
  sleepFor(stretched(After));
  Run.finish();
}

// Guards against accepted jobs that nobody drives after their home has died,
// and against a second run of those that were running at that moment.
BOOST_AUTO_TEST_CASE(KillHomeOfOpenJobs) {
  Scenario Run("kill_home");
  Run.begin();
  const std::string Zone = Run.cluster().zones()[0];
  NodeSlot &Victim = Run.ownerIn(Zone);
  Run.submitThrough(Victim, 24, Millis{5000});
  Run.markFaultStart();
  killOwner(Run, Zone);
  Run.markFaultEnd();
  sleepFor(stretched(After));
  Run.finish();
}

// Guards against a paused owner that grants after its lease has ended and
// another node has taken its shards.
BOOST_AUTO_TEST_CASE(PauseOwnerPastLease) {
  Scenario Run("pause_owner");
  Run.begin();
  NodeSlot &Victim = Run.ownerIn(Run.cluster().zones()[0]);
  Run.markFaultStart();
  Victim.Process_->signal(SIGSTOP);
  sleepFor(HealthCheck);
  Run.cluster().entries().remove(Victim.address());
  // In the long form this also passes the run leases of 30 s.
  sleepFor(stretched(Millis{8000}));
  Victim.Process_->signal(SIGCONT);
  Run.markFaultEnd();
  BOOST_TEST(Run.cluster().waitUntilReady(Victim, Millis{30000}));
  Run.cluster().entries().add(Victim.Zone_, Victim.address());
  sleepFor(stretched(After));
  Run.finish();
}

// Guards against two owners of one shard when only one side sees the table.
BOOST_AUTO_TEST_CASE(ZoneCutFromPlatform) {
  runZoneCut("zone_cut_from_platform", true, false);
}

BOOST_AUTO_TEST_CASE(ZoneCutFromZones) {
  runZoneCut("zone_cut_from_zones", false, true);
}

BOOST_AUTO_TEST_CASE(ZoneCutFromBoth) {
  runZoneCut("zone_cut_from_both", true, true);
}

// Guards against accepted work that is lost while the table is down.
BOOST_AUTO_TEST_CASE(TableDown) {
  runTableFault("table_down", R"({"down":true})", Millis{8000});
}

BOOST_AUTO_TEST_CASE(TableSlow) {
  runTableFault("table_slow", R"({"delay_ms":800})", Millis{8000});
}

// Guards against writes whose lost answer is taken for "not applied".
BOOST_AUTO_TEST_CASE(TableDropsAnswers) {
  runTableFault("table_drops_answers",
                R"({"drop_answers":0.3,"late_write_ms":200})", Millis{8000});
}

// Guards against requests that a planned stop interrupts.
BOOST_AUTO_TEST_CASE(RollingReplacement) {
  Scenario Run("rolling_replacement");
  Run.begin();
  Run.markFaultStart();
  const std::size_t Count = Run.cluster().nodes().size() / 2;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    NodeSlot &Old = Run.cluster().nodes()[Index];
    NodeSlot &New = Run.cluster().addReplacement(Old.Zone_);
    Run.cluster().startNode(New);
    Run.cluster().publishVms();
    BOOST_TEST(Run.cluster().waitUntilReady(New, Millis{60000}));
    Run.cluster().entries().remove(Old.address());
    Old.Process_->signal(SIGTERM);
    BOOST_TEST(Old.Process_->waitForEnd(Millis{75000}));
    BOOST_TEST(Old.Process_->exitCode() == 0);
    Run.cluster().publishVms();
  }
  Run.markFaultEnd();
  sleepFor(stretched(After));
  const Summary Figures = Run.finish();
  BOOST_TEST(Figures.Refused_ + Figures.Unknown_ == 0U);
  const auto Interrupted =
      std::count_if(Run.jobs().begin(), Run.jobs().end(),
                    [](const JobResult &Job) { return Job.Ambiguous_; });
  BOOST_TEST(Interrupted == 0);
}

// Guards against work that is sent to a leaving worker because the VM list
// still names it as live.
BOOST_AUTO_TEST_CASE(LeavingWorkerWithLaggingList) {
  ClusterOptions Options;
  Options.VmLag_ = Millis{20000};
  Scenario Run("leaving_worker", Options);
  Run.begin();
  Run.markFaultStart();
  WorkerSlot &Worker = Run.cluster().workers()[0];
  Run.cluster().setWorkerFault(Worker, R"({"leaving":true})");
  const Millis Left = Run.now();
  Worker.Leaving_ = true;
  Run.cluster().publishVms();
  sleepFor(stretched(Millis{8000}));
  Run.markFaultEnd();
  Run.finish();
  for (const WorkerLog &Log : Run.cluster().workerLogs())
    if (Log.Worker_ == Worker.Id_)
      for (const LogEntry &Late : startsAfter(Log, Left + LeavingTarget))
        BOOST_ERROR("start of " << Late.Attempt_ << " (" << Late.Event_ << ") "
                                << (Late.Time_ - Left).Value_
                                << " ms after the worker began to leave");
}

// Guards against faults that are survived alone but not together.
BOOST_AUTO_TEST_CASE(KillOwnerWhileTableDropsAnswers) {
  Scenario Run("kill_owner_while_table_drops_answers");
  Run.begin();
  Run.markFaultStart();
  Run.cluster().setTableFault(R"({"drop_answers":0.3})");
  NodeSlot &Victim = Run.ownerIn(Run.cluster().zones()[0]);
  Victim.Process_->kill();
  sleepFor(HealthCheck);
  Run.cluster().entries().remove(Victim.address());
  Run.cluster().publishVms();
  sleepFor(stretched(Millis{8000}));
  Run.cluster().setTableFault("{}");
  Run.markFaultEnd();
  Run.awaitTakeover(Victim, Millis{40000});
  sleepFor(stretched(After));
  Run.finish();
}

BOOST_AUTO_TEST_SUITE_END()
