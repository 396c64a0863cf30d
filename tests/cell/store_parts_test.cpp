// A part of the store that is not served must not stop the whole cell.

#include "tests/cell/fake_cell.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

using PendingAnswer =
    std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>;
using CellJobState = dispatch::JobState;

const char *const FirstSpare = cell::SpareParts.front();
constexpr int Tasks = 2;
constexpr Millis TaskDuration{100};

std::string waitForLeader(FakeCell &Cell) {
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(
      Millis{20000}, [&] { return !Cell.leader().empty(); }));
  Cell.Loop_.run(Millis{1500});
  return Cell.leader();
}

std::string nodeOtherThan(const std::string &Name) {
  return Name == "n1" ? "n2" : "n1";
}

bool accepted(const PendingAnswer &Reply) { return *Reply && **Reply; }

bool refusedAsNotRun(const PendingAnswer &Reply) {
  return *Reply && !**Reply && (*Reply)->error().Effect_ == Effect::None;
}

/// Submits jobs at all nodes, ten in a second.
std::vector<PendingAnswer> submitJobs(FakeCell &Cell, int First, int Last) {
  constexpr Millis Pause{100};
  std::vector<PendingAnswer> Answers;
  for (int Job = First; Job <= Last; ++Job) {
    Answers.push_back(Cell.submit("n" + std::to_string(1 + Job % 3), jobId(Job),
                                  Tasks, TaskDuration));
    Cell.Loop_.run(Pause);
  }
  return Answers;
}

std::size_t countRows(const FakeCell &Cell, const std::string &Part) {
  return static_cast<std::size_t>(
      std::count_if(Cell.StoreState_.Rows_.begin(),
                    Cell.StoreState_.Rows_.end(), [&](const auto &Row) {
                      return Row.first.Partition_ == Part &&
                             (Row.first.Table_ == cell::JobsTable ||
                              Row.first.Table_ == cell::ProgressTable);
                    }));
}

void checkEachRanOnce(FakeCell &Cell, const std::string &Node, int First,
                      int Last) {
  for (int Job = First; Job <= Last; ++Job) {
    BOOST_TEST((Cell.state(Node, jobId(Job)) == CellJobState::Complete),
               "job " << Job);
    for (int Task = 0; Task < Tasks; ++Task)
      BOOST_TEST(
          Cell.Fleet_.Starts_[jobId(Job) + ".0.0." + std::to_string(Task)] == 1,
          "job " << Job);
  }
  BOOST_TEST(Cell.Fleet_.ConcurrentRuns_.empty());
  BOOST_TEST(Cell.Fleet_.StartedAfterAcknowledgement_.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(StorePartTests)

// Guards against a store that rejects one part and stops the whole cell.
BOOST_DATA_TEST_CASE(JobsAreAcceptedWhileAPartOfTheStoreFails,
                     boost::unit_test::data::make({cell::MainPart, FirstSpare}),
                     Part) {
  constexpr int Jobs = 20;
  FakeCell Cell(3, 4);
  const std::string Leader = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_.insert(Part);
  const std::vector<PendingAnswer> Answers = submitJobs(Cell, 1, Jobs);
  Cell.Loop_.run(Millis{2000});
  const auto Accepted = std::count_if(Answers.begin(), Answers.end(), accepted);
  BOOST_TEST_MESSAGE("accepted " << Accepted << " of " << Jobs << " jobs");
  BOOST_TEST(Accepted >= Jobs / 2);
  BOOST_TEST(Cell.leader() == Leader);
  BOOST_TEST(Accepted == Jobs);
  checkEachRanOnce(Cell, Leader, 1, Jobs);
}

// Guards against jobs that only the leader which accepted them knows.
BOOST_AUTO_TEST_CASE(JobsOfTheSparePartOutliveTheirLeader) {
  constexpr int Jobs = 6;
  FakeCell Cell(3, 4);
  const std::string First = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_ = {cell::MainPart};
  Cell.submitLongRunning(First, jobId(Jobs + 1), 1);
  submitJobs(Cell, 1, Jobs);
  BOOST_TEST(countRows(Cell, FirstSpare) > 0U);
  BOOST_TEST(countRows(Cell, cell::MainPart) == 0U);
  Cell.killNode(First);
  Cell.Loop_.run(Millis{3000});
  Cell.StoreState_.RejectedParts_.clear();
  const std::string Second = waitForLeader(Cell);
  BOOST_TEST(Second != First);
  checkEachRanOnce(Cell, Second, 1, Jobs);
  BOOST_TEST((Cell.state(Second, jobId(Jobs + 1)) == CellJobState::Active));
}

// Guards against a second job under the id of one in the other part.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionInOtherPartStaysOneJob) {
  FakeCell Cell(3, 4);
  const std::string First = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_ = {cell::MainPart};
  BOOST_TEST_REQUIRE(accepted(submitJobs(Cell, 1, 1).front()));
  Cell.StoreState_.RejectedParts_.clear();
  BOOST_TEST(accepted(submitJobs(Cell, 1, 1).front()));
  Cell.killNode(First);
  const std::string Second = waitForLeader(Cell);
  const auto Repeated = Cell.submit(Second, jobId(1), Tasks, TaskDuration);
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(accepted(Repeated));
  BOOST_TEST(countRows(Cell, cell::MainPart) == 0U);
  checkEachRanOnce(Cell, Second, 1, 1);
}

// Guards against a new leader that acts before it knows all jobs: it would
// take those of the rejected part for jobs that do not exist.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsForTheSparePart) {
  FakeCell Cell(3, 4);
  const std::string First = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_ = {cell::MainPart};
  BOOST_TEST_REQUIRE(accepted(submitJobs(Cell, 1, 1).front()));
  Cell.StoreState_.RejectedParts_ = {FirstSpare};
  Cell.killNode(First);
  Cell.Loop_.run(Millis{3000});
  const std::string Node = nodeOtherThan(First);
  const auto Early = Cell.submit(Node, jobId(1), Tasks, TaskDuration);
  Cell.Loop_.run(Millis{3000});
  BOOST_TEST(!accepted(Early));
  BOOST_TEST(!Cell.state(Node, jobId(1)).has_value());
  Cell.StoreState_.RejectedParts_.clear();
  const std::string Second = waitForLeader(Cell);
  checkEachRanOnce(Cell, Second, 1, 1);
}

// Guards against ends that are forgotten while their part is not served.
BOOST_AUTO_TEST_CASE(EndsAreRecordedOnceThePartIsServedAgain) {
  constexpr int Jobs = 3;
  FakeCell Cell(3, 4);
  const std::string Leader = waitForLeader(Cell);
  submitJobs(Cell, 1, Jobs);
  Cell.StoreState_.RejectedParts_ = {cell::MainPart};
  submitJobs(Cell, Jobs + 1, 2 * Jobs);
  Cell.Loop_.run(Millis{4000});
  Cell.StoreState_.RejectedParts_.clear();
  Cell.Loop_.run(Millis{1000});
  checkEachRanOnce(Cell, Leader, 1, 2 * Jobs);
  BOOST_TEST(Cell.Fleet_.AcknowledgedTasks_.size() ==
             std::size_t{2} * Jobs * Tasks);
}

// Guards against a former leader that goes on writing to the spare part while
// it cannot see the leader row of the main one.
BOOST_AUTO_TEST_CASE(FormerLeaderWritesNothingToTheSparePart) {
  FakeCell Cell(3, 4);
  const std::string First = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_ = {cell::MainPart};
  BOOST_TEST_REQUIRE(accepted(submitJobs(Cell, 1, 1).front()));
  StoredRow &Claim = Cell.StoreState_.Rows_.at(cell::leaderRow(FirstSpare));
  Claim.Version_ = ++Cell.StoreState_.Version_;
  const auto Late = Cell.submit(First, jobId(2), Tasks, TaskDuration);
  Cell.Loop_.run(Millis{300});
  BOOST_TEST(!accepted(Late));
  BOOST_TEST(Cell.StoreState_.Rows_.count(cell::jobRow(jobId(2), FirstSpare)) ==
             0U);
  BOOST_TEST(Cell.leader() != First);
}

// Guards against jobs that wait, or are refused for good, once all parts have
// failed. Then only the last part is served again.
BOOST_AUTO_TEST_CASE(JobsAreRefusedAtOnceWhileNoPartIsServed) {
  constexpr int Jobs = 10;
  FakeCell Cell(3, 4);
  const std::string Leader = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_ = {cell::SpareParts.begin(),
                                     cell::SpareParts.end()};
  Cell.StoreState_.RejectedParts_.insert(cell::MainPart);
  const std::vector<PendingAnswer> Refused = submitJobs(Cell, 1, Jobs);
  BOOST_TEST(std::all_of(Refused.begin(), Refused.end(), refusedAsNotRun));
  BOOST_TEST(Cell.Fleet_.Starts_.empty());
  Cell.StoreState_.RejectedParts_.erase(cell::SpareParts.back());
  const std::vector<PendingAnswer> Accepted = submitJobs(Cell, 1, Jobs);
  BOOST_TEST(std::count_if(Accepted.begin(), Accepted.end(), accepted) >=
             Jobs / 2);
  Cell.StoreState_.RejectedParts_.clear();
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(Cell.leader() == Leader);
}

// Guards against jobs that are refused when the main part fails, since the
// spare ones failed long before and have not been tried since.
BOOST_AUTO_TEST_CASE(SparePartsThatFailedLongBeforeAreTriedAgain) {
  constexpr int Jobs = 3;
  FakeCell Cell(3, 4);
  const std::string Leader = waitForLeader(Cell);
  Cell.StoreState_.RejectedParts_ = {cell::SpareParts.begin(),
                                     cell::SpareParts.end()};
  Cell.StoreState_.RejectedParts_.insert(cell::MainPart);
  submitJobs(Cell, 1, Jobs);
  Cell.StoreState_.RejectedParts_.clear();
  Cell.Loop_.run(Millis{5000});
  Cell.StoreState_.RejectedParts_ = {cell::MainPart};
  std::vector<PendingAnswer> Answers;
  for (int Job = Jobs + 1; Job <= 2 * Jobs; ++Job)
    Answers.push_back(Cell.submit(Leader, jobId(Job), Tasks, TaskDuration));
  Cell.Loop_.run(Millis{1000});
  BOOST_TEST(Cell.leader() == Leader);
  BOOST_TEST(std::all_of(Answers.begin(), Answers.end(), accepted));
  checkEachRanOnce(Cell, Leader, Jobs + 1, 2 * Jobs);
}

BOOST_AUTO_TEST_SUITE_END()
