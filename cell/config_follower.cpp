#include "cell/config_follower.h"

#include "core/codec.h"

#include <algorithm>
#include <limits>

namespace damaskglade::cell {

namespace {

// Delay of the request after a failed one. It doubles with each failure, since
// the store charges rejected calls, and other nodes are asked meanwhile.
constexpr Millis MinRetryDelay{200};
constexpr Millis MaxRetryDelay{1000};
constexpr Millis FailureLogPeriod{1000};
// A version that another node has usually arrives from the store within this
// time, even on a slow node.
constexpr Millis StoreDelay{300};
// If the store has not confirmed the version for this long, other nodes are
// asked whether they have a newer one. Its long poll takes a second.
constexpr Millis MaxUnconfirmed{1500};
// How often other nodes are asked for a version that is known to exist, and
// whether there is one.
constexpr Millis KnownVersionPeriod{250};
constexpr Millis UnknownVersionPeriod{1000};
constexpr Millis PeerTimeout{1500};
// A node sends the configuration to one other node in this time. The others
// find one that has received it meanwhile.
constexpr Millis ServePeriod{50};
constexpr double MillisPerSecond = 1000;
constexpr double BytesPerKib = 1024;
// ConfirmedAt_ of a process that has had no confirmation yet, so that it does
// not count as current. Times and ages of this size can be added up.
constexpr Millis Never{std::numeric_limits<std::int64_t>::min() / 8};

} // namespace

bool shouldAskPeer(const ConfigKnowledge &Known, Millis Now) {
  if (Known.NewestVersion_ > Known.Version_)
    return Known.ReadsFail_ || Now >= Known.NewestHeardAt_ + StoreDelay;
  return Known.ReadsFail_ && Now >= Known.ConfirmedAt_ + MaxUnconfirmed;
}

ConfigFollower::ConfigFollower(const ConfigPorts &Ports, std::string OwnAddress,
                               ApplyHandler Apply, ConfirmHandler Confirm)
    : Ports_(Ports), OwnAddress_(std::move(OwnAddress)),
      Apply_(std::move(Apply)), Confirm_(std::move(Confirm)),
      Random_(static_cast<unsigned>(std::hash<std::string>()(OwnAddress_))) {}

void ConfigFollower::start() {
  StartedAt_ = now();
  Known_.ConfirmedAt_ = Never;
  ServedAt_ = now() - ServePeriod;
  request();
}

void ConfigFollower::noteVersion(std::int64_t Version,
                                 const std::string &Holder) {
  if (Version <= Known_.Version_ || Version < Known_.NewestVersion_)
    return;
  if (Version > Known_.NewestVersion_) {
    Known_.NewestVersion_ = Version;
    Known_.NewestHeardAt_ = now();
  }
  Holder_ = Holder;
  checkPeers();
}

void ConfigFollower::noteConfirmation(std::int64_t Version,
                                      Millis ConfirmedAt) {
  if (Version == Known_.Version_)
    confirm(std::min(ConfirmedAt, now()));
}

void ConfigFollower::confirm(Millis ConfirmedAt) {
  if (ConfirmedAt <= Known_.ConfirmedAt_)
    return;
  Known_.ConfirmedAt_ = ConfirmedAt;
  if (Confirm_)
    Confirm_(ConfirmedAt);
}

void ConfigFollower::setNodes(std::vector<std::string> Addresses) {
  Nodes_ = std::move(Addresses);
  std::erase(Nodes_, OwnAddress_);
}

void ConfigFollower::serve(const Json::Value &Params, const RpcReply &Reply) {
  if (!Params.isObject() || !Params["version"].isInt64())
    return Reply(
        invalidField("send configuration", "version", "is not a whole number"));
  Json::Value Body;
  Body["version"] = Json::Int64(Known_.Version_);
  Body["age_ms"] = Json::Int64((now() - Known_.ConfirmedAt_).Value_);
  if (!Config_ || Params["version"].asInt64() >= Known_.Version_)
    return Reply(std::move(Body));
  if (now() < ServedAt_ + ServePeriod)
    return Reply(Error{Reason::QueueFull, Effect::None, "send configuration",
                       OwnAddress_, "another node is being served"});
  ServedAt_ = now();
  Ports_.Metrics_.count("config_sent_to_peers");
  Body["text"] = Config_->Text_;
  Reply(std::move(Body));
}

void ConfigFollower::reportAge() const {
  Ports_.Metrics_.gauge(
      "config_age_seconds",
      static_cast<double>(
          (now() - std::max(Known_.ConfirmedAt_, StartedAt_)).Value_) /
          MillisPerSecond);
}

void ConfigFollower::request() {
  Ports_.Source_.next([this, SentAt = now()](const Result<ConfigRead> &Read) {
    handleRead(Read, SentAt);
  });
}

void ConfigFollower::requestAfter(Millis Delay) {
  Ports_.Timers_.after(Delay, [this] { request(); });
}

// A store that has always lost its history is read as seldom as one that fails,
// since each of these reads is of the whole configuration.
void ConfigFollower::handleRead(const Result<ConfigRead> &Read, Millis SentAt) {
  const bool Succeeded = Read && !Read.value().HistoryLost_;
  RetryDelay_ = Succeeded
                    ? Millis{}
                    : std::clamp(RetryDelay_ * 2, MinRetryDelay, MaxRetryDelay);
  if (!Read) {
    handleFailure(Read.error());
    return requestAfter(RetryDelay_);
  }
  endFailures();
  if (Read.value().HistoryLost_) {
    Ports_.Metrics_.count("config_history_lost");
    log(LogLevel::Info, "", "read again, history lost");
  }
  if (Read.value().Config_)
    take(Read.value().Config_, "store");
  const StoreClockReading Reading{SentAt, now(), Read.value().StoreClock_};
  if (Reading.StoreClock_ > Millis{})
    StoreClockLead_ = updateLead(StoreClockLead_, Reading);
  confirm(earliestWriteTime(StoreClockLead_, Reading));
  requestAfter(RetryDelay_);
}

void ConfigFollower::take(const SharedConfig &Config,
                          const std::string &Origin) {
  if (Config->Version_ <= Known_.Version_)
    return;
  Config_ = Config;
  Known_.Version_ = Config->Version_;
  Ports_.Metrics_.observe(
      "config_kib", static_cast<double>(Config->Text_.size()) / BytesPerKib);
  log(LogLevel::Info, Origin,
      "received, version=" + std::to_string(Config->Version_) +
          " bytes=" + std::to_string(Config->Text_.size()));
  Apply_(Config);
}

void ConfigFollower::handleFailure(const Error &Failure) {
  Ports_.Metrics_.countReason("config_read_failures", Failure.Reason_);
  Known_.ReadsFail_ = true;
  checkPeers();
  if (Failures_++ == 0)
    FailingSince_ = now();
  else if (now() < FailureLoggedAt_ + FailureLogPeriod)
    return;
  FailureLoggedAt_ = now();
  log(LogLevel::Warning, Failure.Peer_,
      "read failed, failures=" + std::to_string(Failures_) +
          " version=" + std::to_string(Known_.Version_) +
          " age_ms=" + std::to_string((now() - Known_.ConfirmedAt_).Value_) +
          ": " + describe(Failure));
}

void ConfigFollower::endFailures() {
  Known_.ReadsFail_ = false;
  if (Failures_ == 0)
    return;
  log(LogLevel::Info, "",
      "read works again, failures=" + std::to_string(Failures_) +
          " failed_ms=" + std::to_string((now() - FailingSince_).Value_));
  Failures_ = 0;
}

void ConfigFollower::checkPeers() {
  if (shouldAskPeer(Known_, now()) && !PeerCallOpen_) {
    const std::string Address = choosePeer();
    if (!Address.empty())
      askPeer(Address);
  }
  if (Known_.ReadsFail_ || Known_.NewestVersion_ > Known_.Version_)
    checkPeersLater();
}

void ConfigFollower::checkPeersLater() {
  if (std::exchange(PeerCheckOpen_, true))
    return;
  const bool IsKnown = Known_.NewestVersion_ > Known_.Version_;
  Ports_.Timers_.after(IsKnown ? KnownVersionPeriod : UnknownVersionPeriod,
                       [this] {
                         PeerCheckOpen_ = false;
                         checkPeers();
                       });
}

// The known holder is asked once. If it fails, or is busy, any other node may
// have received the version meanwhile.
std::string ConfigFollower::choosePeer() {
  if (Known_.NewestVersion_ > Known_.Version_ && !Holder_.empty())
    return std::exchange(Holder_, "");
  return Nodes_.empty() ? "" : Nodes_[Random_() % Nodes_.size()];
}

void ConfigFollower::askPeer(const std::string &Address) {
  PeerCallOpen_ = true;
  Json::Value Params;
  Params["version"] = Json::Int64(Known_.Version_);
  Ports_.Peers_.call(
      Address, "config.get", Params, PeerTimeout,
      [this, Address, SentAt = now()](const Result<Json::Value> &Reply) {
        PeerCallOpen_ = false;
        handlePeerReply(Reply, Address, SentAt);
      });
}

void ConfigFollower::handlePeerReply(const Result<Json::Value> &Reply,
                                     const std::string &Address,
                                     Millis SentAt) {
  const Status Taken = Reply ? takePeerReply(Reply.value(), Address, SentAt)
                             : Status(Reply.error());
  if (Taken)
    return;
  Ports_.Metrics_.countReason("config_peer_failures", Taken.error().Reason_);
  log(LogLevel::Warning, Address,
      "not received from another node: " + describe(Taken.error()));
}

// The node has told its age after the call was sent, so its confirmation is not
// older than that.
Status ConfigFollower::takePeerReply(const Json::Value &Reply,
                                     const std::string &Address,
                                     Millis SentAt) {
  if (!Reply.isObject() || !Reply["version"].isInt64() ||
      !Reply["age_ms"].isInt64() || Reply["age_ms"].asInt64() < 0)
    return invalidField("receive configuration", Address,
                        "has no version or no age");
  if (Reply["text"].isString()) {
    BOOST_OUTCOME_TRY(Config, Ports_.Source_.decode(Reply["text"].asString()));
    take(Config, Address);
  }
  noteConfirmation(Reply["version"].asInt64(),
                   SentAt - Millis{Reply["age_ms"].asInt64()});
  return success();
}

void ConfigFollower::log(LogLevel Level, const std::string &Peer,
                         const std::string &Message) const {
  Ports_.Log_.write(LogEvent{Level, Message, "", "configuration", Peer});
}

} // namespace damaskglade::cell
