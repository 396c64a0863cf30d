#include "drivers/platform/http_pool.h"

#include "core/address.h"
#include "core/thread.h"

#include <algorithm>
#include <httplib.h>
#include <map>

namespace damaskglade::drivers {

namespace {

constexpr int DefaultHttpPort = 80;
// Servers close an idle connection after 5 s (the default of cpp-httplib).
// Connections are given up earlier, so that a request is rarely sent on one
// that its server is closing: such a failure has an unknown effect.
constexpr Millis MaxIdle{3000};
constexpr std::size_t MaxIdlePerAddress = 16;

std::chrono::milliseconds toChrono(Millis Time) {
  return std::chrono::milliseconds(std::max<std::int64_t>(Time.Value_, 1));
}

std::unique_ptr<httplib::Client> connectionTo(const std::string &Address) {
  const auto [Host, Port] =
      parseHostPort(Address).value_or(HostPort{Address, DefaultHttpPort});
  auto Connection = std::make_unique<httplib::Client>(Host, Port);
  Connection->set_keep_alive(true);
  Connection->set_tcp_nodelay(true);
  return Connection;
}

/// Shuts down connections whose call has passed its deadline. The timeouts of
/// cpp-httplib bound each read and write but not the call as a whole.
class Watchdog {
public:
  Watchdog() : Thread_([this] { run(); }) {}
  ~Watchdog() {
    {
      const MutexLock Held(Mutex_);
      Stopping_ = true;
      Changed_.notifyAll();
    }
    Thread_.join();
  }
  Watchdog(const Watchdog &) = delete;
  Watchdog &operator=(const Watchdog &) = delete;

  using Calls = std::multimap<Millis, httplib::Client *>;

  Calls::iterator add(Millis Deadline, httplib::Client *Connection) {
    const MutexLock Held(Mutex_);
    const auto Added = Calls_.emplace(Deadline, Connection);
    if (Added == Calls_.begin())
      Changed_.notifyAll();
    return Added;
  }

  void remove(Calls::iterator Added) {
    const MutexLock Held(Mutex_);
    Calls_.erase(Added);
  }

private:
  void run() {
    constexpr Millis Forever{60000};
    // A call that has not yet returned after its connection was shut down is
    // shut down again, in case it connected in between.
    constexpr Millis Again{20};
    const MutexLock Held(Mutex_);
    while (!Stopping_) {
      const Millis Now = Clock_.monotonic();
      const auto Due = Calls_.upper_bound(Now);
      for (auto Call = Calls_.begin(); Call != Due; ++Call)
        Call->second->stop();
      if (Calls_.empty())
        Changed_.waitFor(Mutex_, Forever);
      else
        Changed_.waitFor(Mutex_, std::max(Again, Calls_.begin()->first - Now));
    }
  }

  SystemClock Clock_;
  Mutex Mutex_;
  Condition Changed_;
  Calls Calls_;
  bool Stopping_ = false;
  Thread Thread_; // Last, so that the other members exist when it runs.
};

} // namespace

HttpUrl splitUrl(const std::string &Url) {
  const std::string Scheme = "http://";
  const std::size_t Start = Url.rfind(Scheme, 0) == 0 ? Scheme.size() : 0;
  const std::size_t Slash = Url.find('/', Start);
  HttpUrl Out;
  Out.Address_ = Url.substr(Start, Slash - Start);
  if (Slash != std::string::npos)
    Out.Path_ = Url.substr(Slash);
  while (!Out.Path_.empty() && Out.Path_.back() == '/')
    Out.Path_.pop_back();
  if (Out.Address_.find(':') == std::string::npos)
    Out.Address_ += ":" + std::to_string(DefaultHttpPort);
  return Out;
}

struct HttpPool::State {
  struct Idle {
    std::unique_ptr<httplib::Client> Connection_;
    Millis Since_;
  };

  SystemClock Clock_;
  Mutex Mutex_;
  std::map<std::string, std::vector<Idle>> Idle_;
  Watchdog Watchdog_;

  std::unique_ptr<httplib::Client> take(const std::string &Address) {
    std::vector<Idle> Stale; // Closed after the lock is released.
    const MutexLock Held(Mutex_);
    const auto Found = Idle_.find(Address);
    if (Found == Idle_.end() || Found->second.empty())
      return nullptr;
    Idle Last = std::move(Found->second.back());
    Found->second.pop_back();
    if (Clock_.monotonic() - Last.Since_ <= MaxIdle)
      return std::move(Last.Connection_);
    // The most recently used connection is too old, so all others are too.
    Stale = std::move(Found->second);
    Idle_.erase(Found);
    return nullptr;
  }

  void giveBack(const std::string &Address,
                std::unique_ptr<httplib::Client> Connection) {
    const MutexLock Held(Mutex_);
    std::vector<Idle> &Connections = Idle_[Address];
    if (Connections.size() < MaxIdlePerAddress)
      Connections.push_back(Idle{std::move(Connection), Clock_.monotonic()});
  }
};

HttpPool::HttpPool() : State_(std::make_unique<State>()) {}
HttpPool::~HttpPool() = default;

Result<HttpReply> HttpPool::call(const std::string &Address,
                                 const HttpCall &Request, Millis Timeout,
                                 const std::string &Step) {
  const Millis Deadline = State_->Clock_.monotonic() + Timeout;
  std::unique_ptr<httplib::Client> Connection = State_->take(Address);
  if (!Connection)
    Connection = connectionTo(Address);
  Connection->set_connection_timeout(toChrono(Timeout));
  Connection->set_read_timeout(toChrono(Timeout));
  Connection->set_write_timeout(toChrono(Timeout));

  httplib::Request Outgoing;
  Outgoing.method = Request.Method_;
  Outgoing.path = Request.Path_.empty() ? "/" : Request.Path_;
  Outgoing.body = Request.Body_;
  if (!Request.ContentType_.empty())
    Outgoing.set_header("Content-Type", Request.ContentType_);
  for (const auto &[Name, Value] : Request.Headers_)
    Outgoing.set_header(Name, Value);

  const auto Watched = State_->Watchdog_.add(Deadline, Connection.get());
  httplib::Response Incoming;
  auto Failure = httplib::Error::Success;
  const bool Complete = Connection->send(Outgoing, Incoming, Failure);
  State_->Watchdog_.remove(Watched);

  if (Complete) {
    State_->giveBack(Address, std::move(Connection));
    return HttpReply{Incoming.status, std::move(Incoming.body)};
  }
  const std::string Message = httplib::to_string(Failure);
  if (Failure == httplib::Error::Connection ||
      Failure == httplib::Error::ConnectionTimeout)
    return Error{Reason::ConnectFailed, Effect::None, Step, Address,
                 "could not connect: " + Message};
  if (State_->Clock_.monotonic() >= Deadline)
    return Error{Reason::Timeout, Effect::Unknown, Step, Address,
                 "no complete reply within " + std::to_string(Timeout.Value_) +
                     " ms"};
  return Error{Reason::AnswerLost, Effect::Unknown, Step, Address,
               "the connection ended before the reply: " + Message};
}

} // namespace damaskglade::drivers
