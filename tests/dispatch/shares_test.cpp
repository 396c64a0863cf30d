#include "tests/dispatch/fixture.h"
#include "tests/dispatch/played_load.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr int WorkspaceCount = 20;
constexpr Millis FloodStart{5000};
constexpr Millis FloodEnd{15000};
constexpr Millis PlayedTime{20000};
constexpr double FloodFactor = 6;

std::string workspaceName(int Number) {
  return "ws" + std::to_string(100 + Number);
}

// Workspaces whose usual load, in proportion to 1, 1/2, 1/3 and so on, takes
// the given share of the fleet. Their weights take all of it.
LoadSettings workspaceLoad(double UsualShare, double Factor, bool HasShares) {
  LoadSettings Settings;
  Settings.Workers_ = 60;
  LoadClass Class = depotLoad(Settings.Workers_, 1).Classes_.front();
  Class.Policy_.NeedsAdvice_ = false;
  Class.FloodStart_ = FloodStart;
  Class.FloodEnd_ = FloodEnd;
  // Of the processors of a worker, 7 tasks of 2.2 cores use 15.4.
  constexpr double TasksPerWorker = 7;
  const double JobsPerSecond =
      Settings.Workers_ * TasksPerWorker /
      (Class.Width_ * static_cast<double>(Class.Length_.Value_) / 1000);
  double Sum = 0;
  for (int Number = 0; Number < WorkspaceCount; ++Number)
    Sum += 1.0 / (Number + 1);
  for (int Number = 0; Number < WorkspaceCount; ++Number) {
    const double Part = 1.0 / (Number + 1) / Sum;
    Class.Workspace_ = Class.Queue_ = workspaceName(Number);
    Class.JobsPerSecond_ = JobsPerSecond * UsualShare * Part;
    Class.FloodFactor_ = Number == 0 ? Factor : 1;
    Settings.Classes_.push_back(Class);
    if (HasShares)
      Settings.Workspaces_[Class.Workspace_].Weight_ = JobsPerSecond * Part;
  }
  return Settings;
}

struct Shares {
  double OthersOnTime_ = 0; ///< Part of the jobs of all others.
  double WorstOnTime_ = 1;  ///< Of the worst-served of the others.
  int FloodOnTime_ = 0;     ///< Jobs of the workspace that floods.
  int FloodRejected_ = 0;
  int OthersRejected_ = 0;
};

Shares play(const LoadSettings &Settings) {
  PlayedLoad Load(Settings);
  Load.run(PlayedTime);
  BOOST_TEST(Load.dispatcher().verify() == "");
  Shares Result;
  int Jobs = 0;
  int OnTime = 0;
  for (int Number = 1; Number < WorkspaceCount; ++Number) {
    const LoadOutcome &Outcome = Load.outcome(workspaceName(Number));
    Jobs += Outcome.Jobs_;
    OnTime += Outcome.OnTime_;
    Result.OthersRejected_ += Outcome.Rejected_;
    if (Outcome.Jobs_ > 0)
      Result.WorstOnTime_ =
          std::min(Result.WorstOnTime_,
                   static_cast<double>(Outcome.OnTime_) / Outcome.Jobs_);
  }
  Result.OthersOnTime_ = static_cast<double>(OnTime) / Jobs;
  Result.FloodOnTime_ = Load.outcome(workspaceName(0)).OnTime_;
  Result.FloodRejected_ = Load.outcome(workspaceName(0)).Rejected_;
  BOOST_TEST_MESSAGE("others on time " << Result.OthersOnTime_ << ", worst "
                                       << Result.WorstOnTime_ << ", rejected "
                                       << Result.OthersRejected_
                                       << "; flooding on time "
                                       << Result.FloodOnTime_ << ", rejected "
                                       << Result.FloodRejected_);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceShares)

// Guards against a workspace that sends six times its usual load to a busy
// fleet and makes the jobs of the others late, and against one that gets less
// than its share then.
BOOST_AUTO_TEST_CASE(OthersAreOnTimeDuringAFlood) {
  constexpr double UsualShare = 0.8;
  // Part of the jobs of the others that may be late because of the flood.
  constexpr double Tolerance = 0.05;
  const Shares Calm = play(workspaceLoad(UsualShare, 1, true));
  const Shares Unprotected =
      play(workspaceLoad(UsualShare, FloodFactor, false));
  const Shares Flooded = play(workspaceLoad(UsualShare, FloodFactor, true));
  BOOST_TEST(Flooded.OthersOnTime_ >= Calm.OthersOnTime_ - Tolerance);
  BOOST_TEST(Unprotected.OthersOnTime_ < Calm.OthersOnTime_ - Tolerance);
  BOOST_TEST(Flooded.FloodRejected_ > 0);
  // The flooding workspace is served at least as in calm times.
  BOOST_TEST(Flooded.FloodOnTime_ >= Calm.FloodOnTime_);
}

// Guards against jobs over share that are rejected while capacity is idle.
BOOST_AUTO_TEST_CASE(IdleCapacityIsLent) {
  const Shares Flooded = play(workspaceLoad(0.2, FloodFactor, true));
  BOOST_TEST(Flooded.FloodRejected_ == 0);
  BOOST_TEST(Flooded.OthersRejected_ == 0);
}

// Guards against a share that is not enforced, a burst that is too small for
// callers with a low weight, and a time to retry at which there is no token.
BOOST_AUTO_TEST_CASE(BucketGivesWeightTokensASecond) {
  ShareBucket Bucket;
  constexpr double Weight = 0.5;
  Millis Now{1000};
  for (int Job = 0; Job < 2; ++Job)
    BOOST_TEST((decideShare(Bucket, Weight, true, Now).Verdict_ ==
                ShareVerdict::InShare));
  const ShareDecision Refused = decideShare(Bucket, Weight, true, Now);
  BOOST_TEST((Refused.Verdict_ == ShareVerdict::Rejected));
  BOOST_TEST(Refused.RetryAfter_.Value_ == 2000);
  BOOST_TEST((decideShare(Bucket, Weight, false, Now).Verdict_ ==
              ShareVerdict::OverShare));
  Now = Now + Refused.RetryAfter_;
  BOOST_TEST((decideShare(Bucket, Weight, true, Now).Verdict_ ==
              ShareVerdict::InShare));
  BOOST_TEST(
      (decideShare(Bucket, 0, true, Now).Verdict_ == ShareVerdict::InShare));
}

// Guards against a rank in which a workspace over its share goes before others
// of the same priority, and against shares that override priorities.
BOOST_AUTO_TEST_CASE(JobsOverShareRankBehindOthersOfTheirPriority) {
  RankInput InShare;
  InShare.Objective_ = Millis{1000};
  RankInput OverShare = InShare;
  OverShare.OverShare_ = true;
  RankInput Late = InShare;
  Late.Age_ = Millis{2000};
  RankInput Beyond = InShare;
  Beyond.ShareLevel_ = 1;
  RankInput LessUrgent = InShare;
  LessUrgent.Priority_ = 1;
  BOOST_TEST((rankStep(InShare) < rankStep(Beyond)));
  BOOST_TEST((rankStep(Beyond) < rankStep(Late)));
  BOOST_TEST((rankStep(Late) < rankStep(OverShare)));
  BOOST_TEST((rankStep(OverShare) < rankStep(LessUrgent)));
}

BOOST_AUTO_TEST_SUITE_END()
