#include "dispatch/capacity_pool.h"
#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr int WorkerCount = 8;
constexpr std::int64_t WorkerMilliCpus = 16000;

/// Workers on which nothing runs, and queues with and without advice.
struct ForecastFixture : DispatcherFixture {
  ForecastFixture() {
    QueuePolicy Wide;
    Wide.Service_ = "desk";
    Wide.Priority_ = 1;
    QueuePolicy Advised = Wide;
    Advised.Priority_ = 2;
    Advised.NeedsAdvice_ = true;
    Advised.AdviceBase_ = Millis{400};
    Advised.TicketValid_ = Millis{2500};
    QueuePolicy AdvisedBefore = Advised;
    AdvisedBefore.Priority_ = 1;
    Dispatcher_.setQueues({{"wide", Wide},
                           {"advised", Advised},
                           {"advised-before", AdvisedBefore}});
    std::vector<WorkerInfo> Workers;
    Workers.reserve(WorkerCount);
    for (int Number = 0; Number < WorkerCount; ++Number)
      Workers.push_back(
          makeWorker("w" + std::to_string(Number), WorkerMilliCpus));
    addWorkers(Workers);
  }

  /// Whether advice is requested for a small step while the other one, which
  /// ranks before it, has waiting tasks.
  bool asksBehind(const StepSpec &Wide) {
    submit(makeJob("1", "wide", {Wide}));
    decideAndExecute();
    submit(makeJob("2", "advised", {makeStep(2, 2000)}));
    return !decideAndExecute().Questions_.empty();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CapacityForecasts)

// Guards against jobs that never start on a nearly idle fleet, because tasks
// that cannot run on what is free are taken to need it (review/13). Here the
// limit per worker keeps them from it.
BOOST_FIXTURE_TEST_CASE(TasksBeyondTheLimitPerWorkerNeedNoCapacity,
                        ForecastFixture) {
  StepSpec Wide = makeStep(100, 2000);
  Wide.MaxPerWorker_ = 1;
  BOOST_TEST(asksBehind(Wide));
}

// The same for a step that lacks memory.
BOOST_FIXTURE_TEST_CASE(TasksWithoutMemoryNeedNoProcessors, ForecastFixture) {
  StepSpec Wide = makeStep(100, 2000);
  Wide.Size_.MemoryMib_ = 60000;
  BOOST_TEST(asksBehind(Wide));
}

// The same for a step that may use one rack only.
BOOST_FIXTURE_TEST_CASE(TasksOfOneRackNeedNoCapacityElsewhere,
                        ForecastFixture) {
  StepSpec Wide = makeStep(100, 2000);
  Wide.Label_ = "rack-w1";
  BOOST_TEST(asksBehind(Wide));
}

// The same for a gang that cannot start, since lasting tasks are in its way.
BOOST_FIXTURE_TEST_CASE(GangThatCannotStartNeedsNoCapacity, ForecastFixture) {
  StepSpec Lasting = makeStep(30, 2000);
  Lasting.LongRunning_ = true;
  submit(makeJob("3", "wide", {Lasting}));
  decideAndExecute();
  StepSpec Gang = makeStep(60, 2000);
  Gang.Gang_ = true;
  BOOST_TEST(asksBehind(Gang));
}

// The same for a step that may use no worker.
BOOST_FIXTURE_TEST_CASE(TasksWithoutAllowedWorkersNeedNoCapacity,
                        ForecastFixture) {
  submit(makeJob("1", "advised-before", {makeStep(100, 2000)}));
  while (true) {
    const Actions Pass = decideAndExecute();
    if (Pass.Questions_.empty())
      break;
    for (const AdviceQuestion &Question : Pass.Questions_)
      Dispatcher_.handleAdviceReply(Question, std::vector<AdvisedWorker>{},
                                    Now_);
  }
  submit(makeJob("2", "advised", {makeStep(2, 2000)}));
  BOOST_TEST(!decideAndExecute().Questions_.empty());
}

// Guards against requests whose tickets expire before the step has its turn.
BOOST_FIXTURE_TEST_CASE(StepsBehindAFullFleetAskForNoAdvice, ForecastFixture) {
  BOOST_TEST(!asksBehind(makeStep(100, 2000)));
}

// Guards against a claim on one resource that is counted on another, and on
// capacity that is spread over workers too small for a task.
BOOST_AUTO_TEST_CASE(ClaimsReduceWhatIsLeftInAPool) {
  CapacityPool Pool;
  Worker W;
  W.Info_.Capacity_ = Size{6000, 600, 0};
  addWorker(Pool, W);
  W.Used_ = Size{4000, 0, 0};
  addWorker(Pool, W);
  BOOST_TEST((Pool.Free_ == Size{8000, 1200, 0}));
  BOOST_TEST((Pool.Released_ == Size{2000, 200, 0}));
  BOOST_TEST(availableTasks(Pool, Size{2000, 100, 0}) == 5);
  BOOST_TEST(availableTasks(Pool, Size{2000, 400, 0}) == 3.5);
  BOOST_TEST(availableTasks(Pool, Size{6001, 100, 0}) < 1);
  BOOST_TEST(availableTasks(Pool, Size{1000, 0, 1}) == 0);
  claimTasks(Pool, Size{2000, 100, 0}, 4.5);
  BOOST_TEST((Pool.Free_ == Size{0, 800, 0}));
  BOOST_TEST((Pool.Released_ == Size{1000, 150, 0}));
  claimTasks(Pool, Size{2000, 100, 0}, 0.5);
  BOOST_TEST(!hasCapacity(Pool));
}

BOOST_AUTO_TEST_SUITE_END()
