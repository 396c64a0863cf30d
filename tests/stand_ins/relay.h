#ifndef DAMASKGLADE_TESTS_STAND_INS_RELAY_H
#define DAMASKGLADE_TESTS_STAND_INS_RELAY_H

#include "core/thread.h"

#include <map>
#include <string>
#include <vector>

namespace damaskglade::stand_ins {

/// How a link behaves.
enum class LinkState {
  Open,
  Cut,    ///< Bytes wait, as in a partition; they go on once it heals.
  Refuse, ///< Connections are closed at once.
};

/// A link from a listening port to a target, both on 127.0.0.1.
struct Link {
  std::string Name_;
  int ListenPort_ = 0; ///< 0 takes any free port.
  int TargetPort_ = 0;
};

/// TCP relay whose links can be cut. One thread serves all links.
class Relay {
public:
  /// Ends the process if a port is taken.
  explicit Relay(const std::vector<Link> &Links);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// False if there is no link of this name.
  bool set(const std::string &Name, LinkState State);
  /// Listening port of a link, 0 if there is none of this name.
  int port(const std::string &Name);

private:
  struct Listener {
    int Socket_ = -1;
    int Port_ = 0;
    int TargetPort_ = 0;
    LinkState State_ = LinkState::Open;
  };
  /// One direction of a connection.
  struct Flow {
    int From_ = -1;
    int To_ = -1;
    std::string Waiting_; ///< Read but not yet written.
    bool Ended_ = false;  ///< The sender closed its side.
  };
  struct Connection {
    std::string Link_;
    Flow Out_;  ///< Client to target.
    Flow Back_; ///< Target to client.
    bool Broken_ = false;
  };

  void run();
  void pollOnce();
  void accept(const std::string &Name, const Listener &From);
  static void move(Connection &Pair, Flow &Direction, bool Readable);
  static void close(Connection &Pair);

  Mutex Mutex_;
  std::map<std::string, Listener> Listeners_;
  std::vector<Connection> Connections_; ///< Used by the relay's thread only.
  bool Stopping_ = false;
  Thread Thread_; // Last, so that the other members exist when it runs.
};

} // namespace damaskglade::stand_ins

#endif
