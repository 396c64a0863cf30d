#include "drivers/beast/http_session.h"

#include "drivers/beast/message_parts.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>

namespace damaskglade::drivers {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(tcp::socket Socket, const ListenerLimits &Limits,
              WebHandler Handler, std::shared_ptr<SessionRegistry> Registry)
      : Stream_(std::move(Socket)), Limits_(Limits),
        Handler_(std::move(Handler)), Registry_(std::move(Registry)) {
    Registry_->Sessions_.insert(this);
  }

  ~HttpSession() {
    Registry_->Sessions_.erase(this);
    if (Busy_)
      --Registry_->OpenRequests_;
  }

  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  void read() {
    Parser_.emplace();
    Parser_->header_limit(static_cast<std::uint32_t>(Limits_.HeaderBytes_));
    Parser_->body_limit(Limits_.BodyBytes_);
    Parser_->eager(true);
    Stream_.expires_after(std::chrono::milliseconds(Limits_.Idle_.Value_));
    readPart();
  }

  void closeIfIdle() {
    if (Busy_ || (Parser_ && Parser_->got_some()))
      return;
    close();
  }

private:
  void readPart() {
    http::async_read_some(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure || Self->Parser_->is_done())
            return Self->onRead(Failure);
          reserveForBody(Self->Buffer_, *Self->Parser_);
          Self->readPart();
        });
  }

  void onRead(beast::error_code Failure) {
    releaseBuffer(Buffer_);
    if (Failure == http::error::body_limit ||
        Failure == http::error::header_limit) {
      constexpr int BodyTooLarge = 413;
      KeepAlive_ = false;
      begin();
      send(WebReply{BodyTooLarge, R"({"error":"body_too_large"})"});
      return;
    }
    if (Failure)
      return close();
    auto Message = Parser_->release();
    KeepAlive_ = Message.keep_alive();
    WebRequest Request;
    Request.Method_ = std::string(Message.method_string());
    Request.Target_ = std::string(Message.target());
    for (const auto &Field : Message) {
      std::string Name(Field.name_string());
      std::transform(Name.begin(), Name.end(), Name.begin(),
                     [](unsigned char Letter) {
                       return static_cast<char>(std::tolower(Letter));
                     });
      Request.Headers_[Name] = std::string(Field.value());
    }
    Request.Body_ = std::move(Message.body());
    Stream_.expires_never();
    begin();
    Handler_(std::move(Request), [Self = shared_from_this()](WebReply Reply) {
      Self->send(std::move(Reply));
    });
  }

  void begin() {
    Busy_ = true;
    ++Registry_->OpenRequests_;
  }

  void send(WebReply Reply) {
    constexpr int Version = 11;
    Response_ = {};
    Response_.version(Version);
    Response_.result(static_cast<unsigned>(Reply.Status_));
    Response_.set(http::field::content_type, Reply.ContentType_);
    if (Reply.RetryAfter_ > Millis{}) {
      constexpr std::int64_t MillisPerSecond = 1000;
      Response_.set(
          http::field::retry_after,
          std::to_string((Reply.RetryAfter_.Value_ + MillisPerSecond - 1) /
                         MillisPerSecond));
    }
    Response_.keep_alive(KeepAlive_ && !Registry_->Draining_);
    Response_.body() = std::move(Reply.Body_);
    Response_.prepare_payload();
    Stream_.expires_after(std::chrono::milliseconds(Limits_.Idle_.Value_));
    http::async_write(
        Stream_, Response_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          Self->onWritten(Failure);
        });
  }

  void onWritten(beast::error_code Failure) {
    Busy_ = false;
    --Registry_->OpenRequests_;
    if (Failure || !Response_.keep_alive())
      return close();
    read();
  }

  void close() {
    beast::error_code Ignored;
    Stream_.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Stream_.close();
  }

  beast::tcp_stream Stream_;
  const ListenerLimits Limits_;
  const WebHandler Handler_;
  const std::shared_ptr<SessionRegistry> Registry_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  http::response<http::string_body> Response_;
  bool KeepAlive_ = true;
  bool Busy_ = false;
};

void serveConnection(tcp::socket Socket, const ListenerLimits &Limits,
                     const WebHandler &Handler,
                     const std::shared_ptr<SessionRegistry> &Registry) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  std::make_shared<HttpSession>(std::move(Socket), Limits, Handler, Registry)
      ->read();
}

void closeIdleSessions(SessionRegistry &Registry) {
  const std::vector<HttpSession *> Sessions(Registry.Sessions_.begin(),
                                            Registry.Sessions_.end());
  for (HttpSession *Each : Sessions)
    Each->closeIfIdle();
}

} // namespace damaskglade::drivers
