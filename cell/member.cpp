#include "cell/member.h"

#include "core/codec.h"
#include "core/job.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Period of the pings from each node to the leader.
constexpr Millis PingPeriod{400};
constexpr Millis PingTimeout{700};
// A leader that has not replied for this long counts as failed: two pings in a
// row have then failed.
constexpr Millis SilenceLimit{1300};
// Replaces SilenceLimit on a node that reaches only a minority of the nodes:
// the leader may be healthy, so it gets more time.
constexpr Millis MinoritySilenceLimit{6000};
// A node reports itself as not ready if the leader has not replied for this
// long, that is, after one failed ping. The load balancer needs two failed
// readiness checks before it stops sending requests to the node.
constexpr Millis ReadySilenceLimit{1000};
// A node counts as failed if its last ping is older than this.
constexpr Millis LivenessTimeout{1500};
// Timeout of the request that asks another node whether it reaches the leader.
constexpr Millis NodePollTimeout{450};
constexpr Millis NodePollInterval{400};
// Delay before reading the leader row after an election write that failed.
constexpr Millis ElectionRetryDelay{100};
// Interval at which a leader that cannot write asks other nodes to take over.
constexpr Millis HandOverInterval{500};
// Interval at which a leader asks a stronger node to take over. That node needs
// about half a second to load all rows.
constexpr Millis StrongerNodeHandOverInterval{3000};
// A node that finds the leader to have failed asks this many stronger nodes to
// take over, one after the other, before it does so itself.
constexpr std::size_t MaxNominations = 3;
// Maximum of the random delay before this node takes over from a node that
// denies its leadership, so that not all nodes write the leader row at once.
constexpr int MaxJitterMillis = 120;

} // namespace

bool shouldTakeOver(const ElectionInput &Input) {
  if (Input.LeaderReachedByOther_)
    return false;
  if (Input.DeniesLeadership_)
    return true;
  if (!Input.MajorityReached_)
    return Input.LeaderSilence_ > MinoritySilenceLimit;
  return Input.ConnectionRefused_ || Input.LeaderSilence_ > SilenceLimit;
}

Member::Member(const CellPorts &Ports, CellSettings Settings)
    : Ports_(Ports), Settings_(std::move(Settings)),
      Incarnation_(Settings_.PeerListen_ + '/' +
                   std::to_string(Ports.Clock_.wall().Value_)),
      Relay_(
          std::make_shared<Relay>(Ports, Settings_.PeerListen_, Incarnation_)),
      Random_(static_cast<unsigned>(
          std::hash<std::string>()(Settings_.PeerListen_))) {}

void Member::start() {
  Started_ = true;
  LeaderHeardAt_ = now();
  LeaderSuspectedAt_ = now();
  tick();
}

void Member::setConfig(const SharedConfig &Config) {
  Config_ = Config;
  if (Leader_)
    Leader_->setConfig(*Config);
}

bool Member::ready() const {
  if (Resigned_ || !Config_)
    return false;
  if (isLeader())
    return Leader_->active();
  return LeaderRecord_.Epoch_ > 0 && now() < LeaderHeardAt_ + ReadySilenceLimit;
}

void Member::scheduleTick(Millis Delay) {
  Ports_.Timers_.after(Delay, [Self = shared_from_this()] { Self->tick(); });
}

void Member::tick() {
  scheduleTick(PingPeriod);
  if (isLeader()) {
    updateLeader();
    if (Leader_->shouldHandOver() && now() > LastHandOverAt_ + HandOverInterval)
      askNodesToLead();
    const std::string StrongerAddress =
        strongerNode(PeerNodes_, Settings_.Cpu_, livenessCutoff(), 0);
    if (!StrongerAddress.empty() && Leader_->active() &&
        now() > LastHandOverAt_ + StrongerNodeHandOverInterval)
      askNodeToLead(StrongerAddress);
    return;
  }
  if (LeaderRecord_.Epoch_ == 0)
    return readLeaderRow();
  ping();
}

Millis Member::livenessCutoff() const { return now() - LivenessTimeout; }

std::vector<std::string> Member::liveNodes() const {
  std::vector<std::string> Addresses;
  for (const auto &[Address, Node] : PeerNodes_)
    if (Node.HeardAt_ >= livenessCutoff())
      Addresses.push_back(Address);
  return Addresses;
}

void Member::updateNodeList() {
  Json::Value Nodes(Json::arrayValue);
  for (const std::string &Address : liveNodes())
    Nodes.append(Address);
  std::string Digest = digestOf(writeJson(Nodes));
  if (Digest == NodeListDigest_)
    return;
  NodeListDigest_ = std::move(Digest);
  NodeList_ = std::move(Nodes);
  reportNodes(liveNodes());
}

void Member::updateLeader() {
  updateNodeList();
  Leader_->setNodes(liveNodes());
  Leader_->setMajorityHeardAt(majorityHeardAt());
  Leader_->chooseRelays(PeerNodes_, livenessCutoff());
}

// Nodes that have left the cell for good are no longer counted after the
// retention time. A new leader counts the nodes that the one before has told,
// since those that are cut off from it do not ping it.
Millis Member::majorityHeardAt() const {
  constexpr Millis KnownNodeRetention{15000};
  const bool HasHeardAll = now() > LeadingSince_ + KnownNodeRetention;
  return cell::majorityHeardAt(
      PeerNodes_, HasHeardAll ? std::set<std::string>{} : InheritedNodes_,
      now() - KnownNodeRetention, now());
}

void Member::ping() {
  Json::Value Params;
  Params["address"] = Settings_.PeerListen_;
  Params["epoch"] = Json::Int64(LeaderRecord_.Epoch_);
  Params["cpu"] = Settings_.Cpu_;
  Params["zone"] = Settings_.Zone_;
  Params["nodes_digest"] = ReportedNodesDigest_;
  Params["config"] = Json::Int64(configVersion());
  const std::string Address = LeaderRecord_.Address_;
  ++OpenPings_;
  Ports_.Peers_.call(
      Address, "node.ping", Params, PingTimeout,
      [Self = shared_from_this(), Address,
       SentAt = ConfigHints_.Now_ ? ConfigHints_.Now_() : Millis{}](
          const Result<Json::Value> &Reply) {
        --Self->OpenPings_;
        if (Reply)
          Self->noteConfigAge(Reply.value(), SentAt);
        Self->handlePingReply(Reply, Address);
      });
}

void Member::handlePingReply(const Result<Json::Value> &Reply,
                             const std::string &Address) {
  if (isLeader() || Address != LeaderRecord_.Address_)
    return;
  ElectionInput_ = ElectionInput{};
  const bool IsAnswer = Reply && Reply.value().isObject();
  if (IsAnswer && Reply.value()["leads"].asBool()) {
    LeaderHeardAt_ = now();
    LeaderSuspectedAt_ = Millis{};
    Nominations_ = 0;
    StrongestCpu_ = Reply.value()["strongest_cpu"].asDouble();
    const Json::Value &NewerConfig = Reply.value()["config"];
    const Json::Value &Holder = Reply.value()["config_holder"];
    if (NewerConfig.isInt64() && Holder.isString())
      handleConfigVersion(NewerConfig.asInt64(), Holder.asString());
    if (!Reply.value().isMember("nodes"))
      return;
    ReportedNodes_.clear();
    for (const Json::Value &Node : Reply.value()["nodes"])
      ReportedNodes_.insert(Node.asString());
    ReportedNodesDigest_ = Reply.value()["nodes_digest"].asString();
    std::vector<std::string> Addresses(ReportedNodes_.begin(),
                                       ReportedNodes_.end());
    Addresses.push_back(Address);
    reportNodes(Addresses);
    return;
  }
  if (LeaderSuspectedAt_ == Millis{})
    LeaderSuspectedAt_ = now();
  // A node that waits for the reply to its election write may already be the
  // leader, so its answer does not count as a denial.
  ElectionInput_.DeniesLeadership_ =
      IsAnswer && !Reply.value()["electing"].asBool();
  ElectionInput_.ConnectionRefused_ =
      !Reply && Reply.error().Reason_ == Reason::ConnectFailed;
  ElectionInput_.LeaderSilence_ = now() - LeaderHeardAt_;
  // Whether a majority can be reached is determined later, by pollOtherNodes().
  ElectionInput_.MajorityReached_ = true;
  if (shouldTakeOver(ElectionInput_))
    readLeaderRow();
}

void Member::readLeaderRow() {
  if (ReadingLeaderRow_ || isLeader())
    return;
  ReadingLeaderRow_ = true;
  Ports_.Store_.read(
      RowRange{LeaderTable, MainPart, LeaderKey, 1},
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
        const auto Record = decodeLeaderRecord(Rows.front());
        if (!Record) {
          Self->Ports_.Log_.write(failureEvent(Record.error(), ""));
          return;
        }
        // This process was elected, but the reply to its write was lost.
        if (Record.value().Incarnation_ == Self->Incarnation_ &&
            !Self->Resigned_)
          return Self->becomeLeader(Record.value());
        if (Record.value().Version_ != Self->LeaderRecord_.Version_)
          return Self->followLeader(Record.value());
        Self->considerElection();
      });
}

// Nodes with little CPU capacity stand for election later, so that others are
// elected first.
bool Member::mayStandForElection() const {
  return now() >=
         LeaderSuspectedAt_ + candidacyDelay(Settings_.Cpu_, StrongestCpu_);
}

// Called after reading the leader row, if it still names the leader that this
// node suspects to have failed.
void Member::considerElection() {
  if (!mayStandForElection())
    return;
  if (LeaderRecord_.Address_ == Settings_.PeerListen_)
    return takeOver(LeaderRecord_.Epoch_);
  if (!ElectionInput_.DeniesLeadership_)
    return pollOtherNodes();
  const Millis Jitter{static_cast<std::int64_t>(Random_() % MaxJitterMillis)};
  Ports_.Timers_.after(
      Jitter, [Self = shared_from_this(), Epoch = LeaderRecord_.Epoch_] {
        Self->takeOver(Epoch);
      });
}

void Member::pollOtherNodes() {
  if (now() < NodesPolledAt_ + NodePollInterval)
    return;
  NodesPolledAt_ = now();
  struct ElectionPoll {
    std::size_t OpenRequests_ = 1; ///< Plus one until all have been sent.
    std::size_t KnownNodes_ = 1;   ///< Includes this node.
    std::size_t ReachedNodes_ = 1; ///< Includes this node.
    bool LeaderReached_ = false;
    PeerNodes Candidates_; ///< The reached nodes.
  };
  const auto Poll = std::make_shared<ElectionPoll>();
  const auto HandleReply = [Self = shared_from_this(), Poll,
                            Epoch = LeaderRecord_.Epoch_] {
    if (--Poll->OpenRequests_ > 0 || Self->isLeader())
      return;
    Self->ElectionInput_.MajorityReached_ =
        Poll->ReachedNodes_ * 2 > Poll->KnownNodes_;
    Self->ElectionInput_.LeaderReachedByOther_ = Poll->LeaderReached_;
    Self->ElectionInput_.LeaderSilence_ = Self->now() - Self->LeaderHeardAt_;
    // A node that is asked to take over counts as elected by a majority.
    if (shouldTakeOver(Self->ElectionInput_) &&
        Self->ElectionInput_.MajorityReached_ &&
        Epoch == Self->LeaderRecord_.Epoch_ &&
        Self->nominateStrongerNode(Poll->Candidates_))
      return;
    if (shouldTakeOver(Self->ElectionInput_))
      Self->takeOver(Epoch);
    else
      logEvent(Self->Ports_, LogLevel::Warning, "", "watch leader",
               Self->LeaderRecord_.Address_,
               "not taking over, heard_by_other=" +
                   std::to_string(Poll->LeaderReached_) +
                   " nodes_reached=" + std::to_string(Poll->ReachedNodes_) +
                   "/" + std::to_string(Poll->KnownNodes_));
  };
  Json::Value Params;
  Params["epoch"] = Json::Int64(LeaderRecord_.Epoch_);
  for (const std::string &Address : ReportedNodes_) {
    if (Address == Settings_.PeerListen_ || Address == LeaderRecord_.Address_)
      continue;
    ++Poll->OpenRequests_;
    ++Poll->KnownNodes_;
    Ports_.Peers_.call(
        Address, "node.hears", Params, NodePollTimeout,
        [Poll, HandleReply, Address](const Result<Json::Value> &Reply) {
          if (Reply) {
            ++Poll->ReachedNodes_;
            Poll->Candidates_[Address].Cpu_ = Reply.value()["cpu"].asDouble();
          }
          if (Reply && Reply.value()["hears"].asBool())
            Poll->LeaderReached_ = true;
          HandleReply();
        });
  }
  HandleReply();
}

// A weak node would need so long to load all rows that it is replaced in turn.
// It leads only if the stronger nodes that it reaches do not take over.
bool Member::nominateStrongerNode(const PeerNodes &Candidates) {
  const std::string Address =
      strongerNode(Candidates, Settings_.Cpu_, Millis{}, Nominations_);
  if (Address.empty() || Nominations_ >= MaxNominations)
    return false;
  ++Nominations_;
  askNodeToLead(Address);
  return true;
}

void Member::takeOver(std::int64_t ObservedEpoch) {
  if (ElectionWriteOpen_ || isLeader() || Resigned_ ||
      ObservedEpoch != LeaderRecord_.Epoch_)
    return;
  ElectionWriteOpen_ = true;
  const std::int64_t Epoch = LeaderRecord_.Epoch_ + 1;
  const std::int64_t LeaseRowsSince =
      LeaderRecord_.LeaseRowsSince_ > 0 ? LeaderRecord_.LeaseRowsSince_ : Epoch;
  const LeaderRecord Candidate{Epoch,
                               Settings_.Node_,
                               Settings_.PeerListen_,
                               0,
                               Incarnation_,
                               !ElectionInput_.MajorityReached_,
                               LeaseRowsSince};
  RowTransaction Transaction;
  Transaction.Conditions_.push_back(
      RowCondition{leaderRow(), LeaderRecord_.Version_});
  Transaction.Puts_.push_back(
      RowPut{leaderRow(), encodeLeaderRecord(Candidate)});
  logEvent(
      Ports_, LogLevel::Info, "", "elect", LeaderRecord_.Address_,
      "taking over with epoch=" + std::to_string(Epoch) +
          " refused=" + std::to_string(ElectionInput_.ConnectionRefused_) +
          " not_leading=" + std::to_string(ElectionInput_.DeniesLeadership_) +
          " silent_ms=" + std::to_string(ElectionInput_.LeaderSilence_.Value_));
  Ports_.Store_.transact(
      Transaction, [Self = shared_from_this(),
                    Candidate](const Result<TransactionOutcome> &Outcome) {
        Self->ElectionWriteOpen_ = false;
        if (Self->isLeader() || Self->Resigned_)
          return;
        if (!Outcome) {
          Self->Ports_.Log_.write(failureEvent(Outcome.error(), ""));
          // The write may have been applied; the leader row shows whether it
          // was.
          Self->Ports_.Timers_.after(ElectionRetryDelay,
                                     [Self] { Self->readLeaderRow(); });
          return;
        }
        if (!Outcome.value().Applied_)
          return Self->readLeaderRow();
        LeaderRecord Record = Candidate;
        Record.Version_ = Outcome.value().Version_;
        Self->becomeLeader(Record);
      });
}

void Member::becomeLeader(const LeaderRecord &Record) {
  InheritedNodes_ = ReportedNodes_;
  InheritedNodes_.insert(LeaderRecord_.Address_);
  InheritedNodes_.erase(Settings_.PeerListen_);
  InheritedNodes_.erase(""); // No leader was known.
  LeaderRecord_ = Record;
  Relay_->noteLeader(Record.Epoch_);
  answerWaitingChecks(true);
  LeadingSince_ = now();
  Leader_ = std::make_shared<Leader>(
      Ports_, Settings_, Record, [Self = shared_from_this()] {
        // Runs later, since this callback is called by the Leader object that
        // it destroys.
        Self->Ports_.Timers_.after(Millis{}, [Self] {
          Self->Leader_.reset();
          Self->LeaderHeardAt_ = Self->now();
          Self->readLeaderRow();
        });
      });
  updateLeader();
  if (Config_)
    Leader_->setConfig(*Config_);
  Leader_->start();
}

void Member::followLeader(const LeaderRecord &Record) {
  LeaderRecord_ = Record;
  Relay_->noteLeader(Record.Epoch_);
  LeaderHeardAt_ = now();
  LeaderSuspectedAt_ = Millis{};
  ReportedNodesDigest_.clear();
  Nominations_ = 0;
  answerWaitingChecks(true);
  ElectionInput_ = ElectionInput{};
  logEvent(Ports_, LogLevel::Info, "", "follow", Record.Address_,
           "epoch=" + std::to_string(Record.Epoch_));
  ping();
}

} // namespace damaskglade::cell
