#ifndef DAMASKGLADE_NODE_RECOVERY_H
#define DAMASKGLADE_NODE_RECOVERY_H

#include "core/thread.h"
#include "node/job_home.h"

#include <atomic>
#include <map>
#include <string>

namespace damaskglade::node {

/// Adopts the unfinished jobs of nodes that have failed or left, and of earlier
/// incarnations of this node.
class Recovery {
public:
  Recovery(NodeIdentity Self, Services &Ports, records::JobStore &Store,
           JobHome &Home, ownership::Agent &Ownership)
      : Self_(std::move(Self)), Ports_(Ports), Store_(Store), Home_(Home),
        Ownership_(Ownership) {}
  ~Recovery() { stop(); }
  Recovery(const Recovery &) = delete;
  Recovery &operator=(const Recovery &) = delete;

  void start();
  void stop();
  /// Checks all homes once. The recovery thread calls it periodically.
  void recoverOnce();

private:
  bool isElectedFor(const std::string &DeadNode,
                    const std::vector<ownership::NodeInfo> &Nodes) const;
  void adoptJobsOf(const ownership::NodeInfo &DeadNode);
  void adoptJobsOfThisNode();
  bool isScanDue(const std::string &HomeKey);

  const NodeIdentity Self_;
  Services &Ports_;
  records::JobStore &Store_;
  JobHome &Home_;
  ownership::Agent &Ownership_;
  std::map<std::string, Millis> NextScan_; ///< Monotonic time, by home.
  std::atomic<bool> Stopping_{false};
  Thread Thread_;
};

} // namespace damaskglade::node

#endif
