#include "drivers/beast/web_client.h"

#include "core/address.h"
#include "drivers/beast/message_parts.h"
#include "drivers/beast/transfer_progress.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <unordered_map>

namespace damaskglade::drivers {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t MaxReplyBytes = std::size_t{16} * 1024 * 1024;
// Replies of at least this size are reported as transfers.
constexpr std::size_t LargeReplyBytes = std::size_t{32} * 1024;

class Connection;

using SteadyClock = std::chrono::steady_clock;

/// Open connections that carry no call, by address and connection group.
class IdlePool {
public:
  void add(std::shared_ptr<Connection> Idle);
  /// The one that was used last; null if there is none. Only connections to the
  /// peer count unless it is empty.
  std::shared_ptr<Connection> take(const std::string &Address,
                                   const std::string &Group,
                                   const std::string &Peer);
  /// Sets the peer of a connection, and closes those to other peers.
  void setPeer(const std::string &Address, std::uint64_t Number,
               const std::string &Peer);
  /// Closes the connections to the address on which nothing was received since
  /// the given time.
  void dropUnheard(const std::string &Address, SteadyClock::time_point Since);
  void close();
  bool isClosed() const { return Closed_; }
  /// Number of a new connection, above zero.
  std::uint64_t nextNumber() { return ++LastNumber_; }

private:
  using Connections = std::vector<std::shared_ptr<Connection>>;

  std::uint64_t LastNumber_ = 0;
  std::unordered_map<std::string, std::map<std::string, Connections>> Idle_;
  bool Closed_ = false;
};

Result<tcp::endpoint> parseEndpoint(const std::string &Address) {
  const auto Parsed = parseHostPort(Address);
  boost::system::error_code Failure;
  const auto Ip =
      boost::asio::ip::make_address(Parsed ? Parsed->Host_ : "", Failure);
  if (Failure)
    return Error{Reason::InvalidField, Effect::None, "parse address", Address,
                 "not an IP number with a port"};
  return tcp::endpoint(Ip, static_cast<unsigned short>(Parsed->Port_));
}

using Socket =
    boost::asio::basic_stream_socket<tcp,
                                     boost::asio::io_context::executor_type>;

// A loop that runs its timers this late has not read the replies that arrived
// meanwhile.
constexpr Millis LateLoopThreshold{20};

/// Until when a call may be sent. A late event loop sends it late, but a
/// process that was paused must not do what it was to do before.
class SendLimit {
public:
  explicit SendLimit(Millis Timeout)
      : End_(SteadyClock::now() +
             std::chrono::milliseconds(Timeout.Value_ * MaxTimeouts)) {}
  bool hasPassed() const { return SteadyClock::now() > End_; }

private:
  static constexpr std::int64_t MaxTimeouts = 4;
  SteadyClock::time_point End_;
};

/// Ends calls at their deadlines with a single timer. A timer per call would be
/// armed and cancelled thousands of times a second by a leader.
class DeadlineQueue : public std::enable_shared_from_this<DeadlineQueue> {
public:
  /// Receives how late the deadline is handled.
  using DeadlineHandler = std::function<void(Millis Lateness)>;
  using Entries = std::multimap<SteadyClock::time_point, DeadlineHandler>;

  explicit DeadlineQueue(boost::asio::io_context &Loop) : Timer_(Loop) {}

  Entries::iterator add(Millis Timeout, DeadlineHandler OnDeadline) {
    const auto Entry = Entries_.emplace(
        SteadyClock::now() + std::chrono::milliseconds(Timeout.Value_),
        std::move(OnDeadline));
    if (!Armed_ || Entry->first < ArmedFor_)
      arm(Entry->first);
    return Entry;
  }

  void remove(Entries::iterator Entry) { Entries_.erase(Entry); }

  // Entries stay, since the connections that added them remove them.
  void stop() { Timer_.cancel(); }

private:
  void arm(SteadyClock::time_point At) {
    Armed_ = true;
    ArmedFor_ = At;
    Timer_.expires_at(At);
    Timer_.async_wait(
        [Queue = weak_from_this()](boost::system::error_code Failure) {
          const auto Self = Queue.lock();
          if (!Failure && Self)
            Self->runDue();
        });
  }

  // Entries of calls that have ended are gone, so the timer may find none due.
  void runDue() {
    Armed_ = false;
    const auto Now = SteadyClock::now();
    while (!Entries_.empty() && Entries_.begin()->first <= Now) {
      const auto Due = Entries_.extract(Entries_.begin());
      const auto Lateness =
          std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                                Due.key());
      Due.mapped()(Millis{Lateness.count()});
    }
    if (!Entries_.empty() && !Armed_)
      arm(Entries_.begin()->first);
  }

  boost::asio::steady_timer Timer_;
  Entries Entries_;
  SteadyClock::time_point ArmedFor_{};
  bool Armed_ = false;
};

// The head and the body of a request as they are sent.
std::string formatRequest(const WebCall &Call) {
  std::string Text = Call.Method_ + ' ' + Call.Target_ + " HTTP/1.1\r\n";
  bool HasHost = false;
  for (const auto &[Name, Value] : Call.Headers_) {
    Text.append(Name).append(": ").append(Value).append("\r\n");
    HasHost = HasHost || Name == "Host";
  }
  if (!HasHost)
    Text.append("Host: ").append(Call.Address_).append("\r\n");
  if (!Call.Body_.empty())
    Text.append("Content-Type: application/json\r\n");
  if (!Call.Body_.empty() || Call.Method_ == "POST" || Call.Method_ == "PUT")
    Text.append("Content-Length: ")
        .append(std::to_string(Call.Body_.size()))
        .append("\r\n");
  return Text.append("\r\n").append(Call.Body_);
}

// Carries one call at a time and returns to the pool after it.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(boost::asio::io_context &Loop, const WebCall &FirstCall,
             std::shared_ptr<IdlePool> Pool,
             std::shared_ptr<DeadlineQueue> Deadlines,
             WebTransferHandler OnTransfer)
      : Loop_(Loop), Socket_(Loop), Address_(FirstCall.Address_),
        Group_(FirstCall.ConnectionGroup_), Pool_(std::move(Pool)),
        Number_(Pool_->nextNumber()), Deadlines_(std::move(Deadlines)),
        OnTransfer_(std::move(OnTransfer)) {}

  void run(const WebCall &Call, WebReplyHandler Done, bool Reused) {
    CalledAt_ = SteadyClock::now();
    IdleTime_ = Reused ? CalledAt_ - HeardAt_ : SteadyClock::duration{};
    Step_ = Call.Method_ + " " + Call.Target_.substr(0, Call.Target_.find('?'));
    Done_ = std::move(Done);
    Sent_ = Reused;
    TimedOut_ = false;
    Reads_ = 0;
    Timeout_ = Call.Timeout_;
    MaxExtension_ = Call.Timeout_;
    SendLimit_.emplace(Call.Timeout_);
    Request_ = formatRequest(Call);
    Progress_ = TransferProgress{Request_.size()};
    ProgressBefore_ = Progress_;
    setDeadline(Call.Timeout_);
    if (Reused)
      return write();
    const auto Endpoint = parseEndpoint(Call.Address_);
    if (!Endpoint) {
      boost::asio::post(
          Loop_, [Self = shared_from_this(), Failure = Endpoint.error()] {
            Self->finish(Failure);
          });
      return;
    }
    Socket_.async_connect(Endpoint.value(), [Self = shared_from_this()](
                                                beast::error_code Failure) {
      Self->onConnected(Failure);
    });
  }

  bool usable() const { return Socket_.is_open() && !Broken_; }
  const std::string &address() const { return Address_; }
  const std::string &group() const { return Group_; }
  std::uint64_t number() const { return Number_; }
  const std::string &peer() const { return Peer_; }
  void setPeer(const std::string &Peer) { Peer_ = Peer; }
  SteadyClock::time_point heardAt() const { return HeardAt_; }

private:
  void setDeadline(Millis Timeout) {
    Deadline_ =
        Deadlines_->add(Timeout, [Connection = std::weak_ptr<class Connection>(
                                      shared_from_this())](Millis Lateness) {
          if (const auto Self = Connection.lock())
            Self->onDeadline(Lateness);
        });
  }

  void onConnected(beast::error_code Failure) {
    TimedOut_ = TimedOut_ || SendLimit_->hasPassed();
    if (Failure || TimedOut_)
      return fail(Failure);
    boost::system::error_code Ignored;
    Socket_.set_option(tcp::no_delay(true), Ignored);
    write();
  }

  void write() {
    Sent_ = true;
    const auto NoteWritten = [this](beast::error_code Failure,
                                    std::size_t Bytes) {
      Progress_.WrittenBytes_ = Bytes;
      return boost::asio::transfer_all()(Failure, Bytes);
    };
    boost::asio::async_write(
        Socket_, boost::asio::buffer(Request_), NoteWritten,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure)
            return Self->fail(Failure);
          Self->read();
        });
  }

  void read() {
    Parser_.emplace();
    Parser_->body_limit(MaxReplyBytes);
    Parser_->eager(true);
    readPart();
  }

  void readPart() {
    http::async_read_some(Socket_, Buffer_, *Parser_,
                          [Self = shared_from_this()](beast::error_code Failure,
                                                      std::size_t Bytes) {
                            Self->onPart(Failure, Bytes);
                          });
  }

  void onPart(beast::error_code Failure, std::size_t Bytes) {
    if (++Reads_ == 1)
      FirstPartAt_ = SteadyClock::now();
    Progress_.ReceivedBytes_ += Bytes;
    if (Failure)
      return fail(Failure);
    if (Parser_->is_done())
      return onReply();
    Progress_.ReplyBytes_ =
        Progress_.ReceivedBytes_ +
        static_cast<std::size_t>(
            Parser_->content_length_remaining().value_or(0));
    reserveForBody(Buffer_, *Parser_);
    readPart();
  }

  void onReply() {
    // The deadline may have closed the socket after the reply had arrived.
    if (TimedOut_)
      return fail(beast::error::timeout);
    HeardAt_ = SteadyClock::now();
    releaseBuffer(Buffer_);
    auto Message = Parser_->release();
    WebReply Reply;
    Reply.Status_ = static_cast<int>(Message.result_int());
    const auto RetryAfter = Message.find(http::field::retry_after);
    if (RetryAfter != Message.end()) {
      constexpr std::int64_t MillisPerSecond = 1000;
      Reply.RetryAfter_ =
          Millis{std::atoll(std::string(RetryAfter->value()).c_str()) *
                 MillisPerSecond};
    }
    Reply.Body_ = std::move(Message.body());
    if (Message.keep_alive() && !Pool_->isClosed()) {
      Reply.Connection_ = Number_;
      Pool_->add(shared_from_this());
    } else {
      close();
    }
    finish(std::move(Reply));
  }

  // A late loop is no sign that the peer is silent. The call gets the time back
  // that the loop was late: once, since a connection, a request and a reply
  // take two further turns of the loop at most.
  void onDeadline(Millis Lateness) {
    constexpr std::int64_t TurnsLeft = 2;
    Deadline_.reset();
    if (Lateness > LateLoopThreshold && MaxExtension_ > Millis{})
      return setDeadline(std::min(Lateness * TurnsLeft,
                                  std::exchange(MaxExtension_, Millis{})));
    // How long a large message takes depends on the link. A call that is cut
    // while it keeps arriving would begin anew and might never end.
    if (keepsMoving(std::exchange(ProgressBefore_, Progress_), Progress_))
      return setDeadline(Timeout_);
    TimedOut_ = true;
    // What silences one connection without a reset silences all that are open
    // then. Each of the others would time out another call.
    if (Sent_)
      Pool_->dropUnheard(Address_, CalledAt_);
    close();
  }

  void close() {
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
  }

  void fail(beast::error_code Failure) {
    Broken_ = true;
    close();
    Error Problem{Reason::AnswerLost, Effect::Unknown, Step_, Address_,
                  Failure.message()};
    if (TimedOut_) {
      Problem.Reason_ = Reason::Timeout;
      Problem.Message_ = timeoutMessage();
    }
    if (!Sent_) {
      Problem.Effect_ = Effect::None;
      // A refused connection tells that no process listens; a silent peer
      // shows only as a timeout.
      if (Problem.Reason_ != Reason::Timeout)
        Problem.Reason_ = Reason::ConnectFailed;
    }
    finish(Problem);
  }

  // A long idle time tells a silent connection from a silent peer, and what was
  // received tells both from a reply that takes long.
  std::string timeoutMessage() const {
    const auto Idle =
        std::chrono::duration_cast<std::chrono::milliseconds>(IdleTime_);
    std::string Message = "timeout";
    if (Idle.count() > 0)
      Message += " on a connection that was idle for " +
                 std::to_string(Idle.count()) + " ms";
    if (Progress_.ReceivedBytes_ > 0)
      Message += " after " + std::to_string(Progress_.ReceivedBytes_) +
                 " bytes in " + std::to_string(Reads_) + " reads";
    return Message;
  }

  void reportTransfer(bool Complete) const {
    if (!OnTransfer_ || Progress_.ReceivedBytes_ < LargeReplyBytes)
      return;
    const auto Duration = std::chrono::duration_cast<std::chrono::milliseconds>(
        SteadyClock::now() - FirstPartAt_);
    OnTransfer_(WebTransfer{Step_, Address_, Progress_.ReceivedBytes_, Reads_,
                            Millis{Duration.count()}, Complete});
  }

  void finish(Result<WebReply> Outcome) {
    if (Deadline_)
      Deadlines_->remove(*Deadline_);
    Deadline_.reset();
    reportTransfer(Outcome.has_value());
    auto Done = std::move(Done_);
    Done_ = nullptr;
    if (Done)
      Done(std::move(Outcome));
  }

  boost::asio::io_context &Loop_;
  Socket Socket_;
  const std::string Address_;
  const std::string Group_;
  const std::shared_ptr<IdlePool> Pool_;
  const std::uint64_t Number_;
  std::string Peer_; ///< Empty while it is not known.
  const std::shared_ptr<DeadlineQueue> Deadlines_;
  const WebTransferHandler OnTransfer_;
  std::optional<DeadlineQueue::Entries::iterator> Deadline_;
  std::optional<SendLimit> SendLimit_;
  /// Limit of the time by which the deadline may still be extended.
  Millis MaxExtension_{};
  SteadyClock::time_point CalledAt_{};
  SteadyClock::time_point HeardAt_{}; ///< When the last reply was received.
  SteadyClock::duration IdleTime_{};  ///< Before the call.
  std::string Step_;
  Millis Timeout_{};
  int Reads_ = 0; ///< Parts of the reply so far.
  TransferProgress Progress_;
  TransferProgress ProgressBefore_; ///< At the last deadline.
  SteadyClock::time_point FirstPartAt_{};
  WebReplyHandler Done_;
  bool Sent_ = false;
  bool TimedOut_ = false;
  bool Broken_ = false;
  std::string Request_;
  beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
};

void IdlePool::add(std::shared_ptr<Connection> Idle) {
  Idle_[Idle->address()][Idle->group()].push_back(std::move(Idle));
}

std::shared_ptr<Connection> IdlePool::take(const std::string &Address,
                                           const std::string &Group,
                                           const std::string &Peer) {
  Connections &Idle = Idle_[Address][Group];
  std::erase_if(Idle, [](const std::shared_ptr<Connection> &Entry) {
    return !Entry->usable();
  });
  const auto Latest =
      std::find_if(Idle.rbegin(), Idle.rend(),
                   [&Peer](const std::shared_ptr<Connection> &Entry) {
                     return Peer.empty() || Entry->peer() == Peer;
                   });
  if (Latest == Idle.rend())
    return nullptr;
  std::shared_ptr<Connection> Taken = std::move(*Latest);
  Idle.erase(std::next(Latest).base());
  return Taken;
}

void IdlePool::setPeer(const std::string &Address, std::uint64_t Number,
                       const std::string &Peer) {
  const auto Groups = Idle_.find(Address);
  if (Groups == Idle_.end())
    return;
  for (auto &[Group, Idle] : Groups->second)
    std::erase_if(Idle, [&](const std::shared_ptr<Connection> &Entry) {
      if (Entry->number() == Number)
        Entry->setPeer(Peer);
      return !Entry->peer().empty() && Entry->peer() != Peer;
    });
}

void IdlePool::dropUnheard(const std::string &Address,
                           SteadyClock::time_point Since) {
  const auto Groups = Idle_.find(Address);
  if (Groups == Idle_.end())
    return;
  for (auto &[Group, Idle] : Groups->second)
    std::erase_if(Idle, [Since](const std::shared_ptr<Connection> &Entry) {
      return Entry->heardAt() < Since;
    });
}

void IdlePool::close() {
  Closed_ = true;
  Idle_.clear();
}

// Keeps connections open between calls. A peer may have closed one meanwhile,
// which shows when the next call uses it.
class PooledWebClient : public WebClient {
public:
  PooledWebClient(boost::asio::io_context &Loop, WebTransferHandler OnTransfer)
      : Loop_(Loop), Pool_(std::make_shared<IdlePool>()),
        Deadlines_(std::make_shared<DeadlineQueue>(Loop)),
        OnTransfer_(std::move(OnTransfer)) {}

  ~PooledWebClient() override {
    Pool_->close();
    Deadlines_->stop();
  }

  void call(const WebCall &Call, WebReplyHandler Done) override {
    const auto Idle =
        Call.NeedsNewConnection_
            ? nullptr
            : Pool_->take(Call.Address_, Call.ConnectionGroup_, Call.Peer_);
    if (Idle && !Call.Peer_.empty())
      return Idle->run(Call, std::move(Done), true);
    if (Idle)
      return callReused(*Idle, Call, std::move(Done));
    if (!Call.Peer_.empty())
      return Done(Error{Reason::ConnectFailed, Effect::None, Call.Target_,
                        Call.Address_, "no connection to the process is open"});
    std::make_shared<Connection>(Loop_, Call, Pool_, Deadlines_, OnTransfer_)
        ->run(Call, std::move(Done), false);
  }

  void setPeer(const std::string &Address, std::uint64_t Connection,
               const std::string &Peer) override {
    Pool_->setPeer(Address, Connection, Peer);
  }

private:
  // The calls are safe to repeat with the same content, but for those that are
  // meant for one process of their peer. So a reused connection that turns out
  // to be closed is replaced once.
  void callReused(Connection &Idle, const WebCall &Call, WebReplyHandler Done) {
    Idle.run(
        Call,
        [this, Call, Pool = Pool_, CalledAt = SteadyClock::now(),
         Limit = SendLimit(Call.Timeout_),
         Done = std::move(Done)](Result<WebReply> Outcome) {
          const bool Closed = !Outcome &&
                              Outcome.error().Reason_ == Reason::AnswerLost &&
                              !Pool->isClosed();
          if (!Closed || Limit.hasPassed())
            return Done(std::move(Outcome));
          Pool->dropUnheard(Call.Address_, CalledAt);
          std::make_shared<Connection>(Loop_, Call, Pool, Deadlines_,
                                       OnTransfer_)
              ->run(Call, keepUnknown(Done), false);
        },
        true);
  }

  // The first try may have had an effect, whatever becomes of the second.
  static WebReplyHandler keepUnknown(WebReplyHandler Done) {
    return [Done = std::move(Done)](Result<WebReply> Outcome) {
      if (Outcome) {
        WebReply Reply = std::move(Outcome).value();
        Reply.Resent_ = true;
        return Done(std::move(Reply));
      }
      Error Failure = Outcome.error();
      Failure.Effect_ = Effect::Unknown;
      Done(std::move(Failure));
    };
  }

  boost::asio::io_context &Loop_;
  const std::shared_ptr<IdlePool> Pool_;
  const std::shared_ptr<DeadlineQueue> Deadlines_;
  const WebTransferHandler OnTransfer_;
};

} // namespace

std::unique_ptr<WebClient> makeWebClient(boost::asio::io_context &Loop,
                                         WebTransferHandler OnTransfer) {
  return std::make_unique<PooledWebClient>(Loop, std::move(OnTransfer));
}

} // namespace damaskglade::drivers
