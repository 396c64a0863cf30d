#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

using CellJobState = dispatch::JobState;

constexpr Millis ElectionTime{4000};

bool accepted(
    const std::shared_ptr<std::optional<Result<cell::CallerAnswer>>> &Answer) {
  return Answer->has_value() && (*Answer)->has_value();
}

/// Waits for a leader and returns its name.
std::string elect(FakeCell &Cell) {
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      ElectionTime, [&] { return !Cell.leader().empty(); }));
  // Workers are looked at and the other nodes find the leader.
  Cell.Loop_.run(Millis{1500});
  return Cell.leader();
}

std::string otherThan(const std::string &Name) {
  return Name == "n1" ? "n2" : "n1";
}

void checkPromises(const FakeCell &Cell) {
  BOOST_TEST(Cell.Fleet_.DoubleRuns_.empty());
  BOOST_TEST(Cell.Fleet_.RunAfterDone_.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellTests)

BOOST_AUTO_TEST_CASE(JobRunsThroughANodeThatDoesNotLead) {
  FakeCell Cell(3, 3);
  const std::string Leader = elect(Cell);
  const auto Answer = Cell.submit(otherThan(Leader), jobId(1), 4, Millis{300});
  Cell.Loop_.run(Millis{100});
  BOOST_TEST_REQUIRE(accepted(Answer));
  Cell.Loop_.run(Millis{1000});
  for (const char *Node : {"n1", "n2", "n3"})
    BOOST_TEST((Cell.state(Node, jobId(1)) == CellJobState::Complete), Node);
  BOOST_TEST(Cell.Fleet_.Starts_.size() == 4U);
  checkPromises(Cell);
}

// Guards against a repeated submission that becomes a second job.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionIsOneJob) {
  FakeCell Cell(2, 2);
  elect(Cell);
  const auto First = Cell.submit("n1", jobId(1), 1, Millis{100});
  const auto Second = Cell.submit("n2", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1000});
  const auto Third = Cell.submit("n2", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(accepted(First));
  BOOST_TEST(accepted(Second));
  BOOST_TEST(accepted(Third));
  BOOST_TEST(Cell.Fleet_.Starts_.begin()->second == 1);
}

BOOST_AUTO_TEST_CASE(UnknownJobIsNotFound) {
  FakeCell Cell(1, 1);
  elect(Cell);
  BOOST_TEST(!Cell.state("n1", jobId(9)).has_value());
}

// Guards against work that a killed leader takes with it, or that runs twice.
BOOST_AUTO_TEST_CASE(KilledLeaderIsReplacedAtOnce) {
  FakeCell Cell(3, 3);
  const std::string Leader = elect(Cell);
  for (int Each = 1; Each <= 6; ++Each)
    Cell.submit(otherThan(Leader), jobId(Each), 3, Millis{2500});
  Cell.Loop_.run(Millis{1000});
  Cell.killNode(Leader);
  BOOST_TEST(Cell.Loop_.runUntil(Millis{1500}, [&] {
    return !Cell.leader().empty() && Cell.leader() != Leader;
  }));
  Cell.Loop_.run(Millis{6000});
  for (int Each = 1; Each <= 6; ++Each)
    BOOST_TEST(
        (Cell.state(Cell.leader(), jobId(Each)) == CellJobState::Complete));
  checkPromises(Cell);
}

// Guards against two leaders that give orders, and against a second run of
// what the old leader started in its cut.
BOOST_AUTO_TEST_CASE(LeaderCutOffFromAllIsFencedOut) {
  FakeCell Cell(3, 3);
  const std::string Leader = elect(Cell);
  for (int Each = 1; Each <= 4; ++Each)
    Cell.submit(otherThan(Leader), jobId(Each), 2, Millis{3000});
  Cell.Loop_.run(Millis{500});
  Cell.cutNode(Leader, true);
  Cell.Loop_.run(Millis{5000});
  const std::vector<std::string> Leaders = Cell.leaders();
  BOOST_TEST(std::count(Leaders.begin(), Leaders.end(), Leader) <= 1);
  Cell.cutNode(Leader, false);
  Cell.Loop_.run(Millis{6000});
  BOOST_TEST(Cell.leaders().size() == 1U);
  BOOST_TEST(Cell.leader() != Leader);
  for (int Each = 1; Each <= 4; ++Each)
    BOOST_TEST(
        (Cell.state(otherThan(Leader), jobId(Each)) == CellJobState::Complete));
  checkPromises(Cell);
}

// Guards against a node that is cut off from the leader alone and replaces it.
BOOST_AUTO_TEST_CASE(NodeThatLosesTheLeaderAloneDoesNotTakeOver) {
  FakeCell Cell(4, 2);
  const std::string Leader = elect(Cell);
  const std::string Lonely = otherThan(Leader);
  Cell.cutNode(Lonely, true);
  Cell.Rows_.Modes_[Lonely] = StoreMode::Good;
  Cell.Loop_.run(Millis{4500});
  BOOST_TEST(Cell.leader() == Leader);
}

// Guards against a lead that is lost to each node in turn while the answer to
// the winner's write is on its way, or lost.
BOOST_AUTO_TEST_CASE(LostAnswerOfAnElectionElectsOnce) {
  FakeCell Cell(3, 2);
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.Rows_.Modes_[Node] = StoreMode::LosesAnswers;
  Cell.Loop_.run(Millis{200});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.Rows_.Modes_[Node] = StoreMode::Good;
  elect(Cell);
  const std::int64_t Version = Cell.Rows_.Rows_[cell::leaderRow()].Version_;
  Cell.Loop_.run(Millis{5000});
  BOOST_TEST(Cell.Rows_.Rows_[cell::leaderRow()].Version_ == Version);
}

// Guards against "not run" for a job that was recorded.
BOOST_AUTO_TEST_CASE(LostAnswerOfAWriteIsNotARefusal) {
  FakeCell Cell(1, 1);
  elect(Cell);
  Cell.Rows_.Modes_["n1"] = StoreMode::LosesAnswers;
  const auto Answer = Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{3500});
  BOOST_TEST_REQUIRE(Answer->has_value());
  BOOST_TEST_REQUIRE(!(*Answer)->has_value());
  BOOST_TEST(((*Answer)->error().Effect_ == Effect::Unknown));
  Cell.Rows_.Modes_["n1"] = StoreMode::Good;
  Cell.Loop_.run(Millis{5000});
  BOOST_TEST((Cell.state("n1", jobId(1)) == CellJobState::Complete));
  checkPromises(Cell);
}

BOOST_AUTO_TEST_CASE(RefusedWriteIsNotRun) {
  FakeCell Cell(1, 1);
  elect(Cell);
  Cell.Rows_.Modes_["n1"] = StoreMode::Refuses;
  const auto Answer = Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{500});
  BOOST_TEST_REQUIRE(Answer->has_value());
  BOOST_TEST_REQUIRE(!(*Answer)->has_value());
  BOOST_TEST(((*Answer)->error().Effect_ == Effect::None));
  BOOST_TEST((*Answer)->error().RetryAfter_.Value_ > 0);
  Cell.Rows_.Modes_["n1"] = StoreMode::Good;
  Cell.Loop_.run(Millis{3000});
  BOOST_TEST(Cell.Fleet_.Starts_.empty());
}

// Guards against ends that are acknowledged before they are recorded: with
// the store away and the leader killed, the next leader must see them again.
BOOST_AUTO_TEST_CASE(EndsWaitForTheStore) {
  FakeCell Cell(3, 2);
  const std::string Leader = elect(Cell);
  Cell.submit(otherThan(Leader), jobId(1), 2, Millis{500});
  Cell.Loop_.run(Millis{200});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.Rows_.Modes_[Node] = StoreMode::Refuses;
  Cell.Loop_.run(Millis{1500});
  BOOST_TEST(Cell.Fleet_.NotedDone_.empty());
  BOOST_TEST((Cell.state(Leader, jobId(1)) == CellJobState::Active));
  Cell.killNode(Leader);
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.Rows_.Modes_[Node] = StoreMode::Good;
  Cell.Loop_.run(Millis{4000});
  BOOST_TEST(
      (Cell.state(otherThan(Leader), jobId(1)) == CellJobState::Complete));
  checkPromises(Cell);
}

// Guards against a leader that keeps the lead although only it cannot write.
BOOST_AUTO_TEST_CASE(LeaderThatCannotWriteHandsOver) {
  FakeCell Cell(3, 2);
  const std::string Leader = elect(Cell);
  Cell.Rows_.Modes_[Leader] = StoreMode::Refuses;
  for (int Each = 1; Each <= 20; ++Each) {
    Cell.submit(otherThan(Leader), jobId(Each), 1, Millis{100});
    Cell.Loop_.run(Millis{200});
  }
  BOOST_TEST(Cell.leader() != Leader);
  checkPromises(Cell);
}

// Guards against work that stops while the store is away for all nodes.
BOOST_AUTO_TEST_CASE(WorkGoesOnWhileTheStoreIsAway) {
  FakeCell Cell(3, 2);
  const std::string Leader = elect(Cell);
  Cell.submit(otherThan(Leader), jobId(1), 1, Millis{9500});
  Cell.Loop_.run(Millis{300});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.Rows_.Modes_[Node] = StoreMode::Refuses;
  Cell.Loop_.run(Millis{9500});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.Rows_.Modes_[Node] = StoreMode::Good;
  Cell.Loop_.run(Millis{2000});
  BOOST_TEST((Cell.state(Leader, jobId(1)) == CellJobState::Complete));
  BOOST_TEST(Cell.Fleet_.Starts_.begin()->second == 1);
}

// Guards against tasks of an earlier leader that run twice because their
// worker had left the registry when the next leader began.
BOOST_AUTO_TEST_CASE(NextLeaderKnowsWorkersThatLeftTheRegistry) {
  FakeCell Cell(3, 2);
  const std::string Leader = elect(Cell);
  Cell.submit(otherThan(Leader), jobId(1), 4, Millis{20000});
  Cell.Loop_.run(Millis{500});
  // The worker runs on, unreachable and unlisted.
  Cell.Fleet_.Workers_["w1"].Up_ = false;
  Cell.Loop_.run(Millis{2000});
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{4000});
  BOOST_TEST(!Cell.leader().empty());
  checkPromises(Cell);
}

BOOST_AUTO_TEST_CASE(PlannedStopPassesTheLeadOn) {
  FakeCell Cell(3, 2);
  const std::string Leader = elect(Cell);
  bool Done = false;
  Cell.member(Leader).resign([&] { Done = true; });
  BOOST_TEST(Cell.Loop_.runUntil(Millis{1000}, [&] {
    return !Cell.leader().empty() && Cell.leader() != Leader;
  }));
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(Done);
  BOOST_TEST(!Cell.member(Leader).ready());
  // A node that is leaving still serves its callers.
  const auto Answer = Cell.submit(Leader, jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(accepted(Answer));
}

// Guards against a start whose answer is lost and that is given twice.
BOOST_AUTO_TEST_CASE(LostStartAnswersDoubleNothing) {
  FakeCell Cell(2, 2);
  const std::string Leader = elect(Cell);
  for (auto &[Id, Each] : Cell.Fleet_.Workers_)
    Each.LosesStarts_ = true;
  for (int Each = 1; Each <= 5; ++Each)
    Cell.submit(Leader, jobId(Each), 2, Millis{2000});
  Cell.Loop_.run(Millis{6000});
  for (int Each = 1; Each <= 5; ++Each)
    BOOST_TEST((Cell.state(Leader, jobId(Each)) == CellJobState::Complete));
  checkPromises(Cell);
  for (const auto &[Task, Count] : Cell.Fleet_.Starts_)
    BOOST_TEST(Count == 1, Task);
}

BOOST_AUTO_TEST_CASE(CanceledJobIsAcknowledgedAndStopped) {
  FakeCell Cell(2, 2);
  const std::string Leader = elect(Cell);
  Cell.submit(Leader, jobId(1), 3, Millis{20000});
  Cell.Loop_.run(Millis{300});
  cell::CallerRequest Cancel;
  Cancel.Verb_ = cell::CallerVerb::Cancel;
  Cancel.Id_ = jobId(1);
  const auto Answer = Cell.call(otherThan(Leader), Cancel);
  Cell.Loop_.run(Millis{500});
  BOOST_TEST(accepted(Answer));
  BOOST_TEST((Cell.state(Leader, jobId(1)) == CellJobState::Canceled));
  for (const auto &[Id, Each] : Cell.Fleet_.Workers_)
    BOOST_TEST(Each.Running_.empty(), Id);
}

// Guards against rows of ended jobs that grow without bound.
BOOST_AUTO_TEST_CASE(EndedJobsAreForgotten) {
  FakeCell Cell(1, 1);
  elect(Cell);
  Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1000});
  // Of an ended job only the state is kept, for as long as it may be asked for.
  BOOST_TEST(Cell.Rows_.Rows_.count(cell::jobRow(jobId(1))) == 0U);
  BOOST_TEST(Cell.Rows_.Rows_.count(cell::progressRow(jobId(1))) == 1U);
  Cell.Loop_.run(Millis{130000});
  BOOST_TEST(Cell.Rows_.Rows_.count(cell::jobRow(jobId(1))) == 0U);
  BOOST_TEST(Cell.Rows_.Rows_.count(cell::progressRow(jobId(1))) == 0U);
}

// Guards against an ended job that a new leader does not know, or runs again.
BOOST_AUTO_TEST_CASE(EndedJobIsKnownToTheNextLeader) {
  FakeCell Cell(3, 3);
  const std::string Leader = elect(Cell);
  Cell.submit(Leader, jobId(1), 2, Millis{100});
  Cell.Loop_.run(Millis{1000});
  const std::string Other = otherThan(Leader);
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{3000});
  BOOST_TEST((Cell.state(Other, jobId(1)) == CellJobState::Complete));
  const auto Again = Cell.submit(Other, jobId(1), 2, Millis{100});
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(accepted(Again));
  for (const auto &[Task, Starts] : Cell.Fleet_.Starts_)
    BOOST_TEST(Starts == 1, Task);
  checkPromises(Cell);
}

// Guards against a new leader on a slow link that reads the same large page
// again and again.
BOOST_AUTO_TEST_CASE(LeaderOnASlowLinkLoadsSmallerPages) {
  FakeCell Cell(2, 2);
  const std::string Leader = elect(Cell);
  Cell.submit(Leader, jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{500});
  Cell.Rows_.MostRows_ = 100;
  const std::string Other = otherThan(Leader);
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{5000});
  BOOST_TEST(Cell.leader() == Other);
  BOOST_TEST((Cell.state(Other, jobId(1)) == CellJobState::Complete));
}

// Guards against a cell that waits for a leader which never gets its rows.
BOOST_AUTO_TEST_CASE(LeaderThatCannotLoadIsReplaced) {
  FakeCell Cell(3, 2);
  const std::string Leader = elect(Cell);
  const std::string Slow = otherThan(Leader);
  Cell.Rows_.NeverReads_.insert(Slow);
  for (const char *Each : {"n1", "n2", "n3"})
    if (Each != Leader && Each != Slow)
      Cell.cutNode(Each, true);
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{12000});
  for (const char *Each : {"n1", "n2", "n3"})
    if (Each != Leader)
      Cell.cutNode(Each, false);
  BOOST_TEST(Cell.Loop_.runUntil(Millis{12000},
                                 [&] { return !Cell.leader().empty(); }));
  BOOST_TEST(Cell.leader() != Slow);
}

// Guards against a slow store that takes one group of rows at a time: 300 jobs
// were recorded at 45 rows in each 300 ms.
BOOST_AUTO_TEST_CASE(SlowStoreGetsSeveralTransactionsAtOnce) {
  constexpr int Jobs = 300;
  FakeCell Cell(2, 3);
  const std::string Leader = elect(Cell);
  Cell.Rows_.Delay_ = Millis{300};
  std::vector<std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>>
      Answers;
  for (int Each = 1; Each <= Jobs; ++Each)
    Answers.push_back(Cell.submit(Leader, jobId(Each), 1, Millis{50}));
  Cell.Loop_.run(Millis{1200});
  for (const auto &Each : Answers)
    BOOST_TEST(accepted(Each));
  Cell.Loop_.run(Millis{6000});
  for (const int Each : {1, Jobs / 2, Jobs})
    BOOST_TEST((Cell.state(Leader, jobId(Each)) == CellJobState::Complete));
  checkPromises(Cell);
}

BOOST_AUTO_TEST_SUITE_END()
