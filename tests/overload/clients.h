#ifndef DAMASKGLADE_TESTS_OVERLOAD_CLIENTS_H
#define DAMASKGLADE_TESTS_OVERLOAD_CLIENTS_H

#include "core/clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade::overload {

/// One misbehaving client. It sends its text and keeps the connection open.
struct Client {
  int Port_ = 0;
  std::shared_ptr<const std::string> Text_;
  std::size_t PieceBytes_ = 65536;  ///< Sent at a time.
  Millis Gap_{};                    ///< Between pieces.
  std::size_t MaxReadBytes_ = 4096; ///< Read at a time; 0: nothing is read.
};

/// Open connections of misbehaving clients.
class Clients {
public:
  Clients() = default;
  ~Clients();
  Clients(const Clients &) = delete;
  Clients &operator=(const Clients &) = delete;

  /// Connects all clients and sends until each has sent its text or has been
  /// disconnected, at most for the given time. Calls the observer now and then.
  void play(const std::vector<Client> &All, Millis Limit,
            const std::function<void()> &Observe);
  /// Connections that the daemon has closed.
  int closed() const { return Closed_; }
  /// Clients that have sent their whole text.
  int sent() const { return Sent_; }

private:
  struct Open {
    Client Client_;
    int Socket_ = -1;
    std::size_t Sent_ = 0;
    Millis NextAt_{};
  };

  void move(Open &Each, Millis Now);

  std::vector<Open> Open_;
  int Closed_ = 0;
  int Sent_ = 0;
};

/// Sends one request on a connection of its own and returns the status of the
/// reply, 0 if there is none within two seconds.
int request(int Port, const std::string &Text);

} // namespace damaskglade::overload

#endif
