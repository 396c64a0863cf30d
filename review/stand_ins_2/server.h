#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_SERVER_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_SERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace damaskglade::review {

struct Request {
  std::string Method_;
  std::string Target_;
  std::string Body_;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
};

struct Reply {
  int Status_ = 200;
  std::string Body_;
};

using Replier = std::function<void(Reply)>;
using Handler = std::function<void(const Request &, const Replier &)>;

/// HTTP server of one simulated host, whose power and connections the test
/// controls.
class Server {
public:
  Server(boost::asio::io_context &Loop, int Port, Handler Handle);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// The host loses power: neither old nor new connections get an answer.
  void loseHost();
  /// The host is back. It knows nothing of connections from before, which it
  /// resets when something arrives on them.
  void restoreHost();
  /// The process ends: its connections are reset and new ones refused.
  void stop();
  /// A process listens again.
  void listen();

private:
  class Session;

  void accept();

  boost::asio::io_context &Loop_;
  const boost::asio::ip::tcp::endpoint Endpoint_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const Handler Handle_;
  std::set<std::shared_ptr<Session>> Sessions_;
  int Boot_ = 1;
  bool Lost_ = false;
};

} // namespace damaskglade::review

#endif
