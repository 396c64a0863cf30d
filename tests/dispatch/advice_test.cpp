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

void allowAll(DispatcherFixture &Fixture, const AdviceQuestion &Question) {
  std::vector<AdvisedWorker> AllowedWorkers;
  for (const std::string &Worker : Question.Workers_)
    AllowedWorkers.push_back(AdvisedWorker{Worker, "t"});
  Fixture.Dispatcher_.handleAdviceReply(Question, AllowedWorkers, Fixture.Now_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Advice)

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

BOOST_AUTO_TEST_SUITE_END()
