#include "node/node.h"

#include "core/codec.h"
#include "node/job_json.h"

namespace damaskglade::node {

namespace {

constexpr Millis HeartbeatInterval{2000};
constexpr Millis RouteRefreshInterval{500};
constexpr Millis FleetInterval{1000};
constexpr Millis PeerTimeout{1000};
constexpr Millis RowTimeout{2000};
// Longer than the longest wait of a caller's connection.
constexpr Millis MaxDrainTime{65000};
constexpr Millis DrainPollInterval{20};

class Counted {
public:
  explicit Counted(std::atomic<std::int64_t> &Target) : Target_(Target) {
    ++Target_;
  }
  ~Counted() { --Target_; }
  Counted(const Counted &) = delete;
  Counted &operator=(const Counted &) = delete;

private:
  std::atomic<std::int64_t> &Target_;
};

bool acceptsNewWork(const HttpRequest &Request) {
  return Request.Path_ == "/v1/jobs" && Request.Method_ == "POST";
}

} // namespace

Node::Node(NodeOptions Options, Services &Ports, TableStore &Table,
           ObjectStore &Objects, VmList &Vms)
    : Options_(std::move(Options)), Ports_(Ports), Fleet_(Vms, Ports.Clock_),
      Routes_(Options_.Identity_.Id_,
              static_cast<std::uint64_t>(Ports.Clock_.wall().Value_)),
      Store_(Options_.Store_, Table, Ports.Clock_, Ports.Metrics_),
      Ownership_(
          ownership::AgentOptions{
              Options_.Identity_.Id_, Options_.Identity_.Zone_,
              Options_.Identity_.Address_, Options_.Protocol_},
          Table, Fleet_, Ports.Clock_,
          [&Ports](const std::string &Address,
                   const std::string &Message) -> Result<std::string> {
            BOOST_OUTCOME_TRY(Value, parseJson(Message, "ownership"));
            BOOST_OUTCOME_TRY(Reply, Ports.Peers_.call(Address, "ownership",
                                                       Value, PeerTimeout));
            return writeJson(Reply);
          }),
      Owner_(Options_.Identity_, Options_.Owner_, Ports, Ownership_, Fleet_),
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
      Config_(Ports, Versions_, Follower_),
      Callers_(Options_.Identity_, Ports, Jobs_, Owner_, Routes_, Ownership_,
               Config_),
      Peers_(Ports, Owner_, Home_, Routes_, Ownership_, Follower_,
             [this] { return ownHeartbeat(); }),
      Recovery_(Options_.Identity_, Ports, Store_, Home_, Ownership_) {}

Node::~Node() = default;

void Node::start() {
  FleetThread_ = Thread([this] { runFleetRefresh(); });
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
  beat();
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
  FleetThread_.join();
}

Heartbeat Node::ownHeartbeat() const {
  Heartbeat Own;
  Own.Headroom_ = Owner_.headroom();
  const config::VersionInForce Version = Follower_.inForce();
  Own.ConfigVersion_ = Version.Version_;
  Own.ConfigHash_ = Version.Hash_;
  Own.Leaving_ = Leaving_;
  return Own;
}

void Node::runFleetRefresh() {
  while (!Stopping_) {
    const auto Done = Fleet_.list(PeerTimeout);
    if (!Done)
      Ports_.Metrics_.countRetry(Done.error().Reason_);
    sleepFor(FleetInterval);
  }
}

void Node::runHeartbeats() {
  Millis Next{};
  while (!Stopping_) {
    Routes_.setNodes(Ownership_.nodes());
    Routes_.setShards(Ownership_.shards());
    applySettings();
    const Millis Now = Ports_.Clock_.monotonic();
    if (Now >= Next) {
      Next = Now + HeartbeatInterval;
      beat();
    }
    sleepFor(RouteRefreshInterval);
  }
}

void Node::beat() {
  const Json::Value Own = encode(ownHeartbeat());
  for (const PeerState &Peer : Routes_.peers()) {
    // One exchange carries both sides, so of each pair the lower id calls. A
    // leaving node tells everyone by itself.
    if (!Leaving_ && Peer.Id_ < Options_.Identity_.Id_)
      continue;
    const auto Reply =
        Ports_.Peers_.call(Peer.Address_, "heartbeat", Own, PeerTimeout);
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
               "no peer has the body of the version"};
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

std::string Node::findHome(const EndedTask &Ended, bool &Forget) {
  if (!Ended.Home_.empty())
    return Ended.Home_;
  const auto Row = Store_.read(Ended.Job_, RowTimeout);
  if (!Row)
    return {};
  Forget = !Row.value() || isFinal(Row.value()->State_);
  return Row.value() ? Row.value()->Home_ : std::string();
}

bool Node::notifyHome(const EndedTask &Ended) {
  bool Forget = false;
  const std::string Home = findHome(Ended, Forget);
  if (Forget)
    return true;
  if (Home.empty())
    return false;
  if (Home == Options_.Identity_.Id_)
    return Home_.finish(Ended.Attempt_, Ended.Status_);
  const std::string Address = Routes_.addressOf(Home);
  if (Address.empty())
    return false;
  // Covers the home's write to the table.
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
  const Counted InProgress(InProgress_);
  if (Leaving_ && acceptsNewWork(Request)) {
    Ports_.Metrics_.countRefusal(Reason::ShuttingDown);
    return errorReply(Error{Reason::ShuttingDown, Effect::None,
                            "accept request", Options_.Identity_.Id_,
                            "this node is shutting down; use another one",
                            Millis{100}});
  }
  return Callers_.handle(Request);
}

Result<Json::Value> Node::handlePeer(const std::string &From,
                                     const std::string &Method,
                                     const Json::Value &Message) {
  const Counted InProgress(InProgress_);
  return Peers_.handle(From, Method, Message);
}

} // namespace damaskglade::node
