#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

QueuePolicy slowAdvice() {
  QueuePolicy Slow;
  Slow.Service_ = "desk";
  Slow.MaxAttempts_ = 2;
  Slow.Priority_ = 2;
  Slow.NeedsAdvice_ = true;
  Slow.AdviceBase_ = Millis{400};
  Slow.AdvicePerWorker_ = 6;
  Slow.TicketValid_ = Millis{2500};
  return Slow;
}

void allowAll(Cell &Fake, const AdviceQuestion &Question) {
  std::vector<AdvisedWorker> Allowed;
  for (const std::string &Worker : Question.Workers_)
    Allowed.push_back(AdvisedWorker{Worker, "t"});
  Fake.Core_.noteAdvice(Question, Allowed, Fake.Now_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Advice)

// Guards against a question that the advice service refuses for its size: the
// allowed workers of a step add up over several questions.
BOOST_AUTO_TEST_CASE(QuestionsStayWithinTheServicesLimit) {
  Cell Fake;
  Fake.Core_.setQueues({{"slow", slowAdvice()}});
  constexpr int Count = 350;
  std::vector<WorkerInfo> Infos;
  Infos.reserve(Count);
  for (int Each = 0; Each < Count; ++Each)
    Infos.push_back(makeWorker("w" + std::to_string(Each), 500));
  Fake.addWorkers(Infos);
  Fake.submit(makeJob("1", "slow", {makeStep(300, 500)}));
  std::size_t Started = 0;
  for (int Round = 0; Round < 20; ++Round) {
    const Actions Todo = Fake.step();
    Started += Todo.Starts_.size();
    for (const AdviceQuestion &Each : Todo.Questions_) {
      BOOST_TEST(Each.Workers_.size() <= 100U);
      allowAll(Fake, Each);
    }
    if (Todo.Questions_.empty())
      Fake.pass(Millis{3000});
  }
  BOOST_TEST(Started == 300U);
}

// Guards against a task that waits for ever: the only allowed worker with room
// already runs as many tasks of the step as it may.
BOOST_AUTO_TEST_CASE(WorkersThatMayTakeNoMoreOfAStepDoNotCount) {
  Cell Fake;
  Fake.Core_.setQueues({{"slow", slowAdvice()}});
  Fake.addWorkers({makeWorker("w1", 8000), makeWorker("w2", 4000)});
  StepSpec Step = makeStep(2, 500);
  Step.MaxPerWorker_ = 1;
  Fake.submit(makeJob("1", "slow", {Step}));
  const Actions First = Fake.step();
  BOOST_TEST_REQUIRE(First.Questions_.size() == 1U);
  AdviceQuestion Half = First.Questions_.front();
  Half.Workers_ = {"w1"};
  allowAll(Fake, Half);
  const Actions Second = Fake.step();
  BOOST_TEST(Second.Starts_.size() == 1U);
  BOOST_TEST_REQUIRE(Second.Questions_.size() == 1U);
  BOOST_TEST(Second.Questions_.front().Workers_ ==
             std::vector<std::string>{"w2"});
}

BOOST_AUTO_TEST_SUITE_END()
