// Requests that are handled after their callers have given up, and what a
// leader that has been replaced answers.

#include "tests/cell/fake_cell.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

using PendingAnswer =
    std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>;

constexpr Millis ElectionTimeout{4000};
constexpr Millis TaskTime{500};

/// A cell with a leader, and names for some of the other nodes.
struct LateRequestFixture {
  LateRequestFixture() : Cell_(5, 3) {
    BOOST_TEST_REQUIRE(Cell_.Loop_.runUntil(
        ElectionTimeout, [this] { return !Cell_.leader().empty(); }));
    Cell_.Loop_.run(Millis{1500});
    Leader_ = Cell_.leader();
    std::vector<std::string> Others = Cell_.nodes();
    std::erase(Others, Leader_);
    Late_ = Others.front();
    Other_ = Others.back();
  }

  PendingAnswer ask(const std::string &Node, cell::CallerVerb Verb,
                    const std::string &Id) {
    cell::CallerRequest Request;
    Request.Verb_ = Verb;
    Request.Queue_ = "queue";
    Request.Id_ = Id;
    return Cell_.call(Node, Request);
  }
  PendingAnswer cancel(const std::string &Node) {
    return ask(Node, cell::CallerVerb::Cancel, Job_);
  }
  bool hasStarted() const {
    return std::any_of(
        Cell_.Fleet_.Starts_.begin(), Cell_.Fleet_.Starts_.end(),
        [this](const auto &Entry) { return Entry.first.rfind(Job_, 0) == 0; });
  }
  static bool isAccepted(const PendingAnswer &Given) {
    return Given->has_value() && (*Given)->has_value();
  }
  /// Whether the request was rejected for the reason and had no effect.
  static bool isRejected(const PendingAnswer &Given, Reason Why) {
    return Given->has_value() && !(*Given)->has_value() &&
           (*Given)->error().Reason_ == Why &&
           (*Given)->error().Effect_ == Effect::None;
  }

  FakeCell Cell_;
  std::string Leader_;
  std::string Late_;
  std::string Other_;
  const std::string Job_ = jobId(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LateRequests, LateRequestFixture)

// Guards against a job that starts after its cancellation was acknowledged: a
// node that was frozen hands in the submission later (review/15).
BOOST_AUTO_TEST_CASE(SubmissionAfterItsCancellationIsRejected) {
  Cell_.pauseNode(Late_, Millis{2000});
  const PendingAnswer Submission = Cell_.submit(Late_, Job_, 2, TaskTime);
  Cell_.Loop_.run(Millis{300});
  const PendingAnswer Cancellation = cancel(Other_);
  Cell_.Loop_.run(Millis{200});
  BOOST_TEST(isRejected(Cancellation, Reason::NotFound));
  Cell_.Loop_.run(Millis{6000});
  BOOST_TEST(isRejected(Submission, Reason::Canceled));
  BOOST_TEST(!hasStarted());
}

// The same if the leader that has acknowledged the cancellation is killed.
BOOST_AUTO_TEST_CASE(NextLeaderKnowsTheCancellation) {
  const PendingAnswer Cancellation = cancel(Other_);
  Cell_.Loop_.run(Millis{200});
  BOOST_TEST(isRejected(Cancellation, Reason::NotFound));
  Cell_.killNode(Leader_);
  Cell_.Loop_.run(Millis{10000});
  BOOST_TEST_REQUIRE(!Cell_.leader().empty());
  const PendingAnswer Submission = Cell_.submit(Late_, Job_, 2, TaskTime);
  Cell_.Loop_.run(Millis{3000});
  BOOST_TEST(isRejected(Submission, Reason::Canceled));
  BOOST_TEST(!hasStarted());
}

// Guards against a cancellation that is acknowledged before it is recorded.
BOOST_AUTO_TEST_CASE(CancellationThatIsNotRecordedIsNotAcknowledged) {
  Cell_.StoreState_.RejectedParts_.insert(cell::MainPart);
  const PendingAnswer Cancellation = cancel(Other_);
  Cell_.Loop_.run(Millis{1000});
  BOOST_TEST(!Cancellation->has_value());
  Cell_.StoreState_.RejectedParts_.clear();
  Cell_.Loop_.run(Millis{1000});
  BOOST_TEST(isRejected(Cancellation, Reason::NotFound));
}

// Guards against rows and ids that are kept for good.
BOOST_AUTO_TEST_CASE(SubmissionLongAfterACancellationIsAccepted) {
  const auto RowCount = [this] {
    return std::count_if(Cell_.StoreState_.Rows_.begin(),
                         Cell_.StoreState_.Rows_.end(), [](const auto &Row) {
                           return Row.first.Table_ == cell::CanceledTable;
                         });
  };
  cancel(Other_);
  Cell_.Loop_.run(Millis{200});
  BOOST_TEST(RowCount() == 1);
  Cell_.Loop_.run(cell::CanceledIds::Retention + Millis{6000});
  BOOST_TEST(RowCount() == 0);
  const PendingAnswer Submission = Cell_.submit(Other_, Job_, 2, TaskTime);
  Cell_.Loop_.run(Millis{1000});
  BOOST_TEST(isAccepted(Submission));
  BOOST_TEST(hasStarted());
}

// Guards against a request that is carried out although its deadline passed
// before it was read.
BOOST_AUTO_TEST_CASE(RequestReadAfterItsDeadlineIsRejected) {
  cell::CallerRequest Request;
  Request.Verb_ = cell::CallerVerb::Submit;
  Request.Queue_ = "queue";
  Request.Id_ = Job_;
  Request.Spec_.Id_ = Job_;
  Request.Spec_.Queue_ = "queue";
  Request.Spec_.Payload_ = "100";
  Request.Spec_.Steps_.emplace_back();
  Request.Timeout_ = Millis{3000};
  Request.Waited_ = Request.Timeout_;
  const PendingAnswer TooLate = Cell_.call(Other_, Request);
  Cell_.Loop_.run(Millis{1000});
  BOOST_TEST(isRejected(TooLate, Reason::DeadlineUnreachable));
  BOOST_TEST(!hasStarted());
  Request.Waited_ = Request.Timeout_ / 2;
  const PendingAnswer InTime = Cell_.call(Other_, Request);
  Cell_.Loop_.run(Millis{1000});
  BOOST_TEST(isAccepted(InTime));
}

// Guards against a call to the leader that a node tries again after a pause in
// which the deadline has passed.
BOOST_AUTO_TEST_CASE(CallIsNotTriedAgainAfterItsDeadline) {
  Cell_.setMuted(Late_, true);
  const PendingAnswer Submission = Cell_.submit(Late_, Job_, 2, TaskTime);
  Cell_.Loop_.run(Millis{1000});
  Cell_.pauseNode(Late_, Millis{4000});
  Cell_.setMuted(Late_, false);
  Cell_.Loop_.run(Millis{8000});
  BOOST_TEST_REQUIRE(Submission->has_value());
  BOOST_TEST(!(*Submission)->has_value());
  BOOST_TEST(!hasStarted());
}

// Guards against a leader that was replaced while it was frozen and denies the
// jobs of the next one.
BOOST_AUTO_TEST_CASE(ReplacedLeaderDeniesNoJob) {
  Cell_.pauseNode(Leader_, Millis{6000});
  BOOST_TEST_REQUIRE(Cell_.Loop_.runUntil(
      Millis{5000}, [this] { return Cell_.leaders().size() > 1; }));
  const PendingAnswer Submission = Cell_.submit(Other_, Job_, 2, Millis{20000});
  Cell_.Loop_.run(Millis{500});
  BOOST_TEST_REQUIRE(isAccepted(Submission));
  const PendingAnswer Lookup = ask(Leader_, cell::CallerVerb::State, Job_);
  const PendingAnswer Cancellation = cancel(Leader_);
  Cell_.Loop_.run(Millis{10000});
  BOOST_TEST(!isRejected(Lookup, Reason::NotFound));
  BOOST_TEST(isAccepted(Lookup));
  BOOST_TEST(isAccepted(Cancellation));
  BOOST_TEST((Cell_.state(Other_, Job_) == dispatch::JobState::Canceled));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CanceledIdsTests)

// Guards against a cancellation that rejects the job of another workspace.
BOOST_AUTO_TEST_CASE(CancellationConcernsItsWorkspaceOnly) {
  cell::CanceledIds Ids;
  Ids.add(jobId(1), "one", Millis{1000});
  BOOST_TEST(Ids.contains(jobId(1), "one"));
  BOOST_TEST(!Ids.contains(jobId(1), "other"));
  BOOST_TEST(!Ids.contains(jobId(2), "one"));
}

// Guards against cancellations of unknown jobs that use up the memory.
BOOST_AUTO_TEST_CASE(OldestOfAWorkspaceGivesWay) {
  cell::CanceledIds Ids;
  Ids.add(jobId(1), "other", Millis{1});
  for (std::size_t Count = 0; Count < cell::CanceledIds::MaxPerWorkspace;
       ++Count)
    BOOST_TEST(!Ids.add(jobId(static_cast<int>(Count)), "one",
                        Millis{1000 + static_cast<std::int64_t>(Count)}));
  const auto Displaced = Ids.add(jobId(1000000), "one", Millis{900000});
  BOOST_TEST_REQUIRE(Displaced.has_value());
  BOOST_TEST(*Displaced == cell::CanceledIds::keyOf(jobId(0), "one"));
  BOOST_TEST(!Ids.contains(jobId(0), "one"));
  BOOST_TEST(Ids.contains(jobId(1), "other"));
}

// Guards against a key that the store does not take.
BOOST_AUTO_TEST_CASE(KeysOfLongNamesAreShort) {
  constexpr std::size_t MaxKeyBytes = 200;
  const std::string Long(500, 'w');
  const std::string Key = cell::CanceledIds::keyOf(jobId(1), Long);
  BOOST_TEST(Key.size() <= MaxKeyBytes);
  cell::CanceledIds Ids;
  Ids.restore(Key, Millis{1000});
  BOOST_TEST(Ids.contains(jobId(1), Long));
  BOOST_TEST(!Ids.contains(jobId(1), Long + "w"));
}

// Guards against rows that a new leader cannot read back.
BOOST_AUTO_TEST_CASE(RestoredIdsExpire) {
  cell::CanceledIds Ids;
  const std::string Key = cell::CanceledIds::keyOf(jobId(1), "a/b");
  Ids.restore(Key, Millis{1000});
  for (const char *Unreadable : {"", "/", "1/one", "0123456789abcdef"})
    Ids.restore(Unreadable, Millis{1000});
  BOOST_TEST(Ids.contains(jobId(1), "a/b"));
  const Millis End = Millis{1000} + cell::CanceledIds::Retention;
  BOOST_TEST(Ids.removeExpired(End - Millis{1}).empty());
  BOOST_TEST((Ids.removeExpired(End) == std::vector<std::string>{Key}));
  BOOST_TEST(!Ids.contains(jobId(1), "a/b"));
}

BOOST_AUTO_TEST_SUITE_END()
