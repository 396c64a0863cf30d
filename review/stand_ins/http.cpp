#include "review/stand_ins/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace damaskglade::review {

namespace {

constexpr std::size_t BufferBytes = 65536;

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  return Address;
}

// The socket functions take a pointer to the general address type.
const sockaddr *general(const sockaddr_in &Address) {
  return static_cast<const sockaddr *>(static_cast<const void *>(&Address));
}

/// A complete message at the start of the text, and how long it is.
struct Message {
  std::string StartLine_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
  std::size_t Bytes_ = 0;
};

std::optional<Message> parseMessage(const std::string &Text) {
  constexpr const char *EndOfHead = "\r\n\r\n";
  constexpr std::size_t EndOfHeadBytes = 4;
  const auto HeadEnd = Text.find(EndOfHead);
  if (HeadEnd == std::string::npos)
    return std::nullopt;
  Message Parsed;
  auto LineEnd = Text.find("\r\n");
  Parsed.StartLine_ = Text.substr(0, LineEnd);
  while (LineEnd < HeadEnd) {
    const auto Begin = LineEnd + 2;
    LineEnd = Text.find("\r\n", Begin);
    const std::string Line = Text.substr(Begin, LineEnd - Begin);
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char Letter) {
                     return static_cast<char>(std::tolower(Letter));
                   });
    const auto Value = Line.find_first_not_of(' ', Colon + 1);
    Parsed.Headers_[Name] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  const auto Length = Parsed.Headers_.find("content-length");
  const std::size_t BodyBytes =
      Length == Parsed.Headers_.end()
          ? 0
          : std::strtoull(Length->second.c_str(), nullptr, 10);
  Parsed.Bytes_ = HeadEnd + EndOfHeadBytes + BodyBytes;
  if (Text.size() < Parsed.Bytes_)
    return std::nullopt;
  Parsed.Body_ = Text.substr(HeadEnd + EndOfHeadBytes, BodyBytes);
  return Parsed;
}

bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

void setNoDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

void resetOnClose(int Socket) {
  const linger Reset{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
}

void setReceiveTimeout(int Socket, std::int64_t TimeoutMs) {
  constexpr std::int64_t MillisPerSecond = 1000;
  const timeval Time{TimeoutMs / MillisPerSecond,
                     TimeoutMs % MillisPerSecond * MillisPerSecond};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof Time);
}

int boundSocket(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = loopback(Port);
  if (bind(Socket, general(Address), sizeof Address) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

int portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  getsockname(Socket, static_cast<sockaddr *>(static_cast<void *>(&Address)),
              &Size);
  return ntohs(Address.sin_port);
}

} // namespace

std::int64_t nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

void sleepMs(std::int64_t Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

// Below the ports that the system gives to clients, which could take one before
// the node listens there.
int findFreePort() {
  constexpr int FirstPort = 20000;
  constexpr int PortCount = 10000;
  constexpr int PortsOfProcess = 40;
  static int Next = getpid() * PortsOfProcess % PortCount;
  for (;;) {
    Next = (Next + 1) % PortCount;
    const int Socket = boundSocket(FirstPort + Next);
    if (Socket < 0)
      continue;
    close(Socket);
    return FirstPort + Next;
  }
}

HttpServer::HttpServer(HttpHandler Handler) : Handler_(std::move(Handler)) {
  constexpr int Backlog = 256;
  constexpr int ExitCannotRun = 2;
  Listener_ = boundSocket(0);
  if (Listener_ < 0 || ::listen(Listener_, Backlog) != 0) {
    std::fprintf(stderr, "cannot listen on a loopback address\n");
    std::exit(ExitCannotRun);
  }
  Port_ = portOf(Listener_);
  std::thread([this] { accept(); }).detach();
}

void HttpServer::accept() {
  for (;;) {
    const int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    setNoDelay(Socket);
    const auto Added = std::make_shared<Link>();
    Added->Socket_ = Socket;
    if (!HasPower_)
      Added->State_ = LinkState::Forgotten;
    {
      const std::lock_guard<std::mutex> Guard(Lock_);
      Links_.remove_if([](const auto &Each) { return Each->Ended_.load(); });
      Links_.push_back(Added);
    }
    std::thread([this, Added] { serve(Added); }).detach();
  }
}

void HttpServer::serve(const std::shared_ptr<Link> &Served) {
  std::string Text;
  std::string Chunk(BufferBytes, '\0');
  for (;;) {
    const ssize_t Count = recv(Served->Socket_, Chunk.data(), Chunk.size(), 0);
    if (Count <= 0)
      break;
    if (Served->State_ == LinkState::Silent)
      continue;
    if (Served->State_ == LinkState::Forgotten) {
      // A machine without power does not even reset.
      while (!HasPower_)
        sleepMs(1);
      resetOnClose(Served->Socket_);
      break;
    }
    Text.append(Chunk, 0, static_cast<std::size_t>(Count));
    bool Broken = false;
    for (auto Read = parseMessage(Text); Read && !Broken;
         Read = parseMessage(Text)) {
      Text.erase(0, Read->Bytes_);
      const auto MethodEnd = Read->StartLine_.find(' ');
      const auto TargetEnd = Read->StartLine_.find(' ', MethodEnd + 1);
      const auto Reply = Handler_(HttpRequest{
          Read->StartLine_.substr(0, MethodEnd),
          Read->StartLine_.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1),
          Read->Headers_, Read->Body_});
      if (!Reply || Served->State_ != LinkState::Open)
        continue;
      Broken = !sendAll(
          Served->Socket_,
          "HTTP/1.1 " + std::to_string(Reply->Status_) +
              " Reply\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(Reply->Body_.size()) + "\r\n\r\n" + Reply->Body_);
    }
    if (Broken)
      break;
  }
  const std::lock_guard<std::mutex> Guard(Lock_);
  close(Served->Socket_);
  Served->Ended_ = true;
}

std::size_t HttpServer::setState(LinkState State) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::size_t Changed = 0;
  for (const auto &Each : Links_) {
    if (Each->Ended_)
      continue;
    Each->State_ = State;
    ++Changed;
  }
  return Changed;
}

std::size_t HttpServer::silenceOpen() { return setState(LinkState::Silent); }

void HttpServer::powerOff() {
  HasPower_ = false;
  setState(LinkState::Forgotten);
}

void HttpServer::powerOn() {
  setState(LinkState::Forgotten);
  HasPower_ = true;
}

HttpReply httpCall(int Port, const std::string &Method,
                   const std::string &Target, const std::string &Host,
                   const std::string &Body, std::int64_t TimeoutMs) {
  const std::int64_t Deadline = nowMs() + TimeoutMs;
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Socket, general(Address), sizeof Address) != 0) {
    close(Socket);
    return {};
  }
  setNoDelay(Socket);
  std::string Text;
  std::string Chunk(BufferBytes, '\0');
  HttpReply Reply;
  if (sendAll(Socket, Method + " " + Target + " HTTP/1.1\r\nHost: " + Host +
                          "\r\nDeadline-Ms: " + std::to_string(TimeoutMs) +
                          "\r\nContent-Type: application/json"
                          "\r\nContent-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body))
    while (nowMs() < Deadline) {
      setReceiveTimeout(Socket, Deadline - nowMs() + 1);
      const ssize_t Count = recv(Socket, Chunk.data(), Chunk.size(), 0);
      if (Count <= 0)
        break;
      Text.append(Chunk, 0, static_cast<std::size_t>(Count));
      const auto Read = parseMessage(Text);
      if (!Read)
        continue;
      const auto Space = Read->StartLine_.find(' ');
      Reply.Status_ = std::atoi(Read->StartLine_.c_str() + Space + 1);
      Reply.Body_ = Read->Body_;
      break;
    }
  close(Socket);
  return Reply;
}

} // namespace damaskglade::review
