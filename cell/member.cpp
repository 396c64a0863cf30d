#include "cell/member.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis PingPeriod{400};
constexpr Millis PingTimeout{700};
// By then two pings in a row have failed.
constexpr Millis SilenceLimit{1300};
// Without a majority, the old leader may still be healthy, so it gets more
// time.
constexpr Millis MinoritySilenceLimit{6000};
// By then one ping has failed. The load balancer needs two failed checks before
// it stops sending requests to the node.
constexpr Millis ReadySilenceLimit{1000};
constexpr Millis LivenessTimeout{1500};
constexpr Millis HearsTimeout{450};
constexpr Millis OthersPollInterval{400};
constexpr Millis ElectionRetryDelay{100};
constexpr Millis HandOverInterval{500};
// A node that takes over needs about half a second to load all rows.
constexpr Millis StrongerNodeHandOverInterval{3000};
constexpr std::size_t NodesPerHandOverAttempt = 3;
constexpr Millis HandOverAttemptWindow{3000};
constexpr Millis TakeLeadTimeout{800};
constexpr int MaxJitterMillis = 120;

std::string encodeView(const CellSettings &Settings, std::int64_t Epoch,
                       const std::string &Incarnation) {
  Json::Value Row;
  Row["boot"] = Incarnation;
  Row["epoch"] = Json::Int64(Epoch);
  Row["node"] = Settings.Node_;
  Row["address"] = Settings.PeerListen_;
  return writeJson(Row);
}

Result<LeaderView> decodeView(const StoredRow &Row) {
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Value_, "decode leader row"));
  LeaderView View;
  View.Epoch_ = Value["epoch"].asInt64();
  View.Node_ = Value["node"].asString();
  View.Address_ = Value["address"].asString();
  View.Incarnation_ = Value["boot"].asString();
  View.Version_ = Row.Version_;
  return View;
}

} // namespace

bool shouldTakeOver(const ElectionInput &Input) {
  if (Input.ReachedByOtherNode_)
    return false;
  if (Input.DeniesLeadership_)
    return true;
  if (!Input.MajorityReached_)
    return Input.SilentFor_ > MinoritySilenceLimit;
  return Input.ConnectionRefused_ || Input.SilentFor_ > SilenceLimit;
}

Member::Member(const CellPorts &Ports, CellSettings Settings)
    : Ports_(Ports), Settings_(std::move(Settings)),
      Incarnation_(Settings_.PeerListen_ + '/' +
                   std::to_string(Ports.Clock_.wall().Value_)),
      Random_(static_cast<unsigned>(
          std::hash<std::string>()(Settings_.PeerListen_))) {}

void Member::start() {
  Started_ = true;
  LeaderHeardAt_ = now();
  SuspectedAt_ = now();
  tick();
}

void Member::setConfig(const CellConfig &Config) {
  Config_ = Config;
  if (Leader_)
    Leader_->setConfig(Config);
}

bool Member::ready() const {
  if (Resigned_ || !Config_)
    return false;
  if (isLeader())
    return Leader_->active();
  return View_.Epoch_ > 0 && now() < LeaderHeardAt_ + ReadySilenceLimit;
}

void Member::scheduleTick(Millis Delay) {
  Ports_.Timers_.after(Delay, [Self = shared_from_this()] { Self->tick(); });
}

void Member::tick() {
  scheduleTick(PingPeriod);
  if (isLeader()) {
    Leader_->setNodes(liveNodes(), inContactWithMajority());
    if (Leader_->shouldHandOver() && now() > HandOverAt_ + HandOverInterval)
      askNodesToLead();
    const std::string Stronger =
        strongerNode(Nodes_, Settings_.Cpu_, livenessCutoff());
    if (!Stronger.empty() && Leader_->active() &&
        now() > HandOverAt_ + StrongerNodeHandOverInterval)
      askNodeToLead(Stronger);
    return;
  }
  if (View_.Epoch_ == 0)
    return readLeaderRow();
  ping();
}

Millis Member::livenessCutoff() const { return now() - LivenessTimeout; }

std::vector<std::string> Member::liveNodes() const {
  std::vector<std::string> Addresses;
  for (const auto &[Address, Node] : Nodes_)
    if (Node.HeardAt_ >= livenessCutoff())
      Addresses.push_back(Address);
  return Addresses;
}

// Counts all nodes that pinged within the retention time, so that nodes that
// have left for good are no longer counted.
bool Member::inContactWithMajority() const {
  constexpr Millis KnownNodeRetention{15000};
  std::size_t KnownNodes = 1;
  for (const auto &[Address, Node] : Nodes_)
    KnownNodes += now() < Node.HeardAt_ + KnownNodeRetention ? 1 : 0;
  return (liveNodes().size() + 1) * 2 > KnownNodes;
}

void Member::ping() {
  Json::Value Params;
  Params["address"] = Settings_.PeerListen_;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  Params["cpu"] = Settings_.Cpu_;
  const std::string Address = View_.Address_;
  Ports_.Peers_.call(
      Address, "node.ping", Params, PingTimeout,
      [Self = shared_from_this(), Address](const Result<Json::Value> &Reply) {
        Self->handlePingReply(Reply, Address);
      });
}

void Member::handlePingReply(const Result<Json::Value> &Reply,
                             const std::string &Address) {
  if (isLeader() || Address != View_.Address_)
    return;
  ElectionInput_ = ElectionInput{};
  if (Reply && Reply.value()["leads"].asBool()) {
    LeaderHeardAt_ = now();
    SuspectedAt_ = Millis{};
    StrongestCpu_ = Reply.value()["strongest_cpu"].asDouble();
    ReportedNodes_.clear();
    for (const Json::Value &Node : Reply.value()["nodes"])
      ReportedNodes_.insert(Node.asString());
    return;
  }
  if (SuspectedAt_ == Millis{})
    SuspectedAt_ = now();
  // A node whose election write is not answered yet may already be the leader.
  ElectionInput_.DeniesLeadership_ =
      Reply.has_value() && !Reply.value()["electing"].asBool();
  ElectionInput_.ConnectionRefused_ =
      !Reply && Reply.error().Reason_ == Reason::ConnectFailed;
  ElectionInput_.SilentFor_ = now() - LeaderHeardAt_;
  // The majority is determined after the leader row has been read.
  ElectionInput_.MajorityReached_ = true;
  if (shouldTakeOver(ElectionInput_))
    readLeaderRow();
}

void Member::readLeaderRow() {
  if (ReadingLeaderRow_ || isLeader())
    return;
  ReadingLeaderRow_ = true;
  Ports_.Store_.read(
      RowRange{LeaderTable, CellPart, LeaderKey, 1},
      [Self = shared_from_this()](const Result<RowPage> &Page) {
        Self->ReadingLeaderRow_ = false;
        if (Self->isLeader())
          return;
        if (!Page) {
          Self->Ports_.Log_.write(failureEvent(Page.error(), ""));
          return;
        }
        const auto &Rows = Page.value().Rows_;
        if (Rows.empty() && Self->mayStandForElection())
          return Self->takeOver(0);
        if (Rows.empty())
          return;
        const auto View = decodeView(Rows.front());
        if (!View) {
          Self->Ports_.Log_.write(failureEvent(View.error(), ""));
          return;
        }
        // This process was elected, but the reply to its write was lost.
        if (View.value().Incarnation_ == Self->Incarnation_ && !Self->Resigned_)
          return Self->becomeLeader(View.value());
        if (View.value().Version_ != Self->View_.Version_)
          return Self->followLeader(View.value());
        Self->considerElection();
      });
}

// Weak nodes delay their candidacy to let strong nodes be elected.
bool Member::mayStandForElection() const {
  return now() >= SuspectedAt_ + candidacyDelay(Settings_.Cpu_, StrongestCpu_);
}

// Called if the leader row still names the leader that is not responding.
void Member::considerElection() {
  if (!mayStandForElection())
    return;
  if (View_.Address_ == Settings_.PeerListen_)
    return takeOver(View_.Epoch_);
  if (!ElectionInput_.DeniesLeadership_)
    return pollOtherNodes();
  const Millis Jitter{static_cast<std::int64_t>(Random_() % MaxJitterMillis)};
  Ports_.Timers_.after(Jitter,
                       [Self = shared_from_this(), Epoch = View_.Epoch_] {
                         Self->takeOver(Epoch);
                       });
}

void Member::pollOtherNodes() {
  if (now() < OthersPolledAt_ + OthersPollInterval)
    return;
  OthersPolledAt_ = now();
  struct ElectionPoll {
    std::size_t Open_ = 1;
    std::size_t Known_ = 1;
    std::size_t Reached_ = 1; ///< Includes this node.
    bool LeaderReached_ = false;
  };
  const auto Poll = std::make_shared<ElectionPoll>();
  const auto Finish = [Self = shared_from_this(), Poll, Epoch = View_.Epoch_] {
    if (--Poll->Open_ > 0 || Self->isLeader())
      return;
    Self->ElectionInput_.MajorityReached_ = Poll->Reached_ * 2 > Poll->Known_;
    Self->ElectionInput_.ReachedByOtherNode_ = Poll->LeaderReached_;
    Self->ElectionInput_.SilentFor_ = Self->now() - Self->LeaderHeardAt_;
    if (shouldTakeOver(Self->ElectionInput_))
      Self->takeOver(Epoch);
    else
      logEvent(Self->Ports_, LogLevel::Warning, "", "watch leader",
               Self->View_.Address_,
               "not taking over, heard_by_other=" +
                   std::to_string(Poll->LeaderReached_) +
                   " nodes_reached=" + std::to_string(Poll->Reached_) + "/" +
                   std::to_string(Poll->Known_));
  };
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  for (const std::string &Address : ReportedNodes_) {
    if (Address == Settings_.PeerListen_ || Address == View_.Address_)
      continue;
    ++Poll->Open_;
    ++Poll->Known_;
    Ports_.Peers_.call(Address, "node.hears", Params, HearsTimeout,
                       [Poll, Finish](const Result<Json::Value> &Reply) {
                         Poll->Reached_ += Reply ? 1 : 0;
                         if (Reply && Reply.value()["hears"].asBool())
                           Poll->LeaderReached_ = true;
                         Finish();
                       });
  }
  Finish();
}

void Member::takeOver(std::int64_t ObservedEpoch) {
  if (Electing_ || isLeader() || Resigned_ || ObservedEpoch != View_.Epoch_)
    return;
  Electing_ = true;
  const std::int64_t Epoch = View_.Epoch_ + 1;
  RowTransaction Change;
  Change.Conditions_.push_back(RowCondition{leaderRow(), View_.Version_});
  Change.Puts_.push_back(
      RowPut{leaderRow(), encodeView(Settings_, Epoch, Incarnation_)});
  logEvent(
      Ports_, LogLevel::Info, "", "elect", View_.Address_,
      "taking over with epoch=" + std::to_string(Epoch) +
          " refused=" + std::to_string(ElectionInput_.ConnectionRefused_) +
          " not_leading=" + std::to_string(ElectionInput_.DeniesLeadership_) +
          " silent_ms=" + std::to_string(ElectionInput_.SilentFor_.Value_));
  Ports_.Store_.transact(
      Change, [Self = shared_from_this(), Epoch,
               ElectedByMinority = !ElectionInput_.MajorityReached_](
                  const Result<TransactionOutcome> &Outcome) {
        Self->Electing_ = false;
        if (Self->isLeader() || Self->Resigned_)
          return;
        if (!Outcome) {
          Self->Ports_.Log_.write(failureEvent(Outcome.error(), ""));
          // The write may have been applied; the row shows whether it was.
          Self->Ports_.Timers_.after(ElectionRetryDelay,
                                     [Self] { Self->readLeaderRow(); });
          return;
        }
        if (!Outcome.value().Applied_)
          return Self->readLeaderRow();
        Self->becomeLeader(LeaderView{
            Epoch, Self->Settings_.Node_, Self->Settings_.PeerListen_,
            Outcome.value().Version_, Self->Incarnation_, ElectedByMinority});
      });
}

void Member::becomeLeader(const LeaderView &View) {
  View_ = View;
  LeadingSince_ = now();
  Leader_ = std::make_shared<Leader>(
      Ports_, Settings_, View, [Self = shared_from_this()] {
        // Deferred, since the leader is still running one of its callbacks.
        Self->Ports_.Timers_.after(Millis{}, [Self] {
          Self->Leader_.reset();
          Self->LeaderHeardAt_ = Self->now();
          Self->readLeaderRow();
        });
      });
  Leader_->setNodes(liveNodes(), inContactWithMajority());
  if (Config_)
    Leader_->setConfig(*Config_);
  Leader_->start();
}

void Member::followLeader(const LeaderView &View) {
  View_ = View;
  LeaderHeardAt_ = now();
  SuspectedAt_ = Millis{};
  ElectionInput_ = ElectionInput{};
  logEvent(Ports_, LogLevel::Info, "", "follow", View.Address_,
           "epoch=" + std::to_string(View.Epoch_));
  ping();
}

void Member::askNodesToLead() {
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  // The strongest nodes are asked first. Each further attempt includes
  // weaker ones, since the strongest may be unable to write as well.
  std::vector<std::string> Addresses =
      nodesByStrength(Nodes_, livenessCutoff(), Random_());
  HandOverAttempts_ =
      now() < HandOverAt_ + HandOverAttemptWindow ? HandOverAttempts_ + 1 : 1;
  Addresses.resize(
      std::min(Addresses.size(), NodesPerHandOverAttempt * HandOverAttempts_));
  HandOverAt_ = now();
  for (const std::string &Address : Addresses)
    Ports_.Peers_.call(Address, "node.take_lead", Params, TakeLeadTimeout,
                       [](const Result<Json::Value> &) {
                         // A new leader is detected by its leader row or when
                         // workers fence orders of this node.
                       });
}

void Member::askNodeToLead(const std::string &Address) {
  HandOverAt_ = now();
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  Ports_.Peers_.call(
      Address, "node.take_lead", Params, TakeLeadTimeout,
      [Self = shared_from_this(), Address](const Result<Json::Value> &Reply) {
        logEvent(Self->Ports_, LogLevel::Info, "", "hand over", Address,
                 Reply ? "asked a stronger node to take over leadership"
                       : describe(Reply.error()));
      });
}

void Member::resign(const std::function<void()> &Done) {
  Resigned_ = true;
  if (!isLeader())
    return Done();
  Leader_->stop();
  const std::string Successor =
      strongestNode(Nodes_, livenessCutoff(), Random_());
  Leader_.reset();
  LeaderHeardAt_ = now();
  if (Successor.empty())
    return Done();
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  Ports_.Peers_.call(
      Successor, "node.take_lead", Params, TakeLeadTimeout,
      [Self = shared_from_this(), Done](const Result<Json::Value> &Reply) {
        logEvent(Self->Ports_, LogLevel::Info, "", "resign", "",
                 Reply ? "asked another node to take over leadership"
                       : describe(Reply.error()));
        Done();
      });
}

} // namespace damaskglade::cell
