#include "node/recovery.h"

#include "node/election.h"
#include "records/job_row.h"

namespace damaskglade::node {

namespace {

constexpr Millis RecoveryInterval{1000};
constexpr Millis ListTimeout{4000};
// A home without open jobs is looked at again in case one of its last writes
// took effect late. Listing on every pass would cost a read a second for each
// of the 190 nodes that are replaced on a day.
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

bool Recovery::isElected(const std::string &Dead,
                         const std::vector<ownership::NodeInfo> &Nodes) const {
  std::vector<std::string> Live;
  for (const ownership::NodeInfo &Node : Nodes)
    if (Node.Live_ && Node.Id_ != Dead)
      Live.push_back(Node.Id_);
  return elect(Dead, Live) == Self_.Id_;
}

void Recovery::recoverOnce() {
  if (!Ownership_.isReady())
    return;
  adoptOwnJobs();
  const std::vector<ownership::NodeInfo> Nodes = Ownership_.nodes();
  for (const ownership::NodeInfo &Node : Nodes) {
    if (Stopping_)
      return;
    if (!Node.Live_ && Node.Id_ != Self_.Id_ && isElected(Node.Id_, Nodes))
      adoptJobsOf(Node);
  }
}

bool Recovery::isScanDue(const std::string &Home) {
  const auto Found = NextScan_.find(Home);
  return Found == NextScan_.end() || Ports_.Clock_.monotonic() >= Found->second;
}

void Recovery::adoptJobsOf(const ownership::NodeInfo &Dead) {
  const std::string Home = Dead.Id_ + "/" + std::to_string(Dead.Incarnation_);
  if (!isScanDue(Home))
    return;
  const auto Jobs =
      Store_.listByHome(Dead.Id_, records::AnyIncarnation, ListTimeout);
  if (!Jobs) {
    Ports_.Log_.write(failureEvent(Jobs.error(), ""));
    return;
  }
  if (Jobs.value().empty())
    NextScan_[Home] = Ports_.Clock_.monotonic() + RescanInterval;
  for (const JobRecord &Job : Jobs.value()) {
    if (Stopping_)
      return;
    if (Home_.adopt(Job))
      Ports_.Log_.write(LogEvent{LogLevel::Info, "adopted job", Job.Id_,
                                 "recover jobs", Dead.Id_});
  }
}

// Rows of an earlier incarnation of this node, and rows whose writer did not
// learn that they were written.
void Recovery::adoptOwnJobs() {
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
