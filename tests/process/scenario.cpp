#include "tests/process/scenario.h"

#include <array>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <set>

namespace damaskglade::process_tests {

namespace {

constexpr Millis StartTimeout{60000};
constexpr Millis WarmUp{2000};
constexpr std::int64_t LongFactor = 5;
constexpr std::size_t MaxTraces = 10;
constexpr double ShortRate = 30.0;
constexpr double LongRate = 60.0;

// Outcomes are awaited beyond the limit of the checker, so that a late one can
// be told from a lost one.
const Patience Limits{Millis{5000}, Millis{10000}, Millis{90000}};

} // namespace

bool isLongForm() {
  const char *Value = std::getenv("DAMASKGLADE_LONG");
  return Value != nullptr && std::string(Value) == "1";
}

Millis stretched(Millis Short) {
  return isLongForm() ? Short * LongFactor : Short;
}

std::uint64_t seedOfRun() {
  const char *Value = std::getenv("DAMASKGLADE_SEED");
  return Value == nullptr ? 1 : std::strtoull(Value, nullptr, 10);
}

Scenario::Scenario(std::string Name, ClusterOptions Options)
    : Name_(std::move(Name)), Seed_(seedOfRun()), Cluster_(std::move(Options)),
      Caller_(Pool_, Cluster_.entries(), Limits) {}

Scenario::~Scenario() {
  Load_.reset();
  std::error_code Ignored;
  if (Passed_)
    std::filesystem::remove_all(Cluster_.folder(), Ignored);
  else
    std::printf("logs of scenario %s: %s\n", Name_.c_str(),
                Cluster_.folder().c_str());
}

void Scenario::begin() {
  BOOST_REQUIRE_MESSAGE(Cluster_.start(StartTimeout),
                        "the cluster did not become ready, logs in "
                            << Cluster_.folder());
  startServices();
  Load_ = std::make_unique<Load>(
      LoadOptions{Cluster_.zones(), isLongForm() ? LongRate : ShortRate, Seed_,
                  Limits},
      Cluster_.entries());
  sleepFor(WarmUp);
}

void Scenario::startServices() {
  for (const std::string &Zone : Cluster_.zones()) {
    JobSpec Spec;
    Spec.Team_ = "monitors";
    Spec.Key_ = "service-" + std::to_string(Seed_) + "-" + Zone;
    Spec.Class_ = TaskClass::Service;
    Spec.Size_ = Resources{500, 256, 0, 1, 1};
    Spec.Tasks_ = 2;
    Spec.Run_ = Millis{}; // Runs until stopped.
    Services_.push_back(Caller_.submit(Spec, Zone, Clock_.wall()));
    BOOST_CHECK_MESSAGE(Services_.back().Accepted_,
                        "service in " << Zone << " was refused: "
                                      << reasonName(Services_.back().Reason_));
  }
}

// A service must have survived the fault, and must end when it is canceled.
void Scenario::endServices() {
  constexpr int Tries = 200;
  constexpr Millis Pause{100};
  const auto Reaches = [&](const JobResult &Service, const char *State) {
    for (int Try = 0; Try < Tries; ++Try) {
      const auto Status = Caller_.status(Service.Id_, Cluster_.zones()[0]);
      if (Status && (*Status)["state"].asString() == State)
        return true;
      sleepFor(Pause);
    }
    return false;
  };
  for (const JobResult &Service : Services_) {
    BOOST_CHECK_MESSAGE(Reaches(Service, "running"),
                        "service " << Service.Spec_.Key_ << " (" << Service.Id_
                                   << ") does not run");
    Caller_.cancel(Service.Id_, Cluster_.zones()[0]);
    BOOST_CHECK_MESSAGE(Reaches(Service, "canceled"),
                        "service " << Service.Spec_.Key_ << " (" << Service.Id_
                                   << ") was not canceled");
  }
}

NodeSlot &Scenario::ownerIn(const std::string &Zone) {
  std::string Owner;
  for (const auto &[Shard, Node] : Cluster_.owners(Zone))
    if (Shard.rfind(Zone + "/", 0) == 0)
      Owner = Node;
  for (NodeSlot &Node : Cluster_.nodes())
    if (Node.Id_ == Owner && Node.Process_)
      return Node;
  BOOST_FAIL("no node owns a shard of " << Zone);
  std::abort();
}

Millis Scenario::awaitTakeover(const NodeSlot &Lost, Millis Timeout) {
  constexpr Millis Pause{50};
  const Millis Start = Clock_.monotonic();
  std::string Observer;
  for (NodeSlot &Node : Cluster_.nodes())
    if (Node.Zone_ == Lost.Zone_ && Node.Id_ != Lost.Id_ && Node.Process_ &&
        Node.Process_->isRunning())
      Observer = Node.address();
  while (Clock_.monotonic() - Start < Timeout) {
    const Json::Value Listed = Cluster_.get(Observer, "/v1/nodes");
    bool Owned = Listed["shards"].empty();
    for (const Json::Value &Shard : Listed["shards"])
      Owned = Owned || Shard["owner"].asString() == Lost.Id_;
    if (!Owned)
      break;
    sleepFor(Pause);
  }
  return Clock_.monotonic() - Start;
}

void Scenario::submitThrough(const NodeSlot &Home, std::size_t Count,
                             Millis RunTime) {
  constexpr std::array<TaskClass, 3> Classes = {
      TaskClass::Batch, TaskClass::Request, TaskClass::Gang};
  constexpr std::int64_t GangTasks = 3;
  EntryNodes Only;
  Only.add(Home.Zone_, Home.address());
  Caller Direct(Pool_, Only, Limits);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    JobSpec Spec;
    Spec.Team_ = "homed";
    Spec.Key_ = "homed-" + std::to_string(Seed_) + "-" + std::to_string(Index);
    Spec.Class_ = Classes.at(Index % Classes.size());
    Spec.Tasks_ = Spec.Class_ == TaskClass::Gang ? GangTasks : 1;
    Spec.Idempotent_ = Spec.Class_ != TaskClass::Request;
    Spec.Size_ = Resources{200, 64, 0, 1, 1};
    Spec.Run_ = RunTime;
    Homed_.push_back(Direct.submit(Spec, Home.Zone_, Clock_.wall()));
    BOOST_CHECK_MESSAGE(Homed_.back().Accepted_,
                        Spec.Key_ << " was refused: "
                                  << reasonName(Homed_.back().Reason_));
  }
}

Summary Scenario::finish() {
  Jobs_ = Load_->finish();
  for (JobResult &Job : Homed_)
    Caller_.await(Job, Cluster_.zones()[0]);
  Jobs_.insert(Jobs_.end(), Homed_.begin(), Homed_.end());
  endServices();
  Jobs_.insert(Jobs_.end(), Services_.begin(), Services_.end());
  const std::vector<WorkerLog> Logs = Cluster_.workerLogs();
  const std::vector<Violation> Found = checkRun(Jobs_, Logs);
  Summary Figures = summarize(Jobs_, Found, Window_);
  std::printf("%s\n", describe(Name_, Seed_, Figures).c_str());
  std::printf("%s\n", describeFailures(Jobs_).c_str());
  for (std::size_t Index = 0; Index < Found.size() && Index < MaxTraces;
       ++Index)
    std::printf("%s", traceOf(Found[Index], Jobs_, Logs).c_str());
  std::fflush(stdout);
  BOOST_CHECK_MESSAGE(Found.empty(), Found.size() << " violations");
  BOOST_CHECK_MESSAGE(Figures.Finished_ > 0, "no request was finished");
  const auto &Case = boost::unit_test::results_collector.results(
      boost::unit_test::framework::current_test_case().p_id);
  Passed_ = Case.p_assertions_failed == 0;
  return Figures;
}

} // namespace damaskglade::process_tests
