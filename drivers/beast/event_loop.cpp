#include "drivers/beast/event_loop.h"

#include "core/address.h"
#include "core/boot_clock.h"
#include "drivers/beast/http_session.h"
#include "drivers/beast/web_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <list>
#include <optional>

namespace damaskglade::drivers {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int MaxAcceptsPerTurn = 64;
// An accept that fails for lack of descriptors would fail again at once.
constexpr std::chrono::milliseconds AcceptRetry{50};

/// Runs a task unless it has been run, and empties it.
void runOnce(std::function<void()> &Task) {
  if (Task)
    std::exchange(Task, nullptr)();
}

} // namespace

struct EventLoop::State {
  asio::io_context Loop_{1};
  std::shared_ptr<SessionRegistry> Registry_ =
      std::make_shared<SessionRegistry>();
  std::list<tcp::acceptor> Acceptors_;
  asio::signal_set Signals_{Loop_};
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      Work_;
  /// Tasks that wait for the loop to be idle, in order. Empty once run.
  std::deque<std::shared_ptr<std::function<void()>>> IdleTasks_;

  void accept(tcp::acceptor &Acceptor, const ListenerLimits &Limits,
              const WebHandler &Handler) {
    Acceptor.async_accept(
        [this, &Acceptor, Limits, Handler](boost::system::error_code Failure,
                                           tcp::socket Socket) {
          if (!Acceptor.is_open())
            return;
          if (!Failure) {
            serveConnection(std::move(Socket), Limits, Handler, Registry_);
            acceptWaiting(Acceptor, Limits, Handler);
          } else if (Failure != asio::error::connection_aborted) {
            closeOneSession(*Registry_, false, "no_descriptors");
            return acceptLater(Acceptor, Limits, Handler);
          }
          accept(Acceptor, Limits, Handler);
        });
  }

  void acceptLater(tcp::acceptor &Acceptor, const ListenerLimits &Limits,
                   const WebHandler &Handler) {
    auto Timer = std::make_shared<asio::steady_timer>(Loop_, AcceptRetry);
    Timer->async_wait([this, Timer, &Acceptor, Limits,
                       Handler](boost::system::error_code Failure) {
      if (!Failure && Acceptor.is_open())
        accept(Acceptor, Limits, Handler);
    });
  }

  // An asynchronous accept takes one connection per turn of the loop. When
  // turns are long, callers whose calls have timed out would wait for each
  // other.
  void acceptWaiting(tcp::acceptor &Acceptor, const ListenerLimits &Limits,
                     const WebHandler &Handler) {
    for (int Accepted = 0; Accepted < MaxAcceptsPerTurn; ++Accepted) {
      tcp::socket Socket(Loop_);
      boost::system::error_code Failure;
      Acceptor.accept(Socket, Failure);
      if (Failure)
        return;
      serveConnection(std::move(Socket), Limits, Handler, Registry_);
    }
  }

  void waitForSignal(const std::function<void(int)> &Handler) {
    Signals_.async_wait(
        [this, Handler](boost::system::error_code Failure, int Number) {
          if (Failure)
            return;
          Handler(Number);
          waitForSignal(Handler);
        });
  }
};

EventLoop::EventLoop() : State_(std::make_unique<State>()) {}

EventLoop::~EventLoop() = default;

Status EventLoop::listen(const std::string &Address,
                         const ListenerLimits &Limits,
                         const WebHandler &Handler) {
  const auto Parsed = parseHostPort(Address);
  boost::system::error_code Failure;
  const auto Ip = asio::ip::make_address(Parsed ? Parsed->Host_ : "", Failure);
  tcp::acceptor Acceptor(State_->Loop_);
  if (!Failure) {
    const tcp::endpoint Endpoint(Ip,
                                 static_cast<unsigned short>(Parsed->Port_));
    Acceptor.open(Endpoint.protocol(), Failure);
    if (!Failure)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor.bind(Endpoint, Failure);
    if (!Failure)
      Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
    if (!Failure)
      Acceptor.non_blocking(true, Failure);
  }
  if (Failure)
    return Error{Reason::ConnectFailed, Effect::None, "listen", Address,
                 Failure.message()};
  State_->Acceptors_.push_back(std::move(Acceptor));
  State_->accept(State_->Acceptors_.back(), Limits, Handler);
  return success();
}

void EventLoop::limitSessions(
    const SessionLimits &Limits,
    std::function<void(const std::string &)> OnRejected) {
  State_->Registry_->Limits_ = Limits;
  State_->Registry_->OnRejected_ = std::move(OnRejected);
}

// What arrived during a stall has been read once the loop is idle. A loop with
// too much work is never idle, hence the limit.
void EventLoop::watchStalls() {
  constexpr Millis ReadTimeLimit{1000};
  StallWatch &Watch = State_->Registry_->Stalls_;
  if (recordCheck(Watch, BootClock().monotonic()))
    whenIdle(ReadTimeLimit, [&Watch] { endStall(Watch); });
  after(StallWatch::CheckPeriod, [this] { watchStalls(); });
}

std::unique_ptr<WebClient>
EventLoop::makeClient(WebTransferHandler OnTransfer) {
  return makeWebClient(State_->Loop_, std::move(OnTransfer));
}

void EventLoop::after(Millis Delay, std::function<void()> Task) {
  if (Delay <= Millis{}) {
    asio::post(State_->Loop_, std::move(Task));
    return;
  }
  auto Timer = std::make_shared<asio::steady_timer>(
      State_->Loop_, std::chrono::milliseconds(Delay.Value_));
  Timer->async_wait(
      [Timer, Task = std::move(Task)](boost::system::error_code Failure) {
        if (!Failure)
          Task();
      });
}

void EventLoop::whenIdle(Millis Limit, std::function<void()> Task) {
  auto Pending = std::make_shared<std::function<void()>>(std::move(Task));
  State_->IdleTasks_.push_back(Pending);
  after(Limit, [Pending] { runOnce(*Pending); });
}

void EventLoop::onSignal(const std::function<void(int)> &Handler) {
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    State_->Signals_.add(Number);
  State_->waitForSignal(Handler);
}

void EventLoop::drain() {
  State_->Registry_->Draining_ = true;
  for (tcp::acceptor &Each : State_->Acceptors_) {
    boost::system::error_code Ignored;
    Each.close(Ignored);
  }
  closeIdleSessions(*State_->Registry_);
}

std::size_t EventLoop::openRequests() const {
  return State_->Registry_->OpenRequests_;
}

void EventLoop::keepRunning() {
  State_->Work_.emplace(State_->Loop_.get_executor());
}

void EventLoop::run() {
  auto &IdleTasks = State_->IdleTasks_;
  while (!State_->Loop_.stopped()) {
    while (!IdleTasks.empty() && !*IdleTasks.front())
      IdleTasks.pop_front();
    if (IdleTasks.empty()) {
      State_->Loop_.run_one();
    } else if (State_->Loop_.poll_one() == 0) {
      const auto Task = std::move(IdleTasks.front());
      IdleTasks.pop_front();
      runOnce(*Task);
    }
  }
}

void EventLoop::stop() { State_->Loop_.stop(); }

} // namespace damaskglade::drivers
