#include "cell/leader.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Lapses of leases are waited out after a takeover, so leases are no longer
// than the cuts they have to outlast: the users' sites know cuts of up to 6.3
// s.
constexpr Millis LeaseLength{8000};
// An unconfirmed leader gives orders for this long; it is added to the time
// that a successor waits for workers it cannot reach.
constexpr Millis LeaderGrace{2000};
// While the store is away, a leader that a majority of nodes hears goes on for
// this long: no majority can have elected another one.
constexpr Millis MajorityGrace{12000};
constexpr Millis MajorityContact{1000};
constexpr Millis TickPeriod{100};
constexpr Millis RegistryPeriod{1000};
constexpr Millis ConfirmPeriod{500};
constexpr Millis HandOverAfter{500};
// Events that come closer together share a planning pass.
constexpr Millis DecisionGap{5};
constexpr Millis LookRetry{150};
// Ends that are not yet recorded are listed again by every look, so such a
// look cannot wait for news. While the store is slow, all workers are looked at
// in this way, at no more than 400 looks a second.
constexpr Millis UnrecordedLook{80};
constexpr std::size_t UnrecordedWorkersPerLook = 32;
constexpr Millis ForgetPeriod{5000};
constexpr int FailuresBeforeSilent = 2;

dispatch::DispatchLimits makeLimits(const CellSettings &Settings,
                                    const LeaderView &View) {
  dispatch::DispatchLimits Limits;
  Limits.Lease_ = std::min(LeaseLength, Settings.MaxLease_);
  Limits.LeaderGrace_ = View.Minority_ ? MajorityGrace : LeaderGrace;
  Limits.GangWait_ = Settings.GangWait_;
  return Limits;
}

} // namespace

Millis unrecordedLookDelay(std::size_t Workers) {
  return UnrecordedLook *
         static_cast<std::int64_t>(1 + Workers / UnrecordedWorkersPerLook);
}

Leader::Leader(const CellPorts &Ports, const CellSettings &Settings,
               LeaderView View, std::function<void()> Lost)
    : Ports_(Ports), Settings_(Settings), View_(std::move(View)),
      Lost_(std::move(Lost)),
      Dispatcher_(makeLimits(Settings, View_), View_.Epoch_,
                  Ports.Clock_.monotonic()),
      Recorder_(Ports, Dispatcher_, View_, [this] { lose(); }),
      Advice_(Ports, [this](const dispatch::AdviceQuestion &Question,
                            const Result<std::vector<AdvisedWorker>> &Reply) {
        Dispatcher_.noteAdvice(Question, Reply, now());
        wake();
      }) {}

void Leader::start() {
  note(Ports_, LogLevel::Info, "", "lead", "",
       "epoch=" + std::to_string(View_.Epoch_) + " begins");
  readRegistry();
  for (const char *Table : {JobsTable, ProgressTable, WorkersTable}) {
    ++TablesLoading_;
    load(Table, "");
  }
}

void Leader::stop() {
  Stopped_ = true;
  Recorder_.stop();
  Advice_.stop();
  for (const auto &[Id, Replies] : Submitting_)
    for (const RpcReply &Each : Replies)
      Each(Error{Reason::NotOwner, Effect::Unknown, "submit", "",
                 "the lead has passed on"});
  Submitting_.clear();
}

void Leader::lose() {
  if (Stopped_)
    return;
  note(Ports_, LogLevel::Warning, "", "lead", "",
       "epoch=" + std::to_string(View_.Epoch_) + " has been replaced");
  stop();
  Lost_();
}

void Leader::setConfig(const CellConfig &Config) {
  Dispatcher_.setQueues(Config.Queues_);
  wake();
}

bool Leader::confirmed() const {
  const Millis Unconfirmed = now() - Recorder_.confirmedAt();
  return Unconfirmed < LeaderGrace ||
         (Unconfirmed < MajorityGrace && now() < MajorityAt_ + MajorityContact);
}

bool Leader::shouldHandOver() const {
  return Recorder_.failingSince() > Millis{} &&
         now() > Recorder_.failingSince() + HandOverAfter &&
         now() > Recorder_.confirmedAt() + HandOverAfter;
}

void Leader::tick() {
  if (Stopped_)
    return;
  if (now() > RegistryAskedAt_ + RegistryPeriod)
    readRegistry();
  if (now() > ConfirmSentAt_ + ConfirmPeriod &&
      now() > Recorder_.confirmedAt() + ConfirmPeriod)
    confirmLead();
  if (now() > ForgotAt_ + ForgetPeriod) {
    ForgotAt_ = now();
    Recorder_.forget(Dispatcher_.forgetEnded(now() - Settings_.StatusKept_));
  }
  wake();
  Ports_.Timers_.after(TickPeriod,
                       [Self = shared_from_this()] { Self->tick(); });
}

void Leader::readRegistry() {
  if (RegistryOpen_)
    return;
  RegistryOpen_ = true;
  RegistryAskedAt_ = now();
  Ports_.Registry_.list([Self = shared_from_this()](
                            Result<std::vector<dispatch::WorkerInfo>> Workers) {
    Self->RegistryOpen_ = false;
    if (Self->Stopped_)
      return;
    if (!Workers) {
      Self->Ports_.Log_.write(failureEvent(Workers.error(), ""));
      return;
    }
    Self->Dispatcher_.setWorkers(Workers.value(), Self->now());
    if (Self->Loaded_)
      Self->takeWorkers();
    else if (Self->Dispatcher_.workers().empty())
      Self->RegistryAskedAt_ = Millis{};
    Self->wake();
  });
}

void Leader::confirmLead() {
  // Reads overlap, since one that a silent store never answers must not keep
  // the leader from noticing that the store is back.
  constexpr int MaxOpen = 4;
  if (ConfirmsOpen_ >= MaxOpen)
    return;
  ++ConfirmsOpen_;
  ConfirmSentAt_ = now();
  Ports_.Store_.read(RowRange{LeaderTable, CellPart, LeaderKey, 1},
                     [Self = shared_from_this(),
                      SentAt = ConfirmSentAt_](Result<RowPage> Page) {
                       --Self->ConfirmsOpen_;
                       if (Self->Stopped_ || !Page)
                         return;
                       const auto &Rows = Page.value().Rows_;
                       if (!Rows.empty() &&
                           Rows.front().Version_ != Self->View_.Version_)
                         return Self->lose();
                       Self->Recorder_.confirm(SentAt);
                     });
}

void Leader::takeWorkers() {
  Recorder_.recordWorkers(Dispatcher_.takeUnrecordedWorkers());
  Recorder_.forgetWorkers(Dispatcher_.takeForgottenWorkers());
  watchWorkers();
}

void Leader::watchWorkers() {
  for (const auto &[Id, Where] : Dispatcher_.workers()) {
    Watch &State = Watches_[Id];
    if (!State.Looking_ && !State.Waiting_)
      look(Id, false);
  }
}

void Leader::scheduleLook(const std::string &Id, Millis Delay) {
  Watch &State = Watches_[Id];
  if (State.Waiting_ || State.Looking_ || Stopped_)
    return;
  State.Waiting_ = true;
  Ports_.Timers_.after(Delay, [Self = shared_from_this(), Id] {
    Self->Watches_[Id].Waiting_ = false;
    Self->look(Id, false);
  });
}

void Leader::look(const std::string &Id, bool Probe) {
  const dispatch::Worker *Where = Dispatcher_.findWorker(Id);
  if (Stopped_ || !Where) {
    Unrecorded_.erase(Id);
    Watches_.erase(Id);
    return;
  }
  Watch &State = Watches_[Id];
  bool &Open = Probe ? State.Probing_ : State.Looking_;
  if (Open)
    return;
  Open = true;
  LookOrder Order;
  Order.LastRecorded_ = State.Recorded_;
  const bool Known = Where->Contact_ == dispatch::Contact::Good;
  if (confirmed())
    Order.LeaseEnd_ = Dispatcher_.leaseEnd(*Where, now());
  if (Known && !Probe && State.Seen_ == State.Recorded_)
    Order.Wait_ = Dispatcher_.lookWait(Id, now());
  const Millis SentAt = now();
  Ports_.Workers_.look(WorkerTarget{Id, Where->Info_.Address_, View_.Epoch_},
                       Order,
                       [Self = shared_from_this(), Id, Probe,
                        SentAt](const Result<LookReply> &Reply) {
                         Self->looked(Id, Probe, SentAt, Reply);
                       });
}

void Leader::looked(const std::string &Id, bool Probe, Millis SentAt,
                    const Result<LookReply> &Reply) {
  if (Stopped_)
    return;
  Watch &State = Watches_[Id];
  (Probe ? State.Probing_ : State.Looking_) = false;
  if (!Reply) {
    ++State.Failures_;
    if (State.Failures_ >= FailuresBeforeSilent ||
        Reply.error().Reason_ == Reason::ConnectFailed)
      Dispatcher_.noteLookFailure(Id, Reply.error(), now());
    if (!Probe)
      scheduleLook(Id, LookRetry);
    return wake();
  }
  State.Failures_ = 0;
  const bool Told = Reply.value().Outcome_ == OrderOutcome::Done;
  if (Told && State.Born_ != Reply.value().Born_) {
    State.Born_ = Reply.value().Born_;
    State.Seen_ = 0;
    State.Recorded_ = 0;
    Unrecorded_.erase(Id);
  }
  Dispatcher_.noteLook(Id, Reply.value(), SentAt, now());
  for (const EndedTask &Each : Reply.value().Ended_)
    State.Seen_ = std::max(State.Seen_, Each.Number_);
  if (Dispatcher_.fenced())
    return lose();
  Recorder_.touch();
  if (State.Seen_ > State.Recorded_) {
    Unrecorded_.insert(Id);
    const std::int64_t Seen = State.Seen_;
    const std::int64_t Born = State.Born_;
    Recorder_.whenRecorded([Self = shared_from_this(), Id, Seen, Born] {
      Watch &Later = Self->Watches_[Id];
      if (Later.Born_ != Born || Seen <= Later.Recorded_)
        return;
      Later.Recorded_ = Seen;
      if (Later.Seen_ == Seen)
        Self->Unrecorded_.erase(Id);
      Self->look(Id, false);
    });
  }
  wake();
  if (Probe || State.Looking_)
    return;
  const bool Unrecorded = State.Seen_ > State.Recorded_;
  if (Reply.value().Outcome_ != OrderOutcome::Done)
    scheduleLook(Id, LookRetry);
  else if (Unrecorded)
    scheduleLook(Id, unrecordedLookDelay(Unrecorded_.size()));
  else
    look(Id, false);
}

void Leader::wake() {
  if (WakeScheduled_ || Stopped_)
    return;
  WakeScheduled_ = true;
  const Millis Next = DecidedAt_ + DecisionGap;
  Ports_.Timers_.after(std::max(Next - now(), Millis{}),
                       [Self = shared_from_this()] {
                         Self->WakeScheduled_ = false;
                         Self->decide();
                       });
}

void Leader::decide() {
  if (Stopped_ || !Loaded_)
    return;
  if (Dispatcher_.fenced())
    return lose();
  // Orders of a leader that may have been replaced could run work twice.
  DecidedAt_ = now();
  if (confirmed())
    carryOut(Dispatcher_.decide(now()));
  Recorder_.touch();
  writeDecisions();
}

void Leader::carryOut(const dispatch::Actions &Todo) {
  for (const dispatch::StartAction &Each : Todo.Starts_)
    Ports_.Workers_.start(
        Each.Target_, Each.Order_,
        [Self = shared_from_this(), Each](const Result<OrderReply> &Reply) {
          if (Self->Stopped_)
            return;
          Self->Dispatcher_.noteStart(Each, Reply, Self->now());
          const bool Clear =
              Reply && Reply.value().Outcome_ == OrderOutcome::Done;
          if (!Reply && Reply.error().Effect_ != Effect::None)
            Self->look(Each.Target_.Worker_, true);
          if (!Clear)
            Self->wake();
        });
  for (const dispatch::StopAction &Each : Todo.Stops_)
    Ports_.Workers_.stop(
        Each.Target_, Each.Task_, Each.Attempt_,
        [Self = shared_from_this(), Each](const Result<OrderReply> &Reply) {
          if (Self->Stopped_)
            return;
          Self->Dispatcher_.noteStop(Each, Reply, Self->now());
          if (!Reply)
            return;
          // A look counts if it is sent later than the stop was confirmed.
          constexpr Millis NextMoment{2};
          Self->Ports_.Timers_.after(NextMoment, [Self, Each] {
            Self->look(Each.Target_.Worker_, true);
          });
        });
  for (const dispatch::PaceAction &Each : Todo.Paces_)
    Ports_.Workers_.pace(
        Each.Target_, Each.Task_, Each.Attempt_, Each.Percent_,
        [Self = shared_from_this(), Each](const Result<OrderReply> &Reply) {
          if (!Self->Stopped_)
            Self->Dispatcher_.notePace(Each, Reply.has_value());
        });
  for (const dispatch::AdviceQuestion &Each : Todo.Questions_)
    Advice_.ask(Each);
}

void Leader::writeDecisions() {
  for (const dispatch::Decision &Each : Dispatcher_.takeDecisions())
    note(Ports_, LogLevel::Info, Each.Request_, Each.Step_, Each.Peer_,
         Each.Text_);
}

} // namespace damaskglade::cell
