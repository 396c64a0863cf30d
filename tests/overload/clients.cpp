#include "tests/overload/clients.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damaskglade::overload {

namespace {

constexpr Millis Turn{5};
constexpr int StatusOffset = 9; // After "HTTP/1.1 ".

int connectTo(int Port, int Flags) {
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | Flags, IPPROTO_TCP);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0 &&
      errno != EINPROGRESS) {
    close(Socket);
    return -1;
  }
  return Socket;
}

} // namespace

Clients::~Clients() {
  for (const Open &Each : Open_)
    if (Each.Socket_ >= 0)
      close(Each.Socket_);
}

void Clients::move(Open &Each, Millis Now) {
  const auto Disconnect = [&] {
    close(Each.Socket_);
    Each.Socket_ = -1;
    ++Closed_;
  };
  if (Each.Client_.MaxReadBytes_ > 0) {
    std::array<char, 4096> Buffer{};
    const ssize_t Got =
        recv(Each.Socket_, Buffer.data(),
             std::min(Buffer.size(), Each.Client_.MaxReadBytes_), 0);
    if (Got == 0 || (Got < 0 && errno != EAGAIN && errno != ENOTCONN))
      return Disconnect();
  }
  const std::string &Text = *Each.Client_.Text_;
  while (Each.Sent_ < Text.size() && Now >= Each.NextAt_) {
    const ssize_t Put =
        send(Each.Socket_, Text.data() + Each.Sent_,
             std::min(Each.Client_.PieceBytes_, Text.size() - Each.Sent_),
             MSG_NOSIGNAL);
    if (Put < 0) {
      if (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
        Disconnect();
      return;
    }
    Each.Sent_ += static_cast<std::size_t>(Put);
    if (Each.Sent_ == Text.size())
      ++Sent_;
    if (Each.Client_.Gap_ > Millis{})
      Each.NextAt_ = Now + Each.Client_.Gap_;
  }
}

void Clients::play(const std::vector<Client> &All, Millis Limit,
                   const std::function<void()> &Observe) {
  const SystemClock Time;
  const Millis End = Time.monotonic() + Limit;
  for (const Client &Each : All) {
    Open_.push_back(Open{Each, connectTo(Each.Port_, SOCK_NONBLOCK)});
    if (Open_.back().Socket_ < 0)
      ++Closed_;
  }
  while (Time.monotonic() < End) {
    bool Sending = false;
    for (Open &Each : Open_) {
      if (Each.Socket_ < 0)
        continue;
      move(Each, Time.monotonic());
      Sending |= Each.Socket_ >= 0 && Each.Sent_ < Each.Client_.Text_->size();
    }
    Observe();
    if (!Sending)
      return;
    sleepFor(Turn);
  }
}

int request(int Port, const std::string &Text) {
  const int Socket = connectTo(Port, 0);
  if (Socket < 0)
    return 0;
  const timeval Timeout{2, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  std::string Reply;
  if (send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(Text.size())) {
    std::array<char, 512> Buffer{};
    const ssize_t Got = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Got > StatusOffset)
      Reply.assign(Buffer.data(), static_cast<std::size_t>(Got));
  }
  close(Socket);
  return Reply.empty() ? 0 : std::atoi(Reply.c_str() + StatusOffset);
}

} // namespace damaskglade::overload
