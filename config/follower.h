#ifndef DAMASKGLADE_CONFIG_FOLLOWER_H
#define DAMASKGLADE_CONFIG_FOLLOWER_H

#include "config/settings.h"
#include "config/version_store.h"
#include "core/thread.h"
#include "ports/metrics_sink.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace damaskglade::config {

struct FollowerOptions {
  Millis PollEvery_{2000};
  Millis CallTimeout_{1000}; ///< Of one call to table, object store or peer.
};

/// Version and hash that are in force on a node.
struct VersionInForce {
  std::int64_t Version_ = 0; ///< 0: the defaults, or nothing yet.
  std::string Hash_;

  friend bool operator==(const VersionInForce &,
                         const VersionInForce &) = default;
};

/// Keeps a node at the newest configuration version that it has learned of.
/// Safe to call from several threads.
class Follower {
public:
  /// Fetches the body with the given hash from some peer.
  using PeerFetch =
      std::function<Result<std::string>(const std::string &Hash, Millis)>;

  Follower(FollowerOptions Options, VersionStore &Versions, PeerFetch Fetch,
           const Clock &Time, MetricsSink &Metrics);
  ~Follower();
  Follower(const Follower &) = delete;
  Follower &operator=(const Follower &) = delete;

  void start();
  void stop();

  /// A version that a peer has in force, or that has been pushed through this
  /// node. Returns at once; the follower's thread fetches it.
  void offer(std::int64_t Version, const std::string &Hash);

  /// Settings in force: the defaults as version 0 if the table says that none
  /// has been pushed; null as long as nothing is known, when the node is not
  /// ready.
  std::shared_ptr<const CellSettings> current() const;
  std::int64_t version() const;
  VersionInForce inForce() const;

  /// Canonical text with the given hash, for peers; only that in force.
  std::optional<std::string> body(const std::string &Hash) const;

  /// The latest reason why a newer version is not in force; empty if none.
  std::string problem() const;

  /// One round of polling and fetching, as the thread does it.
  void pollOnce();

private:
  void run();
  void pollPointer();
  void fetchNewest();
  bool fetch(const VersionInForce &Next);
  Result<std::string> fetchBody(const std::string &Hash);
  bool apply(const VersionInForce &Next, const std::string &Text);
  void reportProblem(const std::string &Text);

  const FollowerOptions Options_;
  VersionStore &Versions_;
  const PeerFetch Fetch_;
  const Clock &Time_;
  MetricsSink &Metrics_;

  mutable Mutex Mutex_;
  Condition Wake_;
  std::shared_ptr<const CellSettings> Current_;
  VersionInForce InForce_;
  std::string Body_;
  VersionInForce Newest_;    ///< Highest version heard of.
  VersionInForce Confirmed_; ///< Highest version seen in the table.
  std::string Problem_;
  bool Offered_ = false; ///< Newest_ was raised since the last round.
  bool Started_ = false;
  bool Stopping_ = false;
  Thread Thread_;
};

} // namespace damaskglade::config

#endif
