#include "cell/member.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis PingPeriod{400};
constexpr Millis PingTimeout{700};
// Two pings in a row have failed by then.
constexpr Millis SilenceLimit{1300};
// Without a majority the old leader may be well, so it gets more time.
constexpr Millis MinoritySilence{6000};
// One ping has failed by then. The balancer asks twice before it turns away.
constexpr Millis ReadySilence{1000};
constexpr Millis NodeLifetime{1500};
constexpr Millis HearsTimeout{450};
constexpr Millis ElectionGap{400};
constexpr Millis ElectionRetry{100};
constexpr Millis HandOverGap{500};
// A node that was asked to lead needs about half a second to load all rows.
constexpr Millis StrongerGap{3000};
constexpr std::size_t HandOverNodes = 3;
constexpr Millis HandOverMemory{3000};
constexpr Millis ResignTimeout{800};
constexpr int MaxJitterMillis = 120;

std::string encodeView(const CellSettings &Settings, std::int64_t Epoch,
                       const std::string &Boot) {
  Json::Value Out;
  Out["boot"] = Boot;
  Out["epoch"] = Json::Int64(Epoch);
  Out["node"] = Settings.Node_;
  Out["address"] = Settings.PeerListen_;
  return writeJson(Out);
}

Result<LeaderView> decodeView(const StoredRow &Row) {
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Value_, "decode leader row"));
  LeaderView View;
  View.Epoch_ = Value["epoch"].asInt64();
  View.Node_ = Value["node"].asString();
  View.Address_ = Value["address"].asString();
  View.Boot_ = Value["boot"].asString();
  View.Version_ = Row.Version_;
  return View;
}

} // namespace

bool shouldTakeOver(const ElectionInput &Input) {
  if (Input.OtherNodeHearsIt_)
    return false;
  if (Input.SaysItDoesNotLead_)
    return true;
  if (!Input.Majority_)
    return Input.SilentFor_ > MinoritySilence;
  return Input.Refused_ || Input.SilentFor_ > SilenceLimit;
}

Member::Member(const CellPorts &Ports, CellSettings Settings)
    : Ports_(Ports), Settings_(std::move(Settings)),
      Boot_(Settings_.PeerListen_ + '/' +
            std::to_string(Ports.Clock_.wall().Value_)),
      Random_(static_cast<unsigned>(
          std::hash<std::string>()(Settings_.PeerListen_))) {}

void Member::start() {
  Started_ = true;
  HeardAt_ = now();
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
  if (leads())
    return Leader_->active();
  return View_.Epoch_ > 0 && now() < HeardAt_ + ReadySilence;
}

void Member::scheduleTick(Millis Delay) {
  Ports_.Timers_.after(Delay, [Self = shared_from_this()] { Self->tick(); });
}

void Member::tick() {
  scheduleTick(PingPeriod);
  if (leads()) {
    Leader_->setNodes(liveNodes(), hearsMajority());
    if (Leader_->shouldHandOver() && now() > HandOverAt_ + HandOverGap)
      handOver();
    const std::string Stronger =
        strongerNode(Nodes_, Settings_.Cpu_, liveSince());
    if (!Stronger.empty() && Leader_->active() &&
        now() > HandOverAt_ + StrongerGap)
      handOverTo(Stronger);
    return;
  }
  if (View_.Epoch_ == 0)
    return readLeader();
  ping();
}

Millis Member::liveSince() const { return now() - NodeLifetime; }

std::vector<std::string> Member::liveNodes() const {
  std::vector<std::string> Out;
  for (const auto &[Address, Node] : Nodes_)
    if (Node.HeardAt_ >= liveSince())
      Out.push_back(Address);
  return Out;
}

// Nodes that were heard of at all count; those that are gone for good leave
// the count after a while.
bool Member::hearsMajority() const {
  constexpr Millis Remembered{15000};
  std::size_t Known = 1;
  for (const auto &[Address, Node] : Nodes_)
    Known += now() < Node.HeardAt_ + Remembered ? 1 : 0;
  return (liveNodes().size() + 1) * 2 > Known;
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
        Self->pinged(Reply, Address);
      });
}

void Member::pinged(const Result<Json::Value> &Reply,
                    const std::string &Address) {
  if (leads() || Address != View_.Address_)
    return;
  Input_ = ElectionInput{};
  if (Reply && Reply.value()["leads"].asBool()) {
    HeardAt_ = now();
    SuspectedAt_ = Millis{};
    StrongestCpu_ = Reply.value()["strongest_cpu"].asDouble();
    Members_.clear();
    for (const Json::Value &Each : Reply.value()["nodes"])
      Members_.insert(Each.asString());
    return;
  }
  if (SuspectedAt_ == Millis{})
    SuspectedAt_ = now();
  // A node that has just been elected may not know it yet.
  Input_.SaysItDoesNotLead_ =
      Reply.has_value() && !Reply.value()["electing"].asBool();
  Input_.Refused_ = !Reply && Reply.error().Reason_ == Reason::ConnectFailed;
  Input_.SilentFor_ = now() - HeardAt_;
  Input_.Majority_ = true; // Found out when the row has been read.
  if (shouldTakeOver(Input_))
    readLeader();
}

void Member::readLeader() {
  if (Reading_ || leads())
    return;
  Reading_ = true;
  Ports_.Store_.read(
      RowRange{LeaderTable, CellPart, LeaderKey, 1},
      [Self = shared_from_this()](const Result<RowPage> &Page) {
        Self->Reading_ = false;
        if (Self->leads())
          return;
        if (!Page) {
          Self->Ports_.Log_.write(failureEvent(Page.error(), ""));
          return;
        }
        const auto &Rows = Page.value().Rows_;
        if (Rows.empty() && Self->maySuspect())
          return Self->takeOver(0);
        if (Rows.empty())
          return;
        const auto View = decodeView(Rows.front());
        if (!View) {
          Self->Ports_.Log_.write(failureEvent(View.error(), ""));
          return;
        }
        // The answer to the write that elected this process was lost.
        if (View.value().Boot_ == Self->Boot_ && !Self->Resigned_)
          return Self->lead(View.value());
        if (View.value().Version_ != Self->View_.Version_)
          return Self->follow(View.value());
        Self->judge();
      });
}

// Weak nodes leave the election to strong ones for a while.
bool Member::maySuspect() const {
  return now() >= SuspectedAt_ + candidacyDelay(Settings_.Cpu_, StrongestCpu_);
}

// The row still names the leader that was lost.
void Member::judge() {
  if (!maySuspect())
    return;
  if (View_.Address_ == Settings_.PeerListen_)
    return takeOver(View_.Epoch_);
  if (!Input_.SaysItDoesNotLead_)
    return askOthers();
  const Millis Jitter{static_cast<std::int64_t>(Random_() % MaxJitterMillis)};
  Ports_.Timers_.after(Jitter,
                       [Self = shared_from_this(), Epoch = View_.Epoch_] {
                         Self->takeOver(Epoch);
                       });
}

void Member::askOthers() {
  if (now() < ElectionAt_ + ElectionGap)
    return;
  ElectionAt_ = now();
  struct Poll {
    std::size_t Open_ = 1;
    std::size_t Known_ = 1;
    std::size_t Reached_ = 1; ///< This node counts.
    bool Heard_ = false;
  };
  const auto Answers = std::make_shared<Poll>();
  const auto Finish = [Self = shared_from_this(), Answers,
                       Epoch = View_.Epoch_] {
    if (--Answers->Open_ > 0 || Self->leads())
      return;
    Self->Input_.Majority_ = Answers->Reached_ * 2 > Answers->Known_;
    Self->Input_.OtherNodeHearsIt_ = Answers->Heard_;
    Self->Input_.SilentFor_ = Self->now() - Self->HeardAt_;
    if (shouldTakeOver(Self->Input_))
      Self->takeOver(Epoch);
    else
      note(
          Self->Ports_, LogLevel::Warning, "", "watch leader",
          Self->View_.Address_,
          "not taking over, heard_by_other=" + std::to_string(Answers->Heard_) +
              " nodes_reached=" + std::to_string(Answers->Reached_) + "/" +
              std::to_string(Answers->Known_));
  };
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  for (const std::string &Each : Members_) {
    if (Each == Settings_.PeerListen_ || Each == View_.Address_)
      continue;
    ++Answers->Open_;
    ++Answers->Known_;
    Ports_.Peers_.call(Each, "node.hears", Params, HearsTimeout,
                       [Answers, Finish](const Result<Json::Value> &Reply) {
                         Answers->Reached_ += Reply ? 1 : 0;
                         if (Reply && Reply.value()["hears"].asBool())
                           Answers->Heard_ = true;
                         Finish();
                       });
  }
  Finish();
}

void Member::takeOver(std::int64_t From) {
  if (Electing_ || leads() || Resigned_ || From != View_.Epoch_)
    return;
  Electing_ = true;
  const std::int64_t Epoch = View_.Epoch_ + 1;
  RowTransaction Change;
  Change.Conditions_.push_back(RowCondition{leaderRow(), View_.Version_});
  Change.Puts_.push_back(
      RowPut{leaderRow(), encodeView(Settings_, Epoch, Boot_)});
  note(Ports_, LogLevel::Info, "", "elect", View_.Address_,
       "taking over with epoch=" + std::to_string(Epoch) +
           " refused=" + std::to_string(Input_.Refused_) +
           " not_leading=" + std::to_string(Input_.SaysItDoesNotLead_) +
           " silent_ms=" + std::to_string(Input_.SilentFor_.Value_));
  Ports_.Store_.transact(
      Change, [Self = shared_from_this(), Epoch, Minority = !Input_.Majority_](
                  const Result<TransactionOutcome> &Outcome) {
        Self->Electing_ = false;
        if (Self->leads() || Self->Resigned_)
          return;
        if (!Outcome) {
          Self->Ports_.Log_.write(failureEvent(Outcome.error(), ""));
          // The write may have been done: the row tells.
          Self->Ports_.Timers_.after(ElectionRetry,
                                     [Self] { Self->readLeader(); });
          return;
        }
        if (!Outcome.value().Applied_)
          return Self->readLeader();
        Self->lead(LeaderView{Epoch, Self->Settings_.Node_,
                              Self->Settings_.PeerListen_,
                              Outcome.value().Version_, Self->Boot_, Minority});
      });
}

void Member::lead(const LeaderView &View) {
  View_ = View;
  LeadsSince_ = now();
  Leader_ = std::make_shared<Leader>(
      Ports_, Settings_, View, [Self = shared_from_this()] {
        // Later, since the leader is in the middle of a callback.
        Self->Ports_.Timers_.after(Millis{}, [Self] {
          Self->Leader_.reset();
          Self->HeardAt_ = Self->now();
          Self->readLeader();
        });
      });
  Leader_->setNodes(liveNodes(), hearsMajority());
  if (Config_)
    Leader_->setConfig(*Config_);
  Leader_->start();
}

void Member::follow(const LeaderView &View) {
  View_ = View;
  HeardAt_ = now();
  SuspectedAt_ = Millis{};
  Input_ = ElectionInput{};
  note(Ports_, LogLevel::Info, "", "follow", View.Address_,
       "epoch=" + std::to_string(View.Epoch_));
  ping();
}

void Member::handOver() {
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  // The strongest nodes are asked first, and weaker ones if these do not lead
  // soon: they may be unable to write as well.
  std::vector<std::string> Nodes = byStrength(Nodes_, liveSince(), Random_());
  HandOverTries_ =
      now() < HandOverAt_ + HandOverMemory ? HandOverTries_ + 1 : 1;
  Nodes.resize(std::min(Nodes.size(), HandOverNodes * HandOverTries_));
  HandOverAt_ = now();
  for (const std::string &Each : Nodes)
    Ports_.Peers_.call(Each, "node.take_lead", Params, ResignTimeout,
                       [](const Result<Json::Value> &) {
                         // The new leader shows by its row or its fence.
                       });
}

void Member::handOverTo(const std::string &Address) {
  HandOverAt_ = now();
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  Ports_.Peers_.call(
      Address, "node.take_lead", Params, ResignTimeout,
      [Self = shared_from_this(), Address](const Result<Json::Value> &Reply) {
        note(Self->Ports_, LogLevel::Info, "", "hand over", Address,
             Reply ? "asked a stronger node to lead" : describe(Reply.error()));
      });
}

void Member::resign(const std::function<void()> &Done) {
  Resigned_ = true;
  if (!leads())
    return Done();
  Leader_->stop();
  const std::string Next = strongestNode(Nodes_, liveSince(), Random_());
  Leader_.reset();
  HeardAt_ = now();
  if (Next.empty())
    return Done();
  Json::Value Params;
  Params["epoch"] = Json::Int64(View_.Epoch_);
  Ports_.Peers_.call(
      Next, "node.take_lead", Params, ResignTimeout,
      [Self = shared_from_this(), Done](const Result<Json::Value> &Reply) {
        note(Self->Ports_, LogLevel::Info, "", "resign", "",
             Reply ? "passed the lead on" : describe(Reply.error()));
        Done();
      });
}

} // namespace damaskglade::cell
