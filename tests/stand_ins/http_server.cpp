#include "tests/stand_ins/http_server.h"

#include "core/codec.h"
#include "core/thread.h"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <httplib.h>
#include <list>

namespace damaskglade::stand_ins {

namespace {

constexpr const char *Loopback = "127.0.0.1";
constexpr std::size_t MaxRequestsPerConnection = 1000000;
constexpr std::int64_t MillisPerSecond = 1000;

/// Starts a thread for a connection when no idle one is left: a kept-alive
/// connection occupies its thread, and the number of clients is not known.
class GrowingPool : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Job) override {
    const MutexLock Held(Mutex_);
    Jobs_.push_back(std::move(Job));
    if (Idle_ >= Jobs_.size())
      Changed_.notifyOne();
    else
      Threads_.emplace_back([this] { run(); });
  }

  void shutdown() override {
    {
      const MutexLock Held(Mutex_);
      Stopping_ = true;
      Changed_.notifyAll();
    }
    Threads_.clear();
  }

private:
  void run() {
    constexpr Millis Forever{60000};
    Mutex_.lock();
    while (true) {
      if (!Jobs_.empty()) {
        const std::function<void()> Job = std::move(Jobs_.front());
        Jobs_.pop_front();
        Mutex_.unlock();
        Job();
        Mutex_.lock();
        continue;
      }
      if (Stopping_)
        break;
      ++Idle_;
      Changed_.waitFor(Mutex_, Forever);
      --Idle_;
    }
    Mutex_.unlock();
  }

  Mutex Mutex_;
  Condition Changed_;
  std::deque<std::function<void()>> Jobs_;
  std::size_t Idle_ = 0;
  bool Stopping_ = false;
  std::list<Thread> Threads_;
};

void reply(const HttpResponse &From, httplib::Response &To) {
  To.status = From.Status_;
  if (!From.Drop_ && !From.Truncate_) {
    To.set_content(From.Body_, From.ContentType_);
    return;
  }
  // A content provider that stops before the announced length makes the
  // server close the connection.
  const std::size_t Sent = From.Drop_ ? 0 : From.Body_.size() / 2;
  To.set_content_provider(
      From.Body_.size() + 1, From.ContentType_,
      [Text = From.Body_.substr(0, Sent)](std::size_t Offset, std::size_t,
                                          httplib::DataSink &Sink) {
        if (Offset < Text.size())
          Sink.write(Text.data() + Offset, Text.size() - Offset);
        return false;
      });
}

} // namespace

HttpResponse jsonResponse(int Status, const Json::Value &Body) {
  return HttpResponse{Status, writeJson(Body)};
}

struct HttpServer::State {
  httplib::Server Server_;
  int Port_ = 0;
  Thread Listener_;
};

HttpServer::HttpServer(int Port, HttpHandler Handler, Millis KeepAlive)
    : State_(std::make_unique<State>()) {
  httplib::Server &Server = State_->Server_;
  Server.new_task_queue = [] { return new GrowingPool(); };
  Server.set_keep_alive_max_count(MaxRequestsPerConnection);
  Server.set_keep_alive_timeout(KeepAlive.Value_ / MillisPerSecond);
  Server.set_tcp_nodelay(true);
  // The default also sets SO_REUSEPORT, with which two servers can silently
  // share a port.
  Server.set_socket_options([](int Socket) {
    const int Yes = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  });
  const auto Serve = [Handler = std::move(Handler)](const httplib::Request &In,
                                                    httplib::Response &Out) {
    reply(Handler(HttpRequest{In.method, In.path,
                              In.get_header_value("X-Amz-Target"), In.body}),
          Out);
  };
  Server.Get(".*", Serve);
  Server.Post(".*", Serve);
  Server.Put(".*", Serve);
  if (Port == 0)
    State_->Port_ = Server.bind_to_any_port(Loopback);
  else
    State_->Port_ = Server.bind_to_port(Loopback, Port) ? Port : -1;
  if (State_->Port_ <= 0) {
    std::fprintf(stderr, "could not listen on %s:%d\n", Loopback, Port);
    std::exit(EXIT_FAILURE);
  }
  State_->Listener_ = Thread(
      [Running = State_.get()] { Running->Server_.listen_after_bind(); });
  // stop() has no effect before the server runs.
  while (!Server.is_running())
    sleepFor(Millis{1});
}

HttpServer::~HttpServer() {
  State_->Server_.stop();
  State_->Listener_.join();
}

int HttpServer::port() const { return State_->Port_; }

std::string HttpServer::address() const {
  return std::string(Loopback) + ":" + std::to_string(State_->Port_);
}

} // namespace damaskglade::stand_ins
