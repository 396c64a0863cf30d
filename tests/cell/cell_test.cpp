#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

using CellJobState = dispatch::JobState;

constexpr Millis ElectionTimeout{4000};

bool accepted(
    const std::shared_ptr<std::optional<Result<cell::CallerAnswer>>> &Answer) {
  return Answer->has_value() && (*Answer)->has_value();
}

/// Waits until the cell has a leader and returns the name of its node.
std::string waitForLeader(FakeCell &Cell) {
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      ElectionTimeout, [&] { return !Cell.leader().empty(); }));
  // Gives the leader time to poll the workers, and the other nodes to find it.
  Cell.Loop_.run(Millis{1500});
  return Cell.leader();
}

std::string nodeOtherThan(const std::string &Name) {
  return Name == "n1" ? "n2" : "n1";
}

void checkNoRepeatedRuns(const FakeCell &Cell) {
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
  BOOST_TEST(Cell.Fleet_.StartedAfterAcknowledgement_.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellTests)

BOOST_AUTO_TEST_CASE(JobSubmittedToFollowerRuns) {
  FakeCell Cell(3, 3);
  const std::string Leader = waitForLeader(Cell);
  const auto Answer =
      Cell.submit(nodeOtherThan(Leader), jobId(1), 4, Millis{300});
  Cell.Loop_.run(Millis{100});
  BOOST_TEST_REQUIRE(accepted(Answer));
  Cell.Loop_.run(Millis{1000});
  for (const char *Node : {"n1", "n2", "n3"})
    BOOST_TEST((Cell.state(Node, jobId(1)) == CellJobState::Complete), Node);
  BOOST_TEST(Cell.Fleet_.Starts_.size() == 4U);
  checkNoRepeatedRuns(Cell);
}

// Guards against a repeated submission that creates a second job.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionCreatesOneJob) {
  FakeCell Cell(2, 2);
  waitForLeader(Cell);
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
  waitForLeader(Cell);
  BOOST_TEST(!Cell.state("n1", jobId(9)).has_value());
}

// Guards against tasks that are lost or run twice when the leader is killed.
BOOST_AUTO_TEST_CASE(KilledLeaderIsReplacedAtOnce) {
  FakeCell Cell(3, 3);
  const std::string Leader = waitForLeader(Cell);
  for (int Job = 1; Job <= 6; ++Job)
    Cell.submit(nodeOtherThan(Leader), jobId(Job), 3, Millis{2500});
  Cell.Loop_.run(Millis{1000});
  Cell.killNode(Leader);
  BOOST_TEST(Cell.Loop_.runUntil(Millis{1500}, [&] {
    return !Cell.leader().empty() && Cell.leader() != Leader;
  }));
  Cell.Loop_.run(Millis{6000});
  for (int Job = 1; Job <= 6; ++Job)
    BOOST_TEST(
        (Cell.state(Cell.leader(), jobId(Job)) == CellJobState::Complete));
  checkNoRepeatedRuns(Cell);
}

// Guards against two leaders that send orders, and against tasks of an isolated
// leader that run twice.
BOOST_AUTO_TEST_CASE(IsolatedLeaderIsReplacedAndFenced) {
  FakeCell Cell(3, 3);
  const std::string Leader = waitForLeader(Cell);
  for (int Job = 1; Job <= 4; ++Job)
    Cell.submit(nodeOtherThan(Leader), jobId(Job), 2, Millis{3000});
  Cell.Loop_.run(Millis{500});
  Cell.setIsolated(Leader, true);
  Cell.Loop_.run(Millis{5000});
  const std::vector<std::string> Leaders = Cell.leaders();
  BOOST_TEST(std::count(Leaders.begin(), Leaders.end(), Leader) <= 1);
  Cell.setIsolated(Leader, false);
  Cell.Loop_.run(Millis{6000});
  BOOST_TEST(Cell.leaders().size() == 1U);
  BOOST_TEST(Cell.leader() != Leader);
  for (int Job = 1; Job <= 4; ++Job)
    BOOST_TEST((Cell.state(nodeOtherThan(Leader), jobId(Job)) ==
                CellJobState::Complete));
  checkNoRepeatedRuns(Cell);
}

// Guards against tasks that start elsewhere, at once or at a takeover, because
// another process has overwritten the registry entry of their worker.
BOOST_AUTO_TEST_CASE(OverwrittenEntriesDoNotRepeatRuns) {
  FakeCell Cell(3, 3);
  const std::string Leader = waitForLeader(Cell);
  for (int Job = 1; Job <= 4; ++Job)
    Cell.submit(Leader, jobId(Job), 3, Millis{6000});
  Cell.Loop_.run(Millis{500});
  Cell.Fleet_.UnusableEntries_ = {"w1", "w2"};
  Cell.Loop_.run(Millis{2500});
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{2000});
  Cell.Fleet_.UnusableEntries_.clear();
  Cell.Loop_.run(Millis{6000});
  for (int Job = 1; Job <= 4; ++Job)
    BOOST_TEST(
        (Cell.state(Cell.leader(), jobId(Job)) == CellJobState::Complete));
  for (const auto &[Task, Starts] : Cell.Fleet_.Starts_)
    BOOST_TEST(Starts == 1, Task);
  checkNoRepeatedRuns(Cell);
}

// Guards against nodes that end because of a leader row of another form.
BOOST_AUTO_TEST_CASE(LeaderRowOfAnotherFormEndsNoNode) {
  FakeCell Cell(2, 1);
  Cell.StoreState_.Rows_[cell::leaderRow()] =
      StoredRow{cell::leaderRow(), R"({"epoch":{}})", 1};
  Cell.Loop_.run(Millis{3000});
  BOOST_TEST(Cell.leader().empty());
}

// Guards against a worker that gets no more tasks because its entry has been
// overwritten.
BOOST_AUTO_TEST_CASE(WorkersWithOverwrittenEntriesStayInUse) {
  FakeCell Cell(1, 1);
  waitForLeader(Cell);
  Cell.Fleet_.UnusableEntries_ = {"w1"};
  Cell.Loop_.run(Millis{5000});
  Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{2000});
  BOOST_TEST((Cell.state("n1", jobId(1)) == CellJobState::Complete));
}

// Guards against a node that takes over although only it has lost contact with
// the leader.
BOOST_AUTO_TEST_CASE(NodeIsolatedFromLeaderDoesNotTakeOver) {
  FakeCell Cell(4, 2);
  const std::string Leader = waitForLeader(Cell);
  const std::string Isolated = nodeOtherThan(Leader);
  Cell.setIsolated(Isolated, true);
  Cell.StoreState_.StoreModes_[Isolated] = StoreMode::Healthy;
  Cell.Loop_.run(Millis{4500});
  BOOST_TEST(Cell.leader() == Leader);
}

// Guards against repeated elections while the reply to the winner's write is
// delayed or lost.
BOOST_AUTO_TEST_CASE(LostElectionReplyCausesNoSecondElection) {
  FakeCell Cell(3, 2);
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::LosesReplies;
  Cell.Loop_.run(Millis{200});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Healthy;
  waitForLeader(Cell);
  const std::int64_t Version =
      Cell.StoreState_.Rows_[cell::leaderRow()].Version_;
  Cell.Loop_.run(Millis{5000});
  BOOST_TEST(Cell.StoreState_.Rows_[cell::leaderRow()].Version_ == Version);
}

// Guards against refusing a job although it was recorded and will run.
BOOST_AUTO_TEST_CASE(LostWriteReplyIsNotARejection) {
  FakeCell Cell(1, 1);
  waitForLeader(Cell);
  Cell.StoreState_.StoreModes_["n1"] = StoreMode::LosesReplies;
  const auto Answer = Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{3500});
  BOOST_TEST_REQUIRE(Answer->has_value());
  BOOST_TEST_REQUIRE(!(*Answer)->has_value());
  BOOST_TEST(((*Answer)->error().Effect_ == Effect::Unknown));
  Cell.StoreState_.StoreModes_["n1"] = StoreMode::Healthy;
  Cell.Loop_.run(Millis{5000});
  BOOST_TEST((Cell.state("n1", jobId(1)) == CellJobState::Complete));
  checkNoRepeatedRuns(Cell);
}

BOOST_AUTO_TEST_CASE(RejectedWriteIsNotRun) {
  FakeCell Cell(1, 1);
  waitForLeader(Cell);
  Cell.StoreState_.StoreModes_["n1"] = StoreMode::Rejects;
  const auto Answer = Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{500});
  BOOST_TEST_REQUIRE(Answer->has_value());
  BOOST_TEST_REQUIRE(!(*Answer)->has_value());
  BOOST_TEST(((*Answer)->error().Effect_ == Effect::None));
  BOOST_TEST((*Answer)->error().RetryAfter_.Value_ > 0);
  Cell.StoreState_.StoreModes_["n1"] = StoreMode::Healthy;
  Cell.Loop_.run(Millis{3000});
  BOOST_TEST(Cell.Fleet_.Starts_.empty());
}

// Guards against an attempt that cannot be answered in time, after which the
// caller has to assume that its job may run.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionWithLittleTimeLeftIsAnswered) {
  FakeCell Cell(2, 1);
  const std::string Leader = waitForLeader(Cell);
  cell::CallerRequest Request;
  Request.Verb_ = cell::CallerVerb::Submit;
  Request.Queue_ = "queue";
  Request.Timeout_ = Millis{100};
  Request.Spec_.Queue_ = "queue";
  Request.Spec_.Payload_ = "100";
  dispatch::StepSpec Step;
  Step.Count_ = 1;
  Step.Size_ = dispatch::Size{500, 100, 0};
  Request.Spec_.Steps_ = {Step};
  const auto Submit = [&](int Job) {
    Request.Id_ = Request.Spec_.Id_ = jobId(Job);
    const auto Answer = Cell.call(nodeOtherThan(Leader), Request);
    Cell.Loop_.run(Request.Timeout_);
    BOOST_TEST_REQUIRE(Answer->has_value());
    return *Answer;
  };
  BOOST_TEST(Submit(1)->has_value());
  for (const char *Node : {"n1", "n2"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Rejects;
  const auto Rejected = Submit(2);
  BOOST_TEST_REQUIRE(!Rejected->has_value());
  BOOST_TEST((Rejected->error().Effect_ == Effect::None));
}

// Guards against acknowledging the end of a task to its worker before the end
// is recorded: if the leader is killed during a store outage, the next leader
// must get the end from the worker again.
BOOST_AUTO_TEST_CASE(EndsAreAcknowledgedAfterRecording) {
  FakeCell Cell(3, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(nodeOtherThan(Leader), jobId(1), 2, Millis{500});
  Cell.Loop_.run(Millis{200});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Rejects;
  Cell.Loop_.run(Millis{1500});
  BOOST_TEST(Cell.Fleet_.AcknowledgedTasks_.empty());
  BOOST_TEST((Cell.state(Leader, jobId(1)) == CellJobState::Active));
  Cell.killNode(Leader);
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Healthy;
  Cell.Loop_.run(Millis{4000});
  BOOST_TEST(
      (Cell.state(nodeOtherThan(Leader), jobId(1)) == CellJobState::Complete));
  checkNoRepeatedRuns(Cell);
}

// Guards against a leader that keeps leadership although only it cannot write.
BOOST_AUTO_TEST_CASE(LeaderThatCannotWriteHandsOver) {
  FakeCell Cell(3, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.StoreState_.StoreModes_[Leader] = StoreMode::Rejects;
  for (int Job = 1; Job <= 20; ++Job) {
    Cell.submit(nodeOtherThan(Leader), jobId(Job), 1, Millis{100});
    Cell.Loop_.run(Millis{200});
  }
  BOOST_TEST(Cell.leader() != Leader);
  checkNoRepeatedRuns(Cell);
}

// Guards against tasks that stop while the store is unavailable to all nodes.
BOOST_AUTO_TEST_CASE(TasksContinueDuringStoreOutage) {
  FakeCell Cell(3, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(nodeOtherThan(Leader), jobId(1), 1, Millis{9500});
  Cell.Loop_.run(Millis{300});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Rejects;
  Cell.Loop_.run(Millis{9500});
  for (const char *Node : {"n1", "n2", "n3"})
    Cell.StoreState_.StoreModes_[Node] = StoreMode::Healthy;
  Cell.Loop_.run(Millis{2000});
  BOOST_TEST((Cell.state(Leader, jobId(1)) == CellJobState::Complete));
  BOOST_TEST(Cell.Fleet_.Starts_.begin()->second == 1);
}

// Guards against orders to workers that have long been cut off, which hold
// their tasks until the leases there have ended.
BOOST_AUTO_TEST_CASE(WorkersThatAreCutOffGetNoTasksAfterTwoPolls) {
  constexpr int Jobs = 10;
  FakeCell Cell(3, 10);
  const std::string Leader = waitForLeader(Cell);
  for (const char *Worker : {"w1", "w2"})
    Cell.Fleet_.Workers_.at(Worker).CutOff_ = true;
  // A long poll of 2 s is open, and the poll that follows ends after 0.7 s.
  Cell.Loop_.run(Millis{4000});
  for (int Job = 1; Job <= Jobs; ++Job)
    Cell.submit(nodeOtherThan(Leader), jobId(Job), 4, Millis{300});
  Cell.Loop_.run(Millis{1500});
  int Complete = 0;
  for (int Job = 1; Job <= Jobs; ++Job)
    Complete +=
        Cell.state(Leader, jobId(Job)) == CellJobState::Complete ? 1 : 0;
  BOOST_TEST(Complete == Jobs);
  checkNoRepeatedRuns(Cell);
}

// Guards against tasks that run twice because their worker was no longer in the
// registry when the next leader was elected.
BOOST_AUTO_TEST_CASE(NextLeaderKnowsWorkersThatLeftTheRegistry) {
  FakeCell Cell(3, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(nodeOtherThan(Leader), jobId(1), 4, Millis{20000});
  Cell.Loop_.run(Millis{500});
  // The worker continues to run its tasks, but cannot be reached and is no
  // longer in the registry.
  Cell.Fleet_.Workers_["w1"].Reachable_ = false;
  Cell.Loop_.run(Millis{2000});
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{4000});
  BOOST_TEST(!Cell.leader().empty());
  checkNoRepeatedRuns(Cell);
}

// Guards against a task that runs twice: polls extend the leases of a worker
// whose replies are all lost.
BOOST_AUTO_TEST_CASE(LostPollRepliesStartNothingTwice) {
  FakeCell Cell(1, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(Leader, jobId(1), 1, Millis{60000});
  Cell.Loop_.run(Millis{1000});
  for (auto &[Id, State] : Cell.Fleet_.Workers_)
    if (!State.Running_.empty())
      State.LosesPollReplies_ = true;
  Cell.Loop_.run(Millis{20000});
  checkNoRepeatedRuns(Cell);
}

BOOST_AUTO_TEST_CASE(PlannedStopHandsOverLeadership) {
  FakeCell Cell(3, 2);
  const std::string Leader = waitForLeader(Cell);
  bool Done = false;
  Cell.member(Leader).resign([&] { Done = true; });
  BOOST_TEST(Cell.Loop_.runUntil(Millis{1000}, [&] {
    return !Cell.leader().empty() && Cell.leader() != Leader;
  }));
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(Done);
  BOOST_TEST(!Cell.member(Leader).ready());
  // A resigned node still serves its callers.
  const auto Answer = Cell.submit(Leader, jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(accepted(Answer));
}

// Guards against tasks that are started twice because the reply to the first
// start was lost.
BOOST_AUTO_TEST_CASE(LostStartRepliesStartNothingTwice) {
  FakeCell Cell(2, 2);
  const std::string Leader = waitForLeader(Cell);
  for (auto &[Id, Worker] : Cell.Fleet_.Workers_)
    Worker.LosesStartReplies_ = true;
  for (int Job = 1; Job <= 5; ++Job)
    Cell.submit(Leader, jobId(Job), 2, Millis{2000});
  Cell.Loop_.run(Millis{6000});
  for (int Job = 1; Job <= 5; ++Job)
    BOOST_TEST((Cell.state(Leader, jobId(Job)) == CellJobState::Complete));
  checkNoRepeatedRuns(Cell);
  for (const auto &[Task, Count] : Cell.Fleet_.Starts_)
    BOOST_TEST(Count == 1, Task);
}

BOOST_AUTO_TEST_CASE(CanceledJobIsAcknowledgedAndStopped) {
  FakeCell Cell(2, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(Leader, jobId(1), 3, Millis{20000});
  Cell.Loop_.run(Millis{300});
  cell::CallerRequest Cancel;
  Cancel.Verb_ = cell::CallerVerb::Cancel;
  Cancel.Id_ = jobId(1);
  const auto Answer = Cell.call(nodeOtherThan(Leader), Cancel);
  Cell.Loop_.run(Millis{500});
  BOOST_TEST(accepted(Answer));
  BOOST_TEST((Cell.state(Leader, jobId(1)) == CellJobState::Canceled));
  for (const auto &[Id, Worker] : Cell.Fleet_.Workers_)
    BOOST_TEST(Worker.Running_.empty(), Id);
}

// Guards against unbounded growth of the rows of ended jobs.
BOOST_AUTO_TEST_CASE(RowsOfEndedJobsAreRemoved) {
  FakeCell Cell(1, 1);
  waitForLeader(Cell);
  Cell.submit("n1", jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{1000});
  // Only the progress row of an ended job is kept while its state can be
  // queried.
  BOOST_TEST(Cell.StoreState_.Rows_.count(cell::jobRow(jobId(1))) == 0U);
  BOOST_TEST(Cell.StoreState_.Rows_.count(cell::progressRow(jobId(1))) == 1U);
  Cell.Loop_.run(Millis{130000});
  BOOST_TEST(Cell.StoreState_.Rows_.count(cell::jobRow(jobId(1))) == 0U);
  BOOST_TEST(Cell.StoreState_.Rows_.count(cell::progressRow(jobId(1))) == 0U);
}

// Guards against a new leader that does not know a job that has ended, or runs
// it again.
BOOST_AUTO_TEST_CASE(NextLeaderKnowsEndedJob) {
  FakeCell Cell(3, 3);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(Leader, jobId(1), 2, Millis{100});
  Cell.Loop_.run(Millis{1000});
  const std::string Other = nodeOtherThan(Leader);
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{3000});
  BOOST_TEST((Cell.state(Other, jobId(1)) == CellJobState::Complete));
  const auto Again = Cell.submit(Other, jobId(1), 2, Millis{100});
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(accepted(Again));
  for (const auto &[Task, Starts] : Cell.Fleet_.Starts_)
    BOOST_TEST(Starts == 1, Task);
  checkNoRepeatedRuns(Cell);
}

// Guards against a new leader that never loads its rows because they are read
// in pages that are too large for its slow link.
BOOST_AUTO_TEST_CASE(LeaderOnSlowLinkLoadsSmallerPages) {
  FakeCell Cell(2, 2);
  const std::string Leader = waitForLeader(Cell);
  Cell.submit(Leader, jobId(1), 1, Millis{100});
  Cell.Loop_.run(Millis{500});
  Cell.StoreState_.MaxPageRows_ = 100;
  const std::string Other = nodeOtherThan(Leader);
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{5000});
  BOOST_TEST(Cell.leader() == Other);
  BOOST_TEST((Cell.state(Other, jobId(1)) == CellJobState::Complete));
}

// Guards against a cell without a working leader because the elected node
// cannot load the rows of the store.
BOOST_AUTO_TEST_CASE(LeaderThatCannotLoadIsReplaced) {
  FakeCell Cell(3, 2);
  const std::string Leader = waitForLeader(Cell);
  const std::string Slow = nodeOtherThan(Leader);
  Cell.StoreState_.NodesWithoutJobReads_.insert(Slow);
  for (const char *Node : {"n1", "n2", "n3"})
    if (Node != Leader && Node != Slow)
      Cell.setIsolated(Node, true);
  Cell.killNode(Leader);
  Cell.Loop_.run(Millis{12000});
  for (const char *Node : {"n1", "n2", "n3"})
    if (Node != Leader)
      Cell.setIsolated(Node, false);
  BOOST_TEST(Cell.Loop_.runUntil(Millis{12000},
                                 [&] { return !Cell.leader().empty(); }));
  BOOST_TEST(Cell.leader() != Slow);
}

// Guards against sending only one transaction at a time to a slow store: of 300
// jobs, only 45 rows were recorded per 300 ms.
BOOST_AUTO_TEST_CASE(SlowStoreGetsConcurrentTransactions) {
  constexpr int JobCount = 300;
  FakeCell Cell(2, 3);
  const std::string Leader = waitForLeader(Cell);
  Cell.StoreState_.Delay_ = Millis{300};
  std::vector<std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>>
      Answers;
  for (int Job = 1; Job <= JobCount; ++Job)
    Answers.push_back(Cell.submit(Leader, jobId(Job), 1, Millis{50}));
  Cell.Loop_.run(Millis{1200});
  for (const auto &Answer : Answers)
    BOOST_TEST(accepted(Answer));
  Cell.Loop_.run(Millis{6000});
  for (const int Job : {1, JobCount / 2, JobCount})
    BOOST_TEST((Cell.state(Leader, jobId(Job)) == CellJobState::Complete));
  checkNoRepeatedRuns(Cell);
}

BOOST_AUTO_TEST_SUITE_END()
