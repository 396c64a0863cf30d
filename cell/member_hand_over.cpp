// Requests between nodes to take over leadership.

#include "cell/member.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// The first attempt to hand over asks this many nodes, and each further attempt
// this many more. An attempt that follows the last one only after the window
// counts as a first attempt.
constexpr std::size_t NodesPerHandOverAttempt = 3;
constexpr Millis HandOverAttemptWindow{3000};
constexpr Millis TakeLeadTimeout{800};
// Time for the node that asked to confirm its request. Two of the three
// messages of the exchange fit into TakeLeadTimeout with it.
constexpr Millis ConfirmTimeout{350};
// A leader that resigns waits no longer for the store before it asks another
// node to take over.
constexpr Millis ResignationTimeout{250};

} // namespace

// A request that is delivered after its timeout, for instance once a partition
// has healed, must not replace a leader that has recovered since. The node that
// gets the request therefore asks whether it is still wanted.
void Member::requestTakeover(const std::string &Address, const RpcReply &Done) {
  const std::int64_t Request = ++LastTakeoverRequest_;
  OpenTakeoverRequests_.insert(Request);
  Json::Value Params;
  Params["epoch"] = Json::Int64(LeaderRecord_.Epoch_);
  Params["address"] = Settings_.PeerListen_;
  Params["process"] = Incarnation_;
  Params["request"] = Json::Int64(Request);
  Ports_.Peers_.call(Address, "node.take_lead", Params, TakeLeadTimeout,
                     [Self = shared_from_this(), Request,
                      Done](const Result<Json::Value> &Reply) {
                       Self->OpenTakeoverRequests_.erase(Request);
                       Done(Reply);
                     });
}

void Member::handleTakeoverRequest(const Json::Value &Params,
                                   const RpcReply &Reply) {
  const std::string Sender = Params["address"].asString();
  const std::int64_t Epoch = Params["epoch"].asInt64();
  if (Epoch != LeaderRecord_.Epoch_ || isLeader() || Resigned_)
    return Reply(Json::Value(Json::objectValue));
  Ports_.Peers_.call(
      Sender, "node.wants_takeover", Params, ConfirmTimeout,
      [Self = shared_from_this(), Sender, Epoch, Reply,
       AskedAt = now()](const Result<Json::Value> &Confirmation) {
        const bool IsWanted =
            Confirmation && Confirmation.value()["wanted"].asBool() &&
            // This node may have been paused since the reply was sent.
            Self->now() < AskedAt + TakeLeadTimeout;
        if (IsWanted) {
          Self->ElectionInput_ = ElectionInput{};
          Self->takeOver(Epoch);
        } else {
          Self->Ports_.Metrics_.count("takeover_requests_expired");
          logEvent(Self->Ports_, LogLevel::Info, "", "elect", Sender,
                   "not taking over, the request is no longer wanted, epoch=" +
                       std::to_string(Epoch));
        }
        Reply(Json::Value(Json::objectValue));
      });
}

void Member::confirmTakeoverRequest(const Json::Value &Params,
                                    const RpcReply &Reply) const {
  Json::Value Body;
  Body["wanted"] = Params["process"].asString() == Incarnation_ &&
                   OpenTakeoverRequests_.count(Params["request"].asInt64()) > 0;
  Reply(std::move(Body));
}

void Member::askNodesToLead() {
  // The nodes with the most CPU capacity are asked first. Each further attempt
  // includes more nodes, since the first ones may be unable to write as well.
  std::vector<std::string> Addresses =
      nodesByStrength(PeerNodes_, livenessCutoff(), Random_());
  HandOverAttempts_ = now() < LastHandOverAt_ + HandOverAttemptWindow
                          ? HandOverAttempts_ + 1
                          : 1;
  Addresses.resize(
      std::min(Addresses.size(), NodesPerHandOverAttempt * HandOverAttempts_));
  LastHandOverAt_ = now();
  // The replies are not needed: this node detects a new leader by the leader
  // row, or when workers reject orders of an older epoch.
  for (const std::string &Address : Addresses)
    requestTakeover(Address, [](const Result<Json::Value> &) {});
}

void Member::askNodeToLead(const std::string &Address) {
  LastHandOverAt_ = now();
  requestTakeover(Address, [Self = shared_from_this(),
                            Address](const Result<Json::Value> &Reply) {
    logEvent(Self->Ports_, LogLevel::Info, "", "hand over", Address,
             Reply ? "asked a stronger node to take over leadership"
                   : describe(Reply.error()));
  });
}

void Member::resign(const std::function<void()> &Done) {
  Resigned_ = true;
  Relay_->close();
  if (!isLeader())
    return Done();
  const std::string Successor =
      strongestNode(PeerNodes_, livenessCutoff(), Random_());
  const auto Resigning = std::exchange(Leader_, nullptr);
  LeaderHeardAt_ = now();
  const auto Finish = [Self = shared_from_this(), Resigning, Successor, Done,
                       Finished = std::make_shared<bool>(false)] {
    if (std::exchange(*Finished, true))
      return;
    Resigning->stop();
    Self->askSuccessor(Successor, Done);
  };
  Ports_.Timers_.after(ResignationTimeout, Finish);
  Resigning->resign(Finish);
}

void Member::askSuccessor(const std::string &Successor,
                          const std::function<void()> &Done) {
  if (Successor.empty())
    return Done();
  requestTakeover(Successor, [Self = shared_from_this(),
                              Done](const Result<Json::Value> &Reply) {
    logEvent(Self->Ports_, LogLevel::Info, "", "resign", "",
             Reply ? "asked another node to take over leadership"
                   : describe(Reply.error()));
    Done();
  });
}

} // namespace damaskglade::cell
