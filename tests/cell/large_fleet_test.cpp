// Cells with more workers than one node can call.

#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

constexpr int Nodes = 8;
constexpr int Workers = 600;
constexpr int TasksPerJob = 20;
constexpr int JobsPerSecond = 75;
constexpr Millis Second{1000};
constexpr Millis TaskTime{1000};
// Processors of each node, before a test takes some of them away.
constexpr double NodeCores = 0.5;

/// A cell that is offered 1,500 starts a second.
class LargeCell {
public:
  LargeCell() : Cell_(Nodes, Workers) {
    constexpr std::size_t RowsPerPage = 200;
    Cell_.StoreState_.PageRows_ = RowsPerPage;
    Cell_.Loop_.run(Second * 3);
    Cell_.setSpeed(NodeCores);
  }

  /// Offers jobs to all nodes in turn.
  void offerJobs(Millis Time) {
    const Millis Interval{40};
    const Millis End = Cell_.Loop_.monotonic() + Time;
    while (Cell_.Loop_.monotonic() < End) {
      for (int Count = 0; Count < JobsPerSecond * 40 / 1000; ++Count) {
        const int Job = ++Offered_;
        Cell_.submit("n" + std::to_string(1 + Job % Nodes), jobId(Job),
                     TasksPerJob, TaskTime);
      }
      Cell_.Loop_.run(Interval);
    }
  }

  int servedTasks() const {
    return static_cast<int>(Cell_.Fleet_.AcknowledgedTasks_.size());
  }

  /// Offers the load to nodes with the given processors. Returns the share of
  /// its tasks that has ended within the time.
  double playLoad(double Cores, Millis Time) {
    offerJobs(Second * 2);
    Cell_.setSpeed(Cores);
    const int OfferedBefore = Offered_;
    const int ServedBefore = servedTasks();
    offerJobs(Time);
    const double Served = servedTasks() - ServedBefore;
    const double Offered = (Offered_ - OfferedBefore) * TasksPerJob;
    BOOST_TEST_MESSAGE("served " << Served << " of " << Offered << " tasks");
    BOOST_TEST(Cell_.Fleet_.ConcurrentRuns_.empty());
    BOOST_TEST(Cell_.Fleet_.StartedAfterAcknowledgement_.empty());
    return Served / Offered;
  }

  FakeCell Cell_;
  int Offered_ = 0;
};

/// Offers a burst of tasks to a leader that calls its workers itself. Returns
/// the share of its processor time that it uses while tasks wait beside free
/// workers.
double playBurst(double Cores) {
  constexpr int FewWorkers = 200;
  constexpr std::size_t NoRelays = 10000;
  constexpr int Jobs = 20;
  constexpr int Tasks = 50;
  constexpr double MicrosPerMilli = 1000;
  FakeCell Cell(3, FewWorkers, NoRelays);
  constexpr std::size_t RowsPerPage = 200;
  Cell.StoreState_.PageRows_ = RowsPerPage;
  Cell.Loop_.run(Second * 3);
  const std::string Leader = Cell.leader();
  Cell.setSpeed(Cores);
  for (int Job = 1; Job <= Jobs; ++Job)
    Cell.submit(Leader, jobId(Job), Tasks, Second * 30);
  const auto Started = [&] { return Cell.Fleet_.Starts_.size(); };
  Cell.Loop_.runUntil(Second * 5, [&] { return Started() > 0; });
  const Millis Begin = Cell.Loop_.monotonic();
  const Micros UsedBefore = Cell.processor(Leader).used();
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      Second * 20, [&] { return Started() == std::size_t{Jobs} * Tasks; }));
  const Millis Time = Cell.Loop_.monotonic() - Begin;
  const auto Used =
      static_cast<double>(Cell.processor(Leader).used() - UsedBefore);
  BOOST_TEST_MESSAGE("placed in " << Time.Value_ << " ms");
  return Used / (static_cast<double>(Time.Value_) * MicrosPerMilli * Cores);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargeFleetTests)

// Guards against tasks that wait for the next planning pass beside free workers
// and an idle leader.
BOOST_AUTO_TEST_CASE(LeaderIsNotIdleWhileTasksWait) {
  constexpr double NearlyAll = 0.9;
  for (const double Slowdown : {1.0, 2.0, 3.0, 4.0})
    BOOST_TEST(playBurst(NodeCores / Slowdown) >= NearlyAll);
}

// Guards against a leader whose calls to workers take all of its processor time
// while the other nodes are idle.
BOOST_AUTO_TEST_CASE(HalfOfTheProcessorsServesTheWholeLoad) {
  LargeCell Large;
  constexpr double Enough = 0.95;
  BOOST_TEST(Large.playLoad(NodeCores / 2, Second * 6) >= Enough);
}

// Guards against polls that go round between the leader and its relays without
// end while the leader may not act.
BOOST_AUTO_TEST_CASE(OutageOfTheStoreTakesTheLeaderLittleTime) {
  LargeCell Large;
  FakeCell &Cell = Large.Cell_;
  const std::string Leader = Cell.leader();
  Cell.Loop_.run(Second * 3);
  const auto UsedIn = [&](Millis Time) {
    const Micros Before = Cell.processor(Leader).used();
    Cell.Loop_.run(Time);
    return Cell.processor(Leader).used() - Before;
  };
  const Micros Usual = UsedIn(Second * 2);
  for (const std::string &Node : Cell.nodes())
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Rejects;
  Cell.Loop_.run(Second * 14);
  BOOST_TEST_REQUIRE(Cell.leader() == Leader);
  const Micros InOutage = UsedIn(Second * 2);
  BOOST_TEST_MESSAGE("processor time in 2 s: " << Usual << " us, in the outage "
                                               << InOutage << " us");
  BOOST_TEST(InOutage <= Usual * 2);
}

BOOST_AUTO_TEST_SUITE_END()
