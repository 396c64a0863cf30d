#ifndef DAMASKGLADE_TESTS_STAND_INS_RELAY_H
#define DAMASKGLADE_TESTS_STAND_INS_RELAY_H

#include "core/thread.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damaskglade::stand_ins {

/// How a link behaves.
enum class LinkState {
  Open,
  Cut,     ///< Bytes wait, as in a partition; they go on once it heals.
  Refuse,  ///< Connections are closed at once.
  Delayed, ///< Bytes go on after about 150 ms.
  OnlyIn,  ///< Only what the target sends gets through.
  OnlyOut, ///< Only what the client sends gets through.
};

/// A text that the target writes and the text that the client sees instead.
/// Both have the same length, so that length headers stay true.
struct Rewrite {
  std::string Target_;
  std::string Client_;

  friend bool operator==(const Rewrite &, const Rewrite &) = default;
};

/// A link from a listening port to a target, both on 127.0.0.1. With rewrites
/// of addresses, peers that a client learns of through this link are reached
/// through further links, as behind a NAT gateway.
struct Link {
  std::string Name_;
  int ListenPort_ = 0; ///< 0 takes any free port.
  int TargetPort_ = 0;
  std::vector<Rewrite> Rewrites_ = {};
};

/// Replaces texts in a stream of bytes that arrives in pieces.
class StreamRewriter {
public:
  /// Pairs of a text and its replacement of the same length.
  using Pairs = std::vector<std::pair<std::string, std::string>>;

  explicit StreamRewriter(Pairs Texts) : Pairs_(std::move(Texts)) {}

  /// The bytes that can be passed on; a tail that may be the beginning of a
  /// text is kept until the next call.
  std::string add(const std::string &Piece);
  /// What was kept.
  std::string flush();

private:
  std::size_t keptTail(const std::string &Text) const;

  Pairs Pairs_;
  std::string Kept_;
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
  /// Open connections of the link go silent for good: what arrives on them is
  /// lost. New ones work. False if there is no link of this name.
  bool silenceOpen(const std::string &Name);
  /// Open connections of the link are closed, as when the target's process
  /// ends. False if there is no link of this name.
  bool closeOpen(const std::string &Name);
  /// Open connections of the link stay open for their clients and go on over
  /// new ones to the target, as behind a proxy. False if there is no link of
  /// this name.
  bool redialOpen(const std::string &Name);
  /// Listening port of a link, 0 if there is none of this name.
  int port(const std::string &Name);

private:
  struct Listener {
    int Socket_ = -1;
    int Port_ = 0;
    int TargetPort_ = 0;
    LinkState State_ = LinkState::Open;
    std::vector<Rewrite> Rewrites_;
    Millis ServedAt_{};         ///< Last time that delayed bytes went on.
    bool SilencesOpen_ = false; ///< Its open connections are to go silent.
    bool ClosesOpen_ = false;   ///< Its open connections are to be closed.
    bool RedialsOpen_ = false;  ///< They are to go on over new ones.
  };
  /// One direction of a connection.
  struct Flow {
    int From_ = -1;
    int To_ = -1;
    StreamRewriter Rewriter_;
    std::string Waiting_ = {}; ///< Read but not yet written.
    bool Ended_ = false;       ///< The sender closed its side.
  };
  struct Connection {
    std::string Link_;
    Flow Out_;  ///< Client to target.
    Flow Back_; ///< Target to client.
    bool Broken_ = false;
    bool Silent_ = false;
  };

  void run();
  void pollOnce();
  void accept(const std::string &Name, const Listener &From);
  /// Loses what has arrived. Ends the connection once the client has.
  static void lose(Connection &Pair);
  static void redial(Connection &Pair, int TargetPort);
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
