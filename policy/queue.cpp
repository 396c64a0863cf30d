#include "policy/queue.h"

#include <algorithm>
#include <utility>

namespace damaskglade::policy {

namespace {

// Bounds of the retry-after in the refusal of a job by a full queue.
constexpr Millis MinRetryAfter{100};
constexpr Millis MaxRetryAfter{30000};

// Entries of the deadline heap stay in it when their jobs leave the queue. The
// heap is rebuilt without them once it has this many entries more than twice
// the number of queued jobs.
constexpr std::size_t ExpiryHeapSlack = 1024;

constexpr std::array AllClasses{TaskClass::Lookup, TaskClass::Request,
                                TaskClass::Batch, TaskClass::Gang,
                                TaskClass::Service};

std::size_t urgencyIndex(Urgency Level) {
  return static_cast<std::size_t>(Level);
}

} // namespace

Resources totalSize(const QueuedJob &Job) {
  return timesTasks(Job.Size_, Job.Tasks_);
}

JobQueue::JobQueue(QueueSettings Settings, Shares &FairShares)
    : Settings_(Settings), Shares_(FairShares) {}

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
  const auto TeamIt = Queue.Teams_.find(Team);
  return TeamIt == Queue.Teams_.end() ? 0 : TeamIt->second.Size_;
}

double JobQueue::workAhead(TaskClass Class, const std::string &Team,
                           Urgency Level) const {
  const ClassQueue &Queue = classQueue(Class);
  const auto TeamIt = Queue.Teams_.find(Team);
  if (TeamIt == Queue.Teams_.end())
    return 0.0;
  double Work = 0.0;
  for (std::size_t Index = 0; Index <= urgencyIndex(Level); ++Index)
    Work += TeamIt->second.UrgencyQueues_[Index].Work_;
  return Work;
}

Error JobQueue::queueFullError(TaskClass Class, const std::string &Team,
                               const std::string &Message) const {
  // Time in which half of the team's queue is served at the guaranteed rate. By
  // then there is space for many callers, not only for the first that retries.
  const double GuaranteedRate = Shares_.teamMinimum(Class, Team);
  const double QueuedWork = workAhead(Class, Team, Urgency::Low);
  const Millis DrainTime{GuaranteedRate > 0.0
                             ? static_cast<std::int64_t>(std::min(
                                   QueuedWork / GuaranteedRate / 2.0,
                                   static_cast<double>(MaxRetryAfter.Value_)))
                             : MaxRetryAfter.Value_};
  return Error{
      Reason::QueueFull, Effect::None,
      "queue job",       "",
      Message,           std::clamp(DrainTime, MinRetryAfter, MaxRetryAfter)};
}

Status JobQueue::reserve(TaskClass Class, const std::string &Team) {
  ClassQueue &Queue = classQueue(Class);
  const auto TeamIt = Queue.Teams_.find(Team);
  const std::size_t TeamJobs =
      TeamIt == Queue.Teams_.end()
          ? 0
          : TeamIt->second.Size_ + TeamIt->second.ReservedPlaces_;
  if (TeamJobs >= Settings_.TeamBound_)
    return queueFullError(Class, Team,
                          "The team's queue for this class is full.");
  const bool HasGuaranteedCapacity =
      TeamJobs < Settings_.GuaranteedTeamCapacity_ &&
      (TeamJobs > 0 || Queue.Teams_.size() < Settings_.MaxTeams_);
  if (!HasGuaranteedCapacity &&
      Queue.Size_ + Queue.ReservedPlaces_ >=
          Settings_.ClassBounds_[static_cast<std::size_t>(Class)])
    return queueFullError(Class, Team, "The queue for this class is full.");
  ++Queue.ReservedPlaces_;
  ++Queue.Teams_[Team].ReservedPlaces_;
  return success();
}

void JobQueue::unreserve(TaskClass Class, const std::string &Team) {
  ClassQueue &Queue = classQueue(Class);
  const auto TeamIt = Queue.Teams_.find(Team);
  if (TeamIt == Queue.Teams_.end() || TeamIt->second.ReservedPlaces_ == 0)
    return;
  --Queue.ReservedPlaces_;
  --TeamIt->second.ReservedPlaces_;
  eraseIfIdle(Queue, TeamIt);
}

void JobQueue::eraseIfIdle(ClassQueue &Class, TeamMap::iterator TeamIt) {
  if (TeamIt->second.Size_ + TeamIt->second.ReservedPlaces_ == 0)
    Class.Teams_.erase(TeamIt);
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
  const auto TeamIt = Queue.Teams_.try_emplace(Job.Team_).first;
  UrgencyQueue &Target =
      TeamIt->second.UrgencyQueues_[urgencyIndex(Job.Urgency_)];
  const double Work =
      Shares_.shareOf(totalSize(Job)) * static_cast<double>(Job.Run_.Value_);
  const std::uint64_t Sequence = NextSequence_++;
  const bool IsUrgent = Job.Urgency_ == Urgency::Urgent;
  TeamIt->second.Account_ = &Shares_.addQueuedJob(Job.Class_, Job.Team_);
  const auto EntryIt = Target.Entries_.insert(
      AtFront ? Target.Entries_.begin() : Target.Entries_.end(),
      Entry{std::move(Job), Work, Sequence, RefusedRound});
  const QueuedJob &Stored = EntryIt->Job_;
  Index_.emplace(Stored.Id_, EntryLocation{TeamIt, EntryIt});
  Target.Work_ += Work;
  ++TeamIt->second.Size_;
  ++Queue.Size_;
  if (IsUrgent)
    ++Queue.UrgentJobs_;
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

QueuedJob JobQueue::erase(
    std::unordered_map<std::string, EntryLocation>::iterator IndexIt) {
  const EntryLocation Location = IndexIt->second;
  Index_.erase(IndexIt);
  QueuedJob Job = std::move(Location.Entry_->Job_);
  ClassQueue &Queue = classQueue(Job.Class_);
  UrgencyQueue &Source =
      Location.Team_->second.UrgencyQueues_[urgencyIndex(Job.Urgency_)];
  Source.Work_ -= Location.Entry_->Work_;
  Source.Entries_.erase(Location.Entry_);
  // Discards the rounding errors that accumulated in the sum.
  if (Source.Entries_.empty())
    Source.Work_ = 0.0;
  --Location.Team_->second.Size_;
  --Queue.Size_;
  if (Job.Urgency_ == Urgency::Urgent)
    --Queue.UrgentJobs_;
  eraseIfIdle(Queue, Location.Team_);
  Shares_.removeQueuedJob(Job.Class_, Job.Team_);
  return Job;
}

std::optional<QueuedJob> JobQueue::remove(const std::string &Id) {
  const auto IndexIt = Index_.find(Id);
  if (IndexIt == Index_.end())
    return std::nullopt;
  return erase(IndexIt);
}

std::vector<QueuedJob> JobQueue::takeExpired(Millis Now, std::size_t Limit) {
  std::vector<QueuedJob> ExpiredJobs;
  while (!Expiries_.empty() && ExpiredJobs.size() < Limit &&
         Expiries_.front().Deadline_ <= Now) {
    std::pop_heap(Expiries_.begin(), Expiries_.end(),
                  [](const Expiry &A, const Expiry &B) {
                    return A.Deadline_ > B.Deadline_;
                  });
    const Expiry Earliest = std::move(Expiries_.back());
    Expiries_.pop_back();
    const auto IndexIt = Index_.find(Earliest.Id_);
    if (IndexIt != Index_.end() &&
        IndexIt->second.Entry_->Sequence_ == Earliest.Sequence_)
      ExpiredJobs.push_back(erase(IndexIt));
  }
  return ExpiredJobs;
}

void JobQueue::compactExpiries() {
  if (Expiries_.size() < 2 * Index_.size() + ExpiryHeapSlack)
    return;
  std::erase_if(Expiries_, [this](const Expiry &HeapEntry) {
    const auto IndexIt = Index_.find(HeapEntry.Id_);
    return IndexIt == Index_.end() ||
           IndexIt->second.Entry_->Sequence_ != HeapEntry.Sequence_;
  });
  std::make_heap(Expiries_.begin(), Expiries_.end(),
                 [](const Expiry &A, const Expiry &B) {
                   return A.Deadline_ > B.Deadline_;
                 });
}

void JobQueue::beginRound() { ++Round_; }

void JobQueue::putBack(const Candidate &RefusedCandidate, Refusal Cause) {
  const QueuedJob &Job = RefusedCandidate.Job_;
  ClassQueue &Queue = classQueue(Job.Class_);
  Refusals &ClassRefusals = RefusedCandidate.MayPreempt_
                                ? Queue.RefusalsWithPreemption_
                                : Queue.RefusalsWithoutPreemption_;
  if (ClassRefusals.Round_ != Round_)
    ClassRefusals = Refusals{Round_, {}};
  const Millis RefusedRunTime =
      Cause == Refusal::Reserved ? Job.Run_ : Millis{};
  ClassRefusals.Shapes_.push_back(
      RefusedShape{Job.Size_, Job.Tasks_, RefusedRunTime});
  insert(Job, true, Round_);
}

std::optional<Candidate> JobQueue::take(Millis Now, const Resources &Free) {
  if (Index_.empty())
    return std::nullopt;
  ScanContext Context{Tier::Lookup, Now, Free,
                      Free - Shares_.interactiveReserve(Now)};
  for (const Tier CurrentTier :
       {Tier::Lookup, Tier::Urgent, Tier::Guaranteed, Tier::Shared}) {
    Context.Tier_ = CurrentTier;
    const auto Chosen = chooseInTier(Context);
    if (!Chosen)
      continue;
    const auto IndexIt = Index_.find((*Chosen)->Job_.Id_);
    return Candidate{erase(IndexIt), CurrentTier == Tier::Urgent};
  }
  return std::nullopt;
}

bool JobQueue::isInTier(TaskClass Class, const ScanContext &Context) const {
  const double Minimum = Shares_.classMinimum(Class);
  switch (Context.Tier_) {
  case Tier::Lookup:
    return Class == TaskClass::Lookup &&
           Shares_.classShare(Class, Context.Now_) < Minimum;
  case Tier::Urgent:
    return classQueue(Class).UrgentJobs_ > 0 &&
           Shares_.urgentShare(Class, Context.Now_) < Minimum;
  case Tier::Guaranteed:
    return Shares_.classShare(Class, Context.Now_) < Minimum;
  case Tier::Shared:
    return true;
  }
  return false;
}

JobQueue::OptionalEntry JobQueue::chooseInTier(const ScanContext &Context) {
  const auto RankOf = [this, &Context](TaskClass Class) {
    return Context.Tier_ == Tier::Urgent
               ? Shares_.urgentShare(Class, Context.Now_)
               : Shares_.classRank(Class, Context.Now_);
  };
  std::array<std::pair<double, TaskClass>, TaskClassCount> ClassRanking{};
  std::size_t Count = 0;
  for (const TaskClass Class : AllClasses)
    if (classQueue(Class).Size_ > 0 && isInTier(Class, Context))
      ClassRanking[Count++] = {RankOf(Class), Class};
  for (; Count > 0; --Count) {
    auto *const Last = ClassRanking.begin() + Count;
    auto *const Lowest = std::min_element(ClassRanking.begin(), Last);
    if (const auto Chosen = chooseInClass(Lowest->second, Context))
      return Chosen;
    std::swap(*Lowest, *(Last - 1));
  }
  return std::nullopt;
}

JobQueue::OptionalEntry JobQueue::chooseInClass(TaskClass Class,
                                                const ScanContext &Context) {
  ClassQueue &Queue = classQueue(Class);
  const Refusals &ClassRefusals = Context.Tier_ == Tier::Urgent
                                      ? Queue.RefusalsWithPreemption_
                                      : Queue.RefusalsWithoutPreemption_;
  if (ClassRefusals.Round_ == Round_ &&
      ClassRefusals.Shapes_.size() >= Settings_.MaxRefusalsPerRound_)
    return std::nullopt;
  TeamRanking_.clear();
  for (auto TeamIt = Queue.Teams_.begin(); TeamIt != Queue.Teams_.end();
       ++TeamIt) {
    if (TeamIt->second.Size_ == 0)
      continue;
    const TeamAccount &Account = *TeamIt->second.Account_;
    if (Context.Tier_ != Tier::Urgent) {
      TeamRanking_.emplace_back(Shares_.teamRank(Account, Context.Now_),
                                TeamIt);
      continue;
    }
    const double UrgentShare = Shares_.teamUrgentShare(Account, Context.Now_);
    if (!TeamIt->second.UrgencyQueues_[urgencyIndex(Urgency::Urgent)]
             .Entries_.empty() &&
        UrgentShare < Shares_.teamMinimum(Class, Account))
      TeamRanking_.emplace_back(UrgentShare / Account.Weight_, TeamIt);
  }
  const auto IsLater = [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first
                              : A.second->first > B.second->first;
  };
  std::make_heap(TeamRanking_.begin(), TeamRanking_.end(), IsLater);
  while (!TeamRanking_.empty()) {
    if (const auto Chosen =
            chooseInTeam(Queue, TeamRanking_.front().second->second, Context))
      return Chosen;
    std::pop_heap(TeamRanking_.begin(), TeamRanking_.end(), IsLater);
    TeamRanking_.pop_back();
  }
  return std::nullopt;
}

JobQueue::OptionalEntry JobQueue::chooseInTeam(ClassQueue &Class,
                                               TeamQueue &Team,
                                               const ScanContext &Context) {
  const std::size_t QueueCount =
      Context.Tier_ == Tier::Urgent ? 1 : Team.UrgencyQueues_.size();
  for (std::size_t Index = 0; Index < QueueCount; ++Index)
    if (const auto Chosen =
            chooseInUrgencyQueue(Class, Team.UrgencyQueues_[Index], Context))
      return Chosen;
  return std::nullopt;
}

JobQueue::OptionalEntry
JobQueue::chooseInUrgencyQueue(ClassQueue &Class, UrgencyQueue &Queue,
                               const ScanContext &Context) {
  if (Queue.ExhaustedRound_ == Round_)
    return std::nullopt;
  std::size_t ExaminedJobs = 0;
  for (auto EntryIt = Queue.Entries_.begin();
       EntryIt != Queue.Entries_.end() && ExaminedJobs < Settings_.ScanDepth_;
       ++EntryIt, ++ExaminedJobs)
    if (!isBlocked(Class, *EntryIt, Context))
      return EntryIt;
  // Free capacity only shrinks within a round, so another scan in this round
  // would find no job either. A scan in the urgent tier is not remembered: its
  // jobs may still start without preemption in a later tier.
  if (Context.Tier_ != Tier::Urgent)
    Queue.ExhaustedRound_ = Round_;
  return std::nullopt;
}

bool JobQueue::isBlocked(const ClassQueue &Class, const Entry &Queued,
                         const ScanContext &Context) const {
  if (Queued.RefusedRound_ == Round_)
    return true;
  const Refusals &ClassRefusals = Context.Tier_ == Tier::Urgent
                                      ? Class.RefusalsWithPreemption_
                                      : Class.RefusalsWithoutPreemption_;
  if (ClassRefusals.Round_ == Round_)
    for (const RefusedShape &Shape : ClassRefusals.Shapes_)
      if (Shape.Tasks_ <= Queued.Job_.Tasks_ &&
          Shape.RunTime_ <= Queued.Job_.Run_ &&
          fits(Shape.Size_, Queued.Job_.Size_))
        return true;
  if (Context.Tier_ != Tier::Shared)
    return false;
  // The reserve for interactive work holds back only jobs that fit into the
  // free capacity. A job that does not fit is returned nevertheless: its
  // placement fails, and workers are then reserved for its earliest start. For
  // a gang, only one task is checked against the reserve; if all its tasks
  // were, smaller work would always be served first while little capacity is
  // free.
  return fits(totalSize(Queued.Job_), Context.Free_) &&
         !fits(Queued.Job_.Size_, Context.FreeBeyondReserve_);
}

} // namespace damaskglade::policy
