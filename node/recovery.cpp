#include "node/recovery.h"

#include "node/election.h"
#include "records/job_row.h"

namespace damaskglade::node {

namespace {

constexpr Millis RecoveryInterval{1000};
constexpr Millis ListTimeout{4000};
// A home without unfinished jobs is listed again, because one of its last
// writes may take effect late. Listing it on every pass would cost one read per
// second for each of the 190 nodes that are replaced per day.
constexpr Millis RescanInterval{60000};

} // namespace

void Recovery::start() {
  Thread_ = Thread([this] {
    while (!Stopping_) {
      recoverOnce();
      sleepFor(RecoveryInterval);
    }
  });
}

void Recovery::stop() {
  Stopping_ = true;
  Thread_.join();
}

bool Recovery::isElectedFor(
    const std::string &DeadNode,
    const std::vector<ownership::NodeInfo> &Nodes) const {
  std::vector<std::string> Live;
  for (const ownership::NodeInfo &Node : Nodes)
    if (Node.Live_ && Node.Id_ != DeadNode)
      Live.push_back(Node.Id_);
  return elect(DeadNode, Live) == Self_.Id_;
}

void Recovery::recoverOnce() {
  if (!Ownership_.isReady())
    return;
  adoptJobsOfThisNode();
  const std::vector<ownership::NodeInfo> Nodes = Ownership_.nodes();
  for (const ownership::NodeInfo &Node : Nodes) {
    if (Stopping_)
      return;
    if (!Node.Live_ && Node.Id_ != Self_.Id_ && isElectedFor(Node.Id_, Nodes))
      adoptJobsOf(Node);
  }
}

bool Recovery::isScanDue(const std::string &HomeKey) {
  const auto Found = NextScan_.find(HomeKey);
  return Found == NextScan_.end() || Ports_.Clock_.monotonic() >= Found->second;
}

void Recovery::adoptJobsOf(const ownership::NodeInfo &DeadNode) {
  const std::string HomeKey =
      DeadNode.Id_ + "/" + std::to_string(DeadNode.Incarnation_);
  if (!isScanDue(HomeKey))
    return;
  const auto Jobs =
      Store_.listByHome(DeadNode.Id_, records::AnyIncarnation, ListTimeout);
  if (!Jobs) {
    Ports_.Log_.write(failureEvent(Jobs.error(), ""));
    return;
  }
  if (Jobs.value().empty())
    NextScan_[HomeKey] = Ports_.Clock_.monotonic() + RescanInterval;
  for (const JobRecord &Job : Jobs.value()) {
    if (Stopping_)
      return;
    if (Home_.adopt(Job))
      Ports_.Log_.write(LogEvent{LogLevel::Info, "adopted job", Job.Id_,
                                 "recover jobs", DeadNode.Id_});
  }
}

// Adopts rows of earlier incarnations of this node, and rows that were written
// without this node learning of it.
void Recovery::adoptJobsOfThisNode() {
  if (!isScanDue(Self_.Id_))
    return;
  const auto Jobs =
      Store_.listByHome(Self_.Id_, records::AnyIncarnation, ListTimeout);
  if (!Jobs)
    return;
  NextScan_[Self_.Id_] = Ports_.Clock_.monotonic() + RescanInterval;
  for (const JobRecord &Job : Jobs.value())
    if (!Stopping_ && !Home_.find(Job.Id_))
      Home_.adopt(Job);
}

} // namespace damaskglade::node
