#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

QueuePolicy slowAdvicePolicy() {
  QueuePolicy Policy;
  Policy.Service_ = "desk";
  Policy.MaxAttempts_ = 2;
  Policy.Priority_ = 2;
  Policy.NeedsAdvice_ = true;
  Policy.AdviceBase_ = Millis{400};
  Policy.AdvicePerWorker_ = 6;
  Policy.TicketValid_ = Millis{2500};
  return Policy;
}

/// Accepts the given number of requests in each pass.
class LimitedQueue : public AdviceQueue {
public:
  explicit LimitedQueue(int Limit) : Limit_(Limit) {}
  void beginPass() override { Free_ = Limit_; }
  bool accepts(Millis, bool) override { return Free_ > 0; }
  void add(Millis, bool) override { --Free_; }

private:
  const int Limit_;
  int Free_ = 0;
};

void allowAll(DispatcherFixture &Fixture, const AdviceQuestion &Question) {
  std::vector<AdvisedWorker> AllowedWorkers;
  for (const std::string &Worker : Question.Workers_)
    AllowedWorkers.push_back(AdvisedWorker{Worker, "t"});
  Fixture.Dispatcher_.handleAdviceReply(Question, AllowedWorkers, Fixture.Now_);
}

/// A job of which each step waits for that many steps before it.
JobSpec jobOfDependentSteps(int Steps, int Dependencies) {
  std::vector<StepSpec> Specs;
  for (int Step = 0; Step < Steps; ++Step) {
    std::vector<int> Before;
    for (int Earlier = std::max(Step - Dependencies, 0); Earlier < Step;
         ++Earlier)
      Before.push_back(Earlier);
    Specs.push_back(makeStep(1, 500, Before));
  }
  return makeJob("1", "slow", Specs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Advice)

// Guards against a walk that follows each path through the steps of a job. The
// leader hung in it, and so did the next ones (review/11).
BOOST_AUTO_TEST_CASE(PassWalksOverEachDependencyOnce) {
  constexpr int Steps = 20;
  for (const int Dependencies : {1, 2, Steps}) {
    DispatcherFixture Fixture;
    Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
    Fixture.addWorkers({makeWorker("w1")});
    const JobSpec Job = jobOfDependentSteps(Steps, Dependencies);
    std::size_t AllDependencies = 0;
    for (const StepSpec &Step : Job.Steps_)
      AllDependencies += Step.Dependencies_.size();
    Fixture.submit(Job);
    Fixture.decideAndExecute();
    BOOST_TEST(Fixture.Dispatcher_.dependencyChecks() <= AllDependencies,
               Fixture.Dispatcher_.dependencyChecks()
                   << " checks of " << AllDependencies << " dependencies");
  }
}

// Guards against an advice request with more workers than the service accepts
// (100). A step collects its allowed workers over several requests.
BOOST_AUTO_TEST_CASE(QuestionsStayWithinServiceLimit) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
  constexpr int WorkerCount = 350;
  std::vector<WorkerInfo> Infos;
  Infos.reserve(WorkerCount);
  for (int Index = 0; Index < WorkerCount; ++Index)
    Infos.push_back(makeWorker("w" + std::to_string(Index), 500));
  Fixture.addWorkers(Infos);
  Fixture.submit(makeJob("1", "slow", {makeStep(300, 500)}));
  std::size_t StartCount = 0;
  for (int Pass = 0; Pass < 20; ++Pass) {
    const Actions NewActions = Fixture.decideAndExecute();
    StartCount += NewActions.Starts_.size();
    for (const AdviceQuestion &Question : NewActions.Questions_) {
      BOOST_TEST(Question.Workers_.size() <= 100U);
      allowAll(Fixture, Question);
    }
    if (NewActions.Questions_.empty())
      Fixture.advance(Millis{3000});
  }
  BOOST_TEST(StartCount == 300U);
}

// Guards against a leader that spends its time on requests that no node takes.
BOOST_AUTO_TEST_CASE(NoWorkersAreChosenForRequestsThatNoNodeAccepts) {
  constexpr int Jobs = 50;
  constexpr int Accepted = 2;
  const auto CountChecks = [](int Limit) {
    DispatcherFixture Fixture;
    LimitedQueue Queue(Limit);
    Fixture.Dispatcher_.setAdviceQueue(&Queue);
    Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
    Fixture.addWorkers({makeWorker("w1", 100000), makeWorker("w2", 100000)});
    for (int Job = 0; Job < Jobs; ++Job)
      Fixture.submit(makeJob(std::to_string(Job), "slow", {makeStep(1, 500)}));
    BOOST_TEST(Fixture.decideAndExecute().Questions_.size() ==
               static_cast<std::size_t>(Limit));
    BOOST_TEST(Fixture.decideAndExecute().Questions_.empty());
    const auto Checks = Fixture.Dispatcher_.workerChecks();
    Fixture.advance(AdviceRetryDelay);
    BOOST_TEST(Fixture.decideAndExecute().Questions_.size() ==
               static_cast<std::size_t>(Limit));
    return Checks;
  };
  const auto ChecksForTwo = CountChecks(Accepted);
  const auto ChecksForAll = CountChecks(Jobs / 2);
  BOOST_TEST(ChecksForTwo * 4 < ChecksForAll);
}

// Guards against tasks of an earlier leader that wait for advice once more
// after they have waited for workers that are gone.
BOOST_AUTO_TEST_CASE(AdviceIsAskedForBeforeRecoveryEnds) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
  Fixture.Dispatcher_.restoreWorker(makeWorker("gone"));
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Fixture.Dispatcher_.restoreJob(makeJob("1", "slow", {makeStep(1, 500)}),
                                 Progress, Fixture.Now_);
  Fixture.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fixture.decideAndExecute().Questions_.empty());
  const DispatchLimits Limits = DispatcherFixture::makeLimits();
  Fixture.advance(Limits.Lease_ + Limits.LeaderGrace_ - Millis{200});
  Fixture.pollWorker("w1");
  const Actions BeforeEnd = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(BeforeEnd.Questions_.size() == 1U);
  allowAll(Fixture, BeforeEnd.Questions_.front());
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{700});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a task that waits forever: if the only allowed worker with
// free capacity already runs MaxPerWorker_ tasks of the step, the dispatcher
// must ask the advice service about other workers.
BOOST_AUTO_TEST_CASE(WorkersAtMaxPerWorkerDoNotCountAsAvailable) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
  Fixture.addWorkers({makeWorker("w1", 8000), makeWorker("w2", 4000)});
  StepSpec Step = makeStep(2, 500);
  Step.MaxPerWorker_ = 1;
  Fixture.submit(makeJob("1", "slow", {Step}));
  const Actions FirstPass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(FirstPass.Questions_.size() == 1U);
  AdviceQuestion QuestionAboutW1 = FirstPass.Questions_.front();
  QuestionAboutW1.Workers_ = {"w1"};
  allowAll(Fixture, QuestionAboutW1);
  const Actions SecondPass = Fixture.decideAndExecute();
  BOOST_TEST(SecondPass.Starts_.size() == 1U);
  BOOST_TEST_REQUIRE(SecondPass.Questions_.size() == 1U);
  BOOST_TEST(SecondPass.Questions_.front().Workers_ ==
             std::vector<std::string>{"w2"});
}

// Guards against an estimate of the time until a step is ready that multiplies
// with the width of every step before it: this chain would never be planned.
BOOST_AUTO_TEST_CASE(ChainOfWideStepsIsPlannedAtOnce) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
  Fixture.addWorkers({makeWorker("w1", 8000)});
  constexpr int ChainLength = 12;
  constexpr int Width = 30;
  std::vector<StepSpec> Steps;
  Steps.reserve(ChainLength);
  for (int Number = 0; Number < ChainLength; ++Number)
    Steps.push_back(makeStep(Width, 500,
                             Number > 0 ? std::vector<int>{Number - 1}
                                        : std::vector<int>{}));
  Fixture.submit(makeJob("1", "slow", Steps));
  const Actions FirstPass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(FirstPass.Questions_.size() == 1U);
  BOOST_TEST(FirstPass.Questions_.front().Step_ == 0);
}

// Guards against advice that comes too late because a step that was not ready
// soon is checked again only after it is: it must be asked for while the last
// tasks before it still run.
BOOST_AUTO_TEST_CASE(AdviceIsAskedForBeforeTheStepIsReady) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
  Fixture.addWorkers({makeWorker("w1", 8000)});
  Fixture.submit(
      makeJob("1", "slow", {makeStep(1, 500), makeStep(1, 500, {0})}));
  const Millis Start = Fixture.Now_;
  for (const AdviceQuestion &Question : Fixture.decideAndExecute().Questions_)
    allowAll(Fixture, Question);
  // The first step runs for one second, and a call takes 406 ms.
  while (Fixture.Now_ < Start + Millis{700}) {
    for (const AdviceQuestion &Question : Fixture.decideAndExecute().Questions_)
      if (Question.Step_ == 1)
        return;
    Fixture.advance(Millis{5});
  }
  BOOST_ERROR("no advice was asked for the second step");
}

// Guards against starts that a worker rejects because their tickets were issued
// for its former process.
BOOST_AUTO_TEST_CASE(TicketsEndWithTheProcessOfTheWorker) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setQueues({{"slow", slowAdvicePolicy()}});
  Fixture.addWorkers({makeWorker("w1", 8000)});
  Fixture.submit(makeJob("1", "slow", {makeStep(1, 500)}));
  const Actions BeforeRestart = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(BeforeRestart.Questions_.size() == 1U);
  allowAll(Fixture, BeforeRestart.Questions_.front());
  Fixture.pollWorker("w1", {}, 2);
  Fixture.advance(Millis{100});
  const Actions AfterRestart = Fixture.decideAndExecute();
  BOOST_TEST(AfterRestart.Starts_.empty());
  BOOST_TEST_REQUIRE(AfterRestart.Questions_.size() == 1U);
  allowAll(Fixture, AfterRestart.Questions_.front());
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
