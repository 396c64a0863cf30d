#include "review/stand_ins_2/server.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <fcntl.h>
#include <optional>

namespace damaskglade::review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

class Server::Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, Server &Owner, int Boot)
      : Socket_(std::move(Socket)), Owner_(Owner), Boot_(Boot) {}

  int boot() const { return Boot_; }
  bool heardWhileLost() const { return HeardWhileLost_; }

  void read() {
    Parser_.emplace();
    constexpr std::uint64_t MaxBody = std::uint64_t{4} * 1024 * 1024;
    Parser_->body_limit(MaxBody);
    http::async_read(
        Socket_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          Self->onRead(Failure);
        });
  }

  void reset() {
    boost::system::error_code Ignored;
    Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket_.close(Ignored);
    Owner_.Sessions_.erase(shared_from_this());
  }

private:
  bool isServed() const { return !Owner_.Lost_ && Boot_ == Owner_.Boot_; }

  void onRead(beast::error_code Failure) {
    if (Failure) {
      Owner_.Sessions_.erase(shared_from_this());
      return;
    }
    if (Owner_.Lost_) {
      HeardWhileLost_ = true;
      return;
    }
    if (Boot_ != Owner_.Boot_)
      return reset();
    auto Message = Parser_->release();
    Request Received;
    Received.Method_ = std::string(Message.method_string());
    Received.Target_ = std::string(Message.target());
    Received.Body_ = Message.body();
    for (const auto &Field : Message) {
      std::string Name(Field.name_string());
      std::transform(Name.begin(), Name.end(), Name.begin(),
                     [](unsigned char Letter) {
                       return static_cast<char>(std::tolower(Letter));
                     });
      Received.Headers_[Name] = std::string(Field.value());
    }
    Owner_.Handle_(Received, [Self = shared_from_this()](const Reply &Answer) {
      if (Self->isServed())
        Self->send(Answer);
    });
  }

  void send(const Reply &Answer) {
    constexpr int Version = 11;
    Response_ = {};
    Response_.version(Version);
    Response_.result(static_cast<unsigned>(Answer.Status_));
    Response_.set(http::field::content_type, "application/json");
    Response_.keep_alive(true);
    Response_.body() = Answer.Body_;
    Response_.prepare_payload();
    http::async_write(
        Socket_, Response_,
        [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
          if (Failure)
            Self->Owner_.Sessions_.erase(Self);
          else
            Self->read();
        });
  }

  tcp::socket Socket_;
  Server &Owner_;
  const int Boot_;
  bool HeardWhileLost_ = false;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  http::response<http::string_body> Response_;
};

Server::Server(asio::io_context &Loop, int Port, Handler Handle)
    : Loop_(Loop), Endpoint_(asio::ip::address_v4::loopback(),
                             static_cast<unsigned short>(Port)),
      Acceptor_(Loop), Handle_(std::move(Handle)) {
  listen();
}

Server::~Server() = default;

void Server::listen() {
  Acceptor_.open(Endpoint_.protocol());
  // The nodes are child processes and must not keep the port open.
  fcntl(Acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
  Acceptor_.set_option(tcp::acceptor::reuse_address(true));
  Acceptor_.bind(Endpoint_);
  Acceptor_.listen();
  accept();
}

void Server::accept() {
  Acceptor_.async_accept(
      [this](boost::system::error_code Failure, tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (!Failure) {
          constexpr int NoBoot = 0;
          const auto Each = std::make_shared<Session>(std::move(Socket), *this,
                                                      Lost_ ? NoBoot : Boot_);
          Sessions_.insert(Each);
          Each->read();
        }
        accept();
      });
}

void Server::loseHost() { Lost_ = true; }

void Server::restoreHost() {
  Lost_ = false;
  ++Boot_;
  const auto Known = Sessions_;
  for (const auto &Each : Known)
    if (Each->heardWhileLost() || Each->boot() == 0)
      Each->reset();
}

void Server::stop() {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
  ++Boot_;
  const auto Known = Sessions_;
  for (const auto &Each : Known)
    Each->reset();
}

} // namespace damaskglade::review
