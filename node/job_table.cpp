#include "node/job_table.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr Millis WakeInterval{1000};

} // namespace

JobEntry makeEntry(const JobRecord &Record) {
  JobEntry Entry;
  Entry.Record_ = Record;
  const auto Tasks = static_cast<std::size_t>(Record.Spec_.Tasks_);
  Entry.Record_.Answers_.resize(Tasks);
  Entry.Members_.resize(Tasks);
  for (std::size_t Member = 0; Member < Tasks; ++Member) {
    if (Entry.Record_.Answers_[Member])
      Entry.Members_[Member].Phase_ = MemberState::Phase::Done;
    else if (Member < Record.Attempts_.size() &&
             Record.Attempts_[Member].Number_ > 0)
      Entry.Members_[Member].Phase_ = MemberState::Phase::Active;
  }
  return Entry;
}

bool anyActive(const JobEntry &Entry) {
  return std::any_of(Entry.Members_.begin(), Entry.Members_.end(),
                     [](const MemberState &Each) {
                       return Each.Phase_ == MemberState::Phase::Active;
                     });
}

JobTable::Shard &JobTable::shardOf(const std::string &Id) {
  return Shards_.at(std::hash<std::string>{}(Id) % ShardCount);
}

const JobTable::Shard &JobTable::shardOf(const std::string &Id) const {
  return Shards_.at(std::hash<std::string>{}(Id) % ShardCount);
}

JobTable::Guard::Guard(JobTable &Table, const std::string &Id)
    : Table_(Table), Id_(Id) {
  Shard &Home = Table_.shardOf(Id_);
  const MutexLock Lock(Home.Mutex_);
  for (;;) {
    const auto Found = Home.Slots_.find(Id_);
    if (Found == Home.Slots_.end())
      return;
    if (!Found->second.Locked_) {
      Found->second.Locked_ = true;
      Entry_ = Found->second.Entry_;
      return;
    }
    Home.Changed_.waitFor(Home.Mutex_, WakeInterval);
  }
}

JobTable::Guard::~Guard() {
  if (!Entry_ || Erased_)
    return;
  Shard &Home = Table_.shardOf(Id_);
  const MutexLock Lock(Home.Mutex_);
  const auto Found = Home.Slots_.find(Id_);
  if (Found != Home.Slots_.end())
    Found->second.Locked_ = false;
  Home.Changed_.notifyAll();
}

void JobTable::Guard::store() {
  if (Erased_)
    return;
  Shard &Home = Table_.shardOf(Id_);
  const MutexLock Lock(Home.Mutex_);
  const auto Found = Home.Slots_.find(Id_);
  if (Found == Home.Slots_.end())
    return;
  const bool WasFinal = isFinal(Found->second.Entry_.Record_.State_);
  Found->second.Entry_ = *Entry_;
  if (!WasFinal && isFinal(Entry_->Record_.State_))
    Home.Ended_.push_back(Id_);
  Home.Changed_.notifyAll();
}

void JobTable::Guard::erase() {
  Shard &Home = Table_.shardOf(Id_);
  const MutexLock Lock(Home.Mutex_);
  Home.Slots_.erase(Id_);
  Erased_ = true;
  Home.Changed_.notifyAll();
}

bool JobTable::add(const JobEntry &Entry) {
  Shard &Home = shardOf(Entry.Record_.Id_);
  const MutexLock Lock(Home.Mutex_);
  return Home.Slots_.try_emplace(Entry.Record_.Id_, Slot{Entry}).second;
}

std::optional<JobRecord> JobTable::find(const std::string &Id) const {
  const Shard &Home = shardOf(Id);
  const MutexLock Lock(Home.Mutex_);
  const auto Found = Home.Slots_.find(Id);
  if (Found == Home.Slots_.end())
    return std::nullopt;
  return Found->second.Entry_.Record_;
}

std::optional<JobRecord> JobTable::waitFinal(const std::string &Id,
                                             Millis Timeout,
                                             const Clock &Time) const {
  const Millis End = Time.monotonic() + Timeout;
  const Shard &Home = shardOf(Id);
  const MutexLock Lock(Home.Mutex_);
  for (;;) {
    const auto Found = Home.Slots_.find(Id);
    if (Found == Home.Slots_.end())
      return std::nullopt;
    const Millis Left = End - Time.monotonic();
    if (isFinal(Found->second.Entry_.Record_.State_) || Left <= Millis{})
      return Found->second.Entry_.Record_;
    Home.Changed_.waitFor(Home.Mutex_, std::min(Left, WakeInterval));
  }
}

std::vector<std::string>
JobTable::dueChecks(const std::function<bool(const JobEntry &)> &IsDue) const {
  std::vector<std::string> Out;
  for (const Shard &Each : Shards_) {
    const MutexLock Lock(Each.Mutex_);
    for (const auto &[Id, Held] : Each.Slots_)
      if (!Held.Locked_ && !isFinal(Held.Entry_.Record_.State_) &&
          IsDue(Held.Entry_))
        Out.push_back(Id);
  }
  return Out;
}

void JobTable::dropEnded(std::size_t Keep) {
  for (Shard &Each : Shards_) {
    const MutexLock Lock(Each.Mutex_);
    const std::size_t Most = Keep / ShardCount;
    if (Each.Ended_.size() <= Most)
      continue;
    const auto Last = Each.Ended_.end() - static_cast<std::ptrdiff_t>(Most);
    for (auto Id = Each.Ended_.begin(); Id != Last; ++Id) {
      const auto Found = Each.Slots_.find(*Id);
      if (Found != Each.Slots_.end() && !Found->second.Locked_)
        Each.Slots_.erase(Found);
    }
    Each.Ended_.erase(Each.Ended_.begin(), Last);
  }
}

std::size_t JobTable::size() const {
  std::size_t Sum = 0;
  for (const Shard &Each : Shards_) {
    const MutexLock Lock(Each.Mutex_);
    Sum += Each.Slots_.size();
  }
  return Sum;
}

} // namespace damaskglade::node
