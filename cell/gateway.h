#ifndef DAMASKGLADE_CELL_GATEWAY_H
#define DAMASKGLADE_CELL_GATEWAY_H

#include "cell/member.h"
#include "cell/share_rejections.h"

namespace damaskglade::cell {

/// Operation that a caller requests.
enum class CallerVerb { Submit, State, Cancel, CountPendingJobs };

/// A caller's request, independent of the HTTP interface.
struct CallerRequest {
  CallerVerb Verb_ = CallerVerb::State;
  std::string Queue_;
  std::string Id_;         ///< Job id; empty for CountPendingJobs.
  dispatch::JobSpec Spec_; ///< Only for submissions.
  Millis Timeout_{};       ///< How long the caller waits.
  std::string Workspace_;  ///< Of the caller's key; empty if none is needed.

  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

/// Reply to a caller's request.
struct CallerAnswer {
  dispatch::JobState State_ = dispatch::JobState::Queued; ///< Only for State.
  int PendingJobs_ = 0; ///< Only for CountPendingJobs.

  friend bool operator==(const CallerAnswer &, const CallerAnswer &) = default;
};

using CallerReply = std::function<void(const Result<CallerAnswer> &)>;

/// Accepts callers' requests at any node and forwards them to the leader.
class Gateway {
public:
  Gateway(const CellPorts &Ports, std::shared_ptr<Member> Node)
      : Ports_(Ports), Node_(std::move(Node)) {}

  void setConfig(SharedConfig Config) { Config_ = std::move(Config); }
  /// Null until the first one.
  const SharedConfig &config() const { return Config_; }
  /// Finds the route with the host and the longest matching path prefix; null
  /// if there is none.
  const QueueRoute *findRoute(const std::string &Host,
                              const std::string &Path) const;
  void handle(const CallerRequest &Request, const CallerReply &Reply);

private:
  /// Rejects a job of a workspace that is over its share, if the leader has
  /// told so. False if the job has to be sent to the leader.
  bool rejectOverShare(const CallerRequest &Request, const CallerReply &Reply);

  const CellPorts Ports_;
  const std::shared_ptr<Member> Node_;
  SharedConfig Config_;
  ShareRejections ShareRejections_;
};

} // namespace damaskglade::cell

#endif
