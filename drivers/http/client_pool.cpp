#include "drivers/http/client_pool.h"

#include "core/address.h"
#include "core/thread.h"

#include <algorithm>
#include <httplib.h>
#include <map>
#include <vector>

namespace damaskglade::drivers {

namespace {

constexpr std::size_t MaxIdlePerAddress = 16;
// Below the server's keep-alive time, so that a pooled connection is not one
// that the server is just closing.
constexpr Millis MaxIdleTime{4000};
constexpr Millis MaxConnectTime{1000};
constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t MicrosPerMilli = 1000;

struct PooledClient {
  std::unique_ptr<httplib::Client> Client_;
  Millis IdleSince_;
};

std::unique_ptr<httplib::Client> makeClient(const HostPort &Address) {
  auto Client = std::make_unique<httplib::Client>(Address.Host_, Address.Port_);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  return Client;
}

void setTimeouts(httplib::Client &Client, Millis Timeout) {
  const Millis Connect = std::min(Timeout, MaxConnectTime);
  const auto Micros = [](Millis Time) {
    return (Time.Value_ % MillisPerSecond) * MicrosPerMilli;
  };
  Client.set_connection_timeout(Connect.Value_ / MillisPerSecond,
                                Micros(Connect));
  Client.set_read_timeout(Timeout.Value_ / MillisPerSecond, Micros(Timeout));
  Client.set_write_timeout(Timeout.Value_ / MillisPerSecond, Micros(Timeout));
}

httplib::Result sendOnce(httplib::Client &Client, const HttpRequest &Request) {
  std::string Path = Request.Path_;
  char Separator = '?';
  for (const auto &[Name, Value] : Request.Query_) {
    Path += Separator;
    Path += Name + "=" + httplib::detail::encode_query_param(Value);
    Separator = '&';
  }
  if (Request.Method_ == "GET")
    return Client.Get(Path);
  if (Request.Method_ == "PUT")
    return Client.Put(Path, Request.Body_, "application/json");
  return Client.Post(Path, Request.Body_, "application/json");
}

Error convertError(httplib::Error Failure, const std::string &Step,
                   const std::string &Address) {
  if (Failure == httplib::Error::Connection ||
      Failure == httplib::Error::ConnectionTimeout ||
      Failure == httplib::Error::BindIPAddress)
    return Error{Reason::ConnectFailed, Effect::None, Step, Address,
                 "connection refused or timed out"};
  return Error{Reason::AnswerLost, Effect::Unknown, Step, Address,
               httplib::to_string(Failure)};
}

} // namespace

struct ClientPool::Connections {
  Mutex Mutex_;
  std::map<std::string, std::vector<PooledClient>> Idle_;
  SystemClock Clock_;

  std::unique_ptr<httplib::Client> take(const std::string &Address) {
    const MutexLock Lock(Mutex_);
    std::vector<PooledClient> &Free = Idle_[Address];
    while (!Free.empty()) {
      PooledClient Last = std::move(Free.back());
      Free.pop_back();
      if (Clock_.monotonic() - Last.IdleSince_ < MaxIdleTime)
        return std::move(Last.Client_);
    }
    return nullptr;
  }

  void give(const std::string &Address,
            std::unique_ptr<httplib::Client> Client) {
    const MutexLock Lock(Mutex_);
    std::vector<PooledClient> &Free = Idle_[Address];
    if (Free.size() < MaxIdlePerAddress)
      Free.push_back(PooledClient{std::move(Client), Clock_.monotonic()});
  }
};

ClientPool::ClientPool() : Connections_(std::make_unique<Connections>()) {}

ClientPool::~ClientPool() = default;

Result<HttpReply> ClientPool::send(const std::string &Address,
                                   const HttpRequest &Request,
                                   const std::string &Step, Millis Timeout) {
  const std::optional<HostPort> Target = parseHostPort(Address);
  if (!Target)
    return Error{Reason::InvalidField, Effect::None, Step, Address,
                 "the address must be ip:port"};
  if (Timeout <= Millis{})
    return Error{Reason::Timeout, Effect::None, Step, Address,
                 "no time is left for the call"};
  std::unique_ptr<httplib::Client> Client = Connections_->take(Address);
  if (!Client)
    Client = makeClient(*Target);
  setTimeouts(*Client, Timeout);
  const httplib::Result Reply = sendOnce(*Client, Request);
  if (!Reply)
    return convertError(Reply.error(), Step, Address);
  HttpReply Out{Reply->status, Reply->body,
                Reply->get_header_value("Content-Type")};
  Connections_->give(Address, std::move(Client));
  return Out;
}

} // namespace damaskglade::drivers
