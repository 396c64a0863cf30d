#include "config/follower.h"

#include "config/folder.h"

#include <utility>

namespace damaskglade::config {

Follower::Follower(FollowerOptions Options, VersionStore &Versions,
                   PeerFetch Fetch, const Clock &Time, MetricsSink &Metrics)
    : Options_(Options), Versions_(Versions), Fetch_(std::move(Fetch)),
      Time_(Time), Metrics_(Metrics) {}

Follower::~Follower() { stop(); }

void Follower::start() {
  const MutexLock Lock(Mutex_);
  if (Started_ || Stopping_)
    return;
  Started_ = true;
  Thread_ = Thread([this] { run(); });
}

void Follower::stop() {
  {
    const MutexLock Lock(Mutex_);
    Stopping_ = true;
    Wake_.notifyAll();
  }
  Thread_.join();
}

void Follower::offer(std::int64_t Version, const std::string &Hash) {
  const MutexLock Lock(Mutex_);
  if (Version <= Newest_.Version_ || Hash.empty())
    return;
  Newest_ = {Version, Hash};
  Offered_ = true;
  Wake_.notifyAll();
}

std::shared_ptr<const CellSettings> Follower::current() const {
  const MutexLock Lock(Mutex_);
  return Current_;
}

std::int64_t Follower::version() const { return inForce().Version_; }

VersionInForce Follower::inForce() const {
  const MutexLock Lock(Mutex_);
  return InForce_;
}

std::optional<std::string> Follower::body(const std::string &Hash) const {
  const MutexLock Lock(Mutex_);
  if (InForce_.Version_ == 0 || InForce_.Hash_ != Hash)
    return std::nullopt;
  return Body_;
}

std::string Follower::problem() const {
  const MutexLock Lock(Mutex_);
  return Problem_;
}

void Follower::run() {
  Millis NextPoll = Time_.monotonic();
  while (true) {
    const bool PollDue = Time_.monotonic() >= NextPoll;
    if (PollDue) {
      NextPoll = Time_.monotonic() + Options_.PollEvery_;
      pollPointer();
    }
    fetchNewest();
    const MutexLock Lock(Mutex_);
    while (!Stopping_ && !Offered_ && Time_.monotonic() < NextPoll)
      Wake_.waitFor(Mutex_, NextPoll - Time_.monotonic());
    if (Stopping_)
      return;
  }
}

void Follower::pollOnce() {
  pollPointer();
  fetchNewest();
}

void Follower::pollPointer() {
  const auto Pointer = Versions_.current(Options_.CallTimeout_);
  if (!Pointer) {
    Metrics_.count("config_poll_failures");
    return;
  }
  if (Pointer.value())
    offer(Pointer.value()->Version_, Pointer.value()->Hash_);
  const MutexLock Lock(Mutex_);
  if (Pointer.value()) {
    if (Pointer.value()->Version_ > Confirmed_.Version_)
      Confirmed_ = {Pointer.value()->Version_, Pointer.value()->Hash_};
    return;
  }
  if (!Current_ && Newest_.Version_ == 0)
    Current_ = std::make_shared<const CellSettings>();
}

void Follower::fetchNewest() {
  VersionInForce Newest;
  VersionInForce Confirmed;
  {
    const MutexLock Lock(Mutex_);
    Offered_ = false;
    Newest = Newest_;
    Confirmed = Confirmed_;
  }
  // An offer that cannot be followed must not keep the node from the version
  // in the table.
  if (!fetch(Newest) && Confirmed.Version_ < Newest.Version_)
    fetch(Confirmed);
}

// Returns true if the version, or a higher one, is in force.
bool Follower::fetch(const VersionInForce &Next) {
  {
    const MutexLock Lock(Mutex_);
    if (Next.Version_ <= InForce_.Version_)
      return true;
    // A version with the content in force needs no transfer.
    if (InForce_.Version_ > 0 && Next.Hash_ == InForce_.Hash_) {
      InForce_ = Next;
      return true;
    }
  }
  const auto Text = fetchBody(Next.Hash_);
  if (Text)
    return apply(Next, Text.value());
  reportProblem("version " + std::to_string(Next.Version_) + ": " +
                describe(Text.error()));
  return false;
}

Result<std::string> Follower::fetchBody(const std::string &Hash) {
  auto Stored = Versions_.body(Hash, Options_.CallTimeout_);
  if (Stored || !Fetch_)
    return Stored;
  auto Relayed = Fetch_(Hash, Options_.CallTimeout_);
  if (!Relayed)
    return Relayed;
  if (contentHash(Relayed.value()) != Hash)
    return Error{Reason::AnswerTruncated, Effect::None, "fetch configuration",
                 "peer", "the body does not match its hash"};
  return Relayed;
}

bool Follower::apply(const VersionInForce &Next, const std::string &Text) {
  // A version pushed by a newer release may hold settings that this one does
  // not know; the version in force stays.
  const CheckedCell Checked = checkCanonical(Text);
  if (!Checked.Settings_) {
    reportProblem("version " + std::to_string(Next.Version_) + ": " +
                  Checked.Settings_.error().Message_);
    return false;
  }
  const MutexLock Lock(Mutex_);
  if (Next.Version_ <= InForce_.Version_)
    return true;
  Current_ = std::make_shared<const CellSettings>(Checked.Settings_.value());
  InForce_ = Next;
  Body_ = Text;
  if (Next.Version_ >= Newest_.Version_)
    Problem_.clear();
  Metrics_.gauge("config_version", static_cast<double>(Next.Version_));
  return true;
}

void Follower::reportProblem(const std::string &Text) {
  Metrics_.count("config_apply_failures");
  const MutexLock Lock(Mutex_);
  Problem_ = Text;
}

} // namespace damaskglade::config
