// Workspaces that send more jobs than their share.

#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

constexpr Millis LongTask{600000};
constexpr Millis AnswerTime{500};

cell::CallerRequest submission(const std::string &Id) {
  dispatch::StepSpec Step;
  Step.Size_ = dispatch::Size{500, 100, 0};
  Step.Estimate_ = LongTask;
  cell::CallerRequest Request;
  Request.Verb_ = cell::CallerVerb::Submit;
  Request.Queue_ = "queue";
  Request.Id_ = Id;
  Request.Workspace_ = "maps";
  Request.Spec_.Id_ = Id;
  Request.Spec_.Queue_ = "queue";
  Request.Spec_.Payload_ = std::to_string(LongTask.Value_);
  Request.Spec_.Steps_ = {Step};
  Request.Spec_.Workspace_ = "maps";
  return Request;
}

bool isRejected(const std::optional<Result<cell::CallerAnswer>> &Answer) {
  return Answer && !*Answer &&
         Answer->error().Reason_ == Reason::QuotaExceeded &&
         Answer->error().Effect_ == Effect::None;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShareTests)

// Guards against jobs over share that a full fleet accepts, against a rejection
// of a job that exists, and against one that outlasts the next token.
BOOST_AUTO_TEST_CASE(JobsOverShareAreRejectedWhileTheFleetIsFull) {
  FakeCell Cell(3, 4);
  auto Config = std::make_shared<CellConfig>(*Cell.StoreState_.Configs_.back());
  ++Config->Version_;
  Config->Text_ += " with a workspace";
  Config->Workspaces_["maps"].Weight_ = 0.5;
  Cell.StoreState_.Configs_.push_back(Config);
  Cell.Loop_.run(Millis{4000});
  const std::string Leader = Cell.leader();
  BOOST_TEST_REQUIRE(!Leader.empty());
  const std::string Entry = Cell.nodes()[Cell.nodes().front() == Leader];
  // More tasks than the workers have room for, of no workspace.
  constexpr int ManyTasks = 2000;
  Cell.submit(Entry, jobId(1), ManyTasks, LongTask);
  Cell.Loop_.run(Millis{5000});
  const auto First = Cell.call(Entry, submission(jobId(2)));
  const auto Second = Cell.call(Entry, submission(jobId(3)));
  Cell.Loop_.run(AnswerTime);
  BOOST_TEST_REQUIRE(First->has_value());
  BOOST_TEST(First->value().has_value());
  BOOST_TEST(Second->value().has_value());
  const auto Third = Cell.call(Entry, submission(jobId(4)));
  Cell.Loop_.run(AnswerTime);
  BOOST_TEST_REQUIRE(isRejected(*Third));
  const Millis RetryAfter = Third->value().error().RetryAfter_;
  BOOST_TEST(RetryAfter.Value_ > 0);
  BOOST_TEST(RetryAfter.Value_ <= 2000);
  // A job that exists costs no token and is not rejected.
  const auto Repeated = Cell.call(Entry, submission(jobId(2)));
  Cell.Loop_.run(AnswerTime);
  BOOST_TEST(Repeated->value().has_value());
  Cell.Loop_.run(RetryAfter);
  const auto Later = Cell.call(Entry, submission(jobId(6)));
  Cell.Loop_.run(AnswerTime);
  BOOST_TEST_REQUIRE(Later->has_value());
  BOOST_TEST(Later->value().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
