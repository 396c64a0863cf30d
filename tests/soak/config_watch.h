#ifndef DAMASKGLADE_TESTS_SOAK_CONFIG_WATCH_H
#define DAMASKGLADE_TESTS_SOAK_CONFIG_WATCH_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::soak {

/// Checks by which version of the configuration each node handles requests.
/// A version is known by the routes that it has.
class ConfigWatch {
public:
  /// How long a version may take to be in force on all nodes.
  static constexpr Millis ApplyLimit{4000};

  /// A version was acknowledged, with these routes beside the usual ones.
  void written(std::int64_t Version, std::set<std::string> Routes, Millis Now);
  /// A node has handled a request, sent at SentAt, by the presence of a route.
  void answered(const std::string &Node, const std::string &Route, bool IsThere,
                Millis SentAt);
  /// The node had another reason to be late until now: it was started, stopped,
  /// paused, or nothing could read the store.
  void excuse(const std::string &Node, Millis Now) {
    Nodes_[Node].ExcusedUntil_ = Now;
  }
  /// Another process serves the node from now on.
  void restarted(const std::string &Node, Millis Now);
  const std::vector<std::string> &findings() const { return Findings_; }
  std::int64_t answers() const { return Answers_; }
  std::size_t versions() const { return Versions_.size(); }

private:
  struct Version {
    std::set<std::string> Routes_;
    Millis WrittenAt_{};
  };
  struct Node {
    std::int64_t LeastVersion_ = 0; ///< That it is known to have.
    Millis RestartedAt_{};
    Millis ExcusedUntil_{};
  };

  /// The least version that a node must have for a request sent then.
  std::int64_t leastInTime(const Node &Each, Millis SentAt) const;

  std::map<std::int64_t, Version> Versions_;
  std::map<std::string, Node> Nodes_;
  std::vector<std::string> Findings_;
  std::int64_t Answers_ = 0;
};

} // namespace damaskglade::soak

#endif
