// Workers that start again under their ids while calls to the processes before
// are under way.

#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

constexpr Millis DownTime{600};
constexpr Millis SettleTime{25000};
// The leader's long polls take up to 2 s.
constexpr Millis LongestPhase{2000};
constexpr Millis PhaseStep{250};

std::string waitForLeader(FakeCell &Cell) {
  constexpr Millis ElectionTimeout{4000};
  constexpr Millis PollTime{1500};
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      ElectionTimeout, [&] { return !Cell.leader().empty(); }));
  Cell.Loop_.run(PollTime);
  return Cell.leader();
}

void checkNoRepeatedRuns(const FakeCell &Cell, Millis Phase) {
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty(), Phase.Value_);
  BOOST_TEST(Cell.Fleet_.StartedAfterAcknowledgement_.empty(), Phase.Value_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerRestarts)

// Guards against a task that runs twice: the new process of a worker takes a
// start with a lease end on the clock of the process before, is cut off before
// it answers a poll, and runs the task for longer than the leader waits.
BOOST_AUTO_TEST_CASE(StartIsNotTakenByAProcessThatNoReplyHasShown) {
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
    FakeCell Cell(3, 3);
    const std::string Leader = waitForLeader(Cell);
    Cell.Loop_.run(Phase);
    Cell.restartWorker("w1", DownTime);
    Cell.Loop_.run(DownTime + Millis{5});
    Cell.submitLongRunning(Leader, jobId(1), 12);
    Cell.Loop_.run(Millis{60});
    Cell.Fleet_.Workers_["w1"].CutOff_ = true;
    Cell.Loop_.run(SettleTime);
    checkNoRepeatedRuns(Cell, Phase);
  }
}

// Guards against a lease that outlasts what the next leader counts: a poll of
// the leader before, under way when the worker started again, has given the new
// process a lease end on the clock of the one before.
BOOST_AUTO_TEST_CASE(LeaseIsNotRenewedInAnotherProcess) {
  constexpr Millis ShortestLife{800};
  constexpr Millis LongestLife{3400};
  constexpr Millis LifeStep{30};
  for (Millis Life = ShortestLife; Life < LongestLife; Life = Life + LifeStep) {
    FakeCell Cell(3, 3);
    const std::string First = waitForLeader(Cell);
    const std::string Other = First == "n1" ? "n2" : "n1";
    Cell.restartWorker("w1", DownTime);
    Cell.Loop_.run(Life);
    Cell.killNode(First);
    BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
        Millis{3000}, [&] { return !Cell.leader().empty(); }));
    Cell.submitLongRunning(Other, jobId(1), 12);
    Cell.Loop_.run(Millis{150});
    // Cut off by a partition that refuses connections; it runs on.
    Cell.Fleet_.Workers_["w1"].Refuses_ = true;
    Cell.Fleet_.Workers_["w1"].Reachable_ = false;
    Cell.Loop_.run(SettleTime);
    checkNoRepeatedRuns(Cell, Life);
  }
}

// Guards against a task that runs again after its end: the new process of a
// worker has forgotten the end because a poll acknowledged one of the same
// number in the process before.
BOOST_AUTO_TEST_CASE(EndIsNotAcknowledgedToAnotherProcess) {
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
    FakeCell Cell(3, 1);
    const std::string Leader = waitForLeader(Cell);
    Cell.submit(Leader, jobId(1), 6, Millis{200});
    Cell.Loop_.run(Millis{1500} + Phase);
    Cell.restartWorker("w1", DownTime);
    Cell.Loop_.run(DownTime + Millis{5});
    Cell.submit(Leader, jobId(2), 3, Millis{200});
    Cell.Loop_.run(SettleTime);
    checkNoRepeatedRuns(Cell, Phase);
    BOOST_TEST((Cell.state(Leader, jobId(2)) == dispatch::JobState::Complete));
  }
}

// Guards against a task that runs twice: the connection outlives the process
// that was meant, and the reply of the next one counted as that of the first.
BOOST_AUTO_TEST_CASE(StartThatAProxyHasPassedOnIsCountedInFull) {
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
    FakeCell Cell(3, 3);
    const std::string Leader = waitForLeader(Cell);
    Cell.Fleet_.Workers_["w1"].IsBehindProxy_ = true;
    Cell.Loop_.run(Phase);
    Cell.restartWorker("w1", DownTime);
    Cell.Loop_.run(DownTime + Millis{5});
    Cell.submitLongRunning(Leader, jobId(1), 12);
    Cell.Loop_.run(Millis{60});
    Cell.Fleet_.Workers_["w1"].CutOff_ = true;
    Cell.Loop_.run(SettleTime);
    checkNoRepeatedRuns(Cell, Phase);
  }
}

// Guards against a task that runs again after its end: a poll through such a
// connection has made the next process forget the end.
BOOST_AUTO_TEST_CASE(EndBehindAProxyIsNotAcknowledgedUnseen) {
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
    FakeCell Cell(3, 1);
    const std::string Leader = waitForLeader(Cell);
    Cell.Fleet_.Workers_["w1"].IsBehindProxy_ = true;
    Cell.submit(Leader, jobId(1), 6, Millis{200});
    Cell.Loop_.run(Millis{1500} + Phase);
    Cell.restartWorker("w1", DownTime);
    Cell.Loop_.run(DownTime + Millis{5});
    Cell.submit(Leader, jobId(2), 3, Millis{200});
    Cell.Loop_.run(SettleTime);
    checkNoRepeatedRuns(Cell, Phase);
    BOOST_TEST((Cell.state(Leader, jobId(2)) == dispatch::JobState::Complete));
  }
}

// Guards against conclusions from silence: the worker carries out starts and
// renews leases, but its replies are lost until it starts again.
BOOST_AUTO_TEST_CASE(RestartAfterLostRepliesDoublesNoTask) {
  for (const bool IsProxied : {false, true})
    for (const Millis LossyTime : {Millis{30}, Millis{600}, Millis{1500}})
      for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
        FakeCell Cell(3, 3);
        const std::string Leader = waitForLeader(Cell);
        FakeWorkerState &Lossy = Cell.Fleet_.Workers_["w1"];
        Lossy.IsBehindProxy_ = IsProxied;
        Cell.Loop_.run(Phase);
        Lossy.LosesPollReplies_ = Lossy.LosesStartReplies_ = true;
        Cell.submitLongRunning(Leader, jobId(1), 6);
        Cell.submit(Leader, jobId(2), 6, Millis{200});
        Cell.Loop_.run(LossyTime);
        Cell.restartWorker("w1", DownTime);
        Lossy.LosesPollReplies_ = Lossy.LosesStartReplies_ = false;
        Cell.Loop_.run(DownTime + Millis{5});
        Cell.submitLongRunning(Leader, jobId(3), 6);
        Cell.Loop_.run(Millis{60});
        Lossy.CutOff_ = true;
        Cell.Loop_.run(SettleTime);
        checkNoRepeatedRuns(Cell, Phase);
      }
}

// Guards against what is taken from a process that has ended before its first
// reply to a poll.
BOOST_AUTO_TEST_CASE(TwoRestartsInARowDoubleNoTask) {
  constexpr Millis ShortDownTime{100};
  for (const bool IsProxied : {false, true})
    for (const Millis Life : {Millis{5}, Millis{60}, Millis{300}, Millis{900}})
      for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
        FakeCell Cell(3, 3);
        const std::string Leader = waitForLeader(Cell);
        Cell.Fleet_.Workers_["w1"].IsBehindProxy_ = IsProxied;
        Cell.Loop_.run(Phase);
        Cell.submit(Leader, jobId(1), 6, Millis{200});
        Cell.restartWorker("w1", ShortDownTime);
        Cell.Loop_.run(ShortDownTime + Life);
        Cell.submitLongRunning(Leader, jobId(2), 6);
        Cell.Loop_.run(Millis{20});
        Cell.restartWorker("w1", ShortDownTime);
        Cell.Loop_.run(ShortDownTime + Millis{5});
        Cell.submitLongRunning(Leader, jobId(3), 6);
        Cell.submit(Leader, jobId(4), 6, Millis{200});
        Cell.Loop_.run(Millis{60});
        Cell.Fleet_.Workers_["w1"].CutOff_ = true;
        Cell.Loop_.run(SettleTime);
        checkNoRepeatedRuns(Cell, Phase);
      }
}

// Guards against ends that a new process forgets before a leader has seen them:
// its id was gone and is back while a poll of the process before is under way.
BOOST_AUTO_TEST_CASE(EndsAreNotAcknowledgedToAProcessThatListedNone) {
  // The leader has just removed the worker then.
  constexpr Millis Absence{8300};
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + Millis{100}) {
    FakeCell Cell(3, 2);
    const std::string Leader = waitForLeader(Cell);
    Cell.Loop_.run(Phase);
    Cell.submit(Leader, jobId(1), 12, Millis{200});
    Cell.Loop_.run(Millis{500});
    FakeWorkerState &Worker = Cell.Fleet_.Workers_["w1"];
    Worker.Reachable_ = false;
    Cell.Loop_.run(Absence);
    Cell.restartWorker("w1", Millis{});
    Worker.Reachable_ = true;
    Cell.Loop_.run(Millis{2500});
    BOOST_TEST(Cell.Fleet_.ForeignAcknowledgements_ == 0, Phase.Value_);
  }
}

// Guards against a worker that gets no tasks for the time of a long poll or of
// the reads of the registry after it has started again.
BOOST_AUTO_TEST_CASE(RestartedWorkerGetsTasksOnceItsEntryIsThere) {
  constexpr Millis RegistryPeriod{1200};
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep)
    for (const Millis EntryDelay : {Millis{}, Millis{300}}) {
      FakeCell Cell(3, 1);
      const std::string Leader = waitForLeader(Cell);
      Cell.Loop_.run(Phase);
      Cell.restartWorker("w1", DownTime, EntryDelay);
      Cell.Loop_.run(DownTime + EntryDelay);
      Cell.submitLongRunning(Leader, jobId(1), 1);
      const bool Starts = Cell.Loop_.runUntil(RegistryPeriod, [&] {
        return !Cell.Fleet_.Workers_["w1"].Running_.empty();
      });
      BOOST_TEST(Starts, Phase.Value_ << ' ' << EntryDelay.Value_);
    }
}

// Guards against a task that runs twice: a start that got no reply is carried
// out by the next process of the worker, which knows of no stop.
BOOST_AUTO_TEST_CASE(LateStartIsRejectedByTheNextProcess) {
  constexpr Millis StartDelay{5000};
  constexpr Millis OrderTime{100};
  constexpr Millis TimeToRestart{1500};
  for (Millis Phase{}; Phase < LongestPhase; Phase = Phase + PhaseStep) {
    FakeCell Cell(3, 3);
    const std::string Leader = waitForLeader(Cell);
    Cell.Loop_.run(Phase);
    Cell.Fleet_.Workers_["w1"].StartDelay_ = StartDelay;
    Cell.submitLongRunning(Leader, jobId(1), 6);
    Cell.submit(Leader, jobId(2), 6, Millis{200});
    Cell.Loop_.run(OrderTime);
    Cell.Fleet_.Workers_["w1"].StartDelay_ = Millis{};
    Cell.Loop_.run(TimeToRestart);
    Cell.restartWorker("w1", DownTime);
    Cell.Loop_.run(SettleTime);
    checkNoRepeatedRuns(Cell, Phase);
    BOOST_TEST((Cell.state(Leader, jobId(2)) == dispatch::JobState::Complete));
  }
}

BOOST_AUTO_TEST_SUITE_END()
