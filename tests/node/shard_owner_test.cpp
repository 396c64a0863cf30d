#include "node/shard_owner.h"
#include "tests/fakes/fake_table.h"
#include "tests/node/shard_fixture.h"

#include <algorithm>
#include <map>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

class FixedVmList : public VmList {
public:
  Result<std::vector<VmEntry>> list(Millis) override {
    return std::vector<VmEntry>{{"node-a", "z1", "", "node-a", false, false},
                                workerVm("w1")};
  }
};

class UnreachablePeers : public PeerClient {
public:
  Result<Json::Value> call(const std::string &Address, const std::string &,
                           const Json::Value &, Millis) override {
    return Error{
        Reason::ConnectFailed, Effect::None, "call peer", Address, "", {}};
  }
};

/// One worker that answers lookups immediately and never finishes other tasks.
class FakeWorker : public WorkerClient {
public:
  Result<AttemptReport> start(const std::string &, const StartRequest &Request,
                              Millis) override {
    const MutexLock Lock(Mutex_);
    if (Request.Wait_)
      return AttemptReport{Request.Attempt_, AttemptState::Finished,
                           makeAnswer(true, Request.Payload_ + " found")};
    Tasks_[Request.Attempt_] =
        RunningTask{Request.Attempt_, Request.Size_, false};
    return AttemptReport{Request.Attempt_, AttemptState::Running, {}};
  }

  Result<LeaseReply> renew(const std::string &, const LeaseRequest &Request,
                           Millis) override {
    const MutexLock Lock(Mutex_);
    LeaseReply Reply;
    Reply.Worker_ = "w1";
    Reply.Capacity_ = WorkerCapacity;
    if (Request.List_)
      for (const auto &[Attempt, Task] : Tasks_)
        Reply.Running_.push_back(Task);
    return Reply;
  }

  Result<AttemptReport> state(const std::string &, const std::string &Attempt,
                              Millis) override {
    return AttemptReport{Attempt, AttemptState::Unknown, {}};
  }

  Status control(const std::string &, const std::string &Attempt,
                 TaskControl Action, Millis) override {
    const MutexLock Lock(Mutex_);
    Tasks_[Attempt].Suspended_ = Action == TaskControl::Checkpoint;
    ++Controls_[Action];
    return success();
  }

  int controls(TaskControl Action) const {
    const MutexLock Lock(Mutex_);
    const auto Found = Controls_.find(Action);
    return Found == Controls_.end() ? 0 : Found->second;
  }

private:
  mutable Mutex Mutex_;
  std::map<std::string, RunningTask> Tasks_;
  std::map<TaskControl, int> Controls_;
};

template <typename Condition> bool eventually(Condition IsTrue) {
  const SystemClock Time;
  const Millis Deadline = Time.monotonic() + Millis{20000};
  while (!IsTrue()) {
    if (Time.monotonic() > Deadline)
      return false;
    sleepFor(Millis{5});
  }
  return true;
}

/// The only node of its availability zone, which owns one worker.
class OwnerFixture {
public:
  OwnerFixture() {
    BOOST_REQUIRE(Vms_.refresh(Millis{100}));
    Agent_.start();
    Owner_.start([](const EndedTask &) { return true; });
    BOOST_REQUIRE(
        eventually([&] { return Owner_.headroom().Free_ == WorkerCapacity; }));
  }
  ~OwnerFixture() {
    Owner_.stop();
    Agent_.stop();
  }
  OwnerFixture(const OwnerFixture &) = delete;
  OwnerFixture &operator=(const OwnerFixture &) = delete;

  static ExecuteRequest lookupRequest(Urgency RequestUrgency) {
    ExecuteRequest Request;
    Request.Spec_.Team_ = "dock";
    Request.Spec_.Key_ = "key";
    Request.Spec_.Class_ = TaskClass::Lookup;
    Request.Spec_.Urgency_ = RequestUrgency;
    Request.Spec_.Size_ = TaskSize;
    Request.Spec_.Payload_ = "crate 7";
    Request.Number_ = 1;
    Request.Entry_ = "node-a";
    Request.Timeout_ = Millis{1000};
    return Request;
  }

  void fillWorker() {
    const ReserveRequest Request = makeReserveRequest("batch", TasksPerWorker);
    const ReserveReply Reply = Owner_.reserve(Request);
    BOOST_REQUIRE_EQUAL(Reply.Held_.size(), 4U);
    for (const Attempt &Try : Reply.Held_)
      BOOST_REQUIRE(
          Owner_.startTask(StartCommand{"batch", Try, Request.Run_, "wash"}));
  }

  SystemClock Time_;
  NullMetrics Metrics_;
  NullEventLog Log_;
  FakeWorker Worker_;
  UnreachablePeers Peers_;
  FixedVmList VmSource_;
  fakes::FakeTable Table_;
  Fleet Vms_{VmSource_, Time_};
  Services Ports_{Time_, Metrics_, Log_, Worker_, Peers_};
  ownership::Agent Agent_{
      ownership::AgentOptions{"node-a", "z1", "node-a", {}}, Table_, VmSource_,
      Time_,
      [](const std::string &To, const std::string &) -> Result<std::string> {
        return Error{Reason::ConnectFailed, Effect::None, "send", To, "", {}};
      }};
  ShardOwner Owner_{NodeIdentity{"node-a", "z1", "127.0.0.1:1"},
                    shardSettings(), Ports_, Agent_, Vms_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Owner, OwnerFixture)

// Guards against a crash on an urgent lookup when the shard is full, caused by
// appending a vector to itself. The lookup uses the capacity of a checkpointed
// or throttled task, which is resumed afterwards.
BOOST_AUTO_TEST_CASE(UrgentLookupOnFullShardIsServed) {
  fillWorker();
  const auto Refused = Owner_.execute(lookupRequest(Urgency::Normal));
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::NoCapacity));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  const auto Served = Owner_.execute(lookupRequest(Urgency::Urgent));
  BOOST_REQUIRE(Served);
  BOOST_TEST(Served.value().Body_ == "crate 7 found");
  BOOST_TEST(isWhole(Served.value()));
  const int Reduced = Worker_.controls(TaskControl::Checkpoint) +
                      Worker_.controls(TaskControl::Throttle);
  BOOST_TEST(Reduced == 1);
  BOOST_TEST(eventually(
      [&] { return Worker_.controls(TaskControl::Resume) == Reduced; }));
}

BOOST_AUTO_TEST_SUITE_END()
