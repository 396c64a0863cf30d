#ifndef DAMASKGLADE_CELL_GATEWAY_H
#define DAMASKGLADE_CELL_GATEWAY_H

#include "cell/access.h"
#include "cell/member.h"

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
  Millis Waited_{};        ///< How much of this may be over.
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
  /// The age of the configuration is told by AgeClock.
  Gateway(const CellPorts &Ports, std::shared_ptr<Member> Node,
          const AccessSettings &AccessRules, const Clock &AgeClock)
      : Ports_(Ports), Node_(std::move(Node)), AccessSettings_(AccessRules),
        AgeClock_(AgeClock) {}

  void setConfig(SharedConfig Config) { Config_ = std::move(Config); }
  /// The configuration that was set last is known to have been the newest one
  /// at this time.
  void setConfirmed(Millis ConfirmedAt) { ConfirmedAt_ = ConfirmedAt; }
  /// Time since then; empty before the first confirmation.
  std::optional<Millis> configAge() const;
  /// Null until the first one.
  const SharedConfig &config() const { return Config_; }
  /// Finds the route with the host and the longest matching path prefix; null
  /// if there is none.
  const QueueRoute *findRoute(const std::string &Host,
                              const std::string &Path) const;
  /// Decides whether a request with this API key may use the route, and counts
  /// the rejections.
  AccessDecision checkAccess(const QueueRoute &Route, const std::string &Key);
  void handle(const CallerRequest &Request, const CallerReply &Reply);

private:
  /// Counts and logs an error reply, and completes it.
  Error refuse(const CallerRequest &Request, Error Failure, Millis Start) const;

  const CellPorts Ports_;
  const std::shared_ptr<Member> Node_;
  const AccessSettings AccessSettings_;
  const Clock &AgeClock_;
  SharedConfig Config_;
  std::optional<Millis> ConfirmedAt_;
};

} // namespace damaskglade::cell

#endif
