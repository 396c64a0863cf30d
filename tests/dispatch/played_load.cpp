#include "tests/dispatch/played_load.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace damaskglade::dispatch::testing {

namespace {

// Time from an order until the worker executes it.
constexpr Millis OrderLatency{1};
// Planning passes run at least every DecisionPeriod, and after each event, but
// not more often than LoadSettings::PassInterval_.
constexpr Millis DecisionPeriod{100};
constexpr Millis PollPeriod{2000};

Millis scaled(Millis Duration, double Factor) {
  return Millis{std::llround(static_cast<double>(Duration.Value_) * Factor)};
}

std::string workerName(int Number) {
  return "w" + std::to_string(1000 + Number);
}

} // namespace

PlayedLoad::PlayedLoad(LoadSettings Settings)
    : Settings_(std::move(Settings)), Random_(Settings_.Seed_),
      Dispatcher_(Settings_.Limits_, 1, Now_),
      AdviceServersFreeAt_(
          static_cast<std::size_t>(Settings_.AdviceServerCount_), Now_) {
  std::map<std::string, QueuePolicy> Queues;
  for (const LoadClass &Class : Settings_.Classes_) {
    Queues[Class.Queue_] = Class.Policy_;
    Outcomes_[Class.Queue_];
  }
  Dispatcher_.setQueues(Queues);
  Dispatcher_.setWorkspaces(Settings_.Workspaces_);
  Dispatcher_.setAdviceServerCount(AdviceServersFreeAt_.size());
  std::vector<WorkerInfo> Infos;
  for (int Number = 0; Number < Settings_.Workers_; ++Number) {
    WorkerInfo Info;
    Info.Id_ = workerName(Number);
    Info.Address_ = Info.Id_ + ":1";
    Info.Service_ = "desk";
    const auto &[Kind, Factor] =
        Settings_
            .Kinds_[static_cast<std::size_t>(Number) % Settings_.Kinds_.size()];
    Info.Labels_ = {Kind, "r" + std::to_string(Number / 8)};
    DurationFactors_[Info.Id_] = Factor;
    Info.Capacity_ = Settings_.Capacity_;
    Infos.push_back(Info);
  }
  Dispatcher_.setWorkers(Infos, Now_);
  for (const WorkerInfo &Info : Dispatcher_.takeUnrecordedWorkers())
    Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
  const auto ScheduleRepeatedly = [this](Millis Period,
                                         std::function<void()> Callback) {
    const auto Recurring = std::make_shared<std::function<void()>>();
    *Recurring = [this, Period, Callback = std::move(Callback), Recurring] {
      Callback();
      schedule(Period, *Recurring);
    };
    schedule(Millis{}, *Recurring);
  };
  for (const WorkerInfo &Info : Infos)
    ScheduleRepeatedly(PollPeriod,
                       [this, Id = Info.Id_] { pollWorker(Id, {}); });
  ScheduleRepeatedly(DecisionPeriod, [this] { scheduleDecision(); });
  for (const LoadClass &Class : Settings_.Classes_)
    scheduleArrival(Class);
}

void PlayedLoad::schedule(Millis Delay, std::function<void()> Callback) {
  Events_.emplace(std::make_pair(Now_ + Delay, ++EventNumber_),
                  std::move(Callback));
}

void PlayedLoad::run(Millis Duration) {
  const Millis End = Now_ + Duration;
  while (!Events_.empty() && Events_.begin()->first.first <= End) {
    auto Event = Events_.extract(Events_.begin());
    Now_ = Event.key().first;
    Event.mapped()();
  }
  Now_ = End;
}

void PlayedLoad::scheduleArrival(const LoadClass &Class) {
  if (Settings_.ArrivalsEnd_ > Millis{} &&
      Now_ > StartTime + Settings_.ArrivalsEnd_)
    return;
  const bool IsFlood = Now_ >= StartTime + Class.FloodStart_ &&
                       Now_ < StartTime + Class.FloodEnd_;
  std::exponential_distribution<> ArrivalInterval(
      Class.JobsPerSecond_ * (IsFlood ? Class.FloodFactor_ : 1));
  constexpr double MillisPerSecond = 1000;
  schedule(Millis{std::llround(ArrivalInterval(Random_) * MillisPerSecond)},
           [this, &Class] {
             submit(Class);
             scheduleArrival(Class);
           });
}

void PlayedLoad::submit(const LoadClass &Class) {
  JobSpec Spec;
  char Id[17];
  std::snprintf(Id, sizeof Id, "%016x", ++JobCount_);
  Spec.Id_ = Id;
  Spec.Queue_ = Class.Queue_;
  Spec.Payload_ = "work";
  const bool PrefersRack =
      Class.RackShare_ > 0 && Now_ >= StartTime + Settings_.RackFrom_ &&
      Now_ < StartTime + Settings_.RackUntil_ && uniform() < Class.RackShare_;
  for (int Number = 0; Number < Class.Steps_; ++Number) {
    StepSpec Step;
    // Widths and estimates vary by up to 50% around their means.
    Step.Count_ =
        std::max(1, static_cast<int>(Class.Width_ * (0.5 + uniform())));
    Step.Size_ = Size{Class.MilliCpus_, Class.MemoryMib_, 0};
    Step.Estimate_ = scaled(Class.Length_, 0.5 + uniform());
    Step.Checkpointing_ = Class.Policy_.Priority_ > 1;
    Step.LongRunning_ = Class.LongRunning_;
    Step.Gang_ = Class.Gang_;
    Step.MaxPerWorker_ = Class.MaxPerWorker_;
    if (PrefersRack)
      (Settings_.RequireRack_ ? Step.Label_ : Step.Rack_) = "r0";
    if (Number > 0)
      Step.Dependencies_ = {Number - 1};
    Spec.Steps_.push_back(Step);
  }
  Spec.Workspace_ = Class.Workspace_;
  const ShareVerdict Verdict = Dispatcher_.decideJobShare(Spec, Now_).Verdict_;
  if (Verdict == ShareVerdict::Rejected) {
    ++Outcomes_[Class.Queue_].Jobs_;
    ++Outcomes_[Class.Queue_].Rejected_;
    return;
  }
  Dispatcher_.addJob(Spec, Now_);
  if (Verdict == ShareVerdict::OverShare)
    Dispatcher_.markOverShare(Spec.Id_);
  Dispatcher_.confirmJob(Spec.Id_);
  if (!Class.LongRunning_)
    OpenJobs_[Spec.Id_] =
        OpenJob{Class.Queue_, Now_,
                scaled(criticalPathEstimate(Spec), Class.Policy_.SlackFactor_) +
                    Class.Policy_.Target_};
  ++Outcomes_[Class.Queue_].Jobs_;
  scheduleDecision();
}

void PlayedLoad::scheduleDecision() {
  if (std::exchange(DecisionPending_, true))
    return;
  schedule(std::max(LastDecisionAt_ + Settings_.PassInterval_ - Now_, Millis{}),
           [this] {
             DecisionPending_ = false;
             decide();
           });
}

void PlayedLoad::decide() {
  ++DecisionCount_;
  LastDecisionAt_ = Now_;
  const Actions NewActions = Dispatcher_.decide(Now_);
  (void)Dispatcher_.takeDecisions();
  (void)Dispatcher_.takeChangedJobs();
  for (const StartAction &Start : NewActions.Starts_)
    schedule(OrderLatency, [this, Start] { executeStart(Start); });
  for (const StopAction &Stop : NewActions.Stops_)
    schedule(OrderLatency, [this, Stop] {
      Dispatcher_.handleStopReply(
          Stop, OrderReply{OrderOutcome::Done, Now_ + Millis{50000}}, Now_);
      endTask(Stop.Target_.Worker_, Stop.Task_, Stop.Attempt_,
              TaskEnd::Stopped);
    });
  for (const AdviceQuestion &Question : NewActions.Questions_)
    answerQuestion(Question);
}

void PlayedLoad::executeStart(const StartAction &Action) {
  ++StartCount_;
  const std::string &Worker = Action.Target_.Worker_;
  const std::string &Task = Action.Order_.Task_;
  Placements_ += Worker + " " + Task + "\n";
  const JobRun &Job = *Dispatcher_.findJob(Action.Task_.Job_);
  const StepSpec &Step =
      Job.Spec_.Steps_[static_cast<std::size_t>(Action.Task_.Step_)];
  LoadOutcome &Outcome = Outcomes_[Job.Spec_.Queue_];
  ++Outcome.Starts_;
  Outcome.LongestWait_ = std::max(Outcome.LongestWait_, Now_ - Job.ArrivedAt_);
  RunningTask NewTask;
  NewTask.Entry_ = RunningEntry{Task, Action.Order_.Attempt_, "", 0, 0};
  NewTask.StartedAt_ = Now_;
  constexpr double LongTaskFactor = 7;
  double Factor = DurationFactors_[Worker] * (0.7 + 0.6 * uniform());
  if (!Step.Rack_.empty() &&
      !hasLabel(Dispatcher_.findWorker(Worker)->Info_, Step.Rack_))
    Factor *= Settings_.RackPenalty_;
  if (Settings_.LongTaskShare_ > 0 && uniform() < Settings_.LongTaskShare_)
    Factor *= LongTaskFactor;
  NewTask.Length_ = scaled(Step.Estimate_, Factor);
  if (!Step.LongRunning_)
    schedule(NewTask.Length_,
             [this, Worker, Task, Attempt = Action.Order_.Attempt_] {
               endTask(Worker, Task, Attempt, TaskEnd::Done);
             });
  RunningTasks_[Worker][Task] = NewTask;
  Dispatcher_.handleStartReply(
      Action, OrderReply{OrderOutcome::Done, Now_ + Millis{50000}}, Now_);
}

void PlayedLoad::endTask(const std::string &Worker, const std::string &Task,
                         std::int64_t Attempt, TaskEnd End) {
  auto &Tasks = RunningTasks_[Worker];
  const auto TaskEntry = Tasks.find(Task);
  if (TaskEntry == Tasks.end() || TaskEntry->second.Entry_.Attempt_ != Attempt)
    return;
  Tasks.erase(TaskEntry);
  pollWorker(Worker, {EndedTask{0, Task, Attempt, End, ""}});
  recordEndedJobs();
}

void PlayedLoad::pollWorker(const std::string &Worker,
                            std::vector<EndedTask> Ended) {
  PollReply Reply;
  Reply.Clock_ = Now_ + Millis{50000};
  Reply.ProcessStart_ = 1;
  for (auto &[Task, Running] : RunningTasks_[Worker]) {
    const Millis Elapsed = Now_ - Running.StartedAt_;
    constexpr int FullPercent = 100;
    if (Running.Length_ > Millis{})
      Running.Entry_.Percent_ = static_cast<int>(std::min<std::int64_t>(
          FullPercent, Elapsed.Value_ * FullPercent /
                           std::max<std::int64_t>(1, Running.Length_.Value_)));
    Reply.Running_.push_back(Running.Entry_);
  }
  for (EndedTask &End : Ended) {
    End.SequenceNumber_ = ++LastEndNumbers_[Worker];
    Reply.Ended_.push_back(End);
  }
  Dispatcher_.handlePollReply(Worker, Reply, Now_ - Millis{1}, Now_);
  scheduleDecision();
}

void PlayedLoad::answerQuestion(const AdviceQuestion &Question) {
  const auto ServerFreeAt = std::min_element(AdviceServersFreeAt_.begin(),
                                             AdviceServersFreeAt_.end());
  *ServerFreeAt = std::max(*ServerFreeAt, Now_) + Question.Expected_;
  schedule(*ServerFreeAt - Now_, [this, Question] {
    const JobRun *Job = Dispatcher_.findJob(Question.Job_);
    double AllowedShare = 1;
    for (const LoadClass &Class : Settings_.Classes_)
      if (Job && Class.Queue_ == Job->Spec_.Queue_)
        AllowedShare = Class.AllowedShare_;
    constexpr std::size_t Buckets = 1000;
    std::vector<AdvisedWorker> AllowedWorkers;
    for (const std::string &Worker : Question.Workers_) {
      const std::size_t Bucket =
          std::hash<std::string>()(Question.Job_ + Worker) % Buckets;
      if (static_cast<double>(Bucket) < AllowedShare * Buckets)
        AllowedWorkers.push_back(AdvisedWorker{Worker, "ticket"});
    }
    Dispatcher_.handleAdviceReply(Question, AllowedWorkers, Now_);
    scheduleDecision();
  });
}

void PlayedLoad::recordEndedJobs() {
  constexpr int LateFactor = 3;
  for (auto OpenEntry = OpenJobs_.begin(); OpenEntry != OpenJobs_.end();) {
    const JobRun *Job = Dispatcher_.findJob(OpenEntry->first);
    if (Job && !isTerminal(Job->State_)) {
      ++OpenEntry;
      continue;
    }
    const OpenJob &Details = OpenEntry->second;
    const Millis Age = Now_ - Details.ArrivedAt_;
    LoadOutcome &Outcome = Outcomes_[Details.Queue_];
    if (Age <= Details.Objective_)
      ++Outcome.OnTime_;
    else if (Age <= Details.Objective_ * LateFactor)
      ++Outcome.Late_;
    if (Job)
      Dispatcher_.markJobRecorded(OpenEntry->first, Job->State_, Job->Crashes_);
    OpenEntry = OpenJobs_.erase(OpenEntry);
  }
}

LoadSettings depotLoad(int Workers, double Share) {
  LoadSettings Settings;
  Settings.Workers_ = Workers;
  Settings.AdviceServerCount_ = std::max(4, Workers / 8);
  LoadClass Lookup;
  Lookup.Queue_ = "lookup";
  Lookup.Policy_.Service_ = "desk";
  Lookup.Policy_.MaxAttempts_ = 2;
  Lookup.Policy_.SlackFactor_ = 1.5;
  Lookup.Policy_.Target_ = Millis{250};
  Lookup.Policy_.NeedsAdvice_ = true;
  Lookup.Policy_.AdviceBase_ = Millis{27};
  Lookup.Policy_.AdvicePerWorker_ = 0.36;
  Lookup.Policy_.TicketValid_ = Millis{2500};
  Lookup.Width_ = 9;
  Lookup.MilliCpus_ = 2200;
  Lookup.MemoryMib_ = 6400;
  Lookup.Length_ = Millis{640};
  Lookup.AllowedShare_ = 0.7;
  LoadClass Batch = Lookup;
  Batch.Queue_ = "batch";
  Batch.Policy_.Priority_ = 2;
  Batch.Policy_.MaxAttempts_ = 4;
  Batch.Policy_.SlackFactor_ = 2.2;
  Batch.Policy_.Target_ = Millis{1200};
  Batch.Policy_.AdviceBase_ = Millis{507};
  Batch.Policy_.AdvicePerWorker_ = 7.15;
  Batch.Steps_ = 2;
  Batch.Width_ = 14;
  Batch.MilliCpus_ = 4500;
  Batch.MemoryMib_ = 13000;
  Batch.Length_ = Millis{6000};
  Batch.AllowedShare_ = 0.35;
  const double RequestedCpus = Workers * 16.0 * Share;
  const auto ArrivalRate = [&](const LoadClass &Class, double ClassShare) {
    const double CpuSeconds = static_cast<double>(Class.Steps_ * Class.Width_) *
                              static_cast<double>(Class.MilliCpus_) / 1000 *
                              static_cast<double>(Class.Length_.Value_) / 1000;
    return RequestedCpus * ClassShare / CpuSeconds;
  };
  constexpr double LookupShare = 0.2;
  Lookup.JobsPerSecond_ = ArrivalRate(Lookup, LookupShare);
  Batch.JobsPerSecond_ = ArrivalRate(Batch, 1 - LookupShare);
  Settings.Classes_ = {Lookup, Batch};
  return Settings;
}

} // namespace damaskglade::dispatch::testing
