#include "drivers/platform/worker_client.h"
#include "tests/platform/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::tests;

namespace {

struct WorkerFixture {
  ServedWorker Worker_;
  std::unique_ptr<WorkerClient> Client_ = drivers::makeWorkerClient();
  SystemClock Clock_;

  StartRequest request(const std::string &Job) {
    StartRequest Out;
    Out.Attempt_ = Job + ".0.1";
    Out.Job_ = Job;
    Out.Epoch_ = 2;
    Out.Owner_ = "n1";
    Out.StartBy_ = Clock_.wall() + Millis{5000};
    Out.LeaseEnd_ = Clock_.wall() + Millis{20000};
    Out.Size_ = Resources{1000, 64, 0, 1, 1};
    Out.Run_ = Millis{100};
    Out.Payload_ = "crates";
    return Out;
  }

  Result<AttemptReport> start(const StartRequest &Request) {
    return Client_->start(Worker_.address(), Request, CallTimeout);
  }

  Reason refusal(const StartRequest &Request) {
    const auto Reply = start(Request);
    BOOST_REQUIRE(!Reply);
    BOOST_TEST((Reply.error().Effect_ == Effect::None));
    return Reply.error().Reason_;
  }

  LeaseReply renew(bool List, std::vector<std::string> Acked = {},
                   Millis Lease = Millis{20000}) {
    const auto Reply = Client_->renew(
        Worker_.address(),
        LeaseRequest{"n1", 2, Clock_.wall() + Lease, List, std::move(Acked)},
        CallTimeout);
    BOOST_REQUIRE(Reply);
    return Reply.value();
  }

  AttemptReport awaitFinished(const std::string &Attempt) {
    for (int Try = 0; Try < 200; ++Try) {
      const auto Reply =
          Client_->state(Worker_.address(), Attempt, CallTimeout);
      BOOST_REQUIRE(Reply);
      if (Reply.value().State_ == AttemptState::Finished)
        return Reply.value();
      sleepFor(Millis{20});
    }
    BOOST_FAIL("the attempt did not finish");
    return {};
  }

  std::vector<std::string> events() {
    std::vector<std::string> Names;
    for (const stand_ins::WorkerEvent &Event : Worker_.log())
      Names.push_back(Event.Event_);
    return Names;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerClientTest, WorkerFixture)

// Guards against an answer that is not the caller's.
BOOST_AUTO_TEST_CASE(WaitingStartReturnsTheAnswer) {
  StartRequest Request = request("j1");
  Request.Wait_ = true;
  const auto Reply = start(Request);
  BOOST_REQUIRE(Reply);
  BOOST_TEST((Reply.value().State_ == AttemptState::Finished));
  BOOST_TEST(Reply.value().Answer_.Body_ == "j1:crates");
  BOOST_TEST(isWhole(Reply.value().Answer_));
}

// Guards against a repeated start that runs a second time.
BOOST_AUTO_TEST_CASE(RepeatedStartHasNoSecondEffect) {
  const StartRequest Request = request("j1");
  const auto First = start(Request);
  BOOST_REQUIRE(First);
  BOOST_TEST((First.value().State_ == AttemptState::Running));
  BOOST_REQUIRE(start(Request));
  awaitFinished("j1.0.1");
  const auto After = start(Request);
  BOOST_REQUIRE(After);
  BOOST_TEST((After.value().State_ == AttemptState::Finished));
  const std::vector<std::string> Expected = {"started", "finished"};
  BOOST_TEST(events() == Expected, boost::test_tools::per_element());
}

// Guards against refusals whose reason or "not run" is lost on the way.
BOOST_AUTO_TEST_CASE(RefusalsKeepTheirReason) {
  StartRequest Late = request("j1");
  Late.StartBy_ = Clock_.wall() - Millis{1};
  BOOST_TEST((refusal(Late) == Reason::StartExpired));
  BOOST_REQUIRE(start(request("j2")));
  StartRequest Stale = request("j3");
  Stale.Epoch_ = 1;
  BOOST_TEST((refusal(Stale) == Reason::StaleEpoch));
  Worker_.fault(R"({"leaving":true})");
  BOOST_TEST((refusal(request("j4")) == Reason::WorkerLeaving));
  BOOST_TEST(renew(false).Leaving_);
  Worker_.fault(R"({"fail_starts":true})");
  BOOST_TEST((refusal(request("j5")) == Reason::StartFailed));
}

// Guards against an over-commitment that the stand-in does not record.
BOOST_AUTO_TEST_CASE(OverCommitmentIsRecorded) {
  StartRequest Large = request("j1");
  Large.Size_.MilliCpus_ = 15500;
  Large.Run_ = Millis{};
  BOOST_REQUIRE(start(Large));
  BOOST_TEST((refusal(request("j2")) == Reason::WorkerFull));
  const std::vector<std::string> Expected = {"started", "over_limit",
                                             "refused"};
  BOOST_TEST(events() == Expected, boost::test_tools::per_element());
  // A checkpointed task gives its processors back until it is resumed.
  BOOST_REQUIRE(Client_->control(Worker_.address(), "j1.0.1",
                                 TaskControl::Checkpoint, CallTimeout));
  BOOST_REQUIRE(start(request("j2")));
  awaitFinished("j2.0.1");
  BOOST_REQUIRE(Client_->control(Worker_.address(), "j1.0.1",
                                 TaskControl::Resume, CallTimeout));
  BOOST_REQUIRE(Client_->control(Worker_.address(), "j1.0.1", TaskControl::Stop,
                                 CallTimeout));
  BOOST_TEST(awaitFinished("j1.0.1").Answer_.Body_ == "stopped");
}

// Guards against tasks that outlive their lease and against a lapsed attempt
// that is reported as never started.
BOOST_AUTO_TEST_CASE(TaskLapsesWithoutRenewal) {
  StartRequest Service = request("j1");
  Service.Run_ = Millis{};
  Service.LeaseEnd_ = Clock_.wall() + Millis{400};
  BOOST_REQUIRE(start(Service));
  renew(false, {}, Millis{900});
  sleepFor(Millis{500});
  BOOST_TEST((
      Client_->state(Worker_.address(), "j1.0.1", CallTimeout).value().State_ ==
      AttemptState::Running));
  const AttemptReport Lapsed = awaitFinished("j1.0.1");
  BOOST_TEST(!Lapsed.Answer_.Ok_);
  BOOST_TEST(Lapsed.Answer_.Body_ == "lapsed");
  BOOST_TEST(renew(true).Finished_.empty());
  BOOST_TEST((Client_->state(Worker_.address(), "other.0.1", CallTimeout)
                  .value()
                  .State_ == AttemptState::Unknown));
}

// Guards against completions that are dropped before they are acknowledged,
// or repeated afterwards.
BOOST_AUTO_TEST_CASE(CompletionsRepeatUntilAcknowledged) {
  StartRequest Service = request("j2");
  Service.Run_ = Millis{};
  BOOST_REQUIRE(start(request("j1")));
  BOOST_REQUIRE(start(Service));
  awaitFinished("j1.0.1");
  const LeaseReply First = renew(true);
  BOOST_REQUIRE(First.Finished_.size() == 1U);
  BOOST_TEST(First.Finished_[0].Answer_.Body_ == "j1:crates");
  BOOST_REQUIRE(First.Running_.size() == 1U);
  BOOST_TEST(First.Running_[0].Attempt_ == "j2.0.1");
  BOOST_TEST(renew(false).Finished_.size() == 1U);
  BOOST_TEST(renew(false, {"j1.0.1"}).Finished_.empty());
}

// Guards against a shortened answer that is passed on as a whole one.
BOOST_AUTO_TEST_CASE(TruncatedAnswersAreErrors) {
  Worker_.fault(R"({"truncate_answers":true})");
  StartRequest Request = request("j1");
  Request.Wait_ = true;
  const auto Reply = start(Request);
  BOOST_REQUIRE(!Reply);
  BOOST_TEST((Reply.error().Reason_ == Reason::AnswerTruncated));
  BOOST_TEST((Reply.error().Effect_ == Effect::Unknown));
  BOOST_REQUIRE(start(request("j2")));
  Worker_.fault("{}");
  awaitFinished("j2.0.1");
  Worker_.fault(R"({"truncate_answers":true})");
  BOOST_TEST(renew(false).Finished_.empty());
  Worker_.fault("{}");
  BOOST_TEST(renew(false).Finished_.size() == 1U);
}

// Guards against "not run" after a timeout, when the task may run.
BOOST_AUTO_TEST_CASE(TimeoutsHaveUnknownEffect) {
  StartRequest Request = request("j1");
  Request.Run_ = Millis{};
  Request.Wait_ = true;
  Request.LeaseEnd_ = Clock_.wall() + Millis{1500};
  const auto Reply = Client_->start(Worker_.address(), Request, Millis{200});
  BOOST_REQUIRE(!Reply);
  BOOST_TEST((Reply.error().Reason_ == Reason::Timeout));
  BOOST_TEST((Reply.error().Effect_ == Effect::Unknown));
  const auto Refused = Client_->start(closedAddress(), Request, CallTimeout);
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::ConnectFailed));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
}

BOOST_AUTO_TEST_SUITE_END()
