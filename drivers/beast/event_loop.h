#ifndef DAMASKGLADE_DRIVERS_BEAST_EVENT_LOOP_H
#define DAMASKGLADE_DRIVERS_BEAST_EVENT_LOOP_H

#include "drivers/beast/session_limits.h"
#include "ports/async_http.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Limits of a listener.
struct ListenerLimits {
  std::size_t HeaderBytes_ = 16384;
  std::size_t BodyBytes_ = 262144;
  /// A connection is closed if no request arrives on it for this time, or if
  /// its peer has not taken a reply by then.
  Millis Idle_{60000};
  /// The limits of EventLoop::limitSessions() apply to the sessions.
  bool Guarded_ = false;
  /// Sessions beyond SessionLimits::Sessions_ that only this listener may use.
  std::size_t ReservedSessions_ = 0;
};

/// Boost.Asio event loop with HTTP listeners, a client and timers. All
/// callbacks run on the thread that calls run(). Other threads may call after()
/// and stop() only.
class EventLoop : public TimerService {
public:
  EventLoop();
  ~EventLoop() override;

  /// Accepts connections on "ip:port". Errors: connect_failed.
  Status listen(const std::string &Address, const ListenerLimits &Limits,
                const WebHandler &Handler);
  /// Sets the common limits of the guarded listeners. The handler receives the
  /// reason of each closed session and rejected request.
  void limitSessions(const SessionLimits &Limits,
                     std::function<void(const std::string &)> OnRejected);
  /// Lets requests tell how long they may have waited while the loop did not
  /// run (WebRequest::Waited_). run() ends only after stop() then.
  void watchStalls();
  /// The handler, if any, is told how large replies were received.
  std::unique_ptr<WebClient> makeClient(WebTransferHandler OnTransfer = {});

  void after(Millis Delay, std::function<void()> Task) override;
  void whenIdle(Millis Limit, std::function<void()> Task) override;
  /// Calls the handler for SIGTERM, SIGINT and SIGHUP.
  void onSignal(const std::function<void(int)> &Handler);
  /// Takes no new connections and closes idle ones; requests in progress
  /// are answered with "Connection: close".
  void drain();
  /// Number of requests that are not yet answered.
  std::size_t openRequests() const;
  /// Lets run() wait for further tasks when there are none.
  void keepRunning();
  void run();
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace damaskglade::drivers

#endif
