#include "cell/leader.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Length of the lease that each poll gives a worker; its tasks end when the
// lease expires. Leases must outlast network partitions, which take up to 6.3 s
// in production. They are not longer than that requires, since a new leader
// waits for the leases of unreachable workers to expire.
constexpr Millis LeaseDuration{8000};
// Time for which a leader sends orders after the store has last confirmed its
// leadership. The next leader adds it to the time that it waits for the leases
// of unreachable workers to expire.
constexpr Millis UnconfirmedLimit{1200};
// The same limit while the leader is in contact with a majority of the nodes
// but the store is unavailable: no majority can then have elected another
// leader.
constexpr Millis MajorityUnconfirmedLimit{12000};
// Contact with a majority of the nodes counts as lost after this time.
constexpr Millis MajorityTimeout{1000};
constexpr Millis TickPeriod{100};
// How often the leader reads the worker registry.
constexpr Millis RegistryPeriod{1000};
// The leader row is read if no write has confirmed the leadership for this
// long.
constexpr Millis ConfirmPeriod{500};
// If writes to the store have failed for this long, other nodes are asked to
// take over.
constexpr Millis HandOverDelay{500};
// Minimum time between planning passes, so that several events share one.
constexpr Millis MinDecisionInterval{5};
// Limit of the time between planning passes of an overloaded leader, unless a
// pass takes over half of it. Lookups have less than 0.3 s of slack.
constexpr Millis MaxDecisionInterval{50};
// A pass is followed by this many times its own duration without planning.
constexpr std::int64_t DecisionPauseFactor = 3;
// Passes that place a backlog take up to this long: half of the pause that
// lookups can bear.
constexpr Millis MaxPassDuration{25};
// Delay of the next poll of a worker after a failed or rejected one.
constexpr Millis PollRetryDelay{150};
// Delay between polls of a worker that has ends of tasks that are not recorded
// yet. It lists them again in every reply, so polls of it return at once
// instead of waiting for new ends. While the store is slow this concerns all
// workers, so the delay grows by BasePollDelay for every WorkersPerBaseDelay
// such workers. This limits the leader to 400 polls per second.
constexpr Millis BasePollDelay{80};
constexpr std::size_t WorkersPerBaseDelay = 32;
constexpr Millis EndedJobRemovalPeriod{5000};
constexpr Millis LoadLogPeriod{1000};
// The row of an unreachable worker is closed after this time, since many are
// back before.
constexpr Millis MinSilenceBeforeClosing{500};
// So many workers are polled per turn of the event loop, so that callers and
// pings of other nodes are answered while a new leader polls a large fleet.
constexpr std::size_t PollsPerTurn = 32;
// A worker counts as unreachable after this many failed polls in a row.
constexpr int PollFailuresBeforeUnreachable = 2;

dispatch::DispatchLimits makeLimits(const CellSettings &Settings,
                                    const LeaderRecord &Record) {
  dispatch::DispatchLimits Limits;
  Limits.Lease_ = std::min(LeaseDuration, Settings.MaxLease_);
  Limits.MaxLease_ = Settings.MaxLease_;
  // If only a minority elected this leader, the previous one may still be in
  // contact with a majority and send orders for longer.
  Limits.LeaderGrace_ =
      Record.ElectedByMinority_ ? MajorityUnconfirmedLimit : UnconfirmedLimit;
  Limits.GangWait_ = Settings.GangWait_;
  Limits.RemotePenalty_ = Settings.RemotePenalty_;
  return Limits;
}

} // namespace

Millis unrecordedEndsPollDelay(std::size_t Workers) {
  return BasePollDelay *
         static_cast<std::int64_t>(1 + Workers / WorkersPerBaseDelay);
}

Millis decisionInterval(Millis LastPassDuration) {
  constexpr std::int64_t LeastPauseFactor = 1;
  return std::clamp(
      LastPassDuration * (DecisionPauseFactor + 1), MinDecisionInterval,
      std::max(MaxDecisionInterval, LastPassDuration * (LeastPauseFactor + 1)));
}

std::size_t nextStartLimit(std::size_t LastLimit, bool WasReached,
                           Millis LastPassDuration) {
  constexpr std::size_t Least = dispatch::Dispatcher::MaxStartsPerPass;
  constexpr std::size_t Most = Least * 16;
  if (LastPassDuration > MaxPassDuration)
    return std::max(LastLimit / 2, Least);
  if (WasReached && LastPassDuration * 2 <= MaxPassDuration)
    return std::min(LastLimit * 2, Most);
  return LastLimit;
}

Leader::Leader(const CellPorts &Ports, const CellSettings &Settings,
               LeaderRecord Record, std::function<void()> OnLeadershipLost)
    : Ports_(Ports), Settings_(Settings), LeaderRecord_(std::move(Record)),
      OnLeadershipLost_(std::move(OnLeadershipLost)),
      Dispatcher_(makeLimits(Settings, LeaderRecord_), LeaderRecord_.Epoch_,
                  Ports.Clock_.monotonic()),
      Recorder_(
          Ports, Dispatcher_, LeaderRecord_, [this] { loseLeadership(); },
          [this](const std::string &Id) { handleWorkerOpened(Id); }),
      Workers_(std::make_shared<RelayedWorkers>(
          Ports, Settings.PeerListen_, LeaderRecord_.Epoch_,
          [this] { return mayActUntil(); }, [this] { confirmLeadership(); })),
      AdviceBalancer_(Ports,
                      [this](const dispatch::AdviceQuestion &Question,
                             const Result<std::vector<AdvisedWorker>> &Reply) {
                        Dispatcher_.handleAdviceReply(Question, Reply, now());
                        scheduleDecision();
                      }),
      WorkMeter_(Ports.Clock_) {
  Dispatcher_.setAdviceQueue(&AdviceBalancer_);
}

void Leader::start() {
  logEvent(Ports_, LogLevel::Info, "", "lead", "",
           "epoch=" + std::to_string(LeaderRecord_.Epoch_) + " started");
  readRegistry();
  loadParts();
}

void Leader::stop() {
  Stopped_ = true;
  Recorder_.stop();
  AdviceBalancer_.stop();
  Workers_->close();
  for (const auto &[Id, Replies] : PendingSubmissions_)
    for (const RpcReply &Reply : Replies)
      Reply(
          Error{Reason::NotOwner, Effect::Unknown, "submit", "",
                "leadership ended before the write of the job was confirmed"});
  PendingSubmissions_.clear();
  for (const auto &[Number, Reply] : std::exchange(PendingCancels_, {}))
    Reply(Error{Reason::NotOwner, Effect::Unknown, "cancel", "",
                "leadership ended before the cancellation was recorded"});
  answerUnknownJobQueries();
}

// The ends that workers have reported are recorded first. No further ones are
// handled meanwhile: workers list them again for the next leader.
void Leader::resign(const std::function<void()> &Done) {
  if (!active()) {
    stop();
    return Done();
  }
  Stopped_ = true;
  answerUnknownJobQueries();
  Workers_->flush();
  AdviceBalancer_.stop();
  Recorder_.collectChanges();
  Recorder_.whenRecorded(
      [Self = shared_from_this(), Done] { Self->recordResignation(Done); });
}

void Leader::recordResignation(const std::function<void()> &Done) {
  Dispatcher_.expireUnreachable(now());
  Dispatcher_.closeLeaseRows(Millis{}, now());
  std::vector<dispatch::LeaseClosing> Closings;
  for (const auto &[Id, Worker] : Dispatcher_.workers())
    if (auto Closing = Dispatcher_.leaseClosing(Id))
      Closings.push_back(std::move(*Closing));
  const Resignation Record{LeaderRecord_.Epoch_,
                           Dispatcher_.latestLeaseEnd(now()),
                           Dispatcher_.waitingTasks(MaxWaitingRanges)};
  Recorder_.recordResignation(Record, Closings, Done);
}

void Leader::loseLeadership() {
  if (Stopped_)
    return;
  logEvent(Ports_, LogLevel::Warning, "", "lead", "",
           "epoch=" + std::to_string(LeaderRecord_.Epoch_) +
               " has been replaced");
  stop();
  OnLeadershipLost_();
}

void Leader::setConfig(const CellConfig &Config) {
  Dispatcher_.setQueues(Config.Queues_);
  Dispatcher_.setWorkspaces(Config.Workspaces_);
  scheduleDecision();
}

Millis Leader::mayActUntil() const {
  const Millis Confirmed = Recorder_.confirmedAt() + UnconfirmedLimit;
  const Millis InMajority =
      std::min(Recorder_.confirmedAt() + MajorityUnconfirmedLimit,
               MajorityHeardAt_ + MajorityTimeout);
  return std::max(Confirmed, InMajority);
}

void Leader::chooseRelays(const PeerNodes &Nodes, Millis HeardSince) {
  Workers_->setRelays(cell::chooseRelays(Nodes, HeardSince, Settings_.Cpu_,
                                         Settings_.RelayMinWorkers_,
                                         WorkersByZone_));
}

bool Leader::shouldHandOver() const {
  return Recorder_.failingSince() > Millis{} &&
         now() > Recorder_.failingSince() + HandOverDelay &&
         now() > Recorder_.confirmedAt() + HandOverDelay;
}

void Leader::tick() {
  if (Stopped_)
    return;
  if (now() > RegistryReadAt_ + RegistryPeriod)
    readRegistry();
  if (now() > ConfirmSentAt_ + ConfirmPeriod &&
      now() > Recorder_.confirmedAt() + ConfirmPeriod)
    confirmLeadership();
  answerUnknownJobQueries();
  if (now() > EndedJobsRemovedAt_ + EndedJobRemovalPeriod) {
    EndedJobsRemovedAt_ = now();
    Recorder_.removeJobs(
        Dispatcher_.removeEndedJobs(now() - Settings_.StatusRetention_));
    removeExpiredCancels();
  }
  closeLeaseRows();
  if (now() > LoadLoggedAt_ + LoadLogPeriod)
    logLoad();
  scheduleDecision();
  Ports_.Timers_.after(TickPeriod,
                       [Self = shared_from_this(), Due = now() + TickPeriod] {
                         Self->recordLoopDelay(Self->now() - Due);
                         Self->tick();
                       });
}

void Leader::recordLoopDelay(Millis Delay) {
  const bool WasLate = isLate(LoopDelay_);
  LoopDelay_ = addDelay(LoopDelay_, Delay);
  PassCounts_.LongestDelay_ = std::max(PassCounts_.LongestDelay_, Delay);
  if (WasLate != isLate(LoopDelay_))
    logEvent(Ports_, LogLevel::Warning, "", "lead", "",
             std::string(WasLate ? "has caught up" : "has fallen behind") +
                 ", delay_ms=" + std::to_string(Delay.Value_));
}

void Leader::readRegistry() {
  if (RegistryReadOpen_)
    return;
  RegistryReadOpen_ = true;
  RegistryReadAt_ = now();
  Ports_.Registry_.list(
      [Self = shared_from_this()](const Result<RegistrySnapshot> &Snapshot) {
        Self->RegistryReadOpen_ = false;
        if (Self->Stopped_)
          return;
        if (!Snapshot) {
          Self->Ports_.Log_.write(failureEvent(Snapshot.error(), ""));
          return;
        }
        Self->Dispatcher_.setWorkers(
            Snapshot.value().Workers_, Self->now(),
            Self->reportUnusableEntries(Snapshot.value().UnusableEntries_));
        Self->locateWorkers();
        if (Self->Loaded_)
          Self->recordWorkerChanges();
        else if (Self->Dispatcher_.workers().empty())
          Self->RegistryReadAt_ = Millis{};
        Self->scheduleDecision();
      });
}

void Leader::locateWorkers() {
  std::unordered_map<std::string, std::string> Zones;
  WorkersByZone_.clear();
  for (const auto &[Id, Worker] : Dispatcher_.workers()) {
    Zones.emplace(Id, Worker.Info_.Zone_);
    ++WorkersByZone_[Worker.Info_.Zone_];
  }
  Workers_->setZones(std::move(Zones));
}

// Each entry is counted and logged when it becomes unusable.
std::set<std::string> Leader::reportUnusableEntries(
    const std::map<std::string, Error> &UnusableEntries) {
  std::set<std::string> Ids;
  for (const auto &[Id, Failure] : UnusableEntries) {
    Ids.insert(Id);
    if (UnusableEntries_.count(Id) > 0)
      continue;
    Ports_.Metrics_.count("registry_entries_unusable");
    Ports_.Log_.write(failureEvent(Failure, ""));
  }
  UnusableEntries_ = Ids;
  return Ids;
}

void Leader::confirmLeadership() {
  // Several reads may be in flight, since a read that the store does not answer
  // would otherwise delay the detection that the store is available again.
  constexpr int MaxOpenConfirmReads = 4;
  if (OpenConfirmReads_ >= MaxOpenConfirmReads)
    return;
  ++OpenConfirmReads_;
  ConfirmSentAt_ = now();
  Ports_.Store_.read(
      RowRange{LeaderTable, MainPart, LeaderKey, 1},
      [Self = shared_from_this(),
       SentAt = ConfirmSentAt_](Result<RowPage> Page) {
        --Self->OpenConfirmReads_;
        if (Self->Stopped_ || !Page)
          return;
        Self->Recorder_.updateStoreClock(SentAt, Page.value().StoreClock_);
        const auto &Rows = Page.value().Rows_;
        if (!Rows.empty() &&
            Rows.front().Version_ != Self->LeaderRecord_.Version_)
          return Self->loseLeadership();
        Self->Recorder_.handleConfirmation(SentAt);
        Self->answerUnknownJobQueries();
      });
}

void Leader::recordWorkerChanges() {
  Recorder_.recordWorkers(Dispatcher_.takeUnrecordedWorkers());
  Recorder_.removeWorkers(Dispatcher_.takeForgottenWorkers());
  pollWorkers();
}

// While these rows are not written, workers that come back could not be opened
// again, and their leases would end.
void Leader::closeLeaseRows() {
  if (Recorder_.workerRowsFail())
    return;
  Dispatcher_.closeLeaseRows(MinSilenceBeforeClosing, now());
  const std::vector<std::string> Ids = Dispatcher_.takeWorkersToClose();
  if (Ids.empty())
    return;
  Recorder_.collectChanges();
  Recorder_.whenRecorded([Self = shared_from_this(), Ids] {
    if (Self->Stopped_)
      return;
    std::vector<dispatch::LeaseClosing> Closings;
    for (const std::string &Id : Ids)
      if (auto Closing = Self->Dispatcher_.leaseClosing(Id))
        Closings.push_back(std::move(*Closing));
    Self->Recorder_.closeWorkers(Closings);
  });
}

// The open long poll of a worker that is back was sent before its row was open,
// so it did not renew the leases.
void Leader::handleWorkerOpened(const std::string &Id) {
  const dispatch::Worker *Worker = Dispatcher_.findWorker(Id);
  if (Worker && !Worker->Tasks_.empty() &&
      Worker->Reachability_ == dispatch::Reachability::Reachable)
    pollWorker(Id, true);
  scheduleDecision();
}

void Leader::pollWorkers() {
  for (const auto &[Id, Worker] : Dispatcher_.workers()) {
    PollState &State = PollStates_[Id];
    if (State.LongPollOpen_ || State.PollScheduled_)
      continue;
    State.PollScheduled_ = true;
    WorkersToPoll_.push_back(Id);
  }
  if (!PollTurnScheduled_)
    pollNextWorkers();
}

void Leader::pollInTurn(const std::string &Id) {
  PollState &State = PollStates_[Id];
  if (State.LongPollOpen_ || std::exchange(State.PollScheduled_, true))
    return;
  WorkersToPoll_.push_back(Id);
  schedulePollTurn();
}

void Leader::schedulePollTurn() {
  if (std::exchange(PollTurnScheduled_, true))
    return;
  Ports_.Timers_.after(
      Millis{}, [Self = shared_from_this()] { Self->pollNextWorkers(); });
}

void Leader::pollNextWorkers() {
  PollTurnScheduled_ = false;
  for (std::size_t Count = 0; Count < PollsPerTurn && !WorkersToPoll_.empty();
       ++Count) {
    const std::string Id = std::move(WorkersToPoll_.front());
    WorkersToPoll_.pop_front();
    PollStates_[Id].PollScheduled_ = false;
    pollWorker(Id, false);
  }
  if (!WorkersToPoll_.empty() && !Stopped_)
    schedulePollTurn();
}

void Leader::schedulePoll(const std::string &Id, Millis Delay) {
  PollState &State = PollStates_[Id];
  if (State.PollScheduled_ || State.LongPollOpen_ || Stopped_)
    return;
  State.PollScheduled_ = true;
  Ports_.Timers_.after(Delay, [Self = shared_from_this(), Id] {
    Self->PollStates_[Id].PollScheduled_ = false;
    Self->pollWorker(Id, false);
  });
}

void Leader::pollWorker(const std::string &Id, bool Probe) {
  const dispatch::Worker *Worker = Dispatcher_.findWorker(Id);
  if (Stopped_ || !Worker) {
    WorkersWithUnrecordedEnds_.erase(Id);
    PollStates_.erase(Id);
    return;
  }
  PollState &State = PollStates_[Id];
  bool &RequestOpen = Probe ? State.ProbeOpen_ : State.LongPollOpen_;
  if (RequestOpen)
    return;
  RequestOpen = true;
  const WorkerTarget Target = Dispatcher_.target(*Worker);
  PollRequest PollOrder;
  // Another process counts its ends from one again, and without a clock it is
  // not known which one answers.
  if (Worker->WorkerClock_ > Millis{} &&
      Target.ProcessStart_ == State.WorkerStart_)
    PollOrder.LastRecordedEnd_ = State.LastRecordedEnd_;
  const bool IsReachable =
      Worker->Reachability_ == dispatch::Reachability::Reachable;
  if (mayIssueOrders())
    PollOrder.LeaseEnd_ = Dispatcher_.grantLease(Id, now());
  // After a failed poll, a reply at once tells whether the worker is reached.
  const bool ReplyWantedSoon = std::exchange(State.ReplyWantedSoon_, false);
  if (IsReachable && !Probe && !ReplyWantedSoon &&
      State.LastListedEnd_ == State.LastRecordedEnd_)
    PollOrder.Wait_ = Dispatcher_.pollTimeout(Id, now());
  const Millis SentAt = now();
  Workers_->poll(Target, PollOrder,
                 [Self = shared_from_this(), Id, Probe,
                  SentAt](const Result<PollReply> &Reply) {
                   Self->handlePollReply(Id, Probe, SentAt, Reply);
                 });
}

void Leader::handlePollReply(const std::string &Id, bool Probe, Millis SentAt,
                             const Result<PollReply> &Reply) {
  if (Stopped_)
    return;
  const WorkMeter::Scope Replies(WorkMeter_, Work::Replies);
  PollState &State = PollStates_[Id];
  (Probe ? State.ProbeOpen_ : State.LongPollOpen_) = false;
  State.ReplyWantedSoon_ = !Reply;
  // A relay that has failed says nothing about the worker.
  if (!Reply && Reply.error().Reason_ == Reason::NotReady) {
    if (!Probe)
      pollInTurn(Id);
    return;
  }
  if (!Reply) {
    ++State.FailuresInRow_;
    if (State.FailuresInRow_ >= PollFailuresBeforeUnreachable ||
        Reply.error().Reason_ == Reason::ConnectFailed)
      Dispatcher_.handlePollFailure(Id, Reply.error(), now());
    if (!Probe)
      schedulePoll(Id, PollRetryDelay);
    return scheduleDecision();
  }
  State.FailuresInRow_ = 0;
  const bool IsCurrent =
      Dispatcher_.handlePollReply(Id, Reply.value(), SentAt, now());
  Recorder_.recordWorkers(Dispatcher_.takeUnrecordedWorkers());
  if (Dispatcher_.fenced())
    return loseLeadership();
  Recorder_.collectChanges();
  if (IsCurrent)
    recordEnds(Id, Reply.value());
  scheduleDecision();
  if (Probe || State.LongPollOpen_)
    return;
  const bool HasUnrecordedEnds = State.LastListedEnd_ > State.LastRecordedEnd_;
  if (Reply.value().Outcome_ != OrderOutcome::Done)
    schedulePoll(Id, PollRetryDelay);
  else if (HasUnrecordedEnds)
    schedulePoll(Id,
                 unrecordedEndsPollDelay(WorkersWithUnrecordedEnds_.size()));
  else
    pollWorker(Id, false);
}

void Leader::recordEnds(const std::string &Id, const PollReply &Reply) {
  PollState &State = PollStates_[Id];
  const bool Accepted = Reply.Outcome_ == OrderOutcome::Done;
  if (Accepted && State.WorkerStart_ != Reply.ProcessStart_) {
    State.WorkerStart_ = Reply.ProcessStart_;
    State.LastListedEnd_ = 0;
    State.LastRecordedEnd_ = 0;
    WorkersWithUnrecordedEnds_.erase(Id);
    // It gets no tasks before its entry is read.
    const dispatch::Worker *Worker = Dispatcher_.findWorker(Id);
    if (Worker && !dispatch::hasOwnEntry(*Worker))
      readRegistry();
  }
  for (const EndedTask &Ended : Reply.Ended_)
    State.LastListedEnd_ =
        std::max(State.LastListedEnd_, Ended.SequenceNumber_);
  if (State.LastListedEnd_ <= State.LastRecordedEnd_)
    return;
  WorkersWithUnrecordedEnds_.insert(Id);
  const std::int64_t LastListedEnd = State.LastListedEnd_;
  const std::int64_t WorkerStart = State.WorkerStart_;
  Recorder_.whenRecorded(
      [Self = shared_from_this(), Id, LastListedEnd, WorkerStart] {
        PollState &CurrentState = Self->PollStates_[Id];
        if (CurrentState.WorkerStart_ != WorkerStart ||
            LastListedEnd <= CurrentState.LastRecordedEnd_)
          return;
        CurrentState.LastRecordedEnd_ = LastListedEnd;
        if (CurrentState.LastListedEnd_ == LastListedEnd)
          Self->WorkersWithUnrecordedEnds_.erase(Id);
        Self->pollWorker(Id, false);
      });
}

void Leader::scheduleDecision() {
  if (DecisionScheduled_ || Stopped_)
    return;
  DecisionScheduled_ = true;
  Ports_.Timers_.after(
      std::max(LastDecisionAt_ + MinDecisionInterval - now(), Millis{}),
      [Self = shared_from_this()] { Self->decideWhenIdle(); });
}

// A pass that waits beside an idle event loop only loses time.
void Leader::decideWhenIdle() {
  const Millis LatestAt =
      LastDecisionAt_ + decisionInterval(LastDecisionDuration_);
  Ports_.Timers_.whenIdle(std::max(LatestAt - now(), Millis{}),
                          [Self = shared_from_this()] {
                            Self->DecisionScheduled_ = false;
                            Self->decide();
                          });
}

void Leader::decide() {
  if (Stopped_ || !Loaded_)
    return;
  if (Dispatcher_.fenced())
    return loseLeadership();
  LastDecisionAt_ = now();
  // A leader that may have been replaced sends no orders, since the tasks could
  // run twice.
  dispatch::Actions Actions;
  if (mayIssueOrders()) {
    {
      const WorkMeter::Scope Planning(WorkMeter_, Work::Planning);
      Actions = Dispatcher_.decide(now(), StartLimit_);
    }
    const WorkMeter::Scope Orders(WorkMeter_, Work::Orders);
    sendOrders(Actions);
  }
  const bool MoreToPlace = Actions.Starts_.size() >= StartLimit_;
  {
    const WorkMeter::Scope Recording(WorkMeter_, Work::Recording);
    Recorder_.removeWorkers(Dispatcher_.takeForgottenWorkers());
    Recorder_.collectChanges();
    logDecisions();
  }
  LastDecisionDuration_ = now() - LastDecisionAt_;
  countPass(Actions);
  StartLimit_ = nextStartLimit(StartLimit_, MoreToPlace, LastDecisionDuration_);
  if (MoreToPlace)
    scheduleDecision();
}

void Leader::sendOrders(const dispatch::Actions &Actions) {
  for (const dispatch::StartAction &Start : Actions.Starts_)
    Workers_->start(
        Start.Target_, Start.Order_,
        [Self = shared_from_this(), Start](const Result<OrderReply> &Reply) {
          if (Self->Stopped_)
            return;
          const bool IsOfTarget =
              Self->Dispatcher_.handleStartReply(Start, Reply, Self->now());
          if (!IsOfTarget)
            Self->Ports_.Metrics_.count("starts_taken_by_other_processes");
          if (Reply && Reply.value().Outcome_ == OrderOutcome::Restarted)
            Self->Ports_.Metrics_.count("starts_for_ended_processes");
          const bool Accepted =
              Reply && Reply.value().Outcome_ == OrderOutcome::Done;
          // A poll shows what became of the order or of the worker.
          const bool NeedsPoll =
              Reply ? Reply.value().Outcome_ == OrderOutcome::Superseded ||
                          Reply.value().Outcome_ == OrderOutcome::WrongWorker ||
                          Reply.value().Outcome_ == OrderOutcome::Restarted
                    : Reply.error().Effect_ != Effect::None ||
                          Reply.error().Reason_ == Reason::Timeout;
          if (NeedsPoll || !IsOfTarget)
            Self->pollWorker(Start.Target_.Worker_, true);
          if (Start.NeedsProbe_)
            Self->Ports_.Timers_.after(dispatch::Dispatcher::StartingTime,
                                       [Self, Worker = Start.Target_.Worker_] {
                                         Self->pollWorker(Worker, true);
                                       });
          if (!Accepted)
            Self->scheduleDecision();
        });
  for (const dispatch::StopAction &Stop : Actions.Stops_)
    Workers_->stop(
        Stop.Target_, Stop.Task_, Stop.Attempt_,
        [Self = shared_from_this(), Stop](const Result<OrderReply> &Reply) {
          if (Self->Stopped_)
            return;
          Self->Dispatcher_.handleStopReply(Stop, Reply, Self->now());
          if (!Reply)
            return;
          // A poll that was sent before the worker confirmed the stop may
          // not show that the task has ended, so another one is sent.
          constexpr Millis ProbeDelay{2};
          Self->Ports_.Timers_.after(ProbeDelay, [Self, Stop] {
            Self->pollWorker(Stop.Target_.Worker_, true);
          });
        });
  for (const dispatch::PaceAction &Pace : Actions.Paces_)
    Workers_->pace(
        Pace.Target_, Pace.Task_, Pace.Attempt_, Pace.Percent_,
        [Self = shared_from_this(), Pace](const Result<OrderReply> &Reply) {
          if (!Self->Stopped_)
            Self->Dispatcher_.handlePaceReply(Pace, Reply.has_value());
        });
  for (const dispatch::AdviceQuestion &Question : Actions.Questions_)
    AdviceBalancer_.ask(Question);
  for (const std::string &Worker : Actions.Probes_)
    pollWorker(Worker, true);
}

void Leader::logDecisions() {
  for (const dispatch::Decision &Decision : Dispatcher_.takeDecisions())
    logEvent(Ports_, LogLevel::Info, Decision.Request_, Decision.Step_,
             Decision.Peer_, Decision.Text_);
}

void Leader::countPass(const dispatch::Actions &Actions) {
  ++PassCounts_.Passes_;
  if (Actions.Starts_.size() >= StartLimit_)
    ++PassCounts_.FullPasses_;
  PassCounts_.Starts_ += Actions.Starts_.size();
  PassCounts_.Questions_ += Actions.Questions_.size();
  PassCounts_.Elapsed_ = PassCounts_.Elapsed_ + LastDecisionDuration_;
  PassCounts_.Longest_ = std::max(PassCounts_.Longest_, LastDecisionDuration_);
  constexpr double MillisPerSecond = 1000;
  Ports_.Metrics_.observe("pass_seconds",
                          static_cast<double>(LastDecisionDuration_.Value_) /
                              MillisPerSecond);
  Ports_.Metrics_.observe("pass_starts",
                          static_cast<double>(Actions.Starts_.size()));
}

void Leader::logLoad() {
  LoadLoggedAt_ = now();
  const PassCounts Counts = std::exchange(PassCounts_, {});
  std::string Text = describeLoad(Counts, WorkMeter_.take());
  const dispatch::Backlog Backlog = Dispatcher_.backlog(now());
  for (const auto &[Priority, Queue] : Backlog.ByPriority_)
    Text += " priority=" + std::to_string(Priority) +
            " waiting=" + std::to_string(Queue.Tasks_) +
            " unadvised=" + std::to_string(Queue.Unadvised_) +
            " skipped=" + std::to_string(Queue.Skipped_);
  Text += " free_milli_cpus=" + std::to_string(Backlog.FreeMilliCpus_) +
          " milli_cpus=" + std::to_string(Backlog.MilliCpus_) +
          dispatch::describeSpeeds(Dispatcher_.speeds());
  logEvent(Ports_, LogLevel::Info, "", "load", "", Text);
}

} // namespace damaskglade::cell
