#include "node/shard_owner.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

const Error NotOwner{Reason::NotOwner, Effect::None, "find shard", "",
                     "this node does not own the shard"};

// Per node. At the design size, nine nodes together may preempt 18 of 3,000
// tasks a second, so that a burst of urgent jobs displaces little other
// work.
constexpr double PreemptionsPerSecond = 2.0;
constexpr std::int64_t PreemptionBurst = 32;

double elapsedMicros(const timespec &Start) {
  timespec End{};
  clock_gettime(CLOCK_MONOTONIC, &End);
  constexpr double MicrosPerSecond = 1e6;
  constexpr double NanosPerMicro = 1e3;
  return static_cast<double>(End.tv_sec - Start.tv_sec) * MicrosPerSecond +
         static_cast<double>(End.tv_nsec - Start.tv_nsec) / NanosPerMicro;
}

} // namespace

ShardOwner::ShardOwner(NodeIdentity Self, OwnerSettings Settings,
                       Services &Ports, ownership::Agent &Ownership, Fleet &Vms)
    : Self_(std::move(Self)), Settings_(Settings), Ports_(Ports),
      Ownership_(Ownership), Vms_(Vms),
      Random_(static_cast<std::uint64_t>(Ports.Clock_.wall().Value_)),
      PreemptionBudget_(PreemptionsPerSecond, PreemptionBurst) {}

ShardOwner::~ShardOwner() { stop(); }

OwnerSettings ShardOwner::settings() const {
  const MutexLock Lock(Mutex_);
  return Settings_;
}

void ShardOwner::applySettings(const config::CellSettings &Cell) {
  OwnerSettings NewSettings = settings();
  NewSettings.RunLease_ = Cell.Tasks_.RunLease_;
  NewSettings.ClockError_ = Cell.Ownership_.ClockBound_;
  {
    const MutexLock Lock(Mutex_);
    Settings_ = NewSettings;
  }
  for (const ShardPtr &Shard : shards())
    Shard->applySettings(NewSettings);
}

std::vector<ShardOwner::ShardPtr> ShardOwner::shards() const {
  const MutexLock Lock(Mutex_);
  std::vector<ShardPtr> Shards;
  Shards.reserve(Shards_.size());
  for (const auto &[Id, Shard] : Shards_)
    Shards.push_back(Shard);
  return Shards;
}

std::vector<ShardOwner::ShardPtr> ShardOwner::shuffledShards() {
  std::vector<ShardPtr> Shards = shards();
  const MutexLock Lock(Mutex_);
  std::shuffle(Shards.begin(), Shards.end(), Random_);
  return Shards;
}

ShardOwner::ShardPtr ShardOwner::shard(const std::string &Id) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Shards_.find(Id);
  return Found == Shards_.end() ? nullptr : Found->second;
}

ShardOwner::ShardPtr
ShardOwner::shardOfWorker(const std::string &Worker) const {
  for (const ShardPtr &Shard : shards())
    if (Shard->hasWorker(Worker))
      return Shard;
  return nullptr;
}

std::vector<Attempt> ShardOwner::reserveInShard(OwnedShard &Shard,
                                                const ReserveRequest &Request) {
  if (!Ownership_.mayGrant(Shard.id()))
    return {};
  const Moment Now = momentOf(Ports_.Clock_);
  const Millis StartBy = std::min(Ownership_.grantEnd(Shard.id()),
                                  Now.Wall_ + settings().HoldTime_);
  std::uint64_t Random = 0;
  {
    const MutexLock Lock(Mutex_);
    Random = Random_();
  }
  timespec Start{};
  clock_gettime(CLOCK_MONOTONIC, &Start);
  std::vector<Attempt> Reserved = Shard.reserve(Request, StartBy, Random, Now);
  Ports_.Metrics_.observeDecision(elapsedMicros(Start));
  return Reserved;
}

ReserveReply ShardOwner::reserve(const ReserveRequest &Request) {
  ReserveReply Reply = reserveFreeCapacity(Request);
  ReserveRequest Remaining = Request;
  std::erase_if(Remaining.Tries_, [&](const Attempt &Try) {
    return std::any_of(Reply.Held_.begin(), Reply.Held_.end(),
                       [&](const Attempt &Reserved) {
                         return Reserved.Member_ == Try.Member_;
                       });
  });
  if (Remaining.Tries_.empty())
    return Reply;
  if (Request.MayPreempt_ && preempt(Remaining)) {
    const ReserveReply AfterPreemption = reserveFreeCapacity(Remaining);
    Reply.Held_.insert(Reply.Held_.end(), AfterPreemption.Held_.begin(),
                       AfterPreemption.Held_.end());
  } else if (Request.MayBlock_) {
    reserveForBackfill(Request);
  }
  return Reply;
}

ReserveReply ShardOwner::reserveFreeCapacity(const ReserveRequest &Request) {
  ReserveReply Reply;
  ReserveRequest Remaining = Request;
  // Tasks of a service are reserved one at a time in each shard, so that they
  // are spread over racks.
  const bool SpreadsOverRacks = Request.Class_ == TaskClass::Service;
  bool MadeProgress = true;
  while (!Remaining.Tries_.empty() && MadeProgress) {
    MadeProgress = false;
    for (const ShardPtr &Shard : shuffledShards()) {
      if (Remaining.Tries_.empty())
        break;
      ReserveRequest ShardRequest = Remaining;
      if (SpreadsOverRacks)
        ShardRequest.Tries_.resize(1);
      const std::vector<Attempt> Reserved =
          reserveInShard(*Shard, ShardRequest);
      Remaining.Tries_.erase(Remaining.Tries_.begin(),
                             Remaining.Tries_.begin() +
                                 static_cast<std::ptrdiff_t>(Reserved.size()));
      Reply.Held_.insert(Reply.Held_.end(), Reserved.begin(), Reserved.end());
      MadeProgress = MadeProgress || !Reserved.empty();
    }
  }
  return Reply;
}

void ShardOwner::release(const AttemptList &List) {
  for (const Attempt &Try : List.Tries_)
    if (const ShardPtr Target = shard(Try.Shard_))
      Target->release(attemptId(List.Job_, Try));
}

Status ShardOwner::startTask(const StartCommand &Command) {
  const ShardPtr Target = shard(Command.Try_.Shard_);
  if (!Target)
    return NotOwner;
  const std::string Attempt = attemptId(Command.Job_, Command.Try_);
  auto Start = Target->beginStart(Command, momentOf(Ports_.Clock_));
  if (!Start)
    return Start.error();
  StartRequest Request = Start.value().Request_;
  Request.ReportUrl_ = "http://" + Self_.Address_ + "/v1/reports";
  // Ownership is checked after the request is built. A process that was paused
  // before the check and lost the shard sends nothing; if it was paused after
  // the check, the worker refuses the start because start_by has passed.
  if (!Ownership_.mayGrant(Target->id())) {
    Target->cancelStart(Attempt, Reason::NotOwner);
    return NotOwner;
  }
  const auto Reply = Ports_.Workers_.start(Start.value().Address_, Request,
                                           settings().WorkerTimeout_);
  if (Reply) {
    Target->confirmStart(Attempt, momentOf(Ports_.Clock_));
    if (Reply.value().State_ == AttemptState::Finished)
      Target->applyReport(Start.value().Worker_, Reply.value());
    return success();
  }
  Ports_.Log_.write(failureEvent(Reply.error(), Attempt));
  if (Reply.error().Effect_ == Effect::None) {
    Target->cancelStart(Attempt, Reply.error().Reason_);
    return Reply.error();
  }
  Target->leaveUnresolved(Attempt);
  return Reply.error();
}

Result<Answer> ShardOwner::execute(const ExecuteRequest &Request) {
  ReserveRequest Reserve;
  Reserve.Job_ = "lookup-" + Request.Entry_ + "-" + jobIdFor(Request.Spec_);
  Reserve.Home_ = Request.Entry_;
  Reserve.Team_ = Request.Spec_.Team_;
  Reserve.Class_ = Request.Spec_.Class_;
  Reserve.Urgency_ = Request.Spec_.Urgency_;
  Reserve.Size_ = Request.Spec_.Size_;
  Reserve.Run_ = Request.Spec_.Run_;
  Reserve.Tries_ = {Attempt{0, Request.Number_, {}, {}, {}}};
  if (auto Reply = executeOnFreeWorker(Request, Reserve))
    return *std::move(Reply);
  if (Request.Spec_.Urgency_ == Urgency::Urgent && preempt(Reserve))
    if (auto Reply = executeOnFreeWorker(Request, Reserve))
      return *std::move(Reply);
  return Error{Reason::NoCapacity, Effect::None, "place lookup", Self_.Id_,
               "no worker has enough free capacity"};
}

// Empty if no shard has enough free capacity.
std::optional<Result<Answer>>
ShardOwner::executeOnFreeWorker(const ExecuteRequest &Request,
                                const ReserveRequest &Reserve) {
  for (const ShardPtr &Shard : shuffledShards()) {
    const std::vector<Attempt> Reserved = reserveInShard(*Shard, Reserve);
    if (Reserved.empty())
      continue;
    const StartCommand Command{Reserve.Job_, Reserved.front(),
                               Request.Spec_.Run_, Request.Spec_.Payload_};
    return runSynchronously(*Shard, Command, Request.Timeout_);
  }
  return std::nullopt;
}

Result<Answer> ShardOwner::runSynchronously(OwnedShard &Shard,
                                            const StartCommand &Command,
                                            Millis Timeout) {
  const std::string Attempt = attemptId(Command.Job_, Command.Try_);
  auto Start = Shard.beginStart(Command, momentOf(Ports_.Clock_));
  if (!Start)
    return Start.error();
  StartRequest Request = Start.value().Request_;
  Request.Wait_ = true;
  if (!Ownership_.mayGrant(Shard.id())) {
    Shard.cancelStart(Attempt, Reason::NotOwner);
    return NotOwner;
  }
  const auto Reply =
      Ports_.Workers_.start(Start.value().Address_, Request, Timeout);
  if (Reply && Reply.value().State_ == AttemptState::Finished) {
    Shard.endSynchronousTask(Attempt);
    return Reply.value().Answer_;
  }
  if (Reply) {
    Shard.leaveUnresolved(Attempt);
    return Error{Reason::AnswerLost, Effect::Unknown, "run lookup",
                 Start.value().Worker_,
                 "the reply of the worker has no answer"};
  }
  if (Reply.error().Effect_ == Effect::None)
    Shard.cancelStart(Attempt, Reply.error().Reason_);
  else
    Shard.leaveUnresolved(Attempt);
  return Reply.error();
}

Result<OwnerStatus> ShardOwner::status(const std::string &Job,
                                       const Attempt &Try) {
  const ShardPtr Target = shard(Try.Shard_);
  if (!Target)
    return NotOwner;
  std::string Address;
  const auto KnownStatus =
      Target->statusOf(Job, Try, momentOf(Ports_.Clock_), Address);
  if (KnownStatus)
    return *KnownStatus;
  const std::string Attempt = attemptId(Job, Try);
  const Moment QueryTime = momentOf(Ports_.Clock_);
  const auto Reply =
      Ports_.Workers_.state(Address, Attempt, settings().WorkerTimeout_);
  if (!Reply)
    return OwnerStatus{OwnerVerdict::Pending, {}};
  switch (Reply.value().State_) {
  case AttemptState::Finished:
    return OwnerStatus{OwnerVerdict::Finished, Reply.value().Answer_};
  case AttemptState::Running:
    // The next listing of the worker records the task with its size.
    return OwnerStatus{OwnerVerdict::Running, {}};
  case AttemptState::Unknown:
    break;
  }
  return Target->statusOfUnknownAttempt(Try, QueryTime);
}

Status ShardOwner::control(const std::string &Attempt, TaskControl Action) {
  for (const ShardPtr &Shard : shards()) {
    const std::string Address = Shard->addressOf(Attempt);
    if (!Address.empty())
      return Ports_.Workers_.control(Address, Attempt, Action,
                                     settings().WorkerTimeout_);
  }
  return Error{Reason::NotFound, Effect::None, "control task", Self_.Id_,
               "the attempt does not run on any of this node's workers"};
}

Status ShardOwner::report(const std::string &Worker,
                          const AttemptReport &Report) {
  const ShardPtr Target = shardOfWorker(Worker);
  if (!Target || !Target->applyReport(Worker, Report))
    return NotOwner;
  return success();
}

Status ShardOwner::setDrained(const std::string &Worker, bool Drained) {
  const ShardPtr Target = shardOfWorker(Worker);
  if (!Target || !Target->setDrained(Worker, Drained))
    return NotOwner;
  return success();
}

Status ShardOwner::setQuarantined(const std::string &Worker, bool Quarantined) {
  const ShardPtr Target = shardOfWorker(Worker);
  if (!Target || !Target->setQuarantined(Worker, Quarantined))
    return NotOwner;
  const MutexLock Lock(Mutex_);
  if (Quarantined) {
    QuarantinedByOperator_.insert(Worker);
    return success();
  }
  QuarantinedByOperator_.erase(Worker);
  Quarantine_.lift(Worker);
  return success();
}

Headroom ShardOwner::headroom() const {
  Headroom Total;
  Total.Node_ = Self_.Id_;
  for (const ShardPtr &Shard : shards())
    if (Ownership_.mayGrant(Shard->id()))
      Shard->addHeadroom(Total);
  return Total;
}

std::vector<WorkerStatus> ShardOwner::workers() const {
  std::vector<WorkerStatus> List;
  for (const ShardPtr &Shard : shards())
    Shard->addWorkers(List);
  return List;
}

} // namespace damaskglade::node
