#include "cell/recorder.h"
#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace damaskglade;
using namespace damaskglade::cell;
using namespace damaskglade::fakes;

namespace {

/// Keeps transactions until the test answers them.
class HeldStore : public RowStore {
public:
  struct Held {
    RowTransaction Transaction_;
    std::function<void(Result<TransactionOutcome>)> Done_;
  };
  void transact(const RowTransaction &Transaction,
                std::function<void(Result<TransactionOutcome>)> Done) override {
    Held_.push_back({Transaction, std::move(Done)});
  }
  void read(const RowRange &, std::function<void(Result<RowPage>)>) override {}
  void follow(const std::string &, std::int64_t, Millis,
              std::function<void(Result<RowPage>)>) override {}
  void applyFirst() {
    Held First = std::move(Held_.front());
    Held_.pop_front();
    First.Done_(State_.apply(First.Transaction_));
  }
  void failFirst(Effect CallEffect) {
    Held First = std::move(Held_.front());
    Held_.pop_front();
    First.Done_(
        Error{Reason::Timeout, CallEffect, "write", "fake", "no answer", {}});
  }
  /// Applies the last transaction; the others time out without effect.
  void answerInReverse() {
    std::swap(Held_.front(), Held_.back());
    const std::size_t Others = Held_.size() - 1;
    applyFirst();
    for (std::size_t Count = 0; Count < Others; ++Count)
      failFirst(Effect::Unknown);
  }
  std::string addressOf(const std::string &Id) const {
    const auto Row = State_.Rows_.find(workerRow(Id));
    return Row == State_.Rows_.end()
               ? "absent"
               : decodeWorkerRow(Row->second).value().Info_.Address_;
  }
  FakeStoreState State_;
  std::deque<Held> Held_;
};

class NoWorkers : public TaskWorkers {
  void start(const WorkerTarget &, const StartOrder &, OrderHandler) override {}
  void stop(const WorkerTarget &, const std::string &, std::int64_t,
            OrderHandler) override {}
  void pace(const WorkerTarget &, const std::string &, std::int64_t, int,
            OrderHandler) override {}
  void poll(const WorkerTarget &, const PollRequest &,
            std::function<void(Result<PollReply>)>) override {}
};
class NoAdvisor : public Advisor {
  void ask(const std::string &, const std::vector<std::string> &, Millis,
           std::function<void(Result<std::vector<AdvisedWorker>>)>) override {}
};
class NoRegistry : public WorkerRegistry {
  void list(std::function<void(Result<RegistrySnapshot>)>) override {}
};
class NoHttp : public WebClient {
  void call(const WebCall &, WebReplyHandler) override {}
};

struct RecorderFixture {
  RecorderFixture()
      : Rpc_(Http_), Ports_{Loop_,     Loop_, Store_, Workers_, Advisor_,
                            Registry_, Rpc_,  Log_,   Metrics_},
        Dispatcher_({}, 1, Loop_.monotonic()),
        Recorder_(
            Ports_, Dispatcher_, LeaderRecord{}, [] {},
            [](const std::string &) {}) {}
  static dispatch::WorkerInfo makeWorker(const std::string &Address) {
    dispatch::WorkerInfo Info;
    Info.Id_ = "w1";
    Info.Address_ = Address;
    Info.Service_ = "desk";
    return Info;
  }
  void updateRegistry(const std::vector<dispatch::WorkerInfo> &Infos) {
    Dispatcher_.setWorkers(Infos, Loop_.monotonic());
    Recorder_.recordWorkers(Dispatcher_.takeUnrecordedWorkers());
    Recorder_.removeWorkers(Dispatcher_.takeForgottenWorkers());
  }
  bool isRecorded() const {
    return Dispatcher_.findWorker("w1")->OpenRowStored_;
  }
  /// Another process answers at the address of the worker.
  void replaceWorker() {
    PollReply Rejection;
    Rejection.Outcome_ = OrderOutcome::WrongWorker;
    Dispatcher_.handlePollReply("w1", Rejection, Loop_.monotonic(),
                                Loop_.monotonic());
  }
  /// Answers transactions until there are no more.
  void applyAll() {
    while (!Store_.Held_.empty()) {
      Store_.applyFirst();
      Loop_.run(Millis{500});
    }
  }

  FakeLoop Loop_;
  HeldStore Store_;
  NoWorkers Workers_;
  NoAdvisor Advisor_;
  NoRegistry Registry_;
  NoHttp Http_;
  RpcClient Rpc_;
  NullEventLog Log_;
  NullMetrics Metrics_;
  CellPorts Ports_;
  dispatch::Dispatcher Dispatcher_;
  Recorder Recorder_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RecorderOfWorkers)

// The write of the first address times out beside that of the second one.
BOOST_AUTO_TEST_CASE(RetriedWriteOfAnOldAddressDoesNotReplaceTheNewOne) {
  RecorderFixture Fixture;
  Fixture.updateRegistry({Fixture.makeWorker("old:1")});
  Fixture.Loop_.run(Millis{1010});
  Fixture.updateRegistry({Fixture.makeWorker("new:1")});
  Fixture.Loop_.run(Millis{10});
  Fixture.Store_.answerInReverse();
  Fixture.Loop_.run(Millis{500});
  Fixture.applyAll();
  BOOST_TEST(Fixture.isRecorded());
  BOOST_TEST(Fixture.Store_.addressOf("w1") == "new:1");
}

// The write of the first address is carried out late.
BOOST_AUTO_TEST_CASE(LateWriteOfAnOldAddressDoesNotReplaceTheNewOne) {
  RecorderFixture Fixture;
  Fixture.updateRegistry({Fixture.makeWorker("old:1")});
  Fixture.Loop_.run(Millis{10});
  const RowTransaction Late = Fixture.Store_.Held_.front().Transaction_;
  Fixture.Store_.failFirst(Effect::Unknown);
  Fixture.Loop_.run(Millis{500});
  Fixture.Store_.applyFirst();
  Fixture.updateRegistry({Fixture.makeWorker("new:1")});
  Fixture.Loop_.run(Millis{10});
  Fixture.Store_.applyFirst();
  BOOST_TEST_REQUIRE(Fixture.isRecorded());
  Fixture.Store_.State_.apply(Late);
  BOOST_TEST(Fixture.Store_.addressOf("w1") == "new:1");
}

// Writes fail while the worker is removed and registers again.
BOOST_AUTO_TEST_CASE(WorkerThatReturnsDuringAStoreFailureStaysStored) {
  RecorderFixture Fixture;
  Fixture.updateRegistry({Fixture.makeWorker("old:1")});
  Fixture.Loop_.run(Millis{10});
  Fixture.Store_.applyFirst();
  BOOST_TEST_REQUIRE(Fixture.isRecorded());
  Fixture.replaceWorker();
  Fixture.updateRegistry({}); // Removed: its process has ended.
  Fixture.Loop_.run(Millis{10});
  BOOST_TEST_REQUIRE(Fixture.Store_.Held_.size() == 1U);
  Fixture.updateRegistry(
      {Fixture.makeWorker("new:1")}); // It is back under the same id.
  Fixture.Store_.failFirst(Effect::None);
  Fixture.Loop_.run(Millis{500});
  Fixture.applyAll();
  BOOST_TEST(Fixture.isRecorded());
  BOOST_TEST(Fixture.Store_.addressOf("w1") == "new:1");
}

// The removal times out beside the write of the worker that is back.
BOOST_AUTO_TEST_CASE(RetriedRemovalDoesNotRemoveAWorkerThatIsBack) {
  RecorderFixture Fixture;
  Fixture.updateRegistry({Fixture.makeWorker("old:1")});
  Fixture.Loop_.run(Millis{10});
  Fixture.Store_.applyFirst();
  Fixture.replaceWorker();
  Fixture.updateRegistry({});
  Fixture.Loop_.run(Millis{1000});
  Fixture.updateRegistry({Fixture.makeWorker("old:1")});
  Fixture.Loop_.run(Millis{10});
  Fixture.Store_.answerInReverse();
  Fixture.Loop_.run(Millis{500});
  Fixture.applyAll();
  BOOST_TEST(Fixture.isRecorded());
  BOOST_TEST(Fixture.Store_.addressOf("w1") == "old:1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RecorderOfPlainRows)

// Guards against a row that is reported as recorded although its write failed,
// and against a retried write that puts back a removed row.
BOOST_AUTO_TEST_CASE(FailedWritesAreRepeatedWithTheLatestValue) {
  RecorderFixture Fixture;
  const RowName Name = canceledRow("key");
  bool Recorded = false;
  Fixture.Recorder_.recordRow(Name, "{}");
  Fixture.Recorder_.whenMainRecorded([&] { Recorded = true; });
  Fixture.Loop_.run(Millis{10});
  Fixture.Store_.failFirst(Effect::Unknown);
  BOOST_TEST(!Recorded);
  Fixture.Loop_.run(Millis{500});
  Fixture.Store_.applyFirst();
  BOOST_TEST(Recorded);
  BOOST_TEST(Fixture.Store_.State_.Rows_.count(Name) == 1U);
  Fixture.Recorder_.recordRow(Name, "{}");
  Fixture.Loop_.run(Millis{10});
  Fixture.Recorder_.recordRow(Name, std::nullopt);
  Fixture.Store_.failFirst(Effect::None);
  Fixture.Loop_.run(Millis{500});
  Fixture.applyAll();
  BOOST_TEST(Fixture.Store_.State_.Rows_.count(Name) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
