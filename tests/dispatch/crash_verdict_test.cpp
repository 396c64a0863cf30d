// Tasks that may crash their workers, and crashes of other causes beside them.

#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(CrashVerdicts)

// Guards against a start more than allowed while other workers are asked.
BOOST_AUTO_TEST_CASE(SuspectGangDoesNotStartWhileItsVerdictIsOpen) {
  DispatcherFixture Fixture(2);
  std::vector<WorkerInfo> Infos;
  for (int Index = 1; Index <= 6; ++Index)
    Infos.push_back(makeWorker("w" + std::to_string(Index)));
  Fixture.addWorkers(Infos);
  StepSpec Step = makeStep(1, 1000);
  Step.Gang_ = true;
  const JobSpec Gang = makeJob("9", "urgent", {Step});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  Fixture.Dispatcher_.restoreJob(Gang, Progress, Fixture.Now_);
  const Actions First = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fixture.RunningTasks_.clear();
  Fixture.advance(Millis{10});
  Fixture.pollWorker(First.Starts_.front().Target_.Worker_, {}, 2);
  Fixture.storeProgress();
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Gang.Id_)->State_ != JobState::Failed));
  Fixture.advance(Millis{100});
  const Actions Next = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST(Next.Starts_.empty());
}

// Guards against tasks that excuse each other, since they crash all workers of
// their zone.
BOOST_AUTO_TEST_CASE(JobThatCrashesAllWorkersOfItsZoneIsGivenUp) {
  for (const int Tasks : {1, 4, 5}) {
    DispatcherFixture Fixture;
    std::vector<WorkerInfo> Infos;
    std::map<std::string, std::int64_t> Process;
    for (int Index = 1; Index <= Tasks + (Tasks == 1 ? 3 : 0); ++Index) {
      Infos.push_back(makeWorker("w" + std::to_string(Index)));
      Process[Infos.back().Id_] = 1;
    }
    Fixture.addWorkers(Infos);
    const JobSpec Deadly = makeJob("d", "urgent", {makeStep(Tasks, 3000)});
    Fixture.submit(Deadly);
    int Starts = 0;
    for (int Round = 0; Round < 400; ++Round) {
      const Actions Pass = Fixture.decideAndExecute();
      Fixture.advance(Millis{10});
      for (const StartAction &Start : Pass.Starts_) {
        ++Starts;
        ++Process[Start.Target_.Worker_];
      }
      Fixture.RunningTasks_.clear();
      for (const WorkerInfo &Info : Infos) {
        Fixture.advance(Millis{1});
        Fixture.pollWorker(Info.Id_, {}, Process[Info.Id_]);
      }
      Fixture.storeProgress();
      Fixture.advance(Millis{80});
    }
    BOOST_TEST(Starts <= 3 * Tasks, "tasks " << Tasks << " starts " << Starts);
    BOOST_TEST(
        (Fixture.Dispatcher_.findJob(Deadly.Id_)->State_ == JobState::Failed),
        "tasks " << Tasks);
  }
}

// The same for several jobs of one task each, also beside an idle zone.
BOOST_AUTO_TEST_CASE(JobsThatCrashAllWorkersOfAZoneAreGivenUp) {
  for (const int Idle : {0, 8}) {
    constexpr int Jobs = 4;
    DispatcherFixture Fixture;
    std::vector<WorkerInfo> Infos;
    std::map<std::string, std::int64_t> Process;
    for (int Index = 1; Index <= Jobs + Idle; ++Index) {
      Infos.push_back(makeWorker("w" + std::to_string(Index)));
      Infos.back().Zone_ = Index <= Jobs ? "z1" : "z2";
      Infos.back().Labels_ = {Index <= Jobs ? "a" : "b"};
      Process[Infos.back().Id_] = 1;
    }
    Fixture.addWorkers(Infos);
    std::vector<JobSpec> All;
    for (int Index = 1; Index <= Jobs; ++Index) {
      StepSpec Step = makeStep(1, 3000);
      Step.Label_ = "a";
      All.push_back(makeJob(std::to_string(Index), "urgent", {Step}));
      Fixture.submit(All.back());
    }
    int Starts = 0;
    for (int Round = 0; Round < 400; ++Round) {
      const Actions Pass = Fixture.decideAndExecute();
      Fixture.advance(Millis{10});
      for (const StartAction &Start : Pass.Starts_) {
        ++Starts;
        ++Process[Start.Target_.Worker_];
      }
      Fixture.RunningTasks_.clear();
      for (const WorkerInfo &Info : Infos) {
        Fixture.advance(Millis{1});
        Fixture.pollWorker(Info.Id_, {}, Process[Info.Id_]);
      }
      Fixture.storeProgress();
      Fixture.advance(Millis{80});
    }
    BOOST_TEST(Starts <= 3 * Jobs, "idle " << Idle << " starts " << Starts);
  }
}

// Guards against a task that never becomes a suspect: its workers crash before
// they answer, and are heard only when their long polls end.
BOOST_AUTO_TEST_CASE(DeadlyTaskOnAQuietFleetIsGivenUp) {
  for (const Millis Silence : {Millis{200}, Millis{1000}, Millis{1900}}) {
    DispatcherFixture Fixture;
    std::vector<WorkerInfo> Infos;
    std::map<std::string, std::int64_t> Process;
    for (int Index = 1; Index <= 12; ++Index) {
      Infos.push_back(makeWorker("w" + std::to_string(Index)));
      Process[Infos.back().Id_] = 1;
    }
    Fixture.addWorkers(Infos);
    const JobSpec Deadly = makeJob("d", "urgent", {makeStep(1, 1000)});
    Fixture.submit(Deadly);
    int Starts = 0;
    const auto Pass = [&] {
      const Actions Now = Fixture.Dispatcher_.decide(Fixture.Now_);
      for (const std::string &Id : Now.Probes_)
        Fixture.pollWorker(Id, {}, Process[Id]);
      for (const StopAction &Stop : Now.Stops_)
        Fixture.Dispatcher_.handleStopReply(
            Stop, OrderReply{OrderOutcome::Done, Fixture.Now_}, Fixture.Now_);
      for (const StartAction &Start : Now.Starts_) {
        ++Starts;
        const std::string Id = Start.Target_.Worker_;
        ++Process[Id];
        Fixture.Dispatcher_.handleStartReply(Start, startError(Effect::Unknown),
                                             Fixture.Now_);
        // The leader polls at once after an order without a reply.
        Fixture.advance(Millis{5});
        Fixture.pollWorker(Id, {}, Process[Id]);
      }
      Fixture.storeProgress();
    };
    for (int Round = 0; Round < 100; ++Round) {
      Fixture.advance(Silence);
      for (int Count = 0; Count < 8; ++Count) {
        Fixture.advance(Millis{1});
        Pass();
      }
      for (const WorkerInfo &Info : Infos)
        Fixture.pollWorker(Info.Id_, {}, Process[Info.Id_]);
    }
    BOOST_TEST(Starts == 3,
               "silence " << Silence.Value_ << " starts " << Starts);
  }
}

// Guards against a task that is condemned by a single worker which keeps losing
// power, while others live.
BOOST_AUTO_TEST_CASE(SuspectIsNotStartedApartOnAWorkerThatHasJustCrashed) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2"), makeWorker("w3")});
  Fixture.submit(makeJob("9", "urgent", {makeStep(2, 3500)}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.advance(Millis{600});
  const JobSpec Suspect = makeJob("5", "urgent", {makeStep(1, 100)});
  JobProgress Progress;
  Progress.CrashedAttempts_[{0, 0}] = {1, 2};
  std::string Flapping;
  for (const char *Id : {"w1", "w2", "w3"})
    if (Fixture.RunningTasks_[Id].empty())
      Flapping = Id;
  for (const char *Id : {"w1", "w2", "w3"})
    Fixture.pollWorker(Id, {}, Id == Flapping ? 2 : 1);
  Fixture.Dispatcher_.restoreJob(Suspect, Progress, Fixture.Now_);
  const Actions Apart = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Apart.Starts_.size() == 1U);
  BOOST_TEST(Apart.Starts_.front().Target_.Worker_ != Flapping);
}

BOOST_AUTO_TEST_SUITE_END()
