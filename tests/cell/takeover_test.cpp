#include "cell/worker_rows.h"
#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

// A long-running task has to run again within this time.
constexpr Millis RestartLimit{6000};

std::string waitForLeader(FakeCell &Cell) {
  constexpr Millis ElectionTimeout{4000};
  constexpr Millis SettleTime{1500};
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      ElectionTimeout, [&] { return !Cell.leader().empty(); }));
  Cell.Loop_.run(SettleTime);
  return Cell.leader();
}

std::string taskOf(const std::string &Job) { return Job + ".0.0.0"; }

/// The worker that runs the only task of the job; empty if none does.
std::string workerOf(const FakeCell &Cell, const std::string &Job) {
  for (const auto &[Id, Worker] : Cell.Fleet_.Workers_)
    if (Worker.Running_.count(taskOf(Job)) > 0)
      return Id;
  return "";
}

bool isRunning(const FakeCell &Cell, const std::string &Job) {
  return Cell.Fleet_.isRunning(taskOf(Job), Cell.Loop_.monotonic());
}

/// Drains the worker of the job and waits until it has moved to another one.
void moveAway(FakeCell &Cell, const std::string &Job) {
  const std::string From = workerOf(Cell, Job);
  Cell.drainWorker(From);
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(Millis{4000}, [&] {
    return isRunning(Cell, Job) && workerOf(Cell, Job) != From;
  }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TakeoverTests)

// Guards against a task that starts elsewhere while a leader that is cut off
// with its worker renews the lease there: reset connections let the other nodes
// elect a leader at once, at whatever time since their last pings.
BOOST_AUTO_TEST_CASE(LeaderInACutZoneStopsBeforeItsSuccessorRelies) {
  constexpr Millis LongestPoll{2000};
  constexpr Millis PhaseStep{90};
  for (Millis Phase{}; Phase < LongestPoll; Phase = Phase + PhaseStep) {
    FakeCell Cell(7, 4);
    const std::string First = waitForLeader(Cell);
    Cell.submitLongRunning(First, jobId(1), 1);
    Cell.Loop_.run(Millis{1000} + Phase);
    const std::string Neighbor = First == "n7" ? "n6" : "n7";
    Cell.cutZone({First, Neighbor, workerOf(Cell, jobId(1))});
    Cell.Loop_.run(Millis{11000});
    Cell.healZone();
    Cell.Loop_.run(Millis{5000});
    BOOST_TEST(Cell.leader() != First);
    BOOST_TEST(isRunning(Cell, jobId(1)));
    BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty(), Phase.Value_);
  }
}

// Guards against a leader that takes its own zone for a majority: it was cut
// off with it before the other nodes had pinged it.
BOOST_AUTO_TEST_CASE(NewLeaderCountsTheNodesOfTheOneBefore) {
  constexpr Millis ShortestDelay{500};
  constexpr Millis LongestDelay{1000};
  constexpr Millis DelayStep{50};
  for (Millis Delay = ShortestDelay; Delay < LongestDelay;
       Delay = Delay + DelayStep) {
    FakeCell Cell(8, 4);
    const std::string First = waitForLeader(Cell);
    Cell.submitLongRunning(First, jobId(1), 1);
    Cell.Loop_.run(Millis{1000});
    Cell.killNode(First);
    const std::vector<std::string> Zone =
        First == "n7" || First == "n8" ? std::vector<std::string>{"n5", "n6"}
                                       : std::vector<std::string>{"n7", "n8"};
    const auto MuteOthers = [&](bool Muted) {
      for (const std::string &Name : Cell.nodes())
        if (Name != Zone[0] && Name != Zone[1])
          Cell.setMuted(Name, Muted);
    };
    MuteOthers(true);
    BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
        Millis{3000}, [&] { return !Cell.leader().empty(); }));
    const std::string Second = Cell.leader();
    Cell.Loop_.run(Delay);
    Cell.cutZone({Zone[0], Zone[1], workerOf(Cell, jobId(1))});
    MuteOthers(false);
    Cell.Loop_.run(Millis{20000});
    Cell.healZone();
    Cell.Loop_.run(Millis{5000});
    BOOST_TEST(Cell.leader() != Second);
    BOOST_TEST(isRunning(Cell, jobId(1)));
    BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty(), Delay.Value_);
  }
}

// Guards against a wait for workers that were drained and empty when they left.
BOOST_AUTO_TEST_CASE(TaskStoppedAtAPlannedRestartDoesNotWaitForDrainedWorkers) {
  FakeCell Cell(4, 4);
  const std::string First = waitForLeader(Cell);
  Cell.submitLongRunning(First, jobId(1), 1);
  Cell.Loop_.run(Millis{1000});
  const std::string Drained = workerOf(Cell, jobId(1));
  moveAway(Cell, jobId(1));
  Cell.Loop_.run(Millis{1000});
  Cell.removeWorker(Drained);
  Cell.Loop_.run(Millis{2500});
  Cell.drainWorker(workerOf(Cell, jobId(1)));
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      Millis{4000}, [&] { return !isRunning(Cell, jobId(1)); }));
  Cell.member(First).resign([] {});
  BOOST_TEST(Cell.Loop_.runUntil(RestartLimit,
                                 [&] { return isRunning(Cell, jobId(1)); }));
  BOOST_TEST(Cell.leader() != First);
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
}

// Guards against a wait for a worker that is lost during the change of the
// leader, by a task that ran elsewhere.
BOOST_AUTO_TEST_CASE(TaskThatWaitedAtAPlannedRestartWaitsForNoWorker) {
  FakeCell Cell(4, 3);
  const std::string First = waitForLeader(Cell);
  Cell.submitLongRunning(First, jobId(1), 1);
  Cell.Loop_.run(Millis{1000});
  const std::string Drained = workerOf(Cell, jobId(1));
  Cell.drainWorker(Drained);
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      Millis{4000}, [&] { return !isRunning(Cell, jobId(1)); }));
  Cell.Fleet_.Workers_[Drained == "w3" ? "w2" : "w3"].Reachable_ = false;
  Cell.Loop_.run(Millis{2});
  Cell.member(First).resign([] {});
  BOOST_TEST(Cell.Loop_.runUntil(RestartLimit,
                                 [&] { return isRunning(Cell, jobId(1)); }));
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
}

// Guards against a wait that every change of the leader starts anew.
BOOST_AUTO_TEST_CASE(WaitForAGoneWorkerIsNotRepeatedByFurtherRestarts) {
  FakeCell Cell(5, 3);
  const std::string First = waitForLeader(Cell);
  Cell.submitLongRunning(First, jobId(1), 1);
  Cell.Loop_.run(Millis{1000});
  Cell.removeWorker(workerOf(Cell, jobId(1)));
  const Millis GoneAt = Cell.Loop_.monotonic();
  constexpr Millis RestartInterval{2000};
  for (int Restart = 0; Restart < 3; ++Restart) {
    Cell.Loop_.run(RestartInterval);
    BOOST_TEST_REQUIRE(!Cell.leader().empty());
    Cell.member(Cell.leader()).resign([] {});
  }
  constexpr Millis LeaseAndMargins{9000};
  BOOST_TEST(
      Cell.Loop_.runUntil(GoneAt + LeaseAndMargins - Cell.Loop_.monotonic(),
                          [&] { return isRunning(Cell, jobId(1)); }));
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
}

// The same for leaders that are killed and can pass nothing on at their end.
BOOST_AUTO_TEST_CASE(WaitForAGoneWorkerIsNotRepeatedByKilledLeaders) {
  FakeCell Cell(4, 3);
  const std::string First = waitForLeader(Cell);
  Cell.submitLongRunning(First, jobId(1), 1);
  Cell.Loop_.run(Millis{1000});
  Cell.removeWorker(workerOf(Cell, jobId(1)));
  const Millis GoneAt = Cell.Loop_.monotonic();
  constexpr Millis KillInterval{3000};
  for (int Kill = 0; Kill < 2; ++Kill) {
    Cell.Loop_.run(KillInterval);
    BOOST_TEST_REQUIRE(!Cell.leader().empty());
    Cell.killNode(Cell.leader());
  }
  constexpr Millis LeaseAndMargins{9000};
  BOOST_TEST(
      Cell.Loop_.runUntil(GoneAt + LeaseAndMargins - Cell.Loop_.monotonic(),
                          [&] { return isRunning(Cell, jobId(1)); }));
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
}

// Guards against leases that end although their worker is back in time, because
// its row has to be opened first.
BOOST_AUTO_TEST_CASE(TaskOnAWorkerThatIsCutOffForLessThanItsLeaseGoesOn) {
  constexpr Millis LongestPoll{2000};
  constexpr Millis PhaseStep{250};
  for (const Millis Cut : {Millis{4000}, Millis{5000}, Millis{5500}})
    for (Millis Phase{}; Phase < LongestPoll; Phase = Phase + PhaseStep) {
      FakeCell Cell(3, 2);
      const std::string First = waitForLeader(Cell);
      Cell.submit(First, jobId(1), 1, Millis{60000});
      Cell.Loop_.run(Millis{3000} + Phase);
      FakeWorkerState &Worker = Cell.Fleet_.Workers_[workerOf(Cell, jobId(1))];
      Worker.Reachable_ = false;
      Cell.Loop_.run(Cut);
      Worker.Reachable_ = true;
      Cell.Loop_.run(Millis{12000});
      BOOST_TEST(Cell.Fleet_.Starts_[taskOf(jobId(1))] == 1);
      BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
    }
}

// Guards against a task that runs again although its worker has reported its
// end: the row of the empty worker is removed before the end is recorded, and
// the next leader does not wait for the worker.
BOOST_AUTO_TEST_CASE(UnrecordedEndOnADrainedWorkerIsNotForgotten) {
  FakeCell Cell(4, 2);
  const std::string First = waitForLeader(Cell);
  Cell.submit(First, jobId(1), 1, Millis{2000});
  Cell.Loop_.run(Millis{500});
  const std::string Drained = workerOf(Cell, jobId(1));
  Cell.drainWorker(Drained);
  Cell.Loop_.run(Millis{1000});
  // The store carries out the write of the end late and later ones at once.
  const Millis NormalDelay =
      std::exchange(Cell.StoreState_.Delay_, Millis{3000});
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      Millis{1000}, [&] { return workerOf(Cell, jobId(1)).empty(); }));
  Cell.Loop_.run(Millis{20});
  Cell.StoreState_.Delay_ = NormalDelay;
  Cell.Loop_.run(Millis{400});
  Cell.Fleet_.Workers_[Drained].Reachable_ = false;
  Cell.killNode(First);
  Cell.Loop_.run(Millis{4000});
  Cell.Fleet_.Workers_[Drained].Reachable_ = true;
  Cell.Loop_.run(Millis{8000});
  BOOST_TEST(Cell.Fleet_.Starts_[taskOf(jobId(1))] == 1);
  BOOST_TEST(
      (Cell.state(Cell.leader(), jobId(1)) == dispatch::JobState::Complete));
}

// The same while the store rejects all writes of the leader.
BOOST_AUTO_TEST_CASE(EndThatTheStoreRejectsIsNotForgotten) {
  FakeCell Cell(4, 2);
  const std::string First = waitForLeader(Cell);
  Cell.submit(First, jobId(1), 1, Millis{2000});
  Cell.Loop_.run(Millis{500});
  Cell.drainWorker(workerOf(Cell, jobId(1)));
  Cell.Loop_.run(Millis{1000});
  Cell.StoreState_.StoreModes_[First] = StoreMode::Rejects;
  Cell.Loop_.run(Millis{900});
  Cell.killNode(First);
  Cell.Loop_.run(Millis{12000});
  BOOST_TEST(Cell.Fleet_.Starts_[taskOf(jobId(1))] == 1);
  BOOST_TEST(
      (Cell.state(Cell.leader(), jobId(1)) == dispatch::JobState::Complete));
}

// Guards against a leader that stores nothing more, because it repeats a
// removal that the store has carried out.
BOOST_AUTO_TEST_CASE(LostReplyToARemovedRowDoesNotStopFurtherWrites) {
  for (const bool OmitsAbsentRows : {false, true}) {
    FakeCell Cell(3, 3);
    Cell.StoreState_.OmitsAbsentRows_ = OmitsAbsentRows;
    const std::string First = waitForLeader(Cell);
    Cell.StoreState_.StoreModes_[First] = StoreMode::LosesReplies;
    Cell.drainWorker("w1");
    BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(Millis{3000}, [&] {
      return Cell.StoreState_.Rows_.count(cell::workerRow("w1")) == 0;
    }));
    Cell.StoreState_.StoreModes_[First] = StoreMode::Healthy;
    Cell.Loop_.run(Millis{2500});
    BOOST_TEST_REQUIRE(!Cell.leader().empty());
    Cell.submit(Cell.leader(), jobId(7), 1, Millis{500});
    Cell.Loop_.run(Millis{3000});
    BOOST_TEST(Cell.Fleet_.Starts_[taskOf(jobId(7))] == 1);
  }
}

// Guards against a leader that passes on nothing because ends are always being
// recorded.
BOOST_AUTO_TEST_CASE(LeaderThatResignsUnderLoadTellsWhatRuns) {
  constexpr int Jobs = 120;
  for (const Millis Phase : {Millis{0}, Millis{17}, Millis{340}}) {
    FakeCell Cell(3, 40);
    const std::string First = waitForLeader(Cell);
    Cell.submitLongRunning(First, jobId(1), 1);
    Cell.Loop_.run(Millis{100});
    for (int Job = 0; Job < Jobs; ++Job)
      Cell.submit(First, jobId(Jobs + Job), 1, Millis{2000 + Job * 6});
    Cell.Loop_.run(Millis{2000} + Phase);
    const std::string Gone = workerOf(Cell, jobId(1));
    Cell.removeWorker(Gone);
    Cell.Loop_.run(Millis{200});
    Cell.member(First).resign([] {});
    Cell.Loop_.run(Millis{100});
    const StoredRow &Row = Cell.StoreState_.Rows_.at(cell::workerRow(Gone));
    const auto Decoded = cell::decodeWorkerRow(Row);
    BOOST_TEST_REQUIRE(Decoded.has_value());
    BOOST_TEST_REQUIRE(Decoded.value().Closed_.has_value());
    BOOST_TEST(Decoded.value().Closed_->RunsKnown_);
    BOOST_TEST(Cell.StoreState_.Rows_.count(cell::resignationRow()) == 1U);
  }
}

// Guards against a reply of the store that arrives after its leader is gone. A
// failure shows under AddressSanitizer, and otherwise often as a crash.
BOOST_AUTO_TEST_CASE(ReplyToALeaderThatIsGoneIsIgnored) {
  constexpr Millis ConfirmPeriod{500};
  constexpr Millis PhaseStep{50};
  for (Millis Phase{}; Phase < ConfirmPeriod; Phase = Phase + PhaseStep) {
    FakeCell Cell(3, 2);
    Cell.Fleet_.Workers_["w2"].Reachable_ = false;
    const std::string First = waitForLeader(Cell);
    Cell.Loop_.run(Phase);
    Cell.setIsolated(First, true);
    Cell.StoreState_.StoreModes_[First] = StoreMode::LosesReplies;
    Cell.Fleet_.Workers_["w2"].Reachable_ = true;
    Cell.Loop_.run(Millis{9000});
    BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
  }
}

// Guards against reliance on rows that a leader of an earlier release, which
// starts tasks without opening rows, may have left closed.
BOOST_AUTO_TEST_CASE(ClosedRowsFromBeforeAnEarlierReleaseAreNotReliedOn) {
  FakeCell Cell(4, 2);
  const std::string First = waitForLeader(Cell);
  Cell.submitLongRunning(First, jobId(1), 1);
  Cell.Loop_.run(Millis{1000});
  const std::string Worker = workerOf(Cell, jobId(1));
  StoredRow &Row = Cell.StoreState_.Rows_[cell::workerRow(Worker)];
  Row.Value_ = R"({"a":")" + Worker +
               R"(","s":"desk","closed_in":1,"expiry":1,"runs":[]})";
  StoredRow &LeaderRow = Cell.StoreState_.Rows_[cell::leaderRow()];
  const std::size_t Field = LeaderRow.Value_.find("\"lease_rows_since\"");
  BOOST_TEST_REQUIRE(Field != std::string::npos);
  LeaderRow.Value_.replace(Field, 1, "\"old_");
  for (const char *Node : {"n1", "n2", "n3", "n4"})
    if (Node != First) {
      Cell.killNode(Node);
      Cell.startNode(Node);
    }
  Cell.Loop_.run(Millis{1500});
  Cell.Fleet_.Workers_[Worker].Reachable_ = false;
  Cell.killNode(First);
  Cell.Loop_.run(Millis{6000});
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
  Cell.Loop_.run(Millis{6000});
  BOOST_TEST(Cell.Fleet_.Starts_[taskOf(jobId(1))] == 2);
}

// Guards against a healthy leader that is replaced because a request to take
// over, which it sent while it could not write, is delivered after a partition.
BOOST_AUTO_TEST_CASE(LateRequestToTakeOverReplacesNoLeader) {
  FakeCell Cell(3, 4);
  const std::string Leader = waitForLeader(Cell);
  const auto Row = Cell.StoreState_.Rows_.at(cell::leaderRow());
  for (const std::string &Node : Cell.nodes())
    if (Node != Leader)
      Cell.holdBack(Node);
  Cell.StoreState_.StoreModes_[Leader] = StoreMode::Rejects;
  Cell.submit(Leader, jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1400});
  Cell.StoreState_.StoreModes_[Leader] = StoreMode::Healthy;
  Cell.Loop_.run(Millis{1500});
  BOOST_TEST_REQUIRE(Cell.leader() == Leader);
  Cell.deliverHeldBack();
  Cell.Loop_.run(Millis{2000});
  BOOST_TEST(Cell.leader() == Leader);
  BOOST_TEST(Cell.StoreState_.Rows_.at(cell::leaderRow()).Version_ ==
             Row.Version_);
}

// Guards against tasks that run twice: while the store is down, more tasks end
// on a worker than it lists at a time. The leader that started them has to wait
// for the whole list, and so has a new one.
BOOST_AUTO_TEST_CASE(TasksThatEndUnlistedDoNotStartAgain) {
  constexpr int Jobs = 20;
  constexpr int TasksOfJob = 30;
  constexpr std::size_t AllTasks = std::size_t{Jobs} * TasksOfJob;
  for (const bool LeaderIsKilled : {false, true}) {
    FakeCell Cell(3, 1);
    FakeWorkerState &Worker = Cell.Fleet_.Workers_["w1"];
    Worker.Info_.Capacity_ = dispatch::Size{400000, 100000, 0};
    const std::string First = waitForLeader(Cell);
    for (int Number = 1; Number <= Jobs; ++Number)
      Cell.submit(First, jobId(Number), TasksOfJob, Millis{4000});
    BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
        Millis{3500}, [&] { return Worker.Running_.size() == AllTasks; }));
    for (const std::string &Name : Cell.nodes())
      Cell.StoreState_.StoreModes_[Name] = StoreMode::Rejects;
    BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
        Millis{5000}, [&] { return Worker.Running_.empty(); }));
    BOOST_TEST(Worker.Ended_.size() > MaxListedEnds);
    Cell.Loop_.run(Millis{500});
    if (LeaderIsKilled)
      Cell.killNode(First);
    Cell.StoreState_.StoreModes_.clear();
    BOOST_TEST(Cell.Loop_.runUntil(Millis{15000}, [&] {
      return Cell.Fleet_.AcknowledgedTasks_.size() == AllTasks;
    }));
    Cell.Loop_.run(Millis{1000});
    BOOST_TEST(Worker.Running_.empty());
    for (const auto &[Task, Starts] : Cell.Fleet_.Starts_)
      BOOST_TEST(Starts == 1, Task << " has started " << Starts << " times");
  }
}

BOOST_AUTO_TEST_SUITE_END()
