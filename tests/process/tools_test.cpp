#include "core/codec.h"
#include "tests/process/launcher.h"
#include "tests/process/load.h"
#include "tests/process/report.h"
#include "tests/stand_ins/http_server.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>

using namespace damaskglade;
using namespace damaskglade::process_tests;

namespace {

const Patience Short{Millis{1000}, Millis{1000}, Millis{2000}};

JobSpec lookupSpec() {
  JobSpec Spec;
  Spec.Team_ = "dock";
  Spec.Key_ = "k";
  Spec.Class_ = TaskClass::Lookup;
  Spec.Payload_ = "crates";
  return Spec;
}

stand_ins::HttpResponse refusal(const char *Reason, const char *Ran) {
  Json::Value Body;
  Body["error"]["reason"] = Reason;
  Body["error"]["ran"] = Ran;
  return stand_ins::jsonResponse(503, Body);
}

stand_ins::HttpResponse finished(const JobSpec &Spec) {
  Json::Value Body;
  Body["id"] = jobIdFor(Spec);
  Body["state"] = "finished";
  Body["tasks"].append(
      encodeAnswer(makeAnswer(true, jobIdFor(Spec) + ":" + Spec.Payload_)));
  return stand_ins::jsonResponse(200, Body);
}

/// Runs one job against an entry node with the given behaviour.
JobResult callOnce(const stand_ins::HttpHandler &Node, const JobSpec &Spec) {
  const stand_ins::HttpServer Server(0, Node, Millis{1000});
  drivers::HttpPool Pool;
  EntryNodes Nodes;
  Nodes.add("z", Server.address());
  Caller Tested(Pool, Nodes, Short);
  return Tested.run(Spec, "z", SystemClock().wall(), Millis{10000});
}

} // namespace

BOOST_AUTO_TEST_SUITE(Tools)

// Guards against children that outlive their test or whose end is misread.
BOOST_AUTO_TEST_CASE(LauncherEndsItsChildren) {
  Process Sleeper("/bin/sleep", {"100"}, "/dev/null");
  BOOST_TEST(Sleeper.isRunning());
  const pid_t Id = Sleeper.id();
  Sleeper.kill();
  BOOST_TEST(!Sleeper.isRunning());
  BOOST_TEST(Sleeper.exitCode() == 128 + SIGKILL);
  BOOST_TEST(::kill(Id, 0) != 0);
  Process Quick("/bin/sleep", {"0"}, "/dev/null");
  BOOST_TEST(Quick.waitForEnd(Millis{5000}));
  BOOST_TEST(Quick.exitCode() == 0);
}

// Guards against a caller that counts a refusal as an answer, or gives up a
// refusal that another try would pass.
BOOST_AUTO_TEST_CASE(CallerRepeatsRefusals) {
  const JobSpec Spec = lookupSpec();
  std::atomic<int> Calls{0};
  const JobResult Job = callOnce(
      [&](const stand_ins::HttpRequest &) {
        return ++Calls < 3 ? refusal("no_capacity", "not_run") : finished(Spec);
      },
      Spec);
  BOOST_TEST(Calls == 3);
  BOOST_TEST(Job.OnTime_);
  BOOST_TEST(!Job.Ambiguous_);
  BOOST_REQUIRE(Job.Answers_.size() == 1U);
  BOOST_TEST(Job.Answers_[0].Body_ == jobIdFor(Spec) + ":crates");
}

// Guards against "not run" that is believed after an earlier try may have run.
BOOST_AUTO_TEST_CASE(CallerRemembersAmbiguousTries) {
  std::atomic<int> Calls{0};
  const JobResult Job = callOnce(
      [&](const stand_ins::HttpRequest &) {
        return refusal("timeout", ++Calls == 1 ? "unknown" : "not_run");
      },
      lookupSpec());
  BOOST_TEST(Job.Final_);
  BOOST_TEST(Job.Ambiguous_);
  BOOST_TEST((Job.State_ == JobState::Unknown));
  const JobResult Refused = callOnce(
      [](const stand_ins::HttpRequest &) {
        return refusal("never_fits", "not_run");
      },
      lookupSpec());
  BOOST_TEST(!Refused.Ambiguous_);
  BOOST_TEST((Refused.State_ == JobState::NotRun));
  BOOST_TEST((Refused.Reason_ == Reason::NeverFits));
}

// Guards against an accepted job that is forgotten instead of waited for.
BOOST_AUTO_TEST_CASE(CallerWaitsForAcceptedJobs) {
  JobSpec Spec = lookupSpec();
  Spec.Class_ = TaskClass::Batch;
  const auto Queued = [&Spec] {
    Json::Value Body;
    Body["id"] = jobIdFor(Spec);
    Body["state"] = "queued";
    return stand_ins::jsonResponse(202, Body);
  };
  std::atomic<int> Waits{0};
  const JobResult Job = callOnce(
      [&](const stand_ins::HttpRequest &Request) {
        const bool Done = Request.Method_ == "GET" && ++Waits == 2;
        return Done ? finished(Spec) : Queued();
      },
      Spec);
  BOOST_TEST(Job.Accepted_);
  BOOST_TEST((Job.State_ == JobState::Finished));
  const JobResult Lost = callOnce(
      [&](const stand_ins::HttpRequest &) {
        sleepFor(Millis{100});
        return Queued();
      },
      Spec);
  BOOST_TEST(Lost.Accepted_);
  BOOST_TEST(!Lost.Final_);
}

// Guards against a load that differs between runs of one seed, and against
// lateness that is hidden because a slow node delays the next arrival.
BOOST_AUTO_TEST_CASE(LoadIsOpenAndRepeatable) {
  std::atomic<int> Requests{0};
  const stand_ins::HttpServer Server(
      0,
      [&Requests](const stand_ins::HttpRequest &) {
        ++Requests;
        sleepFor(Millis{400});
        return refusal("never_fits", "not_run");
      },
      Millis{1000});
  EntryNodes Nodes;
  Nodes.add("z", Server.address());
  std::vector<std::vector<JobResult>> Runs;
  for (int Round = 0; Round < 2; ++Round) {
    Load Tested(LoadOptions{{"z"}, 100.0, 7, Short}, Nodes);
    constexpr int Wanted = 45;
    constexpr Millis Deadline{10000};
    constexpr Millis Interval{10};
    const int Before = Requests;
    for (Millis Waited{}; Requests < Before + Wanted && Waited < Deadline;
         Waited = Waited + Interval)
      sleepFor(Interval);
    Runs.push_back(Tested.finish());
  }
  // A closed loop with one caller would make 25 requests in the time.
  BOOST_TEST(Runs[0].size() > 40U);
  // Both runs reached the first arrivals, whatever their last ones were.
  constexpr int Compared = 30;
  const auto SpecsOf = [](const std::vector<JobResult> &Jobs) {
    std::map<std::string, JobSpec> Specs;
    for (const JobResult &Job : Jobs)
      Specs[Job.Spec_.Key_] = Job.Spec_;
    return Specs;
  };
  const auto First = SpecsOf(Runs[0]);
  const auto Second = SpecsOf(Runs[1]);
  for (int Number = 0; Number < Compared; ++Number) {
    const std::string Key = "load-7-" + std::to_string(Number);
    BOOST_REQUIRE(First.count(Key) == 1U);
    BOOST_REQUIRE(Second.count(Key) == 1U);
    BOOST_TEST((First.at(Key) == Second.at(Key)));
  }
}

// Guards against figures that hide late or failed requests.
BOOST_AUTO_TEST_CASE(SummaryCountsFaultWindow) {
  std::vector<JobResult> Jobs(4);
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
    Jobs[Index].Submitted_ = Millis{static_cast<std::int64_t>(Index) * 100};
    Jobs[Index].Final_ = true;
    Jobs[Index].State_ = JobState::Finished;
    Jobs[Index].OnTime_ = true;
  }
  Jobs[2].OnTime_ = false;
  Jobs[2].State_ = JobState::NotRun;
  const Summary Figures =
      summarize(Jobs, {Violation{ViolationKind::Lost, "j", ""}},
                FaultWindow{Millis{100}, Millis{300}});
  BOOST_TEST(Figures.Requests_ == 4U);
  BOOST_TEST(Figures.Finished_ == 3U);
  BOOST_TEST(Figures.Refused_ == 1U);
  BOOST_TEST(Figures.DuringFault_ == 2U);
  BOOST_TEST(Figures.OnTimeInFault_ == 0.5);
  BOOST_TEST(Figures.Recovery_.Value_ == 100);
  BOOST_TEST(Figures.Losses_ == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
