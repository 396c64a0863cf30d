#include "tests/dispatch/played_load.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace damaskglade::dispatch::testing {

namespace {

constexpr Millis OrderTime{1};
constexpr Millis DecisionGap{5};
constexpr Millis TickPeriod{100};
constexpr Millis LookPeriod{2000};

DispatchLimits makeLimits() { return DispatchLimits{}; }

Millis scaled(Millis Time, double Factor) {
  return Millis{std::llround(static_cast<double>(Time.Value_) * Factor)};
}

std::string workerName(int Number) {
  return "w" + std::to_string(1000 + Number);
}

} // namespace

PlayedLoad::PlayedLoad(LoadSettings Settings)
    : Settings_(std::move(Settings)), Random_(Settings_.Seed_),
      Core_(makeLimits(), 1, Now_),
      AdviceFreeAt_(static_cast<std::size_t>(Settings_.AdviceNodes_), Now_) {
  std::map<std::string, QueuePolicy> Queues;
  for (const LoadClass &Each : Settings_.Classes_) {
    Queues[Each.Queue_] = Each.Policy_;
    Outcomes_[Each.Queue_];
  }
  Core_.setQueues(Queues);
  std::vector<WorkerInfo> Infos;
  for (int Number = 0; Number < Settings_.Workers_; ++Number) {
    WorkerInfo Info;
    Info.Id_ = workerName(Number);
    Info.Address_ = Info.Id_ + ":1";
    Info.Service_ = "desk";
    Info.Labels_ = {"a", "r" + std::to_string(Number / 8)};
    Info.Capacity_ = Settings_.Capacity_;
    Infos.push_back(Info);
  }
  Core_.setWorkers(Infos, Now_);
  for (const WorkerInfo &Each : Core_.takeUnrecordedWorkers())
    Core_.noteWorkerRecorded(Each.Id_);
  const auto Repeat = [this](Millis Period, std::function<void()> Task) {
    const auto Again = std::make_shared<std::function<void()>>();
    *Again = [this, Period, Task = std::move(Task), Again] {
      Task();
      at(Period, *Again);
    };
    at(Millis{}, *Again);
  };
  for (const WorkerInfo &Each : Infos)
    Repeat(LookPeriod, [this, Id = Each.Id_] { look(Id, {}); });
  Repeat(TickPeriod, [this] { wake(); });
  for (const LoadClass &Each : Settings_.Classes_)
    arrive(Each);
}

void PlayedLoad::at(Millis Delay, std::function<void()> Task) {
  Events_.emplace(std::make_pair(Now_ + Delay, ++Sequence_), std::move(Task));
}

void PlayedLoad::run(Millis Time) {
  const Millis End = Now_ + Time;
  while (!Events_.empty() && Events_.begin()->first.first <= End) {
    auto First = Events_.extract(Events_.begin());
    Now_ = First.key().first;
    First.mapped()();
  }
  Now_ = End;
}

void PlayedLoad::arrive(const LoadClass &Class) {
  if (Settings_.ArrivalsEnd_ > Millis{} &&
      Now_ > StartTime + Settings_.ArrivalsEnd_)
    return;
  std::exponential_distribution<> Gap(Class.JobsPerSecond_);
  constexpr double MillisPerSecond = 1000;
  at(Millis{std::llround(Gap(Random_) * MillisPerSecond)}, [this, &Class] {
    submit(Class);
    arrive(Class);
  });
}

void PlayedLoad::submit(const LoadClass &Class) {
  JobSpec Spec;
  char Id[17];
  std::snprintf(Id, sizeof Id, "%016x", ++Jobs_);
  Spec.Id_ = Id;
  Spec.Queue_ = Class.Queue_;
  Spec.Payload_ = "work";
  for (int Number = 0; Number < Class.Steps_; ++Number) {
    StepSpec Step;
    // Widths and lengths spread by half around their means.
    Step.Count_ =
        std::max(1, static_cast<int>(Class.Width_ * (0.5 + uniform())));
    Step.Size_ = Size{Class.MilliCpus_, Class.MemoryMib_, 0};
    Step.Estimate_ = scaled(Class.Length_, 0.5 + uniform());
    Step.Checkpointing_ = Class.Policy_.Priority_ > 1;
    Step.LongRunning_ = Class.Lasting_;
    if (Number > 0)
      Step.After_ = {Number - 1};
    Spec.Steps_.push_back(Step);
  }
  Core_.addJob(Spec, Now_);
  Core_.confirmJob(Spec.Id_);
  if (!Class.Lasting_)
    Open_[Spec.Id_] =
        OpenJob{Class.Queue_, Now_,
                scaled(chainEstimate(Spec), Class.Policy_.SlackFactor_) +
                    Class.Policy_.Target_};
  ++Outcomes_[Class.Queue_].Jobs_;
  wake();
}

void PlayedLoad::wake() {
  if (std::exchange(WakePending_, true))
    return;
  at(std::max(DecidedAt_ + DecisionGap - Now_, Millis{}), [this] {
    WakePending_ = false;
    decide();
  });
}

void PlayedLoad::decide() {
  ++Decisions_;
  DecidedAt_ = Now_;
  const Actions Todo = Core_.decide(Now_);
  (void)Core_.takeDecisions();
  (void)Core_.takeChangedJobs();
  for (const StartAction &Each : Todo.Starts_)
    at(OrderTime, [this, Each] { carryOut(Each); });
  for (const StopAction &Each : Todo.Stops_)
    at(OrderTime, [this, Each] {
      Core_.noteStop(Each, OrderReply{OrderOutcome::Done, Now_}, Now_);
      end(Each.Target_.Worker_, Each.Task_, Each.Attempt_, TaskEnd::Stopped);
    });
  for (const AdviceQuestion &Each : Todo.Questions_)
    ask(Each);
}

void PlayedLoad::carryOut(const StartAction &Action) {
  ++Starts_;
  const std::string &Worker = Action.Target_.Worker_;
  const std::string &Task = Action.Order_.Task_;
  const JobRun &Job = *Core_.findJob(Action.Task_.Job_);
  const StepSpec &Step =
      Job.Spec_.Steps_[static_cast<std::size_t>(Action.Task_.Step_)];
  Running New;
  New.Entry_ = RunningEntry{Task, Action.Order_.Attempt_, "", 0, 0};
  New.StartedAt_ = Now_;
  New.Length_ = scaled(Step.Estimate_, 0.7 + 0.6 * uniform());
  if (!Step.LongRunning_)
    at(New.Length_, [this, Worker, Task, Attempt = Action.Order_.Attempt_] {
      end(Worker, Task, Attempt, TaskEnd::Done);
    });
  Workers_[Worker][Task] = New;
  Core_.noteStart(Action, OrderReply{OrderOutcome::Done, Now_}, Now_);
}

void PlayedLoad::end(const std::string &Worker, const std::string &Task,
                     std::int64_t Attempt, TaskEnd How) {
  auto &Tasks = Workers_[Worker];
  const auto Found = Tasks.find(Task);
  if (Found == Tasks.end() || Found->second.Entry_.Attempt_ != Attempt)
    return;
  Tasks.erase(Found);
  look(Worker, {EndedTask{0, Task, Attempt, How, ""}});
  noteEnds();
}

void PlayedLoad::look(const std::string &Worker, std::vector<EndedTask> Ended) {
  LookReply Reply;
  Reply.Clock_ = Now_ + Millis{50000};
  Reply.Born_ = 1;
  for (auto &[Task, Each] : Workers_[Worker]) {
    const Millis Elapsed = Now_ - Each.StartedAt_;
    constexpr int Whole = 100;
    if (Each.Length_ > Millis{})
      Each.Entry_.Percent_ = static_cast<int>(std::min<std::int64_t>(
          Whole, Elapsed.Value_ * Whole /
                     std::max<std::int64_t>(1, Each.Length_.Value_)));
    Reply.Running_.push_back(Each.Entry_);
  }
  for (EndedTask &Each : Ended) {
    Each.Number_ = ++EndNumbers_[Worker];
    Reply.Ended_.push_back(Each);
  }
  Core_.noteLook(Worker, Reply, Now_ - Millis{1}, Now_);
  wake();
}

void PlayedLoad::ask(const AdviceQuestion &Question) {
  const auto Node =
      std::min_element(AdviceFreeAt_.begin(), AdviceFreeAt_.end());
  *Node = std::max(*Node, Now_) + Question.Expected_;
  at(*Node - Now_, [this, Question] {
    const JobRun *Job = Core_.findJob(Question.Job_);
    double Share = 1;
    for (const LoadClass &Each : Settings_.Classes_)
      if (Job && Each.Queue_ == Job->Spec_.Queue_)
        Share = Each.AllowedShare_;
    constexpr std::size_t Buckets = 1000;
    std::vector<AdvisedWorker> Allowed;
    for (const std::string &Each : Question.Workers_) {
      const std::size_t Draw =
          std::hash<std::string>()(Question.Job_ + Each) % Buckets;
      if (static_cast<double>(Draw) < Share * Buckets)
        Allowed.push_back(AdvisedWorker{Each, "ticket"});
    }
    Core_.noteAdvice(Question, Allowed, Now_);
    wake();
  });
}

void PlayedLoad::noteEnds() {
  constexpr int LateFactor = 3;
  for (auto At = Open_.begin(); At != Open_.end();) {
    const JobRun *Job = Core_.findJob(At->first);
    if (Job && !isTerminal(Job->State_)) {
      ++At;
      continue;
    }
    const OpenJob &Each = At->second;
    const Millis Age = Now_ - Each.ArrivedAt_;
    LoadOutcome &Outcome = Outcomes_[Each.Queue_];
    if (Age <= Each.Objective_)
      ++Outcome.OnTime_;
    else if (Age <= Each.Objective_ * LateFactor)
      ++Outcome.Late_;
    if (Job)
      Core_.noteRecorded(At->first, Job->State_);
    At = Open_.erase(At);
  }
}

LoadSettings depotLoad(int Workers, double Share) {
  LoadSettings Out;
  Out.Workers_ = Workers;
  Out.AdviceNodes_ = std::max(4, Workers / 8);
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
  const double Cpus = Workers * 16.0 * Share;
  const auto Rate = [&](const LoadClass &Class, double Part) {
    const double CpuSeconds = static_cast<double>(Class.Steps_ * Class.Width_) *
                              static_cast<double>(Class.MilliCpus_) / 1000 *
                              static_cast<double>(Class.Length_.Value_) / 1000;
    return Cpus * Part / CpuSeconds;
  };
  constexpr double LookupPart = 0.2;
  Lookup.JobsPerSecond_ = Rate(Lookup, LookupPart);
  Batch.JobsPerSecond_ = Rate(Batch, 1 - LookupPart);
  Out.Classes_ = {Lookup, Batch};
  return Out;
}

} // namespace damaskglade::dispatch::testing
