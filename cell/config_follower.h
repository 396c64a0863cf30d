#ifndef DAMASKGLADE_CELL_CONFIG_FOLLOWER_H
#define DAMASKGLADE_CELL_CONFIG_FOLLOWER_H

#include "cell/rpc.h"
#include "cell/store_clock.h"
#include "core/clock.h"
#include "ports/async_http.h"
#include "ports/cell_sources.h"
#include "ports/event_log.h"
#include "ports/metrics_sink.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::cell {

/// Clock, services and outputs that a configuration follower uses. All
/// callbacks run on one event loop, which need not be that of the node.
struct ConfigPorts {
  const Clock &Clock_;
  TimerService &Timers_;
  ConfigSource &Source_;
  RpcClient &Peers_;
  EventLog &Log_;
  MetricsSink &Metrics_;
};

/// What a node knows about newer versions of its configuration.
struct ConfigKnowledge {
  std::int64_t Version_ = 0;       ///< Of the newest one received; zero: none.
  std::int64_t NewestVersion_ = 0; ///< The highest that another node has.
  Millis NewestHeardAt_{};         ///< When that was first heard.
  /// A time at which the store is known to have had no newer version. Never
  /// later than that, whatever the delay of the reply that has told it.
  Millis ConfirmedAt_{};
  bool ReadsFail_ = false; ///< The last read of the store failed.

  friend bool operator==(const ConfigKnowledge &,
                         const ConfigKnowledge &) = default;
};

/// Whether to ask another node for the configuration: the store does not
/// deliver a version that another node has, or has not answered for a while.
bool shouldAskPeer(const ConfigKnowledge &Known, Millis Now);

/// Keeps the configuration of a node current, and tells how old it is. Reads it
/// from the store, and from other nodes while the store does not serve this
/// one. The version never goes back.
class ConfigFollower {
public:
  using ApplyHandler = std::function<void(const SharedConfig &)>;
  using ConfirmHandler = std::function<void(Millis ConfirmedAt)>;

  /// Apply is called with each newer version, and Confirm each time that the
  /// version that was applied last is known to be the newest one at a later
  /// time, on the clock of the ports.
  ConfigFollower(const ConfigPorts &Ports, std::string OwnAddress,
                 ApplyHandler Apply, ConfirmHandler Confirm = {});

  void start();
  /// Another node has this version in force.
  void noteVersion(std::int64_t Version, const std::string &Holder);
  /// Another node knows that the store had no newer version than this one at
  /// the given time.
  void noteConfirmation(std::int64_t Version, Millis ConfirmedAt);
  /// Sets the addresses of the nodes that can be asked. May list this one.
  void setNodes(std::vector<std::string> Addresses);
  /// Handles the call "config.get" of another node. Errors: invalid_field;
  /// queue_full while the configuration is sent to others.
  void serve(const Json::Value &Params, const RpcReply &Reply);
  /// Updates the gauge of the time since the version was last confirmed to be
  /// the newest one.
  void reportAge() const;
  const ConfigKnowledge &knowledge() const { return Known_; }

private:
  Millis now() const { return Ports_.Clock_.monotonic(); }
  void request();
  void requestAfter(Millis Delay);
  void handleRead(const Result<ConfigRead> &Read, Millis SentAt);
  void confirm(Millis ConfirmedAt);
  void handleFailure(const Error &Failure);
  void endFailures();
  /// Takes a configuration over unless it is older than the newest one.
  void take(const SharedConfig &Config, const std::string &Origin);
  void checkPeers();
  void checkPeersLater();
  std::string choosePeer();
  void askPeer(const std::string &Address);
  void handlePeerReply(const Result<Json::Value> &Reply,
                       const std::string &Address, Millis SentAt);
  Status takePeerReply(const Json::Value &Reply, const std::string &Address,
                       Millis SentAt);
  void log(LogLevel Level, const std::string &Peer,
           const std::string &Message) const;

  const ConfigPorts Ports_;
  const std::string OwnAddress_;
  const ApplyHandler Apply_;
  const ConfirmHandler Confirm_;
  SharedConfig Config_;
  std::optional<StoreClockLead> StoreClockLead_;
  Millis StartedAt_{};
  ConfigKnowledge Known_;
  Millis FailingSince_{};
  Millis FailureLoggedAt_{};
  int Failures_ = 0;    ///< In a row.
  Millis RetryDelay_{}; ///< Of the next request that follows a failure.
  std::vector<std::string> Nodes_;
  std::string Holder_; ///< A node that has the newest known version, or empty.
  Millis ServedAt_{};
  bool PeerCallOpen_ = false;
  bool PeerCheckOpen_ = false;
  std::minstd_rand Random_;
};

} // namespace damaskglade::cell

#endif
