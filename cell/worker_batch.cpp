#include "cell/worker_batch.h"

#include "core/codec.h"

#include <map>
#include <msgpack.hpp>

namespace damaskglade::cell {

namespace {

// Kinds of calls and of replies: the second column of their rows.
enum class CallKind { Start, Stop, Pace, Poll };
enum class ReplyKind { Order, Poll, Failure };

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Packs a row with the given columns.
template <typename... Columns>
void packRow(Packer &Out, const Columns &...Values) {
  Out.pack_array(sizeof...(Columns));
  (Out.pack(Values), ...);
}

template <typename Enum> std::int64_t numberOf(Enum Value) {
  return static_cast<std::int64_t>(Value);
}

// An array takes memory for as many elements as it claims to have. None has
// more elements than the text has bytes.
msgpack::object_handle unpack(const std::string &Text) {
  const std::size_t Limit = Text.size();
  constexpr std::size_t MaxDepth = 8;
  return msgpack::unpack(
      Text.data(), Text.size(), nullptr, nullptr,
      msgpack::unpack_limit(Limit, Limit, Limit, Limit, Limit, MaxDepth));
}

/// Takes the columns of a row in order. A missing column or one of another type
/// throws.
class RowReader {
public:
  explicit RowReader(const msgpack::object &Row) : Row_(arrayIn(Row)) {}

  bool hasMore() const { return Column_ < Row_.size; }
  std::int64_t number() { return next().as<std::int64_t>(); }
  bool flag() { return next().as<bool>(); }
  Millis time() { return Millis{number()}; }
  std::string text() { return next().as<std::string>(); }
  /// An enumerator up to the given last one.
  template <typename Enum> Enum enumerator(Enum Last) {
    const std::int64_t Number = number();
    if (Number < 0 || Number > numberOf(Last))
      throw msgpack::type_error();
    return static_cast<Enum>(Number);
  }
  /// Calls the function with each element of an array.
  template <typename Function> void forEach(const Function &Use) {
    const msgpack::object_array Elements = arrayIn(next());
    for (std::uint32_t Index = 0; Index < Elements.size; ++Index)
      Use(Elements.ptr[Index]);
  }

private:
  static msgpack::object_array arrayIn(const msgpack::object &Value) {
    if (Value.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    return Value.via.array;
  }

  const msgpack::object &next() {
    if (Column_ >= Row_.size)
      throw msgpack::type_error();
    return Row_.ptr[Column_++];
  }

  const msgpack::object_array Row_;
  std::uint32_t Column_ = 0;
};

/// The payloads of a batch, each stored once: the tasks of a job share theirs.
class PayloadTable {
public:
  explicit PayloadTable(const CallBatch &Batch) {
    for (const WorkerCall &Call : Batch.Calls_)
      if (const auto *Start = std::get_if<StartOrder>(&Call.Content_))
        if (Indexes_.try_emplace(Start->Payload_, Payloads_.size()).second)
          Payloads_.push_back(Start->Payload_);
  }
  std::size_t indexOf(const std::string &Payload) const {
    return Indexes_.at(Payload);
  }
  const std::vector<std::string> &payloads() const { return Payloads_; }

private:
  std::map<std::string, std::size_t> Indexes_;
  std::vector<std::string> Payloads_;
};

void packCall(Packer &Out, const WorkerCall &Call,
              const PayloadTable &Payloads) {
  const WorkerTarget &Target = Call.Target_;
  const auto Pack = [&](CallKind Kind, const auto &...Columns) {
    packRow(Out, Call.Id_, numberOf(Kind), Target.Worker_, Target.Address_,
            Columns..., Target.ProcessStart_);
  };
  if (const auto *Start = std::get_if<StartOrder>(&Call.Content_))
    return Pack(CallKind::Start, Start->Task_, Start->Attempt_,
                Payloads.indexOf(Start->Payload_), Start->LeaseEnd_.Value_,
                Start->Checkpoint_, Start->Ticket_);
  if (const auto *Stop = std::get_if<StopOrder>(&Call.Content_))
    return Pack(CallKind::Stop, Stop->Task_, Stop->Attempt_);
  if (const auto *Pace = std::get_if<PaceOrder>(&Call.Content_))
    return Pack(CallKind::Pace, Pace->Task_, Pace->Attempt_, Pace->Percent_);
  const auto &Poll = std::get<PollRequest>(Call.Content_);
  Pack(CallKind::Poll, Poll.LeaseEnd_.Value_, Poll.LastRecordedEnd_,
       Poll.Wait_.Value_);
}

WorkerCallContent decodeContent(CallKind Kind, RowReader &Row,
                                const std::vector<std::string> &Payloads) {
  switch (Kind) {
  case CallKind::Start: {
    StartOrder Start;
    Start.Task_ = Row.text();
    Start.Attempt_ = Row.number();
    const auto Payload = static_cast<std::size_t>(Row.number());
    if (Payload >= Payloads.size())
      throw msgpack::type_error();
    Start.Payload_ = Payloads[Payload];
    Start.LeaseEnd_ = Row.time();
    Start.Checkpoint_ = Row.text();
    Start.Ticket_ = Row.text();
    return Start;
  }
  case CallKind::Stop: {
    StopOrder Stop;
    Stop.Task_ = Row.text();
    Stop.Attempt_ = Row.number();
    return Stop;
  }
  case CallKind::Pace: {
    PaceOrder Pace;
    Pace.Task_ = Row.text();
    Pace.Attempt_ = Row.number();
    Pace.Percent_ = static_cast<int>(Row.number());
    return Pace;
  }
  case CallKind::Poll:
    break;
  }
  PollRequest Poll;
  Poll.LeaseEnd_ = Row.time();
  Poll.LastRecordedEnd_ = Row.number();
  Poll.Wait_ = Row.time();
  return Poll;
}

WorkerCall decodeCall(const msgpack::object &Value, std::int64_t Epoch,
                      const std::vector<std::string> &Payloads) {
  RowReader Row(Value);
  WorkerCall Call;
  Call.Id_ = Row.number();
  const auto Kind = Row.enumerator(CallKind::Poll);
  Call.Target_.Worker_ = Row.text();
  Call.Target_.Address_ = Row.text();
  Call.Target_.FencingToken_ = Epoch;
  Call.Content_ = decodeContent(Kind, Row, Payloads);
  // Leaders of earlier releases do not tell it.
  if (Row.hasMore())
    Call.Target_.ProcessStart_ = Row.number();
  return Call;
}

void packPollReply(Packer &Out, std::int64_t Id, const PollReply &Reply) {
  constexpr std::uint32_t Columns = 8;
  Out.pack_array(Columns);
  Out.pack(Id);
  Out.pack(numberOf(ReplyKind::Poll));
  Out.pack(numberOf(Reply.Outcome_));
  Out.pack(Reply.Clock_.Value_);
  Out.pack(Reply.ProcessStart_);
  Out.pack_array(static_cast<std::uint32_t>(Reply.Running_.size()));
  for (const RunningEntry &Entry : Reply.Running_)
    packRow(Out, Entry.Task_, Entry.Attempt_, Entry.Checkpoint_, Entry.Percent_,
            Entry.Gauge_);
  Out.pack_array(static_cast<std::uint32_t>(Reply.Ended_.size()));
  for (const EndedTask &Entry : Reply.Ended_)
    packRow(Out, Entry.SequenceNumber_, Entry.Task_, Entry.Attempt_,
            numberOf(Entry.End_), Entry.Checkpoint_);
  Out.pack(Reply.Unbound_);
}

PollReply decodePollReply(RowReader &Row) {
  PollReply Reply;
  Reply.Outcome_ = Row.enumerator(OrderOutcome::Restarted);
  Reply.Clock_ = Row.time();
  Reply.ProcessStart_ = Row.number();
  Row.forEach([&](const msgpack::object &Value) {
    RowReader Entry(Value);
    RunningEntry Running;
    Running.Task_ = Entry.text();
    Running.Attempt_ = Entry.number();
    Running.Checkpoint_ = Entry.text();
    Running.Percent_ = static_cast<int>(Entry.number());
    Running.Gauge_ = Entry.number();
    Reply.Running_.push_back(std::move(Running));
  });
  Row.forEach([&](const msgpack::object &Value) {
    RowReader Entry(Value);
    EndedTask Ended;
    Ended.SequenceNumber_ = Entry.number();
    Ended.Task_ = Entry.text();
    Ended.Attempt_ = Entry.number();
    Ended.End_ = Entry.enumerator(TaskEnd::GangAlone);
    Ended.Checkpoint_ = Entry.text();
    Reply.Ended_.push_back(std::move(Ended));
  });
  // Relays of earlier releases do not tell it.
  Reply.Unbound_ = Row.hasMore() && Row.flag();
  return Reply;
}

void packReply(Packer &Out, const WorkerCallReply &Reply) {
  if (const auto *Order = std::get_if<OrderReply>(&Reply.Content_))
    return packRow(Out, Reply.Id_, numberOf(ReplyKind::Order),
                   numberOf(Order->Outcome_), Order->Clock_.Value_);
  if (const auto *Poll = std::get_if<PollReply>(&Reply.Content_))
    return packPollReply(Out, Reply.Id_, *Poll);
  packRow(Out, Reply.Id_, numberOf(ReplyKind::Failure),
          writeJson(encodeError(std::get<Error>(Reply.Content_))));
}

WorkerCallReply decodeReply(const msgpack::object &Value) {
  RowReader Row(Value);
  WorkerCallReply Reply;
  Reply.Id_ = Row.number();
  switch (Row.enumerator(ReplyKind::Failure)) {
  case ReplyKind::Order: {
    OrderReply Order;
    Order.Outcome_ = Row.enumerator(OrderOutcome::Restarted);
    Order.Clock_ = Row.time();
    Reply.Content_ = Order;
    return Reply;
  }
  case ReplyKind::Poll:
    Reply.Content_ = decodePollReply(Row);
    return Reply;
  case ReplyKind::Failure:
    break;
  }
  const auto Failure = parseJson(Row.text(), "decode relayed replies");
  if (!Failure)
    throw msgpack::type_error();
  Reply.Content_ = decodeError(Failure.value());
  return Reply;
}

} // namespace

std::string encodeCallBatch(const CallBatch &Batch) {
  const PayloadTable Payloads(Batch);
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  constexpr std::uint32_t Columns = 7;
  Out.pack_array(Columns);
  Out.pack(Batch.Leader_);
  Out.pack(Batch.Epoch_);
  Out.pack(Batch.Number_);
  Out.pack(Batch.Relay_);
  Out.pack(Batch.Expiry_.Value_);
  Out.pack(Payloads.payloads());
  Out.pack_array(static_cast<std::uint32_t>(Batch.Calls_.size()));
  for (const WorkerCall &Call : Batch.Calls_)
    packCall(Out, Call, Payloads);
  return std::string(Buffer.data(), Buffer.size());
}

Result<CallBatch> decodeCallBatch(const std::string &Text) try {
  const msgpack::object_handle Root = unpack(Text);
  RowReader Row(Root.get());
  CallBatch Batch;
  Batch.Leader_ = Row.text();
  Batch.Epoch_ = Row.number();
  Batch.Number_ = Row.number();
  Batch.Relay_ = Row.text();
  Batch.Expiry_ = Row.time();
  std::vector<std::string> Payloads;
  Row.forEach([&](const msgpack::object &Value) {
    Payloads.push_back(Value.as<std::string>());
  });
  Row.forEach([&](const msgpack::object &Value) {
    Batch.Calls_.push_back(decodeCall(Value, Batch.Epoch_, Payloads));
  });
  return Batch;
} catch (const std::exception &Failure) {
  return invalidField("decode relayed calls", "calls", Failure.what());
}

std::string encodeReplyBatch(const ReplyBatch &Batch) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  constexpr std::uint32_t Columns = 3;
  Out.pack_array(Columns);
  Out.pack(Batch.Relay_);
  Out.pack(Batch.Epoch_);
  Out.pack_array(static_cast<std::uint32_t>(Batch.Replies_.size()));
  for (const WorkerCallReply &Reply : Batch.Replies_)
    packReply(Out, Reply);
  return std::string(Buffer.data(), Buffer.size());
}

Result<ReplyBatch> decodeReplyBatch(const std::string &Text) try {
  const msgpack::object_handle Root = unpack(Text);
  RowReader Row(Root.get());
  ReplyBatch Batch;
  Batch.Relay_ = Row.text();
  Batch.Epoch_ = Row.number();
  Row.forEach([&](const msgpack::object &Value) {
    Batch.Replies_.push_back(decodeReply(Value));
  });
  return Batch;
} catch (const std::exception &Failure) {
  return invalidField("decode relayed replies", "replies", Failure.what());
}

} // namespace damaskglade::cell
