#ifndef DAMASKGLADE_TESTS_PROCESS_SCENARIO_H
#define DAMASKGLADE_TESTS_PROCESS_SCENARIO_H

#include "tests/process/cluster.h"
#include "tests/process/load.h"
#include "tests/process/report.h"

#include <memory>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

/// True for the long form, set by DAMASKGLADE_LONG=1.
bool isLongForm();
/// A duration that the long form multiplies.
Millis stretched(Millis Short);
/// Seed of a run, set by DAMASKGLADE_SEED; 1 by default.
std::uint64_t seedOfRun();

/// A run of a cluster under load with one fault window, judged at the end.
class Scenario {
public:
  explicit Scenario(std::string Name, ClusterOptions Options = {});
  ~Scenario();
  Scenario(const Scenario &) = delete;
  Scenario &operator=(const Scenario &) = delete;

  Cluster &cluster() { return Cluster_; }
  Millis now() const { return Clock_.wall(); }

  /// Starts the cluster, some services and the load, and lets it run.
  void begin();
  /// Submits batch work, non-idempotent requests and gangs of three through
  /// one node, which becomes their home. Their outcomes are judged at the end.
  void submitThrough(const NodeSlot &Home, std::size_t Count, Millis RunTime);
  void markFaultStart() { Window_.Start_ = Clock_.wall(); }
  void markFaultEnd() { Window_.End_ = Clock_.wall(); }
  /// Ends the load, judges the run and prints its figures. A violation fails
  /// the test.
  Summary finish();

  /// A running node that owns a shard of the zone; fails the test if none.
  NodeSlot &ownerIn(const std::string &Zone);
  /// Time until no shard is owned by the node any more; the timeout if some
  /// still are.
  Millis awaitTakeover(const NodeSlot &Lost, Millis Timeout);
  /// What the callers were told; valid after finish().
  const std::vector<JobResult> &jobs() const { return Jobs_; }

private:
  void startServices();
  void endServices();

  const std::string Name_;
  const std::uint64_t Seed_;
  SystemClock Clock_;
  Cluster Cluster_;
  drivers::HttpPool Pool_;
  Caller Caller_;
  std::unique_ptr<Load> Load_;
  std::vector<JobResult> Services_;
  std::vector<JobResult> Homed_; ///< From submitThrough().
  std::vector<JobResult> Jobs_;
  FaultWindow Window_;
  bool Passed_ = false;
};

} // namespace damaskglade::process_tests

#endif
