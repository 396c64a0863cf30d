#include "drivers/peer/peer_server.h"

#include "core/codec.h"
#include "drivers/peer/jsonrpc_bridge.h"

namespace damaskglade::drivers {

struct PeerServer::State {
  RpcDispatcher Dispatcher_;
};

namespace {

RpcOutcome runHandler(const PeerHandler &Handler, const std::string &Method,
                      const Json::Value &Params) {
  auto Reply = Handler(Params["from"].asString(), Method, Params["message"]);
  RpcOutcome Outcome;
  Outcome.Ok_ = Reply.has_value();
  if (Reply) {
    Outcome.Value_ = std::move(Reply).value();
    return Outcome;
  }
  Outcome.Value_ = encodeError(Reply.error());
  Outcome.Message_ = Reply.error().Message_;
  return Outcome;
}

} // namespace

PeerServer::PeerServer(const std::vector<std::string> &Methods,
                       const PeerHandler &Handler)
    : State_(new State{
          RpcDispatcher(Methods, [Handler](const std::string &Method,
                                           const Json::Value &Params) {
            return runHandler(Handler, Method, Params);
          })}) {}

PeerServer::~PeerServer() = default;

std::string PeerServer::answer(const std::string &Body) {
  return State_->Dispatcher_.dispatch(Body);
}

} // namespace damaskglade::drivers
