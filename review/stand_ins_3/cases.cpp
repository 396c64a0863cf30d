#include "review/stand_ins_3/cases.h"

#include "core/codec.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr int Gone = 410;
// Bounds of the small sites: `cancel_ms`, `ackMs` and `finish_s`.
constexpr Millis CancelBound{3000};
constexpr Millis AckBound{4000};
constexpr Millis FinishBound{14000};

/// A run of a task as its worker has recorded it.
struct TaskRun {
  std::string Worker_;
  std::string Task_;
  Millis StartedAt_{};
  Millis EndedAt_{}; ///< Zero while it runs.
  std::string End_;

  friend bool operator==(const TaskRun &, const TaskRun &) = default;
};

std::string jobId(int Number) {
  constexpr std::size_t NumberDigits = 4;
  std::string Digits = std::to_string(Number);
  Digits.insert(0, NumberDigits - Digits.size(), '0');
  return "5c0e7a21d94b" + Digits;
}

std::vector<TaskRun> runsOf(const Bed &Deployment, const std::string &Job) {
  std::vector<TaskRun> Runs;
  for (const WorkerLine &Line : Deployment.workerLines()) {
    if (Line.Task_.compare(0, Job.size(), Job) != 0)
      continue;
    if (Line.What_ == "start")
      Runs.push_back(TaskRun{Line.Worker_, Line.Task_, Line.At_, {}, ""});
    if (Line.What_ != "end")
      continue;
    for (TaskRun &Each : Runs)
      if (Each.Worker_ == Line.Worker_ && Each.Task_ == Line.Task_ &&
          Each.EndedAt_ == Millis{}) {
        Each.EndedAt_ = Line.At_;
        Each.End_ = Line.Rest_;
      }
  }
  return Runs;
}

/// A step as callers describe it.
Json::Value makeStep(int Count, int Length) {
  constexpr int MilliCpus = 2000;
  constexpr int MemoryMib = 256;
  Json::Value Step;
  Step["count"] = Count;
  Step["cpu"] = MilliCpus;
  Step["memMb"] = MemoryMib;
  Step["estimateMs"] = Length;
  return Step;
}

// The stand-in of the workers reads the length of a task from `spec`.
std::string makeJob(int Length, const std::vector<Json::Value> &Steps) {
  Json::Value Job;
  Job["spec"] = std::to_string(Length) + " ms of work";
  for (const Json::Value &Step : Steps)
    Job["phases"].append(Step);
  return writeJson(Job);
}

bool isAccepted(const Answer &Reply) { return Reply.Status_ == Ok; }

bool isAcknowledged(const Answer &Reply) {
  return Reply.Status_ == Ok || Reply.Status_ == Gone;
}

} // namespace

// LOST: jobs are asked for, and one gets no answer in time.
Verdict manySteps(Bed &Deployment, bool Trouble) {
  constexpr int Length = 500;
  constexpr int Steps = 60;
  constexpr int Jobs = 2;
  for (int Number = 0; Number < Jobs; ++Number)
    if (!isAccepted(Deployment.call(Number % Bed::NodeCount, "POST",
                                    jobId(10 + Number),
                                    makeJob(Length, {makeStep(2, Length)}))))
      return Verdict::CouldNotRun;
  std::vector<Json::Value> All;
  for (int Number = 0; Number < Steps; ++Number) {
    Json::Value Step = makeStep(1, Length);
    for (int Earlier = std::max(Number - 2, 0); Earlier < Number; ++Earlier)
      Step["after"].append(Earlier);
    All.push_back(Step);
  }
  // Without the trouble, the same steps, of which each waits for one.
  if (!Trouble)
    for (int Number = 1; Number < Steps; ++Number) {
      All[static_cast<std::size_t>(Number)]["after"] = Json::arrayValue;
      All[static_cast<std::size_t>(Number)]["after"].append(Number - 1);
    }
  const bool Accepted =
      isAccepted(Deployment.call(0, "POST", jobId(7), makeJob(Length, All)));
  Bed::sleep(FinishBound);
  int Unanswered = 0;
  for (int Number = 0; Number < Jobs; ++Number)
    Unanswered += Deployment.stateOf(jobId(10 + Number)).empty() ? 1 : 0;
  Deployment.log().write("the job of many steps was " +
                         std::string(Accepted ? "accepted" : "not accepted") +
                         "; accepted jobs that no node tells the state of: " +
                         std::to_string(Unanswered) + " of " +
                         std::to_string(Jobs));
  return Unanswered > 0 ? Verdict::Broken : Verdict::Held;
}

namespace {

// About a fifth of `maxBodyBytes`: a `spec` of 4,000 bytes, and 100 steps with
// an image name of 360 bytes, each of which waits for all before.
std::string makeLargeJob() {
  constexpr std::size_t SpecBytes = 4000;
  constexpr std::size_t ImageBytes = 360;
  constexpr int Steps = 100;
  constexpr int Length = 300;
  const std::string Letter = "\xc3\xa9"; // é
  Json::Value Job;
  std::string Spec = std::to_string(Length) + " ms of ";
  while (Spec.size() + Letter.size() <= SpecBytes)
    Spec += Letter;
  Job["spec"] = Spec;
  for (int Number = 0; Number < Steps; ++Number) {
    Json::Value Step = makeStep(1, Length);
    Step["image"] = "registry.example/desk/step-" + std::to_string(Number) +
                    std::string(ImageBytes, 'a');
    for (int Earlier = 0; Earlier < Number; ++Earlier)
      Step["after"].append(Earlier);
    Job["phases"].append(Step);
  }
  return writeJson(Job);
}

// Cancels a job as callers do: again until it is acknowledged.
bool cancelInTime(Bed &Deployment, const std::string &Job, int Node) {
  constexpr Millis RetryDelay{300};
  const Millis Deadline = Bed::now() + AckBound;
  while (Bed::now() < Deadline) {
    const Answer Reply = Deployment.call(Node, "DELETE", Job);
    if (isAcknowledged(Reply))
      return Bed::now() < Deadline;
    Node = (Node + 1) % Bed::NodeCount;
    Bed::sleep(RetryDelay);
  }
  return false;
}

/// How many ends the workers have listed, and how many were taken note of.
struct EndCount {
  int Listed_ = 0;
  int Noted_ = 0;

  friend bool operator==(const EndCount &, const EndCount &) = default;
};

EndCount countEnds(const Bed &Deployment, Millis Since, Millis Until) {
  EndCount Count;
  const auto Lines = Deployment.workerLines();
  for (const WorkerLine &Line : Lines) {
    if (Line.What_ != "end" || Line.At_ < Since || Line.At_ > Until)
      continue;
    ++Count.Listed_;
    const std::string Number = Line.Rest_.substr(Line.Rest_.rfind(' ') + 1);
    Count.Noted_ += static_cast<int>(
        std::any_of(Lines.begin(), Lines.end(), [&](const WorkerLine &Other) {
          return Other.Worker_ == Line.Worker_ && Other.What_ == "noted" &&
                 Other.Rest_ == " " + Number;
        }));
  }
  return Count;
}

} // namespace

// Acks: a tenth of the cancels, or a fifth of the ends, in a time without any
// impairment.
Verdict largeJob(Bed &Deployment, bool Trouble) {
  constexpr int LongJobs = 10;
  constexpr int LongLength = 60000;
  constexpr int ShortLength = 500;
  constexpr int Retries = 4;
  constexpr Millis TrafficTime{16000};
  constexpr Millis TrafficPeriod{300};
  constexpr Millis BeforeCancels{2000};
  for (int Number = 0; Number < LongJobs; ++Number)
    if (!isAccepted(
            Deployment.call(Number % Bed::NodeCount, "POST", jobId(Number),
                            makeJob(LongLength, {makeStep(1, LongLength)}))))
      return Verdict::CouldNotRun;
  const Millis Start = Bed::now();
  std::thread Traffic([&] {
    for (int Number = 100; Bed::now() < Start + TrafficTime; ++Number) {
      (void)Deployment.call(Number % Bed::NodeCount, "POST", jobId(Number),
                            makeJob(ShortLength, {makeStep(2, ShortLength)}));
      Bed::sleep(TrafficPeriod);
    }
  });
  std::thread LargeCaller([&] {
    const std::string Body = makeLargeJob();
    int Status = 0;
    for (int Try = 0; Trouble && Try <= Retries && Status != Ok; ++Try) {
      Status = Deployment
                   .call((Deployment.leader() + 1) % Bed::NodeCount, "POST",
                         jobId(99), Body)
                   .Status_;
      Bed::sleep(Millis{1000});
    }
  });
  Bed::sleep(BeforeCancels);
  std::vector<std::thread> Callers;
  Callers.reserve(LongJobs);
  std::vector<char> InTime(LongJobs, 0);
  for (int Number = 0; Number < LongJobs; ++Number)
    Callers.emplace_back([&, Number] {
      const bool Acknowledged =
          cancelInTime(Deployment, jobId(Number), Number % Bed::NodeCount);
      InTime[static_cast<std::size_t>(Number)] = Acknowledged ? 1 : 0;
    });
  for (std::thread &Each : Callers)
    Each.join();
  Traffic.join();
  LargeCaller.join();
  const auto Acknowledged =
      std::count(InTime.begin(), InTime.end(), static_cast<char>(1));
  const EndCount Ends = countEnds(Deployment, Start, Start + TrafficTime / 2);
  Deployment.log().write(
      "cancels acknowledged in time: " + std::to_string(Acknowledged) + " of " +
      std::to_string(LongJobs) + ", ends noted: " +
      std::to_string(Ends.Noted_) + " of " + std::to_string(Ends.Listed_));
  constexpr int Tenth = 10;
  constexpr int Fifth = 5;
  const bool CancelsMissed = (LongJobs - Acknowledged) * Tenth > LongJobs;
  const bool EndsMissed = (Ends.Listed_ - Ends.Noted_) * Fifth > Ends.Listed_;
  return CancelsMissed || EndsMissed ? Verdict::Broken : Verdict::Held;
}

namespace {

// Hands in jobs, and asks for them once `finish_s` has passed.
Verdict askBatchJobs(Bed &Deployment, int Length) {
  constexpr int Jobs = 5;
  for (int Number = 0; Number < Jobs; ++Number)
    if (!isAccepted(Deployment.call(Number % Bed::NodeCount, "POST",
                                    jobId(10 + Number),
                                    makeJob(Length, {makeStep(2, Length)}))))
      return Verdict::CouldNotRun;
  Bed::sleep(FinishBound);
  int Stuck = 0;
  for (int Number = 0; Number < Jobs; ++Number) {
    const std::string Job = jobId(10 + Number);
    const std::string State = Deployment.stateOf(Job);
    const std::size_t Runs = runsOf(Deployment, Job).size();
    Stuck += State != "complete" && Runs == 0 ? 1 : 0;
  }
  Deployment.log().write("jobs without any start: " + std::to_string(Stuck) +
                         " of " + std::to_string(Jobs));
  return Stuck > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

// LOST: for 3 s, a job has nothing running while a task's turn has come and
// there is capacity. Asked `finish_s` after the end of the traffic.
Verdict hopelessGang(Bed &Deployment, bool Trouble) {
  constexpr int Length = 1000;
  constexpr int BatchVersion = 9;
  constexpr int BatchPriority = 2;
  constexpr int GangMembers = 100;
  constexpr int OtherJobs = 20;
  constexpr Millis ConfigTime{1000};
  constexpr Millis GangTime{3000};
  Deployment.writeConfig(BatchVersion, "r-desk", BatchPriority);
  Bed::sleep(ConfigTime);
  // The gang is one of 21 jobs of its queue, a share below 0.05.
  for (int Number = 0; Number < OtherJobs; ++Number)
    if (!isAccepted(Deployment.call(
            Number % Bed::NodeCount, "POST", jobId(100 + Number),
            makeJob(Length, {makeStep(1, Length)}), Bed::Middle)))
      return Verdict::CouldNotRun;
  Json::Value Gang = makeStep(GangMembers, Length);
  Gang["gang"] = true;
  if (Trouble &&
      !isAccepted(Deployment.call(0, "POST", jobId(6), makeJob(Length, {Gang}),
                                  Bed::Middle)))
    return Verdict::Held;
  Bed::sleep(GangTime);
  return askBatchJobs(Deployment, Length);
}

// LOST: for 3 s, a job has nothing running while a task's turn has come and
// there is capacity. Asked `finish_s` after the end of the traffic.
Verdict spreadJob(Bed &Deployment, bool Trouble) {
  constexpr int Length = 1000;
  constexpr int SpreadLength = 6000;
  constexpr int BatchVersion = 9;
  constexpr int BatchPriority = 2;
  constexpr int SpreadTasks = 100;
  constexpr Millis ConfigTime{1000};
  constexpr Millis SpreadTime{3000};
  Deployment.writeConfig(BatchVersion, "r-desk", BatchPriority);
  Bed::sleep(ConfigTime);
  Json::Value Spread = makeStep(SpreadTasks, SpreadLength);
  if (Trouble)
    Spread["antiAffinity"] = 1;
  if (!isAccepted(Deployment.call(
          0, "POST", jobId(6), makeJob(SpreadLength, {Spread}), Bed::Middle)))
    return Verdict::CouldNotRun;
  Bed::sleep(SpreadTime);
  return askBatchJobs(Deployment, Length);
}

// LOST: a job is shown as failed without cause; only ends `failed` count as
// attempts.
Verdict threeCrashes(Bed &Deployment, bool Trouble) {
  constexpr int Length = 4000;
  constexpr int Crashes = 3;
  constexpr Millis AfterStart{250};
  constexpr Millis DownTime{1500};
  constexpr Millis Limit{30000};
  constexpr Millis Poll{50};
  const std::string Job = jobId(4);
  if (!isAccepted(Deployment.call(0, "POST", Job,
                                  makeJob(Length, {makeStep(1, Length)}))))
    return Verdict::CouldNotRun;
  const Millis Deadline = Bed::now() + Limit;
  std::size_t Handled = 0;
  std::string State;
  while (Bed::now() < Deadline && State != "complete" && State != "failed") {
    const auto Runs = runsOf(Deployment, Job);
    if (Trouble && Handled < Crashes && Runs.size() > Handled) {
      Bed::sleep(AfterStart);
      Deployment.crashWorker(Runs.back().Worker_, DownTime);
      Handled = Runs.size();
    }
    Bed::sleep(Poll);
    State = Deployment.stateOf(Job);
  }
  const auto Runs = runsOf(Deployment, Job);
  const auto Failures =
      std::count_if(Runs.begin(), Runs.end(), [](const TaskRun &Each) {
        return Each.End_.find(" failed") != std::string::npos;
      });
  Deployment.log().write("state=" + State +
                         " runs=" + std::to_string(Runs.size()) +
                         " ends failed=" + std::to_string(Failures));
  if (State == "failed" && Failures == 0)
    return Verdict::Broken;
  return State == "complete" ? Verdict::Held : Verdict::CouldNotRun;
}

// UNASKED: a machine in touch starts a task later than `cancel_ms` after the
// job's cancelling was acknowledged.
Verdict lateRequest(Bed &Deployment, bool Trouble) {
  constexpr int Length = 20000;
  constexpr Millis FreezeTime{4000};
  constexpr Millis BeforeCancel{300};
  constexpr Millis AfterFreeze{3000};
  const std::string Job = jobId(5);
  const int Leader = Deployment.leader();
  const int Frozen = (Leader + 1) % Bed::NodeCount;
  const Millis FreezeEnd = Bed::now() + FreezeTime;
  if (Trouble)
    Deployment.signalNode(Frozen, SIGSTOP);
  std::thread Sender([&] {
    (void)Deployment.call(Frozen, "POST", Job,
                          makeJob(Length, {makeStep(2, Length)}));
  });
  Bed::sleep(BeforeCancel);
  const Answer Cancelled =
      Deployment.call((Leader + 2) % Bed::NodeCount, "DELETE", Job);
  const Millis CancelledAt = Bed::now();
  Bed::sleep(FreezeEnd - Bed::now());
  if (Trouble)
    Deployment.signalNode(Frozen, SIGCONT);
  Sender.join();
  Bed::sleep(AfterFreeze);
  if (!isAcknowledged(Cancelled))
    return Verdict::CouldNotRun;
  bool StartedLate = false;
  for (const TaskRun &Each : runsOf(Deployment, Job)) {
    StartedLate = StartedLate || Each.StartedAt_ > CancelledAt + CancelBound;
    Deployment.log().write(
        Each.Task_ + " was started ms=" +
        std::to_string((Each.StartedAt_ - CancelledAt).Value_) +
        " after the answer to the cancel");
  }
  return StartedLate ? Verdict::Broken : Verdict::Held;
}

} // namespace damaskglade::review
