#ifndef DAMASKGLADE_CELL_GATEWAY_H
#define DAMASKGLADE_CELL_GATEWAY_H

#include "cell/member.h"

#include <optional>

namespace damaskglade::cell {

enum class CallerVerb { Submit, State, Cancel, Pending };

/// A caller's request in the product's own terms.
struct CallerRequest {
  CallerVerb Verb_ = CallerVerb::State;
  std::string Queue_;
  std::string Id_;
  dispatch::JobSpec Spec_; ///< Of a submission.
  Millis Timeout_{};       ///< How long the caller waits.

  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

/// What a caller is told.
struct CallerAnswer {
  dispatch::JobState State_ = dispatch::JobState::Queued;
  int Pending_ = 0;

  friend bool operator==(const CallerAnswer &, const CallerAnswer &) = default;
};

using CallerReply = std::function<void(const Result<CallerAnswer> &)>;

/// Takes callers' requests at any node and passes them on to the leader.
class Gateway {
public:
  Gateway(const CellPorts &Ports, std::shared_ptr<Member> Node)
      : Ports_(Ports), Node_(std::move(Node)) {}

  void setConfig(const CellConfig &Config) { Config_ = Config; }
  const std::optional<CellConfig> &config() const { return Config_; }
  /// The route of a request: its host and the longest path prefix.
  const QueueRoute *findRoute(const std::string &Host,
                              const std::string &Path) const;
  void handle(const CallerRequest &Request, const CallerReply &Reply);

private:
  const CellPorts Ports_;
  const std::shared_ptr<Member> Node_;
  std::optional<CellConfig> Config_;
};

} // namespace damaskglade::cell

#endif
