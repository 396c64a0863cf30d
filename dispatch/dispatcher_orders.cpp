#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// A confirmed stop order is repeated if the end of the run is not reported
// within this time. In production a worker stops a task in less than a second.
constexpr Millis ConfirmedStopRetryInterval{1500};
// Delay between a rejected start order and the next attempt at the task.
constexpr Millis RejectedStartDelay{60};
// How often retryStops() looks for stop orders to repeat.
constexpr Millis StopCheckPeriod{50};
// Tickets are used until this long before they expire, to allow for the transit
// times of the advice reply and of the start order.
constexpr Millis TicketMargin{150};

} // namespace

// An order may never reach a worker, so only what a worker tells counts.
void Dispatcher::markStarted(JobRun &Job, const TaskRef &Ref,
                             const std::string &Worker, Millis Now) {
  if (Job.Started_)
    return;
  Job.Started_ = true;
  if (Job.State_ == JobState::Queued)
    Job.State_ = JobState::Active;
  log(Ref.Job_, taskName(Ref), Worker,
      "first start, waited_ms=" +
          std::to_string((Now - Job.ArrivedAt_).Value_) +
          " priority=" + std::to_string(policyOf(Job).Priority_));
}

// A path to the worker that outlives its process, such as a proxy, passes the
// order to the next one. The lease that it gave may be as long as workers allow
// since its end was meant for another clock. Only a poll tells what the process
// has done, and gives its clock.
void Dispatcher::handleReplyOfOtherProcess(Worker &W, const StartAction &Order,
                                           Run &Attempt, Millis Clock,
                                           Millis Now) {
  log(Order.Task_.Job_, Order.Order_.Task_, W.Info_.Id_,
      "start order reached another process, clock_ms=" +
          std::to_string(Clock.Value_) +
          " known_clock_ms=" + std::to_string(W.WorkerClock_.Value_) +
          " look_age_ms=" + std::to_string((Now - W.ClockReadAt_).Value_));
  if (Attempt.State_ == RunState::Starting)
    Attempt.State_ = RunState::Uncertain;
  W.WorkerClock_ = Millis{};
  W.ClockLostAt_ = Now;
  countLongestLease(W, Now);
}

bool Dispatcher::handleStartReply(const StartAction &Order,
                                  const Result<OrderReply> &Reply, Millis Now) {
  const std::string &Id = Order.Target_.Worker_;
  const auto WorkerEntry = Workers_.find(Id);
  const bool WrongWorker =
      Reply && Reply.value().Outcome_ == OrderOutcome::WrongWorker;
  TaskState *Task = task(Order.Task_);
  if (!Task || !Task->Run_ || Task->Run_->Attempt_ != Order.Order_.Attempt_ ||
      Task->Run_->Worker_ != Id)
    return true;
  JobRun &Job = *job(Order.Task_.Job_);
  Run &Attempt = *Task->Run_;
  if (Reply && Reply.value().Outcome_ == OrderOutcome::Fenced) {
    Fenced_ = true;
    return true;
  }
  // An earlier process of the worker may have sent the reply.
  if (WorkerEntry != Workers_.end() && Reply && !WrongWorker &&
      Reply.value().Clock_ > Millis{} &&
      Order.Target_ == target(WorkerEntry->second)) {
    Worker &W = WorkerEntry->second;
    const Millis Clock = Reply.value().Clock_;
    if (!isClockOf(W, Clock, Attempt.OrderedAt_, Now)) {
      handleReplyOfOtherProcess(W, Order, Attempt, Clock, Now);
      return false;
    }
    updateClock(W, Clock, Attempt.OrderedAt_, Now);
  }
  const StepSpec &Step =
      Job.Spec_.Steps_[static_cast<std::size_t>(Order.Task_.Step_)];
  if (Reply && Reply.value().Outcome_ == OrderOutcome::Done) {
    Attempt.StartedAt_ = Now;
    Attempt.ProgressAt_ = Now;
    markStarted(Job, Order.Task_, Id, Now);
    if (Attempt.State_ == RunState::Starting ||
        Attempt.State_ == RunState::Uncertain)
      Attempt.State_ = RunState::Running;
    if (Step.Filler_)
      WorkersToPace_.insert(Id);
    return true;
  }
  if (!Reply && Reply.error().Effect_ != Effect::None) {
    log(Job.Spec_.Id_, Order.Order_.Task_, Id,
        "no reply to start order: " + Reply.error().Message_);
    if (Attempt.State_ == RunState::Starting)
      Attempt.State_ = RunState::Uncertain;
    return true;
  }
  // The worker has seen this attempt before, from a copy of the order whose
  // reply was lost. The run may have ended; the next poll shows its end.
  if (Reply && Reply.value().Outcome_ == OrderOutcome::Superseded) {
    log(Job.Spec_.Id_, Order.Order_.Task_, Id,
        "start order was known to the worker");
    if (Attempt.State_ == RunState::Starting)
      Attempt.State_ = RunState::Uncertain;
    return true;
  }
  log(Job.Spec_.Id_, Order.Order_.Task_, Id,
      Reply ? "start refused, outcome=" +
                  std::to_string(static_cast<int>(Reply.value().Outcome_))
            : "start not sent: " + Reply.error().Message_);
  if (Reply && Reply.value().Outcome_ == OrderOutcome::BadTicket &&
      WorkerEntry != Workers_.end())
    allowWorker(Job.Steps_[static_cast<std::size_t>(Order.Task_.Step_)].Advice_,
                WorkerEntry->second.Index_, Ticket{});
  if (Reply && Reply.value().Outcome_ == OrderOutcome::Unhealthy &&
      WorkerEntry != Workers_.end())
    recordFailure(WorkerEntry->second.Health_, Job.Spec_.Id_, Now);
  removeRun(*Task, Order.Task_, Step);
  Task->RetryAt_ = Now + RejectedStartDelay;
  if (!Reply && Reply.error().Reason_ == Reason::ConnectFailed)
    handlePollFailure(Id, Reply.error(), Now);
  if (WrongWorker)
    handlePollFailure(Id,
                      Error{Reason::StartFailed, Effect::None, "start", Id,
                            "another worker has its address"},
                      Now);
  if (Step.Gang_)
    stopStepRuns(Job, Order.Task_.Step_, "gang member was not started", Now);
  return true;
}

void Dispatcher::handleStopReply(const StopAction &Order,
                                 const Result<OrderReply> &Reply, Millis Now) {
  if (!Reply)
    return;
  if (Reply.value().Outcome_ == OrderOutcome::Fenced) {
    Fenced_ = true;
    return;
  }
  if (Reply.value().Outcome_ == OrderOutcome::Done)
    confirmLateStop(Order, Now);
  const auto Ref = parseTaskName(Order.Task_);
  TaskState *Task = Ref ? task(Ref.value()) : nullptr;
  if (!Task || !Task->Run_ || Task->Run_->Attempt_ != Order.Attempt_ ||
      Task->Run_->Worker_ != Order.Target_.Worker_)
    return;
  // Keeps the time of the first confirmation. Any poll sent after it shows
  // whether the run has ended, even if the stop order was repeated since.
  Run &Attempt = *Task->Run_;
  if (Reply.value().Outcome_ == OrderOutcome::Done) {
    // The confirmation of an earlier process does not bind the new one.
    const bool IsOfKnownProcess =
        Order.Target_ == target(Workers_[Attempt.Worker_]);
    if (IsOfKnownProcess && Attempt.StopConfirmedAt_ == Millis{})
      Attempt.StopConfirmedAt_ = Now;
  } else
    log(Ref.value().Job_, Order.Task_, Order.Target_.Worker_,
        "stop refused, outcome=" +
            std::to_string(static_cast<int>(Reply.value().Outcome_)));
}

void Dispatcher::handlePaceReply(const PaceAction &Order, bool Accepted) {
  const auto Ref = parseTaskName(Order.Task_);
  TaskState *Task = Ref ? task(Ref.value()) : nullptr;
  constexpr int Unknown = -1;
  if (Accepted || !Task || !Task->Run_ ||
      Task->Run_->Attempt_ != Order.Attempt_)
    return;
  Task->Run_->Pace_ = Unknown;
  WorkersToPace_.insert(Order.Target_.Worker_);
}

void Dispatcher::handleAdviceReply(
    const AdviceQuestion &Question,
    const Result<std::vector<AdvisedWorker>> &Reply, Millis Now) {
  JobRun *Job = job(Question.Job_);
  if (!Job || isTerminal(Job->State_))
    return;
  StepRun &Step = Job->Steps_[static_cast<std::size_t>(Question.Step_)];
  StepAdvice &Advice = Step.Advice_;
  --Advice.PendingRequests_;
  int NewlyAnswered = 0;
  for (const std::string &Id : Question.Workers_)
    if (const Worker *W = findWorker(Id)) {
      Advice.PendingWorkers_.erase(W->Index_);
      NewlyAnswered += hasAnswer(Advice, W->Index_) ? 0 : 1;
    }
  if (!Reply) {
    Advice.NextRequestAt_ = Now + AdviceRetryDelay;
    log(Question.Job_, stepName(Question.Job_, Question.Step_), "advice",
        "advice request failed: " + Reply.error().Message_);
    return;
  }
  Step.NoCapacityPass_ = 0;
  for (const std::string &Id : Question.Workers_)
    if (const Worker *W = findWorker(Id))
      markAnswered(Advice, W->Index_);
  const Millis ValidUntil = Now + policyOf(*Job).TicketValid_ - TicketMargin;
  int NewlyAllowed = 0;
  for (const AdvisedWorker &Advised : Reply.value())
    if (const Worker *W = findWorker(Advised.Worker_)) {
      NewlyAllowed += findTicket(Advice, W->Index_) ? 0 : 1;
      allowWorker(Advice, W->Index_, Ticket{Advised.Ticket_, ValidUntil});
    }
  AllowedShare &Share = AllowedShares_[Job->Spec_.Queue_];
  Share.Answered_ += NewlyAnswered;
  Share.Allowed_ += NewlyAllowed;
}

void Dispatcher::requestStop(const TaskRef &Ref, TaskState &Task,
                             const std::string &Cause, Millis Now) {
  Run &Attempt = *Task.Run_;
  if (Attempt.State_ == RunState::Stopping)
    return;
  Attempt.State_ = RunState::Stopping;
  Attempt.StopSentAt_ = Now;
  StoppingTasks_.insert(Ref);
  const Worker &W = Workers_[Attempt.Worker_];
  PendingActions_.Stops_.push_back(
      StopAction{target(W), taskName(Ref), Attempt.Attempt_, Cause});
  log(Ref.Job_, taskName(Ref), Attempt.Worker_,
      "stop attempt=" + std::to_string(Attempt.Attempt_) + " why=" + Cause);
}

void Dispatcher::stopStepRuns(JobRun &Job, int Step, const std::string &Cause,
                              Millis Now) {
  StepRun &State = Job.Steps_[static_cast<std::size_t>(Step)];
  if (State.RunCount_ == 0)
    return;
  // The members of a completed gang end on their own.
  const bool MembersEndThemselves =
      Job.Spec_.Steps_[static_cast<std::size_t>(Step)].Gang_ && State.ended();
  for (std::size_t Index = 0; Index < State.Tasks_.size(); ++Index) {
    TaskState &Task = State.Tasks_[Index];
    if (Task.Run_ && !MembersEndThemselves)
      requestStop(TaskRef{Job.Spec_.Id_, Step, static_cast<int>(Index)}, Task,
                  Cause, Now);
  }
}

void Dispatcher::retryStops(Millis Now) {
  if (Now < StopsCheckedAt_ + StopCheckPeriod)
    return;
  StopsCheckedAt_ = Now;
  retryLateStops(Now);
  for (auto Entry = StoppingTasks_.begin(); Entry != StoppingTasks_.end();) {
    const TaskRef Ref = *Entry;
    TaskState *Task = task(Ref);
    if (!Task || !Task->Run_ || Task->Run_->State_ != RunState::Stopping) {
      Entry = StoppingTasks_.erase(Entry);
      continue;
    }
    ++Entry;
    Run &Attempt = *Task->Run_;
    const bool Confirmed = Attempt.StopConfirmedAt_ > Millis{};
    if (Now < Attempt.StopSentAt_ +
                  (Confirmed ? ConfirmedStopRetryInterval : StopRetryInterval))
      continue;
    Attempt.StopSentAt_ = Now;
    const Worker &W = Workers_[Attempt.Worker_];
    log(Ref.Job_, taskName(Ref), Attempt.Worker_,
        "stop repeated, confirmed=" + std::to_string(Confirmed) +
            " look_age_ms=" + std::to_string((Now - W.ClockReadAt_).Value_));
    PendingActions_.Stops_.push_back(
        StopAction{target(W), taskName(Ref), Attempt.Attempt_, "again"});
  }
}

} // namespace damaskglade::dispatch
