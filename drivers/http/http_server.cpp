#include "drivers/http/http_server.h"

#include "core/address.h"
#include "core/thread.h"
#include "drivers/http/connection_threads.h"

#include <httplib.h>
#include <sys/socket.h>
#include <utility>

namespace damaskglade::drivers {

namespace {

// The library listens with a backlog of 5, which a burst of callers passes;
// a refused SYN is repeated only after a second.
constexpr int ListenBacklog = 1024;
constexpr std::size_t MaxRequestsPerConnection = 1000000;
// An idle connection delays a planned stop for this long.
constexpr time_t KeepAliveSeconds = 5;
constexpr time_t ReadTimeoutSeconds = 10;

class TaskQueueAdapter : public httplib::TaskQueue {
public:
  explicit TaskQueueAdapter(std::size_t MaxThreads) : Threads_(MaxThreads) {}
  void enqueue(std::function<void()> Task) override {
    Threads_.enqueue(std::move(Task));
  }
  void shutdown() override { Threads_.shutdown(); }

private:
  ConnectionThreads Threads_;
};

class Listener : public httplib::Server {
public:
  void raiseBacklog() { ::listen(svr_sock_, ListenBacklog); }
};

HttpRequest convertRequest(const httplib::Request &Request) {
  HttpRequest Out;
  Out.Method_ = Request.method;
  Out.Path_ = Request.path;
  for (const auto &[Name, Value] : Request.params)
    Out.Query_[Name] = Value;
  Out.Body_ = Request.body;
  return Out;
}

class LibraryHttpServer : public HttpServer {
public:
  LibraryHttpServer(std::size_t MaxBodyBytes, std::size_t MaxConnections) {
    Server_.new_task_queue = [MaxConnections] {
      return new TaskQueueAdapter(MaxConnections);
    };
    // The library's default lets a second process listen on the same port.
    Server_.set_socket_options([](socket_t Socket) {
      const int Yes = 1;
      setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    });
    Server_.set_payload_max_length(MaxBodyBytes);
    Server_.set_keep_alive_max_count(MaxRequestsPerConnection);
    Server_.set_keep_alive_timeout(KeepAliveSeconds);
    Server_.set_read_timeout(ReadTimeoutSeconds);
    Server_.set_tcp_nodelay(true);
    Server_.set_error_handler(
        [](const httplib::Request &, httplib::Response &Response) {
          constexpr int PayloadTooLarge = 413;
          if (Response.status == PayloadTooLarge)
            Response.set_content(
                R"({"error":{"reason":"body_too_large","message":)"
                R"("the body is larger than the limit","ran":"not_run"}})",
                "application/json");
        });
  }
  ~LibraryHttpServer() override { LibraryHttpServer::stop(); }

  Status start(const std::string &Listen, HttpHandler Handler) override {
    const std::optional<HostPort> Address = parseHostPort(Listen);
    if (!Address)
      return Error{Reason::InvalidField, Effect::None, "listen", Listen,
                   "the address must be ip:port"};
    const auto Answer = [Handler](const httplib::Request &Request,
                                  httplib::Response &Response) {
      const HttpReply Reply = Handler(convertRequest(Request));
      Response.status = Reply.Status_;
      Response.set_content(Reply.Body_, Reply.ContentType_);
      constexpr std::int64_t MillisPerSecond = 1000;
      if (Reply.RetryAfter_ > Millis{})
        Response.set_header(
            "Retry-After",
            std::to_string((Reply.RetryAfter_.Value_ + MillisPerSecond - 1) /
                           MillisPerSecond));
    };
    // The library waits for a body until its read timeout if a request has
    // neither header, although HTTP/1.1 says that it has no body then.
    Server_.set_pre_routing_handler(
        [Answer](const httplib::Request &Request, httplib::Response &Response) {
          const bool HasBody = Request.has_header("Content-Length") ||
                               Request.has_header("Transfer-Encoding");
          if (HasBody || Request.method == "GET")
            return httplib::Server::HandlerResponse::Unhandled;
          Answer(Request, Response);
          return httplib::Server::HandlerResponse::Handled;
        });
    Server_.Get(".*", Answer);
    Server_.Post(".*", Answer);
    Server_.Put(".*", Answer);
    if (!Server_.bind_to_port(Address->Host_, Address->Port_))
      return Error{Reason::ConnectFailed, Effect::None, "listen", Listen,
                   "the port is in use or the address is not local"};
    Server_.raiseBacklog();
    Started_ = true;
    Thread_ = Thread([this] { Server_.listen_after_bind(); });
    return success();
  }

  void stop() override {
    // A stop before the accept loop runs would be lost.
    constexpr Millis PollInterval{5};
    constexpr int MaxPolls = 200;
    if (!std::exchange(Started_, false))
      return;
    for (int Poll = 0; Poll < MaxPolls && !Server_.is_running(); ++Poll)
      sleepFor(PollInterval);
    Server_.stop();
    Thread_.join();
  }

private:
  Listener Server_;
  Thread Thread_;
  bool Started_ = false;
};

} // namespace

std::unique_ptr<HttpServer> makeHttpServer(std::size_t MaxBodyBytes,
                                           std::size_t MaxConnections) {
  return std::make_unique<LibraryHttpServer>(MaxBodyBytes, MaxConnections);
}

} // namespace damaskglade::drivers
