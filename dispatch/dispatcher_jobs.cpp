#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Limit of log entries kept for takeDecisions(), which bounds their memory if
// nobody fetches them.
constexpr std::size_t MaxDecisions = 2000;

} // namespace

Dispatcher::Dispatcher(const DispatchLimits &Limits, std::int64_t Epoch,
                       Millis Now)
    : Limits_(Limits), Epoch_(Epoch),
      EarlierLeaseExpiry_(leaseExpiry(Now + Limits.LeaderGrace_)) {}

void Dispatcher::setQueues(const std::map<std::string, QueuePolicy> &Queues) {
  // Policies of removed queues are kept for the jobs that are still in them.
  for (const auto &[Name, Policy] : Queues)
    Queues_[Name] = Policy;
  CheckAttempts_ = true;
  // Other workers may suit now, although none has gained capacity.
  // Neither the last pass nor a full one that is not finished counts as having
  // examined the workers under the new policies.
  PassNumber_ += 2;
}

JobRun *Dispatcher::job(const std::string &Id) {
  const auto JobEntry = Jobs_.find(Id);
  return JobEntry == Jobs_.end() ? nullptr : JobEntry->second.get();
}

const JobRun *Dispatcher::findJob(const std::string &Id) const {
  const auto JobEntry = Jobs_.find(Id);
  return JobEntry == Jobs_.end() ? nullptr : JobEntry->second.get();
}

TaskState *Dispatcher::task(const TaskRef &Ref) {
  JobRun *Job = job(Ref.Job_);
  return Job ? task(*Job, Ref) : nullptr;
}

TaskState *Dispatcher::task(JobRun &Job, const TaskRef &Ref) {
  if (Ref.Step_ >= static_cast<int>(Job.Steps_.size()))
    return nullptr;
  auto &Tasks = Job.Steps_[static_cast<std::size_t>(Ref.Step_)].Tasks_;
  if (Ref.Index_ >= static_cast<int>(Tasks.size()))
    return nullptr;
  return &Tasks[static_cast<std::size_t>(Ref.Index_)];
}

const QueuePolicy &Dispatcher::policyOf(const JobRun &Job) const {
  return policyOf(Job.Spec_.Queue_);
}

const QueuePolicy &Dispatcher::policyOf(const std::string &Queue) const {
  static const QueuePolicy Default;
  const auto QueueEntry = Queues_.find(Queue);
  return QueueEntry == Queues_.end() ? Default : QueueEntry->second;
}

int Dispatcher::priorityOf(const std::string &Queue) const {
  return policyOf(Queue).Priority_;
}

void Dispatcher::log(const std::string &Request, const std::string &Step,
                     const std::string &Peer, const std::string &Text) {
  if (Decisions_.size() < MaxDecisions)
    Decisions_.push_back(Decision{Request, Step, Peer, Text});
}

std::vector<Decision> Dispatcher::takeDecisions() {
  std::vector<Decision> Entries(Decisions_.begin(), Decisions_.end());
  Decisions_.clear();
  return Entries;
}

void Dispatcher::initialize(JobRun &Job, Millis Now) const {
  for (const StepSpec &Step : Job.Spec_.Steps_)
    Job.Steps_.emplace_back().Tasks_.resize(
        static_cast<std::size_t>(Step.Count_));
  Job.ArrivedAt_ = Now;
  Job.CriticalPath_ = criticalPathEstimate(Job.Spec_);
  Job.Work_ = estimatedWork(Job.Spec_);
}

bool Dispatcher::addJob(const JobSpec &Spec, Millis Now) {
  if (Jobs_.count(Spec.Id_) > 0)
    return false;
  auto Job = std::make_unique<JobRun>();
  Job->Spec_ = Spec;
  if (const auto Queue = Queues_.find(Spec.Queue_); Queue != Queues_.end())
    Job->Spec_.Policy_ = Queue->second;
  initialize(*Job, Now);
  Jobs_[Spec.Id_] = std::move(Job);
  UnconfirmedJobs_.insert(Spec.Id_);
  return true;
}

void Dispatcher::confirmJob(const std::string &Id) {
  JobRun *Job = job(Id);
  if (!Job || UnconfirmedJobs_.erase(Id) == 0)
    return;
  ActiveJobs_.emplace(Id, Job);
  markReadySteps(*Job, Job->ArrivedAt_);
}

void Dispatcher::dropJob(const std::string &Id) {
  if (UnconfirmedJobs_.erase(Id) > 0)
    Jobs_.erase(Id);
}

void Dispatcher::restoreJob(const JobSpec &Spec, const JobProgress &Progress,
                            Millis Now) {
  auto NewJob = std::make_unique<JobRun>();
  JobRun &Job = *NewJob;
  Job.Spec_ = Spec;
  // The configuration may have removed the queue since the job was accepted.
  if (Spec.Policy_)
    Queues_.emplace(Spec.Queue_, *Spec.Policy_);
  Job.Restored_ = true;
  Job.State_ = Progress.State_;
  Job.RecordedState_ = Progress.State_;
  Job.Started_ = Progress.State_ != JobState::Queued;
  initialize(Job, Now);
  if (const JobRun *Earlier = findJob(Spec.Id_))
    forgetUnlocated(*Earlier);
  Jobs_[Spec.Id_] = std::move(NewJob);
  for (std::size_t Step = 0;
       Step < std::min(Progress.Done_.size(), Job.Steps_.size()); ++Step) {
    StepRun &State = Job.Steps_[Step];
    for (const int Index : Progress.Done_[Step]) {
      if (Index < 0 || Index >= static_cast<int>(State.Tasks_.size()))
        continue;
      State.Tasks_[static_cast<std::size_t>(Index)].Done_ = true;
      ++State.DoneCount_;
    }
  }
  countUnlocated(Job);
  if (isTerminal(Progress.State_)) {
    Job.Steps_.clear();
    Job.EndedAt_ = Now;
    return;
  }
  for (const auto &[TaskKey, Attempts] : Progress.FailedAttempts_) {
    if (TaskState *Task =
            task(TaskRef{Spec.Id_, TaskKey.first, TaskKey.second}))
      Task->FailedAttempts_ = Attempts;
  }
  for (const auto &[TaskKey, Attempts] : Progress.CrashedAttempts_) {
    if (TaskState *Task =
            task(TaskRef{Spec.Id_, TaskKey.first, TaskKey.second}))
      Task->CrashedAttempts_ = Attempts;
  }
  ActiveJobs_.insert_or_assign(Spec.Id_, &Job);
  markReadySteps(Job, Now);
}

void Dispatcher::restoreEnded(const std::string &Id, JobState State,
                              Millis Now) {
  JobSpec Spec;
  Spec.Id_ = Id;
  JobProgress Progress;
  Progress.State_ = State;
  restoreJob(Spec, Progress, Now);
}

Status Dispatcher::checkFits(const JobSpec &Spec) const {
  const auto IsGang = [](const StepSpec &Step) { return Step.Gang_; };
  if (!RegistryReceived_ &&
      std::none_of(Spec.Steps_.begin(), Spec.Steps_.end(), IsGang))
    return checkLimit(Spec);
  // A gang that is accepted although it never fits waits for good.
  const Error NotKnown{Reason::NotReady, Effect::None, "check size", "",
                       "not all workers are known yet"};
  if (!RegistryReceived_)
    return NotKnown;
  const auto NeverFits = [](const std::string &Message) {
    return Error{Reason::NeverFits, Effect::None, "check size", "", Message};
  };
  for (const StepSpec &Step : Spec.Steps_) {
    const bool Fits =
        std::any_of(Workers_.begin(), Workers_.end(), [&](const auto &Entry) {
          return mightRunOn(Step, Entry.second);
        });
    if (!Fits)
      return NeverFits("no known worker has the capacity and the label that a "
                       "step requires");
    if (!Step.Gang_)
      continue;
    const std::optional<bool> HasRoom =
        couldHoldGang(Step, policyOf(Spec.Queue_).Service_);
    if (!HasRoom)
      return NotKnown;
    if (!*HasRoom)
      return NeverFits("all known workers together have no room for a gang");
  }
  return checkLimit(Spec);
}

bool Dispatcher::cancelJob(const std::string &Id, Millis Now) {
  JobRun *Job = job(Id);
  if (!Job || isTerminal(Job->State_))
    return false;
  finishJob(*Job, JobState::Canceled, Now);
  return true;
}

void Dispatcher::finishJob(JobRun &Job, JobState State, Millis Now) {
  Job.State_ = State;
  Job.EndedAt_ = Now;
  markChanged(Job.Spec_.Id_);
  log(Job.Spec_.Id_, "end job", "",
      "state=" + std::string(jobStateName(State)) +
          " age_ms=" + std::to_string((Now - Job.ArrivedAt_).Value_));
  for (std::size_t Step = 0; Step < Job.Steps_.size(); ++Step)
    stopStepRuns(Job, static_cast<int>(Step), "job has ended", Now);
}

int Dispatcher::pendingJobs(const std::string &Queue) const {
  int Count = 0;
  for (const auto &[Id, Job] : ActiveJobs_) {
    if (Job->Spec_.Queue_ == Queue && !Job->Started_ &&
        !isTerminal(Job->State_))
      ++Count;
  }
  return Count;
}

bool Dispatcher::hasRuns(const std::string &Id) const {
  const JobRun *Job = findJob(Id);
  return Job &&
         std::any_of(Job->Steps_.begin(), Job->Steps_.end(),
                     [](const StepRun &Step) { return Step.RunCount_ > 0; });
}

JobProgress Dispatcher::progressOf(const std::string &Id) const {
  JobProgress Progress;
  const JobRun *Job = findJob(Id);
  if (!Job)
    return Progress;
  Progress.State_ = Job->State_;
  for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
    auto &DoneTasks = Progress.Done_.emplace_back();
    const auto &Tasks = Job->Steps_[Step].Tasks_;
    for (std::size_t Index = 0; Index < Tasks.size(); ++Index) {
      if (Tasks[Index].Done_)
        DoneTasks.push_back(static_cast<int>(Index));
      if (!Tasks[Index].FailedAttempts_.empty())
        Progress.FailedAttempts_[{static_cast<int>(Step),
                                  static_cast<int>(Index)}] =
            Tasks[Index].FailedAttempts_;
      if (!Tasks[Index].CrashedAttempts_.empty())
        Progress.CrashedAttempts_[{static_cast<int>(Step),
                                   static_cast<int>(Index)}] =
            Tasks[Index].CrashedAttempts_;
    }
  }
  return Progress;
}

std::vector<std::string> Dispatcher::takeChangedJobs() {
  std::vector<std::string> Ids(ChangedJobs_.begin(), ChangedJobs_.end());
  ChangedJobs_.clear();
  return Ids;
}

int Dispatcher::countCrashes(const std::string &Id) const {
  const JobRun *Job = findJob(Id);
  return Job ? Job->Crashes_ : 0;
}

void Dispatcher::markJobRecorded(const std::string &Id, JobState State,
                                 int Crashes) {
  JobRun *Job = job(Id);
  if (!Job)
    return;
  Job->RecordedState_ = State;
  Job->RecordedCrashes_ = Crashes;
  if (!isTerminal(State))
    return;
  // Runs that are still being stopped keep their resources reserved.
  if (!hasRuns(Id))
    ActiveJobs_.erase(Id);
}

std::vector<std::string> Dispatcher::removeEndedJobs(Millis Before) {
  std::vector<std::string> RemovedIds;
  for (const auto &[Id, Job] : Jobs_)
    if (isTerminal(Job->RecordedState_) && ActiveJobs_.count(Id) == 0 &&
        Job->EndedAt_ < Before)
      RemovedIds.push_back(Id);
  for (const std::string &Id : RemovedIds) {
    forgetUnlocated(*findJob(Id));
    Jobs_.erase(Id);
  }
  return RemovedIds;
}

void Dispatcher::markReadySteps(JobRun &Job, Millis Now) {
  if (isTerminal(Job.State_))
    return;
  for (std::size_t Step = 0; Step < Job.Steps_.size(); ++Step) {
    StepRun &State = Job.Steps_[Step];
    if (State.Ready_)
      continue;
    const auto &Dependencies = Job.Spec_.Steps_[Step].Dependencies_;
    const bool Ready = std::all_of(
        Dependencies.begin(), Dependencies.end(), [&](int Dependency) {
          return Job.Steps_[static_cast<std::size_t>(Dependency)].ended();
        });
    if (!Ready)
      continue;
    State.Ready_ = true;
    State.ReadyAt_ = Now;
    State.Advice_.NextRequestAt_ = Now;
  }
}

bool Dispatcher::mayRunUnseen(const JobRun &Job, const TaskState &Task) const {
  return Job.Restored_ && !Task.Located_ &&
         (AnyTaskMayRunUnseen_ || Task.UnseenRuns_ > 0);
}

void Dispatcher::markDone(JobRun &Job, const TaskRef &Ref, Millis Now) {
  StepRun &Step = Job.Steps_[static_cast<std::size_t>(Ref.Step_)];
  const StepSpec &Spec = Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
  const auto MarkTask = [&](TaskState &Task) {
    if (Task.Done_)
      return;
    // Located first, since that counts only tasks that are not done.
    if (!Spec.Gang_)
      locate(Job, Ref, Task);
    Task.Done_ = true;
    ++Step.DoneCount_;
  };
  if (Spec.Gang_) {
    // The end of one member completes the whole gang.
    for (TaskState &Task : Step.Tasks_)
      MarkTask(Task);
  } else {
    MarkTask(Step.Tasks_[static_cast<std::size_t>(Ref.Index_)]);
  }
  markChanged(Ref.Job_);
  if (!Step.ended())
    return;
  learnSpeeds(Step, Now);
  const bool Complete =
      std::all_of(Job.Steps_.begin(), Job.Steps_.end(),
                  [](const StepRun &State) { return State.ended(); });
  if (Complete)
    finishJob(Job, JobState::Complete, Now);
  else
    markReadySteps(Job, Now);
}

// A gang counts attempts once, on its first task, whichever member failed.
TaskState &Dispatcher::attemptCounter(JobRun &Job, const TaskRef &Ref) {
  const bool Gang = Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)].Gang_;
  return Job.Steps_[static_cast<std::size_t>(Ref.Step_)]
      .Tasks_[Gang ? 0 : static_cast<std::size_t>(Ref.Index_)];
}

void Dispatcher::markFailed(JobRun &Job, const TaskRef &Ref,
                            std::int64_t Attempt, Millis Now) {
  const StepSpec &Spec = Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
  if (Spec.LongRunning_)
    return;
  auto &FailedAttempts = attemptCounter(Job, Ref).FailedAttempts_;
  if (std::find(FailedAttempts.begin(), FailedAttempts.end(), Attempt) !=
      FailedAttempts.end())
    return;
  FailedAttempts.push_back(Attempt);
  markChanged(Ref.Job_);
  if (hasUsedAttempts(Job, FailedAttempts))
    finishJob(Job, JobState::Failed, Now);
}

// A new leader may see the end of a task before it has the configuration.
bool Dispatcher::hasUsedAttempts(
    const JobRun &Job, const std::vector<std::int64_t> &FailedAttempts) const {
  const auto Queue = Queues_.find(Job.Spec_.Queue_);
  return Queue != Queues_.end() &&
         static_cast<int>(FailedAttempts.size()) >= Queue->second.MaxAttempts_;
}

void Dispatcher::failExhaustedJobs(Millis Now) {
  for (const auto &[Id, Job] : ActiveJobs_)
    for (const StepRun &Step : Job->Steps_)
      for (const TaskState &Task : Step.Tasks_)
        if (!isTerminal(Job->State_) && !Task.FailedAttempts_.empty() &&
            !Task.Done_ && hasUsedAttempts(*Job, Task.FailedAttempts_))
          finishJob(*Job, JobState::Failed, Now);
}

} // namespace damaskglade::dispatch
