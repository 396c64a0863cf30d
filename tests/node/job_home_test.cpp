#include "node/job_service.h"
#include "tests/fakes/fake_table.h"
#include "tests/node/shard_fixture.h"

#include <atomic>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

constexpr Millis StoreTimeout{300};
constexpr Millis WaitLimit{10000};
const std::string PeerId = "node-b";
const std::string PeerAddress = "127.0.0.1:2";

class NoVms : public VmList {
public:
  Result<std::vector<VmEntry>> list(Millis) override {
    return std::vector<VmEntry>{{"node-a", "z1", "", "node-a", false, false}};
  }
};

class NoWorkers : public WorkerClient {
public:
  Result<AttemptReport> start(const std::string &, const StartRequest &,
                              Millis) override {
    return unreachable();
  }
  Result<LeaseReply> renew(const std::string &, const LeaseRequest &,
                           Millis) override {
    return unreachable();
  }
  Result<AttemptReport> state(const std::string &, const std::string &,
                              Millis) override {
    return unreachable();
  }
  Status control(const std::string &, const std::string &, TaskControl,
                 Millis) override {
    return unreachable();
  }

private:
  static Error unreachable() {
    return Error{
        Reason::ConnectFailed, Effect::None, "call worker", "", "", {}};
  }
};

/// Cancels the job of the peer; answers nothing else.
class PeerHome : public PeerClient {
public:
  Result<Json::Value> call(const std::string &Address,
                           const std::string &Method, const Json::Value &Query,
                           Millis) override {
    if (Address != PeerAddress || Method != "cancelJob")
      return Error{
          Reason::ConnectFailed, Effect::None, Method, Address, "", {}};
    BOOST_TEST(Query["id"].asString() == Job_.Id_);
    ++Cancellations_;
    JobRecord Ended = Job_;
    Ended.State_ = JobState::Canceled;
    return encodeJobReply(Ended);
  }

  JobRecord Job_;
  std::atomic<int> Cancellations_{0};
};

/// While Dropping_, calls take effect and their answers are lost.
class DroppingTable : public fakes::FakeTable {
public:
  Result<std::optional<TableRow>> read(const TableKey &Key,
                                       Millis Timeout) override {
    auto Row = fakes::FakeTable::read(Key, Timeout);
    if (Dropping_)
      return lost("read row");
    return Row;
  }
  Status commit(const std::vector<TableWrite> &Writes, const std::string &Token,
                Millis Timeout) override {
    auto Applied = fakes::FakeTable::commit(Writes, Token, Timeout);
    if (Dropping_)
      return lost("commit rows");
    return Applied;
  }

  std::atomic<bool> Dropping_{false};

private:
  static Error lost(const std::string &Step) {
    return Error{Reason::TableUnavailable, Effect::Unknown, Step, "table",
                 "the answer was lost",    Millis{}};
  }
};

records::StoreOptions storeOptions(const std::string &Writer) {
  records::StoreOptions Options;
  Options.Writer_ = Writer;
  Options.WritesPerSecond_ = 20000;
  Options.ReadsPerSecond_ = 20000;
  Options.RetryDelay_ = {Millis{1}, Millis{2}};
  return Options;
}

HomeSettings homeSettings() {
  HomeSettings Settings;
  Settings.StoreTimeout_ = StoreTimeout;
  return Settings;
}

/// The home node-a without workers, and the store of its peer node-b.
class HomeFixture {
public:
  HomeFixture() {
    Store_.start();
    PeerStore_.start();
    Routes_.setNodes({{PeerId, "z2", PeerAddress, 1, true, false}});
  }
  ~HomeFixture() {
    Home_.stop();
    PeerStore_.stop();
    Store_.stop();
  }
  HomeFixture(const HomeFixture &) = delete;
  HomeFixture &operator=(const HomeFixture &) = delete;

  /// An unfinished service of the peer, as its row says.
  JobRecord recordAtPeer(bool Running) {
    JobRecord Record;
    Record.Spec_.Team_ = "dock";
    Record.Spec_.Key_ = "key";
    Record.Spec_.Class_ = TaskClass::Service;
    Record.Spec_.Tasks_ = 1;
    Record.Spec_.Size_ = TaskSize;
    Record.Id_ = jobIdFor(Record.Spec_);
    Record.Home_ = PeerId;
    Record.HomeIncarnation_ = 1;
    Record.Answers_.resize(1);
    if (Running) {
      Record.State_ = JobState::Running;
      Record.Attempts_ = {Attempt{0, 1, "w1", "z1/r1", {}}};
    }
    const auto Written = PeerStore_.create(Record, WaitLimit);
    BOOST_REQUIRE(Written);
    return Written.value();
  }

  JobRecord row(const std::string &Id) {
    const auto Row = PeerStore_.read(Id, WaitLimit);
    BOOST_REQUIRE(Row);
    BOOST_REQUIRE(Row.value());
    return *Row.value();
  }

  void moveToPeer(const std::string &Id) {
    JobRecord Moved = row(Id);
    Moved.Home_ = PeerId;
    const auto Written = PeerStore_.update(Moved, WaitLimit);
    BOOST_REQUIRE(Written);
    Peers_.Job_ = Written.value();
  }

  template <typename Condition> bool eventually(Condition IsTrue) const {
    const Millis End = Time_.monotonic() + WaitLimit;
    while (!IsTrue()) {
      if (Time_.monotonic() > End)
        return false;
      sleepFor(Millis{5});
    }
    return true;
  }

  SystemClock Time_;
  NullMetrics Metrics_;
  NullEventLog Log_;
  NoWorkers Workers_;
  PeerHome Peers_;
  NoVms VmSource_;
  DroppingTable Table_;
  Fleet Vms_{VmSource_, Time_};
  Services Ports_{Time_, Metrics_, Log_, Workers_, Peers_};
  NodeIdentity Self_{"node-a", "z1", "127.0.0.1:1"};
  ownership::Agent Agent_{
      ownership::AgentOptions{"node-a", "z1", "node-a", {}}, Table_, VmSource_,
      Time_,
      [](const std::string &To, const std::string &) -> Result<std::string> {
        return Error{Reason::ConnectFailed, Effect::None, "send", To, "", {}};
      }};
  records::JobStore Store_{storeOptions("node-a"), Table_, Time_, Metrics_};
  records::JobStore PeerStore_{storeOptions(PeerId), Table_, Time_, Metrics_};
  Router Routes_{"node-a", 1};
  ShardOwner Owner_{Self_, shardSettings(), Ports_, Agent_, Vms_};
  OwnerGateway Gateway_{"node-a", Ports_, Owner_, Routes_};
  JobHome Home_{Self_,    homeSettings(), Ports_,  Store_,
                Gateway_, Owner_,         Routes_, [] { return 1; }};
  LookupService Lookups_{Self_, {}, Ports_, Gateway_, Owner_, Routes_};
  JobService Jobs_{Self_, Ports_, Home_, Lookups_, Store_, Routes_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Home, HomeFixture)

// Guards against a service that runs on after its cancellation, because a home
// that was paused past its lease took the cancellation of an adopted job.
BOOST_AUTO_TEST_CASE(CancellationReachesTheHomeThatAdoptedAWaitingJob) {
  const JobRecord Job = recordAtPeer(false);
  BOOST_REQUIRE(Home_.adopt(Job));
  moveToPeer(Job.Id_);
  const auto Canceled = Jobs_.cancel(Job.Id_);
  BOOST_REQUIRE(Canceled);
  BOOST_TEST((Canceled.value().State_ == JobState::Canceled));
  BOOST_TEST(Peers_.Cancellations_ == 1);
  BOOST_TEST(!Home_.find(Job.Id_).has_value());
}

BOOST_AUTO_TEST_CASE(CancellationReachesTheHomeThatAdoptedARunningJob) {
  const JobRecord Job = recordAtPeer(true);
  BOOST_REQUIRE(Home_.adopt(Job));
  moveToPeer(Job.Id_);
  const auto Canceled = Jobs_.cancel(Job.Id_);
  BOOST_REQUIRE(Canceled);
  BOOST_TEST((Canceled.value().State_ == JobState::Canceled));
  BOOST_TEST(Peers_.Cancellations_ == 1);
  BOOST_TEST(!Home_.find(Job.Id_).has_value());
}

// Guards against a job that no home manages, and whose cancellation is refused,
// after the answer to the write that adopted it was lost.
BOOST_AUTO_TEST_CASE(JobIsManagedAfterTheAnswerToItsAdoptionWasLost) {
  Home_.start();
  const std::string Id = recordAtPeer(false).Id_;
  // Recovery has read the row before it adopts the job.
  const JobRecord Job = *Store_.read(Id, WaitLimit).value();
  Table_.Dropping_ = true;
  BOOST_TEST(!Home_.adopt(Job));
  Table_.Dropping_ = false;
  BOOST_TEST(row(Job.Id_).Home_ == "node-a");
  BOOST_TEST(eventually([&] { return Home_.find(Job.Id_).has_value(); }));
  BOOST_TEST(Jobs_.cancel(Job.Id_).has_value());
  BOOST_TEST((row(Job.Id_).State_ == JobState::Canceled));
}

BOOST_AUTO_TEST_SUITE_END()
