#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr int ServingPercent = 100;

/// Workers that crash when they start a task of a deadly job. A crashed worker
/// joins again at once, with a new id.
struct CrashFixture : DispatcherFixture {
  explicit CrashFixture(int Workers, std::int64_t Epoch = 1)
      : DispatcherFixture(Epoch) {
    for (int Count = 0; Count < Workers; ++Count)
      Infos_.push_back(makeWorker("w" + std::to_string(++LastNumber_)));
    addWorkers(Infos_);
  }

  void crash(std::string_view Crashed) {
    const std::string Id(Crashed); // May name an entry of Infos_.
    RunningTasks_[Id].clear();
    for (WorkerInfo &Info : Infos_)
      if (Info.Id_ == Id)
        Info = makeWorker("w" + std::to_string(++LastNumber_));
    rejectPoll(Id);
    addWorkers(Infos_);
  }

  /// Runs planning passes every 100 ms. Returns how often tasks of the deadly
  /// job were started.
  int playDeadlyJob(const JobSpec &DeadlyJob, Millis Duration) {
    int Starts = 0;
    const Millis End = Now_ + Duration;
    while (Now_ < End) {
      const Actions NewActions = decideAndExecute();
      for (const StartAction &Start : NewActions.Starts_)
        if (Start.Task_.Job_ == DeadlyJob.Id_) {
          ++Starts;
          crash(Start.Target_.Worker_);
        }
      storeProgress();
      advance(Millis{100});
      for (const WorkerInfo &Info : Infos_) {
        for (auto &[Task, Entry] : RunningTasks_[Info.Id_])
          Entry.Percent_ = ServingPercent;
        pollWorker(Info.Id_);
      }
    }
    return Starts;
  }

  JobState stateOf(const JobSpec &Job) const {
    return Dispatcher_.findJob(Job.Id_)->State_;
  }

  std::vector<WorkerInfo> Infos_;
  int LastNumber_ = 0;
};

constexpr Millis PlayTime{20000};

} // namespace

BOOST_AUTO_TEST_SUITE(Crashes)

BOOST_AUTO_TEST_CASE(TaskThatCrashesItsWorkersIsGivenUp) {
  CrashFixture Fixture(4);
  const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Deadly);
  BOOST_TEST(Fixture.playDeadlyJob(Deadly, PlayTime) == 3);
  BOOST_TEST((Fixture.stateOf(Deadly) == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(LongRunningTaskThatCrashesItsWorkersIsGivenUp) {
  CrashFixture Fixture(4);
  StepSpec Step = makeStep(1, 1000);
  Step.LongRunning_ = true;
  const JobSpec Deadly = makeJob("d", "lasting", {Step});
  Fixture.submit(Deadly);
  BOOST_TEST(Fixture.playDeadlyJob(Deadly, PlayTime) == 3);
  BOOST_TEST((Fixture.stateOf(Deadly) == JobState::Failed));
}

// All members that start with the deadly one belong to its job.
BOOST_AUTO_TEST_CASE(GangThatCrashesItsWorkersIsGivenUp) {
  CrashFixture Fixture(4);
  StepSpec Step = makeStep(1, 1000);
  Step.Gang_ = true;
  const JobSpec Deadly = makeJob("d", "urgent", {Step});
  Fixture.submit(Deadly);
  BOOST_TEST(Fixture.playDeadlyJob(Deadly, PlayTime) == 3);
  BOOST_TEST((Fixture.stateOf(Deadly) == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(JobsBesideATaskThatCrashesWorkersAreNotGivenUp) {
  CrashFixture Fixture(1);
  const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 1000)});
  const JobSpec Innocent = makeJob("a", "urgent", {makeStep(2, 1000)});
  Fixture.submit(Innocent);
  Fixture.submit(Deadly);
  BOOST_TEST(Fixture.playDeadlyJob(Deadly, PlayTime) <= 5);
  BOOST_TEST((Fixture.stateOf(Deadly) == JobState::Failed));
  BOOST_TEST((Fixture.stateOf(Innocent) == JobState::Active));
  BOOST_TEST(!Fixture.workerOf(taskNameOf(Innocent, 0, 0)).empty());
  BOOST_TEST(!Fixture.workerOf(taskNameOf(Innocent, 0, 1)).empty());
}

// Guards against blaming tasks for crashes of the whole fleet.
BOOST_AUTO_TEST_CASE(CrashesOfLongRunningWorkersDoNotFailTheirJobs) {
  CrashFixture Fixture(2);
  StepSpec Step = makeStep(2, 1000);
  Step.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Step});
  Fixture.submit(Job);
  for (int Crash = 0; Crash < 6; ++Crash) {
    Fixture.playDeadlyJob(makeJob("none", "urgent", {}), Millis{3000});
    for (const WorkerInfo &Info : std::vector<WorkerInfo>(Fixture.Infos_))
      Fixture.crash(Info.Id_);
  }
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 2U);
  BOOST_TEST((Fixture.stateOf(Job) == JobState::Active));
}

BOOST_AUTO_TEST_CASE(CrashesAreKnownToTheNextLeader) {
  CrashFixture Fixture(2);
  const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Deadly);
  for (int Crash = 0; Crash < 2; ++Crash) {
    const Actions NewActions = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
    Fixture.crash(NewActions.Starts_.front().Target_.Worker_);
  }
  const auto Stored = decodeProgress(
      encodeProgress(Fixture.Dispatcher_.progressOf(Deadly.Id_)));
  BOOST_TEST_REQUIRE(Stored.has_value());
  CrashFixture NextLeader(2, 2);
  NextLeader.Dispatcher_.restoreJob(Deadly, Stored.value(), NextLeader.Now_);
  BOOST_TEST(NextLeader.playDeadlyJob(Deadly, PlayTime) == 1);
  BOOST_TEST((NextLeader.stateOf(Deadly) == JobState::Failed));
}

// Guards against adding up crashes of other causes over the life of a task.
BOOST_AUTO_TEST_CASE(CrashesBeforeAHealthyRunAreForgotten) {
  CrashFixture Fixture(1);
  StepSpec Step = makeStep(1, 1000);
  Step.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Step});
  const JobSpec None = makeJob("2", "urgent", {});
  Fixture.submit(Job);
  for (int Round = 0; Round < 5; ++Round) {
    Fixture.playDeadlyJob(Job, Millis{1});
    BOOST_TEST_REQUIRE((Fixture.stateOf(Job) == JobState::Active));
    Fixture.playDeadlyJob(None, Millis{3000});
    Fixture.crash(Fixture.Infos_.front().Id_);
  }
}

// Guards against a job that fails for the crash of a worker on which another
// start may still have been carried out.
BOOST_AUTO_TEST_CASE(CrashSuspectWaitsForUnansweredStarts) {
  CrashFixture Fixture(1, 2);
  Fixture.submit(makeJob("6", "urgent", {makeStep(1, 100)}));
  BOOST_TEST_REQUIRE(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.size() ==
                     1U);
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  Fixture.advance(Millis{600});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against a suspect that is blamed for what was started before it: the
// reply to its own start is lost with the worker.
BOOST_AUTO_TEST_CASE(OnlyTheSuspectIsBlamedForACrashAtItsStart) {
  CrashFixture Fixture(1, 2);
  const JobSpec Other = makeJob("6", "urgent", {makeStep(1, 100)});
  Fixture.submit(Other);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  Fixture.advance(Millis{400});
  Fixture.pollWorker("w1");
  Fixture.advance(Millis{200});
  BOOST_TEST_REQUIRE(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.size() ==
                     1U);
  Fixture.crash("w1");
  BOOST_TEST((Fixture.stateOf(Suspect) == JobState::Failed));
  BOOST_TEST(Fixture.Dispatcher_.countCrashes(Other.Id_) == 0);
}

// Guards against a new leader that blames one of the runs that it found on a
// worker.
BOOST_AUTO_TEST_CASE(CrashUnderAdoptedRunsDoesNotFailTheirJobs) {
  DispatcherFixture Fixture(2);
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  const std::string Task = taskNameOf(Suspect, 0, 0);
  Fixture.RunningTasks_["w1"][Task] = RunningEntry{Task, 3, "", 0, 0};
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.rejectPoll("w1");
  BOOST_TEST(Fixture.Dispatcher_.countCrashes(Suspect.Id_) == 1);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Suspect.Id_)->State_ == JobState::Active));
}

// Guards against blaming a suspect for a task that starts once its own start is
// over, while the worker has not been heard since.
BOOST_AUTO_TEST_CASE(SuspectIsNotBlamedForATaskThatStartsAfterIt) {
  CrashFixture Fixture(1, 2);
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.advance(Millis{600});
  const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 100)});
  Fixture.submit(Deadly);
  BOOST_TEST_REQUIRE(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.size() ==
                     1U);
  Fixture.crash("w1");
  BOOST_TEST((Fixture.stateOf(Suspect) == JobState::Active));
  BOOST_TEST(Fixture.Dispatcher_.countCrashes(Deadly.Id_) == 1);
}

// Guards against counting crashes of runs that have outlived their starts: a
// long poll may tell so only 2 s later.
BOOST_AUTO_TEST_CASE(CrashesLongAfterAStartDoNotFailTheJob) {
  CrashFixture Fixture(1);
  StepSpec Step = makeStep(1, 1000);
  Step.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Step});
  Fixture.submit(Job);
  for (int Crash = 0; Crash < 5; ++Crash) {
    const Actions NewActions = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
    Fixture.advance(Dispatcher::StartingTime);
    if (NewActions.Starts_.front().NeedsProbe_)
      Fixture.pollWorker(Fixture.Infos_.front().Id_);
    Fixture.advance(Millis{1400});
    Fixture.crash(Fixture.Infos_.front().Id_);
    Fixture.storeProgress();
  }
  BOOST_TEST((Fixture.stateOf(Job) == JobState::Active));
}

BOOST_AUTO_TEST_CASE(CrashesAreForgottenWhenALongRunEnds) {
  CrashFixture Fixture(1, 2);
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.advance(Millis{1900});
  Fixture.endTask(taskNameOf(Suspect, 0, 0), TaskEnd::Failed);
  BOOST_TEST(
      Fixture.Dispatcher_.progressOf(Suspect.Id_).CrashedAttempts_.empty());
}

// The worker crashes before it answers the start, and is back under its id.
BOOST_AUTO_TEST_CASE(TaskWhoseStartIsNeverAnsweredIsGivenUp) {
  CrashFixture Fixture(3);
  const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Deadly);
  constexpr Millis DownTime{3400};
  std::map<std::string, std::int64_t> ProcessStarts;
  std::map<std::string, Millis> DownUntil;
  int Starts = 0;
  for (int Pass = 0; Pass < 600; ++Pass) {
    Fixture.advance(Millis{1});
    const Actions NewActions = Fixture.Dispatcher_.decide(Fixture.Now_);
    for (const StartAction &Start : NewActions.Starts_) {
      ++Starts;
      const std::string &Id = Start.Target_.Worker_;
      Fixture.Dispatcher_.handleStartReply(Start, startError(Effect::Unknown),
                                           Fixture.Now_);
      Fixture.Dispatcher_.handlePollFailure(Id, startError(Effect::Unknown),
                                            Fixture.Now_);
      ++ProcessStarts[Id];
      DownUntil[Id] = Fixture.Now_ + DownTime;
    }
    for (const StopAction &Stop : NewActions.Stops_)
      if (DownUntil[Stop.Target_.Worker_] <= Fixture.Now_)
        Fixture.Dispatcher_.handleStopReply(
            Stop, OrderReply{OrderOutcome::Done, Fixture.Now_}, Fixture.Now_);
    Fixture.storeProgress();
    Fixture.advance(Millis{100});
    for (const WorkerInfo &Info : Fixture.Infos_)
      if (DownUntil[Info.Id_] <= Fixture.Now_)
        Fixture.pollWorker(Info.Id_, {}, 1 + ProcessStarts[Info.Id_]);
  }
  BOOST_TEST(Starts == 3);
  BOOST_TEST((Fixture.stateOf(Deadly) == JobState::Failed));
}

// Guards against a job that fails for starts that were sent to processes which
// had ended before: the whole fleet loses power once, and nobody sees it yet.
BOOST_AUTO_TEST_CASE(StartsToProcessesThatHadEndedAreNoCrashes) {
  CrashFixture Fixture(3);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  constexpr std::int64_t NextProcess = 2;
  std::vector<StartAction> Starts = Fixture.decideAndExecute().Starts_;
  Fixture.RunningTasks_.clear();
  // The long polls are still open when the workers are back.
  Fixture.advance(Millis{1000});
  std::set<std::string> Seen;
  while (Seen.size() < 2) {
    BOOST_TEST_REQUIRE(Starts.size() == 1U, Seen.size());
    const std::string Id = Starts.front().Target_.Worker_;
    if (!Seen.empty())
      Fixture.Dispatcher_.handleStartReply(
          Starts.front(), startError(Effect::Unknown), Fixture.Now_);
    Starts.clear();
    // The next start goes to a worker that has not been heard since.
    Seen.insert(Id);
    for (WorkerInfo &Info : Fixture.Infos_)
      Info.Draining_ = Seen.count(Info.Id_) > 0;
    Fixture.Dispatcher_.setWorkers(Fixture.Infos_, Fixture.Now_);
    constexpr int Polls = 6;
    for (int Poll = 0; Poll < Polls; ++Poll) {
      Fixture.advance(Millis{100});
      Fixture.pollWorker(Id, {}, NextProcess);
      Fixture.storeProgress();
      const Actions Next = Fixture.Dispatcher_.decide(Fixture.Now_);
      for (const StopAction &Stop : Next.Stops_)
        Fixture.Dispatcher_.handleStopReply(
            Stop, OrderReply{OrderOutcome::Done, Fixture.Now_}, Fixture.Now_);
      for (const std::string &Probed : Next.Probes_)
        Fixture.pollWorker(Probed, {}, NextProcess);
      Starts.insert(Starts.end(), Next.Starts_.begin(), Next.Starts_.end());
    }
  }
  BOOST_TEST((Fixture.stateOf(Job) == JobState::Active));
  // The third worker has told that it lives before it gets the task.
  BOOST_TEST_REQUIRE(Starts.size() == 1U);
  BOOST_TEST(Starts.front().Target_.ProcessStart_ == NextProcess);
}

// Guards against a job that fails because the whole fleet has lost power while
// one of its tasks was started apart.
BOOST_AUTO_TEST_CASE(SuspectIsNotBlamedForACrashOfTheWholeFleet) {
  for (const bool SuspectIsSeenFirst : {true, false}) {
    CrashFixture Fixture(4, 2);
    const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
    JobProgress Progress;
    Progress.CrashedAttempts_[{0, 0}] = {1, 2};
    Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
    const Actions First = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
    const std::string Apart = First.Starts_.front().Target_.Worker_;
    Fixture.RunningTasks_.clear();
    Fixture.advance(Millis{300});
    const std::vector<WorkerInfo> Infos = Fixture.Infos_;
    constexpr std::int64_t NextProcess = 2;
    if (SuspectIsSeenFirst)
      Fixture.pollWorker(Apart, {}, NextProcess);
    for (const WorkerInfo &Info : Infos) {
      BOOST_TEST((Fixture.stateOf(Suspect) == JobState::Active));
      BOOST_TEST(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.empty());
      if (Info.Id_ != Apart)
        Fixture.pollWorker(Info.Id_, {}, NextProcess);
    }
    if (!SuspectIsSeenFirst)
      Fixture.pollWorker(Apart, {}, NextProcess);
    Fixture.storeProgress();
    Fixture.decideAndExecute();
    Fixture.storeProgress();
    BOOST_TEST((Fixture.stateOf(Suspect) == JobState::Active));
    Fixture.advance(Millis{100});
    Fixture.decideAndExecute();
    BOOST_TEST(!Fixture.workerOf(taskNameOf(Suspect, 0, 0)).empty());
  }
}

// Guards against a job that fails because its zone has lost power while all of
// the workers there were starting tasks.
BOOST_AUTO_TEST_CASE(SuspectIsNotBlamedForACrashOfItsBusyZone) {
  constexpr std::size_t ZoneWorkers = 5;
  constexpr std::int64_t NextProcess = 2;
  for (const std::size_t Crashed :
       {ZoneWorkers, ZoneWorkers - 1, std::size_t{2}}) {
    CrashFixture Fixture(0, 2);
    for (std::size_t Index = 0; Index < 2 * ZoneWorkers; ++Index) {
      Fixture.Infos_.push_back(makeWorker("w" + std::to_string(Index)));
      Fixture.Infos_.back().Zone_ = Index < ZoneWorkers ? "z1" : "z2";
    }
    Fixture.addWorkers(Fixture.Infos_);
    const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 4000)});
    JobProgress Progress;
    Progress.CrashedAttempts_[{0, 0}] = {1, 2};
    Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
    const Actions First = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
    const std::string Apart = First.Starts_.front().Target_.Worker_;
    const std::string Zone = Fixture.Dispatcher_.findWorker(Apart)->Info_.Zone_;
    Fixture.submit(makeJob("6", "urgent", {makeStep(9, 4000)}));
    BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 9U);
    Fixture.advance(Millis{300});
    const auto Restart = [&](const std::string &Id) {
      Fixture.RunningTasks_[Id].clear();
      Fixture.pollWorker(Id, {}, NextProcess);
    };
    Restart(Apart);
    std::size_t Restarted = 1;
    for (const WorkerInfo &Info : std::vector<WorkerInfo>(Fixture.Infos_)) {
      const bool Crashes =
          Info.Zone_ == Zone && Info.Id_ != Apart && Restarted < Crashed;
      Restarted += Crashes ? 1 : 0;
      if (Crashes)
        Restart(Info.Id_);
      else if (Info.Id_ != Apart)
        Fixture.pollWorker(Info.Id_);
    }
    Fixture.storeProgress();
    Fixture.decideAndExecute();
    BOOST_TEST((Fixture.stateOf(Suspect) ==
                (Crashed == ZoneWorkers ? JobState::Active : JobState::Failed)),
               Crashed);
  }
}

// Guards against a task that goes on crashing workers because others crash, or
// because nobody tells that the rest of the fleet lives.
BOOST_AUTO_TEST_CASE(SuspectIsBlamedIfOtherWorkersLiveOrStayUnheard) {
  for (const bool OthersAreHeard : {true, false}) {
    CrashFixture Fixture(6, 2);
    const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
    JobProgress Progress;
    Progress.CrashedAttempts_[{0, 0}] = {1, 2};
    Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
    const Actions First = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
    const std::string Apart = First.Starts_.front().Target_.Worker_;
    Fixture.RunningTasks_.clear();
    constexpr std::int64_t NextProcess = 2;
    Fixture.advance(Millis{10});
    Fixture.pollWorker(Apart, {}, NextProcess);
    Fixture.storeProgress();
    const Actions Waiting = Fixture.Dispatcher_.decide(Fixture.Now_);
    BOOST_TEST(Waiting.Starts_.empty());
    BOOST_TEST(Waiting.Probes_.size() == 5U);
    // Two more lose their processes, three live.
    int Heard = 0;
    for (const WorkerInfo &Info : std::vector<WorkerInfo>(Fixture.Infos_))
      if (Info.Id_ != Apart && OthersAreHeard)
        Fixture.pollWorker(Info.Id_, {}, ++Heard <= 2 ? NextProcess : 1);
    if (!OthersAreHeard)
      Fixture.advance(Millis{1000});
    BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
    BOOST_TEST((Fixture.stateOf(Suspect) == JobState::Failed));
  }
}

// Guards against a new leader that counts from zero again.
BOOST_AUTO_TEST_CASE(CrashSuspectWaitsUntilItsCrashesAreStored) {
  CrashFixture Fixture(2);
  const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Deadly);
  for (int Crash = 0; Crash < 2; ++Crash) {
    const Actions NewActions = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
    Fixture.crash(NewActions.Starts_.front().Target_.Worker_);
  }
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.storeProgress();
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(NothingStartsBesideACrashSuspect) {
  CrashFixture Fixture(1, 2);
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  Fixture.submit(makeJob("6", "urgent", {makeStep(1, 100)}));
  const Actions First = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  BOOST_TEST(First.Starts_.front().Task_.Job_ == Suspect.Id_);
  Fixture.advance(Millis{300});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{300});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a suspect that waits forever for a worker that starts nothing
// else.
BOOST_AUTO_TEST_CASE(CrashSuspectStartsOnABusyFleet) {
  CrashFixture Fixture(1, 2);
  const JobSpec Suspect = makeJob("5", "batch", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  Millis SuspectStartedAt{};
  Millis LastOtherStart{};
  for (int Job = 10; Job < 40 && SuspectStartedAt == Millis{}; ++Job) {
    Fixture.submit(makeJob(std::to_string(Job), "urgent", {makeStep(1, 100)}));
    for (const StartAction &Start : Fixture.decideAndExecute().Starts_)
      (Start.Task_.Job_ == Suspect.Id_ ? SuspectStartedAt : LastOtherStart) =
          Fixture.Now_;
    Fixture.advance(Millis{100});
    Fixture.pollWorker("w1");
  }
  BOOST_TEST((SuspectStartedAt >= LastOtherStart + Millis{500}));
}

// Guards against starting a suspect gang beside other tasks, so that nobody can
// tell which of them crashed the worker.
BOOST_AUTO_TEST_CASE(SuspectGangStartsApart) {
  CrashFixture Fixture(2, 2);
  StepSpec Step = makeStep(4, 1500);
  Step.Gang_ = true;
  const JobSpec Gang = makeJob("9", "urgent", {Step});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 100)}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.Dispatcher_.restoreJob(Gang, Progress, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{550});
  for (const WorkerInfo &Info : Fixture.Infos_)
    Fixture.pollWorker(Info.Id_);
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 100)}));
  const Actions NewActions = Fixture.decideAndExecute();
  std::size_t Members = 0;
  for (const StartAction &Start : NewActions.Starts_)
    Members += Start.Task_.Job_ == Gang.Id_ ? 1 : 0;
  BOOST_TEST(Members == 4U);
  BOOST_TEST(NewActions.Starts_.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
