#include "node/owner_gateway.h"

#include "core/codec.h"

#include <map>

namespace damaskglade::node {

namespace {

constexpr Millis PeerTimeout{1500};
// Includes the call from the owner to the worker.
constexpr Millis StartTimeout{3000};
constexpr Millis AnswerMargin{250};

} // namespace

Result<Json::Value> OwnerGateway::callOwner(const std::string &Node,
                                            const std::string &Method,
                                            const Json::Value &Message,
                                            Millis Timeout) {
  const std::string Address = Routes_.addressOf(Node);
  if (Address.empty())
    return Error{Reason::NotOwner, Effect::None, Method, Node,
                 "the shard has no known owner"};
  return Ports_.Peers_.call(Address, Method, Message, Timeout);
}

Result<ReserveReply> OwnerGateway::reserve(const std::string &Node,
                                           const ReserveRequest &Request) {
  if (Node == Self_)
    return Local_.reserve(Request);
  BOOST_OUTCOME_TRY(Reply,
                    callOwner(Node, "reserve", encode(Request), PeerTimeout));
  return decodeReserveReply(Reply);
}

void OwnerGateway::release(const std::string &Job,
                           const std::vector<Attempt> &Attempts) {
  std::map<std::string, AttemptList> ByOwner;
  for (const Attempt &Try : Attempts) {
    AttemptList &List = ByOwner[Routes_.ownerOf(Try.Shard_).Owner_];
    List.Job_ = Job;
    List.Tries_.push_back(Try);
  }
  Local_.release(AttemptList{Job, Attempts});
  // If a release is lost, the capacity stays reserved until the reservation
  // expires.
  for (const auto &[Node, List] : ByOwner)
    if (Node != Self_)
      static_cast<void>(callOwner(Node, "release", encode(List), PeerTimeout));
}

Status OwnerGateway::startTask(const StartCommand &Command) {
  const std::string Node = Routes_.ownerOf(Command.Try_.Shard_).Owner_;
  if (Node == Self_)
    return Local_.startTask(Command);
  const auto Reply = callOwner(Node, "start", encode(Command), StartTimeout);
  if (!Reply)
    return Reply.error();
  return success();
}

Result<Answer> OwnerGateway::execute(const std::string &Node,
                                     const ExecuteRequest &Request) {
  if (Node == Self_)
    return Local_.execute(Request);
  BOOST_OUTCOME_TRY(Reply, callOwner(Node, "execute", encode(Request),
                                     Request.Timeout_ + AnswerMargin));
  return decodeAnswer(Reply);
}

Result<OwnerStatus> OwnerGateway::status(const std::string &Job,
                                         const Attempt &Try) {
  const std::string Node = Routes_.ownerOf(Try.Shard_).Owner_;
  if (Node == Self_)
    return Local_.status(Job, Try);
  BOOST_OUTCOME_TRY(Reply,
                    callOwner(Node, "attemptStatus",
                              encode(AttemptList{Job, {Try}}), PeerTimeout));
  return decodeOwnerStatus(Reply);
}

Status OwnerGateway::stopTask(const std::string &Job, const Attempt &Try) {
  const std::string Node = Routes_.ownerOf(Try.Shard_).Owner_;
  if (Node == Self_)
    return Local_.control(attemptId(Job, Try), TaskControl::Stop);
  const auto Reply = callOwner(Node, "stopTask",
                               encode(AttemptList{Job, {Try}}), StartTimeout);
  if (!Reply)
    return Reply.error();
  return success();
}

} // namespace damaskglade::node
