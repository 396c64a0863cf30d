#include "node/node.h"

#include "core/codec.h"
#include "node/job_json.h"

namespace damaskglade::node {

namespace {

constexpr Millis HeartbeatInterval{2000};
constexpr Millis RouteRefreshInterval{500};
constexpr Millis VmListInterval{1000};
constexpr Millis PeerTimeout{1000};
constexpr Millis RowTimeout{2000};
// Longer than the longest time for which a request of a caller may wait.
constexpr Millis MaxDrainTime{65000};
constexpr Millis DrainPollInterval{20};

class InProgressGuard {
public:
  explicit InProgressGuard(std::atomic<std::int64_t> &Count) : Count_(Count) {
    ++Count_;
  }
  ~InProgressGuard() { --Count_; }
  InProgressGuard(const InProgressGuard &) = delete;
  InProgressGuard &operator=(const InProgressGuard &) = delete;

private:
  std::atomic<std::int64_t> &Count_;
};

bool acceptsNewWork(const HttpRequest &Request) {
  return Request.Path_ == "/v1/jobs" && Request.Method_ == "POST";
}

} // namespace

Node::Node(NodeOptions Options, Services &Ports, TableStore &Table,
           ObjectStore &Objects, VmList &Vms)
    : Options_(std::move(Options)), Ports_(Ports),
      CachedVms_(Vms, Ports.Clock_),
      Routes_(Options_.Identity_.Id_,
              static_cast<std::uint64_t>(Ports.Clock_.wall().Value_)),
      Store_(Options_.Store_, Table, Ports.Clock_, Ports.Metrics_),
      Ownership_(
          ownership::AgentOptions{
              Options_.Identity_.Id_, Options_.Identity_.Zone_,
              Options_.Identity_.Address_, Options_.Protocol_},
          Table, CachedVms_, Ports.Clock_,
          [&Ports](const std::string &Address,
                   const std::string &Message) -> Result<std::string> {
            BOOST_OUTCOME_TRY(Value, parseJson(Message, "ownership"));
            BOOST_OUTCOME_TRY(Reply, Ports.Peers_.call(Address, "ownership",
                                                       Value, PeerTimeout));
            return writeJson(Reply);
          }),
      Owner_(Options_.Identity_, Options_.Owner_, Ports, Ownership_,
             CachedVms_),
      Gateway_(Options_.Identity_.Id_, Ports, Owner_, Routes_),
      Home_(Options_.Identity_, Options_.Home_, Ports, Store_, Gateway_, Owner_,
            Routes_, [this] { return Ownership_.incarnation(); }),
      Lookups_(Options_.Identity_, Options_.Lookups_, Ports, Gateway_, Owner_,
               Routes_),
      Jobs_(Options_.Identity_, Ports, Home_, Lookups_, Store_, Routes_),
      Versions_(Table, Objects, Ports.Clock_, Options_.Identity_.Id_),
      Follower_(
          config::FollowerOptions{}, Versions_,
          [this](const std::string &Hash, Millis Timeout) {
            return fetchConfigBody(Hash, Timeout);
          },
          Ports.Clock_, Ports.Metrics_),
      ConfigApi_(Ports, Versions_, Follower_),
      CallerApi_(Options_.Identity_, Ports, Jobs_, Owner_, Routes_, Ownership_,
                 ConfigApi_),
      PeerApi_(Ports, Owner_, Home_, Routes_, Ownership_, Follower_,
               [this] { return makeHeartbeat(); }),
      Recovery_(Options_.Identity_, Ports, Store_, Home_, Ownership_) {}

Node::~Node() = default;

void Node::start() {
  VmListThread_ = Thread([this] { runVmListRefresh(); });
  Store_.start();
  Follower_.start();
  Ownership_.start();
  Owner_.start([this](const EndedTask &Ended) { return notifyHome(Ended); });
  Home_.start();
  Recovery_.start();
  HeartbeatThread_ = Thread([this] { runHeartbeats(); });
}

void Node::stop() {
  Leaving_ = true;
  sendHeartbeats();
  const Millis End = Ports_.Clock_.monotonic() + MaxDrainTime;
  while (InProgress_ > 0 && Ports_.Clock_.monotonic() < End)
    sleepFor(DrainPollInterval);
  Recovery_.stop();
  Home_.stop();
  Store_.stop();
  Owner_.stop();
  Ownership_.stop();
  Follower_.stop();
  Stopping_ = true;
  HeartbeatThread_.join();
  VmListThread_.join();
}

Heartbeat Node::makeHeartbeat() const {
  Heartbeat Message;
  Message.Headroom_ = Owner_.headroom();
  const config::VersionInForce Version = Follower_.inForce();
  Message.ConfigVersion_ = Version.Version_;
  Message.ConfigHash_ = Version.Hash_;
  Message.Leaving_ = Leaving_;
  return Message;
}

void Node::runVmListRefresh() {
  while (!Stopping_) {
    const auto Fetched = CachedVms_.list(PeerTimeout);
    if (!Fetched)
      Ports_.Metrics_.countRetry(Fetched.error().Reason_);
    sleepFor(VmListInterval);
  }
}

void Node::runHeartbeats() {
  Millis NextHeartbeat{};
  while (!Stopping_) {
    Routes_.setNodes(Ownership_.nodes());
    Routes_.setShards(Ownership_.shards());
    applySettings();
    const Millis Now = Ports_.Clock_.monotonic();
    if (Now >= NextHeartbeat) {
      NextHeartbeat = Now + HeartbeatInterval;
      sendHeartbeats();
    }
    sleepFor(RouteRefreshInterval);
  }
}

void Node::sendHeartbeats() {
  const Json::Value Message = encode(makeHeartbeat());
  for (const PeerState &Peer : Routes_.peers()) {
    // The reply is a heartbeat too, so in each pair only the node with the
    // lower id calls. A leaving node notifies all peers itself.
    if (!Leaving_ && Peer.Id_ < Options_.Identity_.Id_)
      continue;
    const auto Reply =
        Ports_.Peers_.call(Peer.Address_, "heartbeat", Message, PeerTimeout);
    if (!Reply) {
      Ports_.Metrics_.countRetry(Reply.error().Reason_);
      continue;
    }
    const auto Received = decodeHeartbeat(Reply.value());
    if (!Received)
      continue;
    Routes_.recordHeartbeat(Received.value(), Ports_.Clock_.monotonic());
    Follower_.offer(Received.value().ConfigVersion_,
                    Received.value().ConfigHash_);
  }
}

Result<std::string> Node::fetchConfigBody(const std::string &Hash,
                                          Millis Timeout) {
  Json::Value Query;
  Query["hash"] = Hash;
  for (const PeerState &Peer : Routes_.peers()) {
    const auto Reply =
        Ports_.Peers_.call(Peer.Address_, "configBody", Query, Timeout);
    if (Reply && Reply.value()["text"].isString())
      return Reply.value()["text"].asString();
  }
  return Error{Reason::NotFound, Effect::None, "fetch configuration", "",
               "no peer has the content of the version"};
}

void Node::applySettings() {
  const std::int64_t Version = Follower_.version();
  const auto Current = Follower_.current();
  if (!Current || Version == AppliedVersion_)
    return;
  Owner_.applySettings(*Current);
  Home_.applySettings(*Current);
  Lookups_.applySettings(*Current);
  AppliedVersion_ = Version;
  Ports_.Metrics_.gauge("config_version", static_cast<double>(Version));
  Ports_.Log_.write(LogEvent{LogLevel::Info,
                             "configuration version " +
                                 std::to_string(Version) + " is in force",
                             "", "apply configuration", ""});
}

bool Node::isReady() const {
  return Ownership_.isReady() && Follower_.current() != nullptr && !Leaving_;
}

std::string Node::findHome(const EndedTask &Ended, bool &NoticeNotNeeded) {
  if (!Ended.Home_.empty())
    return Ended.Home_;
  const auto Row = Store_.read(Ended.Job_, RowTimeout);
  if (!Row)
    return {};
  NoticeNotNeeded = !Row.value() || isFinal(Row.value()->State_);
  return Row.value() ? Row.value()->Home_ : std::string();
}

bool Node::notifyHome(const EndedTask &Ended) {
  bool NoticeNotNeeded = false;
  const std::string Home = findHome(Ended, NoticeNotNeeded);
  if (NoticeNotNeeded)
    return true;
  if (Home.empty())
    return false;
  if (Home == Options_.Identity_.Id_)
    return Home_.finish(Ended.Attempt_, Ended.Status_);
  const std::string Address = Routes_.addressOf(Home);
  if (Address.empty())
    return false;
  // Includes the write of the home to the table.
  constexpr Millis FinishTimeout{5000};
  const auto Reply = Ports_.Peers_.call(
      Address, "finished",
      encode(FinishedNotice{Ended.Attempt_, Ended.Status_}), FinishTimeout);
  return Reply && Reply.value()["recorded"].asBool();
}

HttpReply Node::handle(const HttpRequest &Request) {
  constexpr int Ok = 200;
  constexpr int Unavailable = 503;
  if (Request.Path_ == "/healthz")
    return HttpReply{Ok, "ok\n", "text/plain"};
  if (Request.Path_ == "/readyz") {
    const bool Ready = isReady();
    return HttpReply{Ready ? Ok : Unavailable,
                     Ready ? "ready\n" : "not ready\n", "text/plain"};
  }
  const InProgressGuard Guard(InProgress_);
  if (Leaving_ && acceptsNewWork(Request)) {
    Ports_.Metrics_.countRefusal(Reason::ShuttingDown);
    return errorReply(Error{Reason::ShuttingDown, Effect::None,
                            "accept request", Options_.Identity_.Id_,
                            "this node is shutting down; use another one",
                            Millis{100}});
  }
  return CallerApi_.handle(Request);
}

Result<Json::Value> Node::handlePeer(const std::string &From,
                                     const std::string &Method,
                                     const Json::Value &Message) {
  const InProgressGuard Guard(InProgress_);
  return PeerApi_.handle(From, Method, Message);
}

} // namespace damaskglade::node
