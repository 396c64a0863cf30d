#ifndef DAMASKGLADE_NODE_RECOVERY_H
#define DAMASKGLADE_NODE_RECOVERY_H

#include "core/thread.h"
#include "node/job_home.h"

#include <atomic>
#include <map>
#include <string>

namespace damaskglade::node {

/// Adopts the unfinished jobs of nodes that have died or left.
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
  /// One pass over all homes; called by the thread.
  void recoverOnce();

private:
  bool isElected(const std::string &Dead,
                 const std::vector<ownership::NodeInfo> &Nodes) const;
  void adoptJobsOf(const ownership::NodeInfo &Dead);
  void adoptOwnJobs();
  bool isScanDue(const std::string &Home);

  const NodeIdentity Self_;
  Services &Ports_;
  records::JobStore &Store_;
  JobHome &Home_;
  ownership::Agent &Ownership_;
  std::map<std::string, Millis> NextScan_; ///< By home; monotonic.
  std::atomic<bool> Stopping_{false};
  Thread Thread_;
};

} // namespace damaskglade::node

#endif
