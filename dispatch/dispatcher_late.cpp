// Start orders that are carried out although nobody waits for them any more. A
// worker that has confirmed a stop rejects them, but its next process does not
// know of the stop.

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Platforms carry out orders up to 12 s late.
constexpr Millis LongestDelay{15000};

template <typename Entries>
auto findAttempt(Entries &All, const std::string &Task, std::int64_t Attempt) {
  return std::find_if(All.begin(), All.end(), [&](const auto &Entry) {
    return Entry.Task_ == Task && Entry.Attempt_ == Attempt;
  });
}

} // namespace

// A stop of the latest attempt makes a worker reject all earlier ones.
void Dispatcher::rememberStart(Worker &W, const TaskRef &Ref,
                               const StepSpec &Step, const Run &Dropped) const {
  if (Dropped.StartedAt_ > Millis{} || Dropped.Reported_)
    return;
  const bool IsStopped = Dropped.StopConfirmedAt_ > Millis{};
  const UnansweredStart Latest{taskName(Ref),
                               Dropped.Attempt_,
                               reservedSize(Step),
                               Dropped.OrderedAt_,
                               IsStopped ? W.ProcessStart_ : 0,
                               findJob(Ref.Job_)->Spec_.Workspace_,
                               Step.Size_};
  const auto Earlier =
      std::find_if(W.UnansweredStarts_.begin(), W.UnansweredStarts_.end(),
                   [&](const UnansweredStart &Start) {
                     return Start.Task_ == Latest.Task_;
                   });
  if (Earlier != W.UnansweredStarts_.end())
    *Earlier = Latest;
  else
    W.UnansweredStarts_.push_back(Latest);
}

bool Dispatcher::mayStartLate(const Worker &W, Millis Now) {
  // Another worker at its address rejects what was meant for it.
  return W.Reachability_ != Reachability::Replaced &&
         std::any_of(W.UnansweredStarts_.begin(), W.UnansweredStarts_.end(),
                     [Now](const UnansweredStart &Start) {
                       return Now <= Start.OrderedAt_ + LongestDelay;
                     });
}

// A start that one process of the worker rejects because of a stop may still be
// carried out by the next one.
void Dispatcher::addLateStarts(const Worker &W, Millis Now) {
  if (W.Reachability_ == Reachability::Replaced)
    return;
  for (const UnansweredStart &Start : W.UnansweredStarts_) {
    if (Start.Workspace_.empty() || Now > Start.OrderedAt_ + LongestDelay ||
        findAttempt(W.UnexpectedRuns_, Start.Task_, Start.Attempt_) !=
            W.UnexpectedRuns_.end())
      continue;
    Size &Pending = Usage_[Start.Workspace_].Pending_;
    Pending = Pending + Start.Size_;
  }
}

bool Dispatcher::mayBegin(const UnexpectedRun &Entry, Millis SentAt) {
  const bool Rejected =
      Entry.StopConfirmedAt_ > Millis{} && Entry.StopConfirmedAt_ < SentAt;
  return Entry.Expected_ && !Rejected && SentAt <= Entry.ExpectedUntil_;
}

void Dispatcher::expectLateStarts(Worker &W, Millis Now) {
  std::erase_if(W.UnansweredStarts_, [Now](const UnansweredStart &Start) {
    return Now > Start.OrderedAt_ + LongestDelay;
  });
  int Added = 0;
  for (const UnansweredStart &Start : W.UnansweredStarts_) {
    if (Start.StoppedIn_ == W.ProcessStart_ ||
        findAttempt(W.UnexpectedRuns_, Start.Task_, Start.Attempt_) !=
            W.UnexpectedRuns_.end())
      continue;
    UnexpectedRun Expected{Start.Task_,
                           Start.Attempt_,
                           Start.Reserved_,
                           Millis{},
                           true,
                           Millis{},
                           Start.OrderedAt_ + LongestDelay,
                           Start.Workspace_,
                           Start.Size_};
    W.Used_ = W.Used_ + Expected.Reserved_;
    countUnexpectedRun(Expected, 1);
    const auto Ref = parseTaskName(Start.Task_);
    if (TaskState *Task = Ref ? task(Ref.value()) : nullptr)
      ++Task->UnexpectedRuns_;
    stopLateStart(W, Expected, Now);
    W.UnexpectedRuns_.push_back(std::move(Expected));
    ++Added;
  }
  if (Added > 0)
    log("", "look at worker", W.Info_.Id_,
        "stopping starts without a reply that this process may carry out, "
        "count=" +
            std::to_string(Added));
  // Only a poll that is sent later shows that they have not begun before.
  if (std::any_of(W.UnexpectedRuns_.begin(), W.UnexpectedRuns_.end(),
                  [](const UnexpectedRun &Entry) {
                    return Entry.Expected_ && Entry.StopConfirmedAt_ > Millis{};
                  }))
    PendingActions_.Probes_.push_back(W.Info_.Id_);
}

void Dispatcher::stopLateStart(const Worker &W, UnexpectedRun &Entry,
                               Millis Now) {
  Entry.StopSentAt_ = Now;
  PendingActions_.Stops_.push_back(
      StopAction{target(W), Entry.Task_, Entry.Attempt_, "late start"});
}

void Dispatcher::confirmLateStop(const StopAction &Order, Millis Now) {
  const auto WorkerEntry = Workers_.find(Order.Target_.Worker_);
  if (WorkerEntry == Workers_.end() ||
      Order.Target_ != target(WorkerEntry->second))
    return;
  Worker &W = WorkerEntry->second;
  const auto Start =
      findAttempt(W.UnansweredStarts_, Order.Task_, Order.Attempt_);
  if (Start != W.UnansweredStarts_.end())
    Start->StoppedIn_ = W.ProcessStart_;
  const auto Entry =
      findAttempt(W.UnexpectedRuns_, Order.Task_, Order.Attempt_);
  if (Entry != W.UnexpectedRuns_.end() && Entry->StopConfirmedAt_ == Millis{})
    Entry->StopConfirmedAt_ = Now;
}

void Dispatcher::retryLateStops(Millis Now) {
  for (auto &[Id, W] : Workers_) {
    if (W.Reachability_ != Reachability::Reachable)
      continue;
    for (UnexpectedRun &Entry : W.UnexpectedRuns_)
      if (Entry.Expected_ && Entry.StopConfirmedAt_ == Millis{} &&
          Now >= Entry.StopSentAt_ + StopRetryInterval)
        stopLateStart(W, Entry, Now);
  }
}

} // namespace damaskglade::dispatch
