#include "cell/relay.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Replies within this time share a message.
constexpr Millis SendInterval{10};
constexpr Millis SendTimeout{700};
constexpr Millis SendRetryDelay{50};
// The leader no longer waits for replies that are older than this.
constexpr Millis ReplyLifetime{3000};
// Limit of the rows in one message: of replies, running and ended tasks. Nodes
// accept bodies of up to 1 MiB.
constexpr std::size_t MaxRowsPerMessage = 2000;
// Batches that are recognized when they arrive twice: those of a second.
constexpr std::size_t MaxRecentBatches = 128;

std::size_t countRows(const WorkerCallReply &Reply) {
  const auto *Poll = std::get_if<PollReply>(&Reply.Content_);
  return 1 + (Poll ? Poll->Running_.size() + Poll->Ended_.size() : 0);
}

bool isFenced(const WorkerCallReply &Reply) {
  if (const auto *Order = std::get_if<OrderReply>(&Reply.Content_))
    return Order->Outcome_ == OrderOutcome::Fenced;
  const auto *Poll = std::get_if<PollReply>(&Reply.Content_);
  return Poll && Poll->Outcome_ == OrderOutcome::Fenced;
}

} // namespace

Status Relay::checkBatch(const CallBatch &Batch) const {
  const auto Reject = [&](Reason Why, const std::string &Message) {
    return Error{Why, Effect::None, "relay calls", Batch.Leader_, Message, {}};
  };
  if (Closed_)
    return Reject(Reason::ShuttingDown, "this node is stopping");
  if (Batch.Epoch_ < std::max(Epoch_, LatestEpoch_) ||
      (Batch.Epoch_ == Epoch_ && Fenced_))
    return Reject(Reason::StaleEpoch, "a later leader is known");
  if (!Batch.Calls_.empty() && Batch.Relay_ != Incarnation_)
    return Reject(Reason::NotReady, "the calls are for an earlier process");
  return success();
}

void Relay::handleCalls(const std::string &Params, const RpcReply &Reply) {
  const auto Batch = decodeCallBatch(Params);
  if (!Batch)
    return Reply(Batch.error());
  if (!isRepeated(Batch.value())) {
    const Status Acceptance = checkBatch(Batch.value());
    if (!Acceptance) {
      Ports_.Metrics_.countRefusal(Acceptance.error().Reason_);
      return Reply(Acceptance.error());
    }
    accept(Batch.value());
  }
  Json::Value Body;
  Body["process"] = Incarnation_;
  Body["clock"] = Json::Int64(now().Value_);
  Reply(std::move(Body));
}

// The HTTP client sends a message again if a kept-alive connection turns out to
// be closed, although the first copy may have arrived.
bool Relay::isRepeated(const CallBatch &Batch) const {
  return Batch.Epoch_ == Epoch_ &&
         std::find(RecentBatches_.begin(), RecentBatches_.end(),
                   Batch.Number_) != RecentBatches_.end();
}

void Relay::accept(const CallBatch &Batch) {
  if (Batch.Epoch_ > Epoch_) {
    Epoch_ = Batch.Epoch_;
    Leader_ = Batch.Leader_;
    Fenced_ = false;
    Replies_.clear();
    RecentBatches_.clear();
    logEvent(Ports_, LogLevel::Info, "", "relay", Leader_,
             "calls workers for epoch=" + std::to_string(Epoch_));
  }
  RecentBatches_.push_back(Batch.Number_);
  if (RecentBatches_.size() > MaxRecentBatches)
    RecentBatches_.pop_front();
  const bool IsExpired = now() > Batch.Expiry_;
  for (const WorkerCall &Call : Batch.Calls_)
    if (IsExpired && !std::holds_alternative<PollRequest>(Call.Content_))
      addReply(WorkerCallReply{Call.Id_, Error{Reason::StartExpired,
                                               Effect::None,
                                               "relay calls",
                                               Batch.Leader_,
                                               "the order has come too late",
                                               {}}});
    else
      makeCall(Call);
}

// Replies to calls of an earlier leader are dropped.
template <typename Reply>
std::function<void(Result<Reply>)> Relay::replyHandler(std::int64_t Id) {
  return [Self = shared_from_this(), Id,
          Epoch = Epoch_](const Result<Reply> &Outcome) {
    if (Epoch != Self->Epoch_)
      return;
    if (Outcome)
      Self->addReply(WorkerCallReply{Id, Outcome.value()});
    else
      Self->addReply(WorkerCallReply{Id, Outcome.error()});
  };
}

void Relay::makeCall(const WorkerCall &Call) {
  const WorkerTarget &Target = Call.Target_;
  if (const auto *Start = std::get_if<StartOrder>(&Call.Content_))
    return Ports_.Workers_.start(Target, *Start,
                                 replyHandler<OrderReply>(Call.Id_));
  if (const auto *Stop = std::get_if<StopOrder>(&Call.Content_))
    return Ports_.Workers_.stop(Target, Stop->Task_, Stop->Attempt_,
                                replyHandler<OrderReply>(Call.Id_));
  if (const auto *Pace = std::get_if<PaceOrder>(&Call.Content_))
    return Ports_.Workers_.pace(Target, Pace->Task_, Pace->Attempt_,
                                Pace->Percent_,
                                replyHandler<OrderReply>(Call.Id_));
  Ports_.Workers_.poll(Target, std::get<PollRequest>(Call.Content_),
                       replyHandler<PollReply>(Call.Id_));
}

void Relay::addReply(WorkerCallReply Reply) {
  Fenced_ = Fenced_ || isFenced(Reply);
  Replies_.push_back(std::move(Reply));
  scheduleSend(std::max(SentAt_ + SendInterval - now(), Millis{}));
}

void Relay::scheduleSend(Millis Delay) {
  if (SendScheduled_ || SendOpen_)
    return;
  SendScheduled_ = true;
  Ports_.Timers_.after(Delay, [Self = shared_from_this()] {
    Self->SendScheduled_ = false;
    Self->sendReplies();
  });
}

ReplyBatch Relay::takeReplies() {
  ReplyBatch Batch{Address_, Epoch_, {}};
  std::size_t Rows = 0;
  while (!Replies_.empty() && Rows < MaxRowsPerMessage) {
    Rows += countRows(Replies_.front());
    Batch.Replies_.push_back(std::move(Replies_.front()));
    Replies_.pop_front();
  }
  return Batch;
}

void Relay::sendReplies() {
  if (SendOpen_ || Replies_.empty())
    return;
  send(takeReplies(), now());
}

void Relay::send(const ReplyBatch &Batch, Millis FirstSentAt) {
  SendOpen_ = true;
  SentAt_ = now();
  Ports_.Peers_.callBinary(Leader_, "relay.replies", encodeReplyBatch(Batch),
                           SendTimeout,
                           [Self = shared_from_this(), Batch,
                            FirstSentAt](const Result<Json::Value> &Outcome) {
                             Self->SendOpen_ = false;
                             Self->handleSent(Batch, FirstSentAt, Outcome);
                           });
}

// The leader takes a reply once, so a message whose answer was lost is sent
// again.
void Relay::handleSent(const ReplyBatch &Batch, Millis FirstSentAt,
                       const Result<Json::Value> &Outcome) {
  const bool IsCurrent = Batch.Epoch_ == Epoch_;
  const bool IsUnwanted =
      !Outcome && (Outcome.error().Reason_ == Reason::NotOwner ||
                   now() > FirstSentAt + ReplyLifetime);
  if (IsCurrent && IsUnwanted)
    Replies_.clear();
  if (Outcome || IsUnwanted || !IsCurrent) {
    if (!Replies_.empty())
      scheduleSend(std::max(SentAt_ + SendInterval - now(), Millis{}));
    return;
  }
  Ports_.Metrics_.countRetry(Outcome.error().Reason_);
  SendOpen_ = true;
  Ports_.Timers_.after(SendRetryDelay,
                       [Self = shared_from_this(), Batch, FirstSentAt] {
                         Self->SendOpen_ = false;
                         if (Batch.Epoch_ == Self->Epoch_)
                           Self->send(Batch, FirstSentAt);
                         else
                           Self->sendReplies();
                       });
}

} // namespace damaskglade::cell
