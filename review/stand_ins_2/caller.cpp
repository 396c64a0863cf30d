#include "review/stand_ins_2/caller.h"

#include "review/stand_ins_2/store.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace damaskglade::review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

class Caller::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(asio::io_context &Loop, int Port)
      : Loop_(Loop), Socket_(Loop),
        Endpoint_(asio::ip::address_v4::loopback(),
                  static_cast<unsigned short>(Port)) {}

  void send(const std::string &Method, const std::string &Target,
            const std::string &Body, Millis Deadline,
            std::function<void(Answer)> Done) {
    Done_ = std::move(Done);
    Text_ = Method + ' ' + Target + " HTTP/1.1\r\nHost: " + QueueHost +
            "\r\nDeadline-Ms: " + std::to_string(Deadline.Value_) +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body;
    after(Loop_, Deadline, [Self = shared_from_this(), Number = ++Number_] {
      if (Number == Self->Number_)
        Self->finish(Answer{});
    });
    if (Socket_.is_open())
      return write();
    Socket_.async_connect(
        Endpoint_, [Self = shared_from_this()](beast::error_code Failure) {
          if (Failure)
            return Self->finish(Answer{});
          Self->write();
        });
  }

  void close() {
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
    Done_ = nullptr;
  }

private:
  void write() {
    asio::async_write(
        Socket_, asio::buffer(Text_),
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure)
            return Self->finish(Answer{});
          Self->read();
        });
  }

  void read() {
    Parser_.emplace();
    http::async_read(
        Socket_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure)
            return Self->finish(Answer{});
          auto Message = Self->Parser_->release();
          if (!Message.keep_alive())
            Self->closeSocket();
          Self->finish(
              Answer{static_cast<int>(Message.result_int()), Message.body()});
        });
  }

  void closeSocket() {
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
  }

  void finish(Answer Outcome) {
    ++Number_;
    if (Outcome.Status_ == 0)
      closeSocket();
    const auto Done = std::exchange(Done_, nullptr);
    if (Done)
      Done(std::move(Outcome));
  }

  asio::io_context &Loop_;
  tcp::socket Socket_;
  const tcp::endpoint Endpoint_;
  std::function<void(Answer)> Done_;
  std::string Text_;
  int Number_ = 0; ///< Of the request in progress.
  beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
};

Caller::Caller(asio::io_context &Loop, int Port)
    : Connection_(std::make_shared<Connection>(Loop, Port)) {}

Caller::~Caller() { Connection_->close(); }

void Caller::send(const std::string &Method, const std::string &Target,
                  const std::string &Body, Millis Deadline,
                  std::function<void(Answer)> Done) {
  Connection_->send(Method, Target, Body, Deadline, std::move(Done));
}

} // namespace damaskglade::review
