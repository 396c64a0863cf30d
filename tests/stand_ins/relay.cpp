#include "tests/stand_ins/relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damaskglade::stand_ins {

namespace {

// Also the time until a change of a link takes effect.
constexpr int PollMillis = 10;
constexpr std::size_t ChunkBytes = 65536;
constexpr Millis DelayedPeriod{150};
constexpr int Backlog = 128;

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  return Address;
}

void prepare(int Socket) {
  const int Yes = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
  fcntl(Socket, F_SETFL, O_NONBLOCK);
}

int listenOn(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  const sockaddr_in Address = loopback(Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Socket, Backlog) != 0) {
    std::fprintf(stderr, "relay: could not listen on port %d\n", Port);
    std::exit(EXIT_FAILURE);
  }
  fcntl(Socket, F_SETFL, O_NONBLOCK);
  return Socket;
}

int portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// A connection to the port, -1 if it is refused. A connection on the
/// loopback interface is established or refused at once.
int connectTo(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) == 0) {
    prepare(Socket);
    return Socket;
  }
  ::close(Socket);
  return -1;
}

} // namespace

std::string StreamRewriter::add(const std::string &Piece) {
  if (Pairs_.empty())
    return Piece;
  std::string Text = std::move(Kept_) + Piece;
  for (const auto &[From, To] : Pairs_)
    for (std::size_t At = Text.find(From); At != std::string::npos;
         At = Text.find(From, At + From.size()))
      Text.replace(At, From.size(), To);
  const std::size_t Tail = keptTail(Text);
  Kept_ = Text.substr(Text.size() - Tail);
  Text.resize(Text.size() - Tail);
  return Text;
}

std::string StreamRewriter::flush() { return std::exchange(Kept_, {}); }

std::size_t StreamRewriter::keptTail(const std::string &Text) const {
  std::size_t Longest = 0;
  for (const auto &[From, To] : Pairs_)
    for (std::size_t Size = std::min(From.size() - 1, Text.size());
         Size > Longest; --Size)
      if (Text.compare(Text.size() - Size, Size, From, 0, Size) == 0)
        Longest = Size;
  return Longest;
}

Relay::Relay(const std::vector<Link> &Links) {
  for (const Link &Wanted : Links) {
    const int Socket = listenOn(Wanted.ListenPort_);
    Listeners_[Wanted.Name_] =
        Listener{Socket, portOf(Socket), Wanted.TargetPort_, LinkState::Open,
                 Wanted.Rewrites_};
  }
  Thread_ = Thread([this] { run(); });
}

Relay::~Relay() {
  {
    const MutexLock Held(Mutex_);
    Stopping_ = true;
  }
  Thread_.join();
  for (Connection &Pair : Connections_)
    close(Pair);
  for (const auto &[Name, From] : Listeners_)
    ::close(From.Socket_);
}

bool Relay::set(const std::string &Name, LinkState State) {
  const MutexLock Held(Mutex_);
  const auto Found = Listeners_.find(Name);
  if (Found == Listeners_.end())
    return false;
  Found->second.State_ = State;
  return true;
}

bool Relay::silenceOpen(const std::string &Name) {
  const MutexLock Held(Mutex_);
  const auto Found = Listeners_.find(Name);
  if (Found == Listeners_.end())
    return false;
  Found->second.SilencesOpen_ = true;
  return true;
}

bool Relay::closeOpen(const std::string &Name) {
  const MutexLock Held(Mutex_);
  const auto Found = Listeners_.find(Name);
  if (Found == Listeners_.end())
    return false;
  Found->second.ClosesOpen_ = true;
  return true;
}

bool Relay::redialOpen(const std::string &Name) {
  const MutexLock Held(Mutex_);
  const auto Found = Listeners_.find(Name);
  if (Found == Listeners_.end())
    return false;
  Found->second.RedialsOpen_ = true;
  return true;
}

int Relay::port(const std::string &Name) {
  const MutexLock Held(Mutex_);
  const auto Found = Listeners_.find(Name);
  return Found == Listeners_.end() ? 0 : Found->second.Port_;
}

void Relay::run() {
  while (true) {
    {
      const MutexLock Held(Mutex_);
      if (Stopping_)
        return;
    }
    pollOnce();
  }
}

void Relay::pollOnce() {
  std::map<std::string, Listener> Listeners;
  const Millis Now = SystemClock().monotonic();
  {
    const MutexLock Held(Mutex_);
    for (auto &[Name, From] : Listeners_) {
      const bool Due = Now >= From.ServedAt_ + DelayedPeriod;
      Listeners[Name] = From;
      From.SilencesOpen_ = false;
      From.ClosesOpen_ = false;
      From.RedialsOpen_ = false;
      if (From.State_ != LinkState::Delayed)
        continue;
      Listeners[Name].State_ = Due ? LinkState::Open : LinkState::Cut;
      From.ServedAt_ = Due ? Now : From.ServedAt_;
    }
  }
  std::vector<pollfd> Polled;
  std::vector<std::string> Names;
  for (const auto &[Name, From] : Listeners)
    if (From.State_ != LinkState::Cut) {
      Polled.push_back(pollfd{From.Socket_, POLLIN, 0});
      Names.push_back(Name);
    }
  std::vector<Connection *> Served;
  for (Connection &Pair : Connections_) {
    const LinkState State = Listeners[Pair.Link_].State_;
    Pair.Broken_ = Pair.Broken_ || State == LinkState::Refuse ||
                   Listeners[Pair.Link_].ClosesOpen_;
    if (Listeners[Pair.Link_].RedialsOpen_ && !Pair.Broken_)
      redial(Pair, Listeners[Pair.Link_].TargetPort_);
    Pair.Silent_ = Pair.Silent_ || Listeners[Pair.Link_].SilencesOpen_;
    if (Pair.Silent_)
      lose(Pair);
    if (Pair.Broken_ || Pair.Silent_ || State == LinkState::Cut)
      continue;
    Served.push_back(&Pair);
    for (const Flow *Direction : {&Pair.Out_, &Pair.Back_}) {
      const Flow &Other = Direction == &Pair.Out_ ? Pair.Back_ : Pair.Out_;
      const LinkState Held =
          Direction == &Pair.Out_ ? LinkState::OnlyIn : LinkState::OnlyOut;
      const bool Read =
          Direction->Waiting_.empty() && !Direction->Ended_ && State != Held;
      const bool Write = !Other.Waiting_.empty();
      // A negative descriptor is ignored: an ended connection without work
      // would otherwise be reported at once, again and again.
      Polled.push_back(pollfd{
          Read || Write ? Direction->From_ : -1,
          static_cast<short>((Read ? POLLIN : 0) | (Write ? POLLOUT : 0)), 0});
    }
  }
  if (poll(Polled.data(), Polled.size(), PollMillis) > 0) {
    std::size_t Next = Names.size();
    for (Connection *Pair : Served) {
      const bool OutReady = Polled[Next++].revents != 0;
      const bool BackReady = Polled[Next++].revents != 0;
      const LinkState State = Listeners[Pair->Link_].State_;
      move(*Pair, Pair->Out_, OutReady && State != LinkState::OnlyIn);
      move(*Pair, Pair->Back_, BackReady && State != LinkState::OnlyOut);
    }
    for (std::size_t Index = 0; Index < Names.size(); ++Index)
      if (Polled[Index].revents != 0)
        accept(Names[Index], Listeners[Names[Index]]);
  }
  std::erase_if(Connections_, [](Connection &Pair) {
    const bool Over = Pair.Broken_ || (Pair.Out_.Ended_ && Pair.Back_.Ended_ &&
                                       Pair.Out_.Waiting_.empty() &&
                                       Pair.Back_.Waiting_.empty());
    if (Over)
      close(Pair);
    return Over;
  });
}

void Relay::accept(const std::string &Name, const Listener &From) {
  const int Client = accept4(From.Socket_, nullptr, nullptr, SOCK_CLOEXEC);
  if (Client < 0)
    return;
  const int Target =
      From.State_ != LinkState::Refuse ? connectTo(From.TargetPort_) : -1;
  if (Target < 0) {
    ::close(Client);
    return;
  }
  prepare(Client);
  StreamRewriter::Pairs Outward;
  StreamRewriter::Pairs Inward;
  for (const Rewrite &Each : From.Rewrites_) {
    Outward.emplace_back(Each.Client_, Each.Target_);
    Inward.emplace_back(Each.Target_, Each.Client_);
  }
  Connections_.push_back(
      Connection{Name, Flow{Client, Target, StreamRewriter(Outward)},
                 Flow{Target, Client, StreamRewriter(Inward)}, false});
}

void Relay::move(Connection &Pair, Flow &Direction, bool Readable) {
  if (Readable && Direction.Waiting_.empty() && !Direction.Ended_) {
    std::array<char, ChunkBytes> Chunk{};
    const ssize_t Size = recv(Direction.From_, Chunk.data(), Chunk.size(), 0);
    if (Size > 0) {
      Direction.Waiting_ = Direction.Rewriter_.add(
          std::string(Chunk.data(), static_cast<std::size_t>(Size)));
    } else if (Size == 0) {
      const std::string Rest = Direction.Rewriter_.flush();
      send(Direction.To_, Rest.data(), Rest.size(), MSG_NOSIGNAL);
      Direction.Ended_ = true;
      shutdown(Direction.To_, SHUT_WR);
    } else if (errno != EAGAIN) {
      Pair.Broken_ = true;
    }
  }
  if (Direction.Waiting_.empty())
    return;
  const ssize_t Sent = send(Direction.To_, Direction.Waiting_.data(),
                            Direction.Waiting_.size(), MSG_NOSIGNAL);
  if (Sent > 0)
    Direction.Waiting_.erase(0, static_cast<std::size_t>(Sent));
  else if (errno != EAGAIN)
    Pair.Broken_ = true;
}

void Relay::lose(Connection &Pair) {
  std::array<char, ChunkBytes> Chunk{};
  const auto Receive = [&Chunk](const Flow &Direction) {
    return recv(Direction.From_, Chunk.data(), Chunk.size(), MSG_DONTWAIT);
  };
  const ssize_t Size = Receive(Pair.Out_);
  Receive(Pair.Back_);
  Pair.Broken_ = Size == 0 || (Size < 0 && errno != EAGAIN);
}

void Relay::redial(Connection &Pair, int TargetPort) {
  const int Target = connectTo(TargetPort);
  if (Target < 0) {
    Pair.Broken_ = true;
    return;
  }
  ::close(Pair.Out_.To_);
  Pair.Out_.To_ = Target;
  Pair.Back_.From_ = Target;
  Pair.Back_.Ended_ = false;
}

void Relay::close(Connection &Pair) {
  ::close(Pair.Out_.From_);
  ::close(Pair.Out_.To_);
}

} // namespace damaskglade::stand_ins
