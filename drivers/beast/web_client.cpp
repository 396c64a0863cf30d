#include "drivers/beast/web_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_map>

namespace damaskglade::drivers {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t MaxReplyBytes = std::size_t{16} * 1024 * 1024;

class Connection;

/// Idle connections by address and connection group.
struct IdlePool {
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>>
      Idle_;
  bool Closed_ = false;
};

Result<tcp::endpoint> parseAddress(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  boost::system::error_code Failure;
  const auto Ip = boost::asio::ip::make_address(
      Address.substr(0, Colon == std::string::npos ? 0 : Colon), Failure);
  int Port = 0;
  if (!Failure)
    Port = std::atoi(Address.c_str() + Colon + 1);
  if (Failure || Port <= 0)
    return Error{Reason::InvalidField, Effect::None, "parse address", Address,
                 "not an IP number with a port"};
  return tcp::endpoint(Ip, static_cast<unsigned short>(Port));
}

// Carries one call at a time and returns to the pool after it.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(boost::asio::io_context &Loop, std::string PoolKey,
             std::shared_ptr<IdlePool> Pool)
      : Loop_(Loop), Stream_(Loop), PoolKey_(std::move(PoolKey)),
        Pool_(std::move(Pool)) {}

  void run(const WebCall &Call, WebReplyHandler Done, bool Reused) {
    Address_ = Call.Address_;
    Step_ = Call.Method_ + " " + Call.Target_.substr(0, Call.Target_.find('?'));
    Done_ = std::move(Done);
    Reused_ = Reused;
    Sent_ = Reused;
    Request_ = {};
    constexpr int Version = 11;
    Request_.version(Version);
    Request_.method_string(Call.Method_);
    Request_.target(Call.Target_);
    bool HasHost = false;
    for (const auto &[Name, Value] : Call.Headers_) {
      Request_.set(Name, Value);
      HasHost = HasHost || Name == "Host";
    }
    if (!HasHost)
      Request_.set(http::field::host, Call.Address_);
    if (!Call.Body_.empty())
      Request_.set(http::field::content_type, "application/json");
    Request_.body() = Call.Body_;
    Request_.prepare_payload();
    Stream_.expires_after(std::chrono::milliseconds(Call.Timeout_.Value_));
    if (Reused)
      return write();
    const auto Endpoint = parseAddress(Call.Address_);
    if (!Endpoint) {
      boost::asio::post(
          Loop_, [Self = shared_from_this(), Failure = Endpoint.error()] {
            Self->finish(Failure);
          });
      return;
    }
    Stream_.async_connect(Endpoint.value(), [Self = shared_from_this()](
                                                beast::error_code Failure) {
      Self->onConnected(Failure);
    });
  }

  bool usable() const { return Stream_.socket().is_open() && !Broken_; }

private:
  void onConnected(beast::error_code Failure) {
    if (Failure)
      return fail(Failure);
    boost::system::error_code Ignored;
    Stream_.socket().set_option(tcp::no_delay(true), Ignored);
    write();
  }

  void write() {
    Sent_ = true;
    http::async_write(
        Stream_, Request_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure)
            return Self->fail(Failure);
          Self->read();
        });
  }

  void read() {
    Parser_.emplace();
    Parser_->body_limit(MaxReplyBytes);
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure)
            return Self->fail(Failure);
          Self->onReply();
        });
  }

  void onReply() {
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
    Stream_.expires_never();
    if (Message.keep_alive() && !Pool_->Closed_)
      Pool_->Idle_[PoolKey_].push_back(shared_from_this());
    else
      Stream_.close();
    finish(std::move(Reply));
  }

  void fail(beast::error_code Failure) {
    Broken_ = true;
    Stream_.close();
    Error Problem{Reason::AnswerLost, Effect::Unknown, Step_, Address_,
                  Failure.message()};
    if (Failure == beast::error::timeout)
      Problem.Reason_ = Reason::Timeout;
    if (!Sent_) {
      Problem.Effect_ = Effect::None;
      // A refused connection tells that no process listens; a silent peer
      // shows only as a timeout.
      if (Problem.Reason_ != Reason::Timeout)
        Problem.Reason_ = Reason::ConnectFailed;
    }
    finish(Problem);
  }

  void finish(Result<WebReply> Outcome) {
    auto Done = std::move(Done_);
    Done_ = nullptr;
    if (Done)
      Done(std::move(Outcome));
  }

  boost::asio::io_context &Loop_;
  beast::tcp_stream Stream_;
  const std::string PoolKey_;
  const std::shared_ptr<IdlePool> Pool_;
  std::string Address_;
  std::string Step_;
  WebReplyHandler Done_;
  bool Reused_ = false;
  bool Sent_ = false;
  bool Broken_ = false;
  http::request<http::string_body> Request_;
  beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
};

// Keeps connections open between calls. A peer may have closed one meanwhile,
// which shows when the next call uses it.
class PooledWebClient : public WebClient {
public:
  explicit PooledWebClient(boost::asio::io_context &Loop)
      : Loop_(Loop), Pool_(std::make_shared<IdlePool>()) {}

  ~PooledWebClient() override {
    Pool_->Closed_ = true;
    Pool_->Idle_.clear();
  }

  void call(const WebCall &Call, WebReplyHandler Done) override {
    const std::string Key = Call.Address_ + '/' + Call.ConnectionGroup_;
    auto &Idle = Pool_->Idle_[Key];
    while (!Idle.empty()) {
      const auto Connection = Idle.back();
      Idle.pop_back();
      if (!Connection->usable())
        continue;
      callReused(Connection, Key, Call, std::move(Done));
      return;
    }
    std::make_shared<class Connection>(Loop_, Key, Pool_)
        ->run(Call, std::move(Done), false);
  }

private:
  // All calls of this product are safe to repeat with the same content, so a
  // reused connection that turns out to be closed is replaced once.
  void callReused(const std::shared_ptr<class Connection> &Connection,
                  const std::string &Key, const WebCall &Call,
                  WebReplyHandler Done) {
    Connection->run(
        Call,
        [this, Call, Key, Pool = Pool_,
         Done = std::move(Done)](Result<WebReply> Outcome) {
          const bool Closed = !Outcome &&
                              Outcome.error().Reason_ == Reason::AnswerLost &&
                              !Pool->Closed_;
          if (!Closed)
            return Done(std::move(Outcome));
          Pool->Idle_[Key].clear();
          std::make_shared<class Connection>(Loop_, Key, Pool)
              ->run(Call, keepUnknown(Done), false);
        },
        true);
  }

  // The first try may have had an effect, whatever becomes of the second.
  static WebReplyHandler keepUnknown(WebReplyHandler Done) {
    return [Done = std::move(Done)](Result<WebReply> Outcome) {
      if (Outcome)
        return Done(std::move(Outcome));
      Error Failure = Outcome.error();
      Failure.Effect_ = Effect::Unknown;
      Done(std::move(Failure));
    };
  }

  boost::asio::io_context &Loop_;
  const std::shared_ptr<IdlePool> Pool_;
};

} // namespace

std::unique_ptr<WebClient> makeWebClient(boost::asio::io_context &Loop) {
  return std::make_unique<PooledWebClient>(Loop);
}

} // namespace damaskglade::drivers
