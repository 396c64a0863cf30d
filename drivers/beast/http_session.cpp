#include "drivers/beast/http_session.h"

#include "core/boot_clock.h"
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

namespace {

// Part of a buffer for a header that has arrived with the message before it.
constexpr std::size_t MaxBufferedHeader = std::size_t{32} * 1024;

} // namespace

class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(tcp::socket Socket, const ListenerLimits &Limits,
              WebHandler Handler, std::shared_ptr<SessionRegistry> Registry)
      : Stream_(std::move(Socket)), Limits_(Limits),
        Handler_(std::move(Handler)), Registry_(std::move(Registry)) {
    Registry_->Sessions_.insert(this);
    if (Limits_.Guarded_)
      ++Registry_->Guarded_;
    Since_ = now();
  }

  ~HttpSession() {
    Registry_->Sessions_.erase(this);
    leave();
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
    Since_ = now();
    Received_ = 0;
    Headed_ = false;
    Stream_.expires_after(std::chrono::milliseconds(Limits_.Idle_.Value_));
    readFirst();
  }

  void closeIfIdle() {
    if (Busy_ || (Parser_ && Parser_->got_some()))
      return;
    close();
  }

  bool isCloseable() const { return Limits_.Guarded_ && !Closed_; }

  SessionUse use() const {
    return SessionUse{Since_, Received_, Bytes_, InHandler_};
  }

  void reject(const std::string &Reason) {
    if (Registry_->OnRejected_)
      Registry_->OnRejected_(Reason);
  }

  void close() {
    leave();
    beast::error_code Ignored;
    Stream_.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Stream_.close();
  }

private:
  static Millis now() { return SystemClock().monotonic(); }

  // A closed session gives back its share before its memory is freed, which
  // the loop does when it runs the cancelled callbacks.
  void leave() {
    hold(0);
    if (!std::exchange(Closed_, true) && Limits_.Guarded_)
      --Registry_->Guarded_;
  }

  void hold(std::size_t Bytes) {
    if (!Limits_.Guarded_)
      return;
    Registry_->Bytes_ += Bytes;
    Registry_->Bytes_ -= Bytes_;
    Bytes_ = Bytes;
  }

  // Memory of the request that is being read. A body with a length is
  // allocated at once; others double when they grow.
  std::size_t requestBytes() const {
    std::size_t Bytes = Buffer_.capacity();
    if (Parser_->is_header_done())
      Bytes += Parser_->get().body().capacity() + Limits_.HeaderBytes_;
    return Bytes;
  }

  // Beast reports a header when it is complete, so its first bytes are read
  // apart: the time for a header starts with them.
  void readFirst() {
    const Millis Time = Registry_->Limits_.HeaderTime_;
    if (!Limits_.Guarded_ || Time == Millis{})
      return readPart();
    if (Buffer_.size() > 0) {
      hold(Limits_.HeaderBytes_);
      if (!makeRoom())
        return;
      Stream_.expires_after(std::chrono::milliseconds(Time.Value_));
      return readPart();
    }
    constexpr std::size_t FirstBytes = 512;
    Stream_.async_read_some(
        Buffer_.prepare(FirstBytes),
        [Self = shared_from_this(), Time](beast::error_code Failure,
                                          std::size_t Bytes) {
          if (Failure || Self->Closed_)
            return Self->close();
          Self->Buffer_.commit(Bytes);
          Self->Since_ = now();
          Self->Received_ = Bytes;
          Self->hold(Self->Limits_.HeaderBytes_);
          if (!Self->makeRoom())
            return;
          Self->Stream_.expires_after(std::chrono::milliseconds(Time.Value_));
          Self->readPart();
        });
  }

  // Closes other sessions until the bytes held are within the limit. Returns
  // false if that is not possible and the request has been rejected.
  bool makeRoom() {
    const std::size_t Limit = Registry_->Limits_.Bytes_;
    while (Limit > 0 && Registry_->Bytes_ > Limit) {
      if (closeOneSession(*Registry_, true, "memory", this))
        continue;
      reject("memory");
      constexpr int Unavailable = 503;
      constexpr Millis RetryAfter{1000};
      refuse(WebReply{Unavailable, R"({"error":"overloaded"})",
                      "application/json", RetryAfter});
      return false;
    }
    return true;
  }

  // Makes room for the request that is being read. Returns false if it has
  // been rejected.
  bool admit(std::size_t NewBytes) {
    if (!Limits_.Guarded_)
      return true;
    const SessionLimits &Common = Registry_->Limits_;
    Received_ += NewBytes;
    hold(requestBytes());
    if (!makeRoom())
      return false;
    if (!Parser_->is_header_done())
      return true;
    if (std::exchange(Headed_, true))
      return true;
    const auto &Fields = Parser_->get();
    if (Common.Fields_ > 0 &&
        static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end())) >
            Common.Fields_) {
      constexpr int FieldsTooLarge = 431;
      reject("header_fields");
      refuse(WebReply{FieldsTooLarge, R"({"error":"too_many_fields"})"});
      return false;
    }
    if (Common.HeaderTime_ > Millis{} && !Parser_->is_done()) {
      const auto Length = Parser_->content_length_remaining();
      const Millis Time =
          bodyTime(Common, Length ? *Length : Limits_.BodyBytes_);
      Stream_.expires_after(std::chrono::milliseconds(Time.Value_));
    }
    return true;
  }

  // Replies to a request that is not passed on.
  void refuse(WebReply Reply) {
    KeepAlive_ = false;
    Parser_.reset();
    Buffer_.clear();
    releaseBuffer(Buffer_);
    begin();
    send(std::move(Reply));
  }

  void readPart() {
    http::async_read_some(Stream_, Buffer_, *Parser_,
                          [Self = shared_from_this()](beast::error_code Failure,
                                                      std::size_t Bytes) {
                            if (Self->Closed_ ||
                                (!Failure && !Self->admit(Bytes)))
                              return;
                            if (Failure || Self->Parser_->is_done())
                              return Self->onRead(Failure);
                            reserveForBody(Self->Buffer_, *Self->Parser_);
                            Self->hold(Self->requestBytes());
                            Self->readPart();
                          });
  }

  void onRead(beast::error_code Failure) {
    releaseBuffer(Buffer_);
    if (Failure == http::error::body_limit ||
        Failure == http::error::header_limit) {
      constexpr int BodyTooLarge = 413;
      constexpr int HeaderTooLarge = 431;
      const bool IsHeader = Failure == http::error::header_limit;
      if (Limits_.Guarded_)
        reject(IsHeader ? "header_size" : "body_size");
      refuse(Limits_.Guarded_ && IsHeader
                 ? WebReply{HeaderTooLarge, R"({"error":"header_too_large"})"}
                 : WebReply{BodyTooLarge, R"({"error":"body_too_large"})"});
      return;
    }
    if (Failure) {
      if (Failure == beast::error::timeout && Received_ > 0)
        reject("too_slow");
      return close();
    }
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
    Request.Waited_ = longestWait(Registry_->Stalls_, BootClock().monotonic());
    Parser_.reset();
    Stream_.expires_never();
    InHandler_ = true;
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
    InHandler_ = false;
    if (Closed_)
      return;
    Since_ = now();
    Received_ = 0;
    hold(Reply.Body_.capacity() + Buffer_.capacity());
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
    if (Failure || !Response_.keep_alive() || Closed_)
      return close();
    Response_ = {};
    hold(Buffer_.size());
    read();
  }

  beast::tcp_stream Stream_;
  const ListenerLimits Limits_;
  const WebHandler Handler_;
  const std::shared_ptr<SessionRegistry> Registry_;
  // Beast reads chunk extensions and trailers of any length into the buffer.
  beast::flat_buffer Buffer_{MaxPartBytes + MaxBufferedHeader};
  std::optional<http::request_parser<http::string_body>> Parser_;
  http::response<http::string_body> Response_;
  bool KeepAlive_ = true;
  bool Busy_ = false;
  bool InHandler_ = false;
  bool Headed_ = false; ///< The header of the request has been checked.
  bool Closed_ = false;
  Millis Since_{};           ///< Start of the request, reply or idle time.
  std::size_t Received_ = 0; ///< Bytes of the request that is being read.
  std::size_t Bytes_ = 0;    ///< Counted in SessionRegistry::Bytes_.
};

bool closeOneSession(SessionRegistry &Registry, bool HoldsBytes,
                     const std::string &Reason, const HttpSession *Except) {
  std::vector<HttpSession *> Sessions;
  std::vector<SessionUse> Uses;
  for (HttpSession *Each : Registry.Sessions_) {
    if (Each == Except || !Each->isCloseable())
      continue;
    Sessions.push_back(Each);
    Uses.push_back(Each->use());
  }
  const auto Chosen = chooseSession(Uses, HoldsBytes);
  if (!Chosen)
    return false;
  Sessions[*Chosen]->reject(Reason);
  Sessions[*Chosen]->close();
  return true;
}

void serveConnection(tcp::socket Socket, const ListenerLimits &Limits,
                     const WebHandler &Handler,
                     const std::shared_ptr<SessionRegistry> &Registry) {
  boost::system::error_code Ignored;
  const std::size_t Sessions = Registry->Limits_.Sessions_;
  if (Limits.Guarded_ && Sessions > 0 &&
      Registry->Guarded_ >= Sessions + Limits.ReservedSessions_ &&
      !closeOneSession(*Registry, false, "sessions")) {
    if (Registry->OnRejected_)
      Registry->OnRejected_("sessions");
    Socket.close(Ignored);
    return;
  }
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
