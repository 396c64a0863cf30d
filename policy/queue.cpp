#include "policy/queue.h"

#include <algorithm>
#include <utility>

namespace damaskglade::policy {

namespace {

constexpr Millis MinRetryAfter{100};
constexpr Millis MaxRetryAfter{30000};

// Stale entries of the heap of deadlines before it is rebuilt.
constexpr std::size_t ExpirySlack = 1024;

constexpr std::array AllClasses{TaskClass::Lookup, TaskClass::Request,
                                TaskClass::Batch, TaskClass::Gang,
                                TaskClass::Service};

std::size_t laneOf(Urgency Level) { return static_cast<std::size_t>(Level); }

} // namespace

Resources totalSize(const QueuedJob &Job) {
  return timesTasks(Job.Size_, Job.Tasks_);
}

JobQueue::JobQueue(QueueSettings Settings, Shares &Accounts)
    : Settings_(Settings), Accounts_(Accounts) {}

JobQueue::ClassQueue &JobQueue::classQueue(TaskClass Class) {
  return Classes_[static_cast<std::size_t>(Class)];
}

const JobQueue::ClassQueue &JobQueue::classQueue(TaskClass Class) const {
  return Classes_[static_cast<std::size_t>(Class)];
}

std::size_t JobQueue::size(TaskClass Class) const {
  return classQueue(Class).Size_;
}

std::size_t JobQueue::size(TaskClass Class, const std::string &Team) const {
  const ClassQueue &Queue = classQueue(Class);
  const auto Found = Queue.Teams_.find(Team);
  return Found == Queue.Teams_.end() ? 0 : Found->second.Size_;
}

double JobQueue::workAhead(TaskClass Class, const std::string &Team,
                           Urgency Level) const {
  const ClassQueue &Queue = classQueue(Class);
  const auto Found = Queue.Teams_.find(Team);
  if (Found == Queue.Teams_.end())
    return 0.0;
  double Work = 0.0;
  for (std::size_t Index = 0; Index <= laneOf(Level); ++Index)
    Work += Found->second.Lanes_[Index].Work_;
  return Work;
}

Error JobQueue::fullError(TaskClass Class, const std::string &Team,
                          const std::string &Message) const {
  // Half of the team's queue at its guaranteed rate: by then there is room for
  // more than one caller.
  const double Rate = Accounts_.teamMinimum(Class, Team);
  const double Work = workAhead(Class, Team, Urgency::Low);
  const Millis Drained{
      Rate > 0.0
          ? static_cast<std::int64_t>(std::min(
                Work / Rate / 2.0, static_cast<double>(MaxRetryAfter.Value_)))
          : MaxRetryAfter.Value_};
  return Error{
      Reason::QueueFull, Effect::None,
      "queue job",       "",
      Message,           std::clamp(Drained, MinRetryAfter, MaxRetryAfter)};
}

Status JobQueue::reserve(TaskClass Class, const std::string &Team) {
  ClassQueue &Queue = classQueue(Class);
  const auto Found = Queue.Teams_.find(Team);
  const std::size_t OfTeam =
      Found == Queue.Teams_.end()
          ? 0
          : Found->second.Size_ + Found->second.Reserved_;
  if (OfTeam >= Settings_.TeamBound_)
    return fullError(Class, Team, "The team's queue of this class is full.");
  const bool HasOwnPlace =
      OfTeam < Settings_.TeamPlaces_ &&
      (OfTeam > 0 || Queue.Teams_.size() < Settings_.MaxTeams_);
  if (!HasOwnPlace &&
      Queue.Size_ + Queue.Reserved_ >=
          Settings_.ClassBounds_[static_cast<std::size_t>(Class)])
    return fullError(Class, Team, "The queue of this class is full.");
  ++Queue.Reserved_;
  ++Queue.Teams_[Team].Reserved_;
  return success();
}

void JobQueue::unreserve(TaskClass Class, const std::string &Team) {
  ClassQueue &Queue = classQueue(Class);
  const auto Found = Queue.Teams_.find(Team);
  if (Found == Queue.Teams_.end() || Found->second.Reserved_ == 0)
    return;
  --Queue.Reserved_;
  --Found->second.Reserved_;
  eraseIfIdle(Queue, Found);
}

void JobQueue::eraseIfIdle(ClassQueue &Class, TeamMap::iterator Team) {
  if (Team->second.Size_ + Team->second.Reserved_ == 0)
    Class.Teams_.erase(Team);
}

Status JobQueue::push(QueuedJob Job) {
  if (Index_.contains(Job.Id_))
    return success();
  const TaskClass Class = Job.Class_;
  const std::string Team = Job.Team_;
  BOOST_OUTCOME_TRYV(reserve(Class, Team));
  adopt(std::move(Job));
  unreserve(Class, Team);
  return success();
}

void JobQueue::adopt(QueuedJob Job) { insert(std::move(Job), false, 0); }

void JobQueue::insert(QueuedJob Job, bool AtFront, std::uint64_t RefusedRound) {
  if (Index_.contains(Job.Id_))
    return;
  ClassQueue &Queue = classQueue(Job.Class_);
  const auto Team = Queue.Teams_.try_emplace(Job.Team_).first;
  Lane &Target = Team->second.Lanes_[laneOf(Job.Urgency_)];
  const double Work =
      Accounts_.shareOf(totalSize(Job)) * static_cast<double>(Job.Run_.Value_);
  const std::uint64_t Sequence = NextSequence_++;
  const bool IsUrgent = Job.Urgency_ == Urgency::Urgent;
  Team->second.Account_ = &Accounts_.queued(Job.Class_, Job.Team_);
  const auto Position = Target.Entries_.insert(
      AtFront ? Target.Entries_.begin() : Target.Entries_.end(),
      Entry{std::move(Job), Work, Sequence, RefusedRound});
  const QueuedJob &Stored = Position->Job_;
  Index_.emplace(Stored.Id_, Place{Team, Position});
  Target.Work_ += Work;
  ++Team->second.Size_;
  ++Queue.Size_;
  if (IsUrgent)
    ++Queue.Urgent_;
  if (RefusedRound != Round_)
    Target.ExhaustedRound_ = 0;
  if (Stored.Deadline_ > Millis{}) {
    Expiries_.push_back(Expiry{Stored.Deadline_, Sequence, Stored.Id_});
    std::push_heap(Expiries_.begin(), Expiries_.end(),
                   [](const Expiry &A, const Expiry &B) {
                     return A.Deadline_ > B.Deadline_;
                   });
  }
  compactExpiries();
}

QueuedJob
JobQueue::erase(std::unordered_map<std::string, Place>::iterator Position) {
  const Place Where = Position->second;
  Index_.erase(Position);
  QueuedJob Job = std::move(Where.Entry_->Job_);
  ClassQueue &Queue = classQueue(Job.Class_);
  Lane &Source = Where.Team_->second.Lanes_[laneOf(Job.Urgency_)];
  Source.Work_ -= Where.Entry_->Work_;
  Source.Entries_.erase(Where.Entry_);
  // Rounding errors of many additions must not outlive the jobs.
  if (Source.Entries_.empty())
    Source.Work_ = 0.0;
  --Where.Team_->second.Size_;
  --Queue.Size_;
  if (Job.Urgency_ == Urgency::Urgent)
    --Queue.Urgent_;
  eraseIfIdle(Queue, Where.Team_);
  Accounts_.unqueued(Job.Class_, Job.Team_);
  return Job;
}

std::optional<QueuedJob> JobQueue::remove(const std::string &Id) {
  const auto Position = Index_.find(Id);
  if (Position == Index_.end())
    return std::nullopt;
  return erase(Position);
}

std::vector<QueuedJob> JobQueue::takeExpired(Millis Now, std::size_t Limit) {
  std::vector<QueuedJob> Expired;
  while (!Expiries_.empty() && Expired.size() < Limit &&
         Expiries_.front().Deadline_ <= Now) {
    std::pop_heap(Expiries_.begin(), Expiries_.end(),
                  [](const Expiry &A, const Expiry &B) {
                    return A.Deadline_ > B.Deadline_;
                  });
    const Expiry Earliest = std::move(Expiries_.back());
    Expiries_.pop_back();
    const auto Position = Index_.find(Earliest.Id_);
    if (Position != Index_.end() &&
        Position->second.Entry_->Sequence_ == Earliest.Sequence_)
      Expired.push_back(erase(Position));
  }
  return Expired;
}

void JobQueue::compactExpiries() {
  if (Expiries_.size() < 2 * Index_.size() + ExpirySlack)
    return;
  std::erase_if(Expiries_, [this](const Expiry &Entry) {
    const auto Position = Index_.find(Entry.Id_);
    return Position == Index_.end() ||
           Position->second.Entry_->Sequence_ != Entry.Sequence_;
  });
  std::make_heap(Expiries_.begin(), Expiries_.end(),
                 [](const Expiry &A, const Expiry &B) {
                   return A.Deadline_ > B.Deadline_;
                 });
}

void JobQueue::beginRound() { ++Round_; }

void JobQueue::putBack(const Candidate &Refused, Refusal Why) {
  const QueuedJob &Job = Refused.Job_;
  ClassQueue &Queue = classQueue(Job.Class_);
  Refusals &Known =
      Refused.MayPreempt_ ? Queue.RefusedPreempting_ : Queue.Refused_;
  if (Known.Round_ != Round_)
    Known = Refusals{Round_, {}};
  const Millis Run = Why == Refusal::Reserved ? Job.Run_ : Millis{};
  Known.Shapes_.push_back(RefusedShape{Job.Size_, Job.Tasks_, Run});
  insert(Job, true, Round_);
}

std::optional<Candidate> JobQueue::take(Millis Now, const Resources &Free) {
  if (Index_.empty())
    return std::nullopt;
  Scan Context{Tier::Lookup, Now, Free,
               Free - Accounts_.interactiveReserve(Now)};
  for (const Tier Level :
       {Tier::Lookup, Tier::Urgent, Tier::Guaranteed, Tier::Shared}) {
    Context.Tier_ = Level;
    const auto Chosen = chooseInTier(Context);
    if (!Chosen)
      continue;
    const auto Position = Index_.find((*Chosen)->Job_.Id_);
    return Candidate{erase(Position), Level == Tier::Urgent};
  }
  return std::nullopt;
}

bool JobQueue::isInTier(TaskClass Class, const Scan &Context) const {
  const double Minimum = Accounts_.classMinimum(Class);
  switch (Context.Tier_) {
  case Tier::Lookup:
    return Class == TaskClass::Lookup &&
           Accounts_.classShare(Class, Context.Now_) < Minimum;
  case Tier::Urgent:
    return classQueue(Class).Urgent_ > 0 &&
           Accounts_.urgentShare(Class, Context.Now_) < Minimum;
  case Tier::Guaranteed:
    return Accounts_.classShare(Class, Context.Now_) < Minimum;
  case Tier::Shared:
    return true;
  }
  return false;
}

JobQueue::Found JobQueue::chooseInTier(const Scan &Context) {
  const auto RankOf = [this, &Context](TaskClass Class) {
    return Context.Tier_ == Tier::Urgent
               ? Accounts_.urgentShare(Class, Context.Now_)
               : Accounts_.classRank(Class, Context.Now_);
  };
  std::array<std::pair<double, TaskClass>, TaskClassCount> Ranking{};
  std::size_t Count = 0;
  for (const TaskClass Class : AllClasses)
    if (classQueue(Class).Size_ > 0 && isInTier(Class, Context))
      Ranking[Count++] = {RankOf(Class), Class};
  for (; Count > 0; --Count) {
    auto *const Last = Ranking.begin() + Count;
    auto *const Lowest = std::min_element(Ranking.begin(), Last);
    if (const auto Chosen = chooseInClass(Lowest->second, Context))
      return Chosen;
    std::swap(*Lowest, *(Last - 1));
  }
  return std::nullopt;
}

JobQueue::Found JobQueue::chooseInClass(TaskClass Class, const Scan &Context) {
  ClassQueue &Queue = classQueue(Class);
  const Refusals &Known =
      Context.Tier_ == Tier::Urgent ? Queue.RefusedPreempting_ : Queue.Refused_;
  if (Known.Round_ == Round_ &&
      Known.Shapes_.size() >= Settings_.RoundRefusals_)
    return std::nullopt;
  Ranking_.clear();
  for (auto Team = Queue.Teams_.begin(); Team != Queue.Teams_.end(); ++Team) {
    if (Team->second.Size_ == 0)
      continue;
    const TeamAccount &Account = *Team->second.Account_;
    if (Context.Tier_ != Tier::Urgent) {
      Ranking_.emplace_back(Accounts_.teamRank(Account, Context.Now_), Team);
      continue;
    }
    const double Urgent = Accounts_.teamUrgentShare(Account, Context.Now_);
    if (!Team->second.Lanes_[laneOf(Urgency::Urgent)].Entries_.empty() &&
        Urgent < Accounts_.teamMinimum(Class, Account))
      Ranking_.emplace_back(Urgent / Account.Weight_, Team);
  }
  const auto IsLater = [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first
                              : A.second->first > B.second->first;
  };
  std::make_heap(Ranking_.begin(), Ranking_.end(), IsLater);
  while (!Ranking_.empty()) {
    if (const auto Chosen =
            chooseInTeam(Queue, Ranking_.front().second->second, Context))
      return Chosen;
    std::pop_heap(Ranking_.begin(), Ranking_.end(), IsLater);
    Ranking_.pop_back();
  }
  return std::nullopt;
}

JobQueue::Found JobQueue::chooseInTeam(ClassQueue &Class, TeamQueue &Team,
                                       const Scan &Context) {
  const std::size_t Lanes =
      Context.Tier_ == Tier::Urgent ? 1 : Team.Lanes_.size();
  for (std::size_t Index = 0; Index < Lanes; ++Index)
    if (const auto Chosen = chooseInLane(Class, Team.Lanes_[Index], Context))
      return Chosen;
  return std::nullopt;
}

JobQueue::Found JobQueue::chooseInLane(ClassQueue &Class, Lane &From,
                                       const Scan &Context) {
  if (From.ExhaustedRound_ == Round_)
    return std::nullopt;
  std::size_t Examined = 0;
  for (auto Position = From.Entries_.begin();
       Position != From.Entries_.end() && Examined < Settings_.ScanDepth_;
       ++Position, ++Examined)
    if (!isBlocked(Class, *Position, Context))
      return Position;
  // Capacity only shrinks within a round, so the lane need not be scanned
  // again. Urgent work may still start without preemption in a later tier.
  if (Context.Tier_ != Tier::Urgent)
    From.ExhaustedRound_ = Round_;
  return std::nullopt;
}

bool JobQueue::isBlocked(const ClassQueue &Class, const Entry &Job,
                         const Scan &Context) const {
  if (Job.RefusedRound_ == Round_)
    return true;
  const Refusals &Known =
      Context.Tier_ == Tier::Urgent ? Class.RefusedPreempting_ : Class.Refused_;
  if (Known.Round_ == Round_)
    for (const RefusedShape &Shape : Known.Shapes_)
      if (Shape.Tasks_ <= Job.Job_.Tasks_ && Shape.Run_ <= Job.Job_.Run_ &&
          fits(Shape.Size_, Job.Job_.Size_))
        return true;
  if (Context.Tier_ != Tier::Shared)
    return false;
  // A job that does not fit at all is still offered, because the placement
  // then reserves its earliest start.
  // Only one task of a gang counts against the reserve: smaller work would
  // otherwise always be served first while little is free.
  return fits(totalSize(Job.Job_), Context.Free_) &&
         !fits(Job.Job_.Size_, Context.Unreserved_);
}

} // namespace damaskglade::policy
