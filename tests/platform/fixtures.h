#ifndef DAMASKGLADE_TESTS_PLATFORM_FIXTURES_H
#define DAMASKGLADE_TESTS_PLATFORM_FIXTURES_H

#include "tests/stand_ins/http_server.h"
#include "tests/stand_ins/timer_queue.h"
#include "tests/stand_ins/worker_service.h"

#include <string>

namespace damaskglade::tests {

constexpr Millis CallTimeout{5000};

/// A stand-in service behind an HTTP server on a free port.
template <typename Service> struct Served {
  template <typename... Arguments>
  explicit Served(Arguments &&...Values)
      : Service_(std::forward<Arguments>(Values)...),
        Server_(0, [this](const stand_ins::HttpRequest &Request) {
          return Service_.handle(Request);
        }) {}

  std::string url() const { return "http://" + Server_.address(); }

  Service Service_;
  stand_ins::HttpServer Server_;
};

/// One worker behind an HTTP server. The server ends first, because requests
/// in progress wait for timers; then the timers, because they use the worker.
class ServedWorker {
public:
  ServedWorker()
      : Worker_(stand_ins::WorkerOptions{"w1"}, Timers_, nullptr),
        Server_(std::make_unique<stand_ins::HttpServer>(
            0, [this](const stand_ins::HttpRequest &Request) {
              return Worker_.handle(Request);
            })) {}
  ~ServedWorker() {
    Server_.reset();
    Timers_.stop();
  }
  ServedWorker(const ServedWorker &) = delete;
  ServedWorker &operator=(const ServedWorker &) = delete;

  int port() const { return Server_->port(); }
  std::string address() const { return Server_->address(); }
  std::vector<stand_ins::WorkerEvent> log() { return Worker_.log(); }
  void fault(const std::string &Json) {
    Worker_.handle(stand_ins::HttpRequest{"POST", "/_fault", "", Json});
  }

private:
  stand_ins::TimerQueue Timers_;
  stand_ins::WorkerService Worker_;
  std::unique_ptr<stand_ins::HttpServer> Server_;
};

/// A port on which nothing listens.
std::string closedAddress();

} // namespace damaskglade::tests

#endif
