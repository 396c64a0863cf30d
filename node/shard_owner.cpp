#include "node/shard_owner.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

const Error NotOwner{Reason::NotOwner, Effect::None, "find shard", "",
                     "this node does not own the shard"};

// Of one node. At the design size nine nodes together may preempt 18 of 3,000
// tasks a second, so that a flood of urgent work does not wear down the rest.
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
  OwnerSettings Next = settings();
  Next.RunLease_ = Cell.Tasks_.RunLease_;
  Next.ClockError_ = Cell.Ownership_.ClockBound_;
  {
    const MutexLock Lock(Mutex_);
    Settings_ = Next;
  }
  for (const ShardPointer &Each : shards())
    Each->applySettings(Next);
}

std::vector<ShardOwner::ShardPointer> ShardOwner::shards() const {
  const MutexLock Lock(Mutex_);
  std::vector<ShardPointer> Out;
  Out.reserve(Shards_.size());
  for (const auto &[Id, Shard] : Shards_)
    Out.push_back(Shard);
  return Out;
}

std::vector<ShardOwner::ShardPointer> ShardOwner::shuffledShards() {
  std::vector<ShardPointer> Out = shards();
  const MutexLock Lock(Mutex_);
  std::shuffle(Out.begin(), Out.end(), Random_);
  return Out;
}

ShardOwner::ShardPointer ShardOwner::shard(const std::string &Id) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Shards_.find(Id);
  return Found == Shards_.end() ? nullptr : Found->second;
}

ShardOwner::ShardPointer
ShardOwner::shardOfWorker(const std::string &Worker) const {
  for (const ShardPointer &Each : shards())
    if (Each->hasWorker(Worker))
      return Each;
  return nullptr;
}

std::vector<Attempt> ShardOwner::reserveIn(OwnedShard &Shard,
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
  std::vector<Attempt> Held = Shard.reserve(Request, StartBy, Random, Now);
  Ports_.Metrics_.observeDecision(elapsedMicros(Start));
  return Held;
}

ReserveReply ShardOwner::reserve(const ReserveRequest &Request) {
  ReserveReply Reply = reserveFree(Request);
  ReserveRequest Rest = Request;
  std::erase_if(Rest.Tries_, [&](const Attempt &Try) {
    return std::any_of(
        Reply.Held_.begin(), Reply.Held_.end(),
        [&](const Attempt &Held) { return Held.Member_ == Try.Member_; });
  });
  if (Rest.Tries_.empty())
    return Reply;
  if (Request.MayPreempt_ && preempt(Rest)) {
    const ReserveReply More = reserveFree(Rest);
    Reply.Held_.insert(Reply.Held_.end(), More.Held_.begin(), More.Held_.end());
  } else if (Request.MayBlock_) {
    blockRoom(Request);
  }
  return Reply;
}

ReserveReply ShardOwner::reserveFree(const ReserveRequest &Request) {
  ReserveReply Reply;
  ReserveRequest Rest = Request;
  // Services take one task at a time from each shard, so that they spread
  // over racks.
  const bool Spreads = Request.Class_ == TaskClass::Service;
  bool Progress = true;
  while (!Rest.Tries_.empty() && Progress) {
    Progress = false;
    for (const ShardPointer &Each : shuffledShards()) {
      if (Rest.Tries_.empty())
        break;
      ReserveRequest Part = Rest;
      if (Spreads)
        Part.Tries_.resize(1);
      const std::vector<Attempt> Held = reserveIn(*Each, Part);
      Rest.Tries_.erase(Rest.Tries_.begin(),
                        Rest.Tries_.begin() +
                            static_cast<std::ptrdiff_t>(Held.size()));
      Reply.Held_.insert(Reply.Held_.end(), Held.begin(), Held.end());
      Progress = Progress || !Held.empty();
    }
  }
  return Reply;
}

void ShardOwner::release(const AttemptList &List) {
  for (const Attempt &Try : List.Tries_)
    if (const ShardPointer Target = shard(Try.Shard_))
      Target->release(attemptId(List.Job_, Try));
}

Status ShardOwner::startTask(const StartCommand &Command) {
  const ShardPointer Target = shard(Command.Try_.Shard_);
  if (!Target)
    return NotOwner;
  const std::string Attempt = attemptId(Command.Job_, Command.Try_);
  auto Held = Target->beginStart(Command, momentOf(Ports_.Clock_));
  if (!Held)
    return Held.error();
  StartRequest Request = Held.value().Request_;
  Request.ReportUrl_ = "http://" + Self_.Address_ + "/v1/reports";
  // Checked after the request is built: a process that was paused before this
  // line grants nothing, and one paused after it sends a start that the worker
  // refuses by start_by.
  if (!Ownership_.mayGrant(Target->id())) {
    Target->refuseStart(Attempt, Reason::NotOwner);
    return NotOwner;
  }
  const auto Reply = Ports_.Workers_.start(Held.value().Address_, Request,
                                           settings().WorkerTimeout_);
  if (Reply) {
    Target->confirmStart(Attempt, momentOf(Ports_.Clock_));
    if (Reply.value().State_ == AttemptState::Finished)
      Target->applyReport(Held.value().Worker_, Reply.value());
    return success();
  }
  Ports_.Log_.write(failureEvent(Reply.error(), Attempt));
  if (Reply.error().Effect_ == Effect::None) {
    Target->refuseStart(Attempt, Reply.error().Reason_);
    return Reply.error();
  }
  Target->leaveUnresolved(Attempt);
  return Reply.error();
}

Result<Answer> ShardOwner::execute(const ExecuteRequest &Request) {
  ReserveRequest Room;
  Room.Job_ = "lookup-" + Request.Entry_ + "-" + jobIdFor(Request.Spec_);
  Room.Home_ = Request.Entry_;
  Room.Team_ = Request.Spec_.Team_;
  Room.Class_ = Request.Spec_.Class_;
  Room.Urgency_ = Request.Spec_.Urgency_;
  Room.Size_ = Request.Spec_.Size_;
  Room.Run_ = Request.Spec_.Run_;
  Room.Tries_ = {Attempt{0, Request.Number_, {}, {}, {}}};
  if (auto Reply = executeInFreeRoom(Request, Room))
    return *std::move(Reply);
  if (Request.Spec_.Urgency_ == Urgency::Urgent && preempt(Room))
    if (auto Reply = executeInFreeRoom(Request, Room))
      return *std::move(Reply);
  return Error{Reason::NoCapacity, Effect::None, "place lookup", Self_.Id_,
               "no worker has room"};
}

// Empty if no shard has room.
std::optional<Result<Answer>>
ShardOwner::executeInFreeRoom(const ExecuteRequest &Request,
                              const ReserveRequest &Room) {
  for (const ShardPointer &Each : shuffledShards()) {
    const std::vector<Attempt> Held = reserveIn(*Each, Room);
    if (Held.empty())
      continue;
    const StartCommand Command{Room.Job_, Held.front(), Request.Spec_.Run_,
                               Request.Spec_.Payload_};
    return runWaited(*Each, Command, Request.Timeout_);
  }
  return std::nullopt;
}

Result<Answer> ShardOwner::runWaited(OwnedShard &Shard,
                                     const StartCommand &Command,
                                     Millis Timeout) {
  const std::string Attempt = attemptId(Command.Job_, Command.Try_);
  auto Held = Shard.beginStart(Command, momentOf(Ports_.Clock_));
  if (!Held)
    return Held.error();
  StartRequest Request = Held.value().Request_;
  Request.Wait_ = true;
  if (!Ownership_.mayGrant(Shard.id())) {
    Shard.refuseStart(Attempt, Reason::NotOwner);
    return NotOwner;
  }
  const auto Reply =
      Ports_.Workers_.start(Held.value().Address_, Request, Timeout);
  if (Reply && Reply.value().State_ == AttemptState::Finished) {
    Shard.endWaited(Attempt);
    return Reply.value().Answer_;
  }
  if (Reply) {
    Shard.leaveUnresolved(Attempt);
    return Error{Reason::AnswerLost, Effect::Unknown, "run lookup",
                 Held.value().Worker_, "the worker replied without an answer"};
  }
  if (Reply.error().Effect_ == Effect::None)
    Shard.refuseStart(Attempt, Reply.error().Reason_);
  else
    Shard.leaveUnresolved(Attempt);
  return Reply.error();
}

Result<OwnerStatus> ShardOwner::status(const std::string &Job,
                                       const Attempt &Try) {
  const ShardPointer Target = shard(Try.Shard_);
  if (!Target)
    return NotOwner;
  std::string Address;
  const auto Known =
      Target->statusOf(Job, Try, momentOf(Ports_.Clock_), Address);
  if (Known)
    return *Known;
  const std::string Attempt = attemptId(Job, Try);
  const Moment Asked = momentOf(Ports_.Clock_);
  const auto Reply =
      Ports_.Workers_.state(Address, Attempt, settings().WorkerTimeout_);
  if (!Reply)
    return OwnerStatus{OwnerVerdict::Pending, {}};
  switch (Reply.value().State_) {
  case AttemptState::Finished:
    return OwnerStatus{OwnerVerdict::Finished, Reply.value().Answer_};
  case AttemptState::Running:
    // The next listing records it with its size.
    return OwnerStatus{OwnerVerdict::Running, {}};
  case AttemptState::Unknown:
    break;
  }
  return Target->unknownToWorker(Try, Asked);
}

Status ShardOwner::control(const std::string &Attempt, TaskControl Action) {
  for (const ShardPointer &Each : shards()) {
    const std::string Address = Each->addressOf(Attempt);
    if (!Address.empty())
      return Ports_.Workers_.control(Address, Attempt, Action,
                                     settings().WorkerTimeout_);
  }
  return Error{Reason::NotFound, Effect::None, "control task", Self_.Id_,
               "the attempt does not run on this node's workers"};
}

Status ShardOwner::report(const std::string &Worker,
                          const AttemptReport &Report) {
  const ShardPointer Target = shardOfWorker(Worker);
  if (!Target || !Target->applyReport(Worker, Report))
    return NotOwner;
  return success();
}

Status ShardOwner::setDrained(const std::string &Worker, bool Drained) {
  const ShardPointer Target = shardOfWorker(Worker);
  if (!Target || !Target->setDrained(Worker, Drained))
    return NotOwner;
  return success();
}

Status ShardOwner::setQuarantined(const std::string &Worker, bool Quarantined) {
  const ShardPointer Target = shardOfWorker(Worker);
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
  Headroom Sum;
  Sum.Node_ = Self_.Id_;
  for (const ShardPointer &Each : shards())
    if (Ownership_.mayGrant(Each->id()))
      Each->addHeadroom(Sum);
  return Sum;
}

std::vector<WorkerStatus> ShardOwner::workers() const {
  std::vector<WorkerStatus> Out;
  for (const ShardPointer &Each : shards())
    Each->addWorkers(Out);
  return Out;
}

} // namespace damaskglade::node
