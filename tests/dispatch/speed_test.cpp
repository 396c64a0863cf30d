#include "dispatch/speed.h"
#include "tests/dispatch/fixture.h"
#include "tests/dispatch/played_load.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

// Workers of two kinds with the given durations, steps of ten tasks on both.
WorkerSpeeds learn(double FactorA, double FactorB, int Steps, unsigned Seed) {
  WorkerSpeeds Speeds;
  const int KindA = kindIndex(Speeds, "a");
  const int KindB = kindIndex(Speeds, "b");
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<> Uniform;
  for (int Step = 0; Step < Steps; ++Step) {
    const double Usual = 100 * std::exp(3 * Uniform(Random));
    std::vector<SpeedSample> Samples;
    for (int Task = 0; Task < 10; ++Task) {
      const bool OnB = Uniform(Random) < 1.0 / 3;
      double Duration =
          Usual * (OnB ? FactorB : FactorA) * (0.7 + 0.6 * Uniform(Random));
      if (Uniform(Random) < 0.03)
        Duration *= 7;
      Samples.push_back(SpeedSample{OnB ? KindB : KindA, std::log(Duration)});
    }
    learnFromStep(Speeds, Samples, Millis{1000});
    (void)updateFactors(Speeds, {0, 20, 10}, Millis{1000});
  }
  return Speeds;
}

// The receivables desk of docs/design/hard_load.md at about half load.
LoadSettings deskLoad(unsigned Seed, bool UseSpeeds) {
  LoadSettings Settings = depotLoad(120, 0.5);
  Settings.Seed_ = Seed;
  Settings.Kinds_ = {{"a", 0.7}, {"a", 0.7}, {"b", 1.7}};
  Settings.LongTaskShare_ = 0.03;
  Settings.ArrivalsEnd_ = Millis{100000};
  Settings.Limits_.UseSpeeds_ = UseSpeeds;
  Settings.AdviceServerCount_ = 40;
  LoadClass &Lookup = Settings.Classes_.front();
  LoadClass &Check = Settings.Classes_.back();
  Lookup.Policy_.NeedsAdvice_ = false;
  Check.Policy_.NeedsAdvice_ = false;
  Lookup.Length_ = Millis{680};
  Lookup.Width_ = 10;
  Check.Length_ = Millis{5100};
  Lookup.JobsPerSecond_ = 10.6;
  Check.JobsPerSecond_ = 1.4;
  return Settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Speeds)

// Guards against an average over steps of different lengths and against tasks
// that take seven times as long as the others of their step.
BOOST_AUTO_TEST_CASE(SpeedsAreLearnedWithinSteps) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    const WorkerSpeeds Speeds = learn(0.7, 1.7, 200, Seed);
    BOOST_TEST(Speeds.Differ_);
    const double Ratio = Speeds.Kinds_[2].Factor_ / Speeds.Kinds_[1].Factor_;
    BOOST_TEST(Ratio > 1.7 / 0.7 * 0.85);
    BOOST_TEST(Ratio < 1.7 / 0.7 * 1.15);
  }
}

// Guards against different placement because of noise.
BOOST_AUTO_TEST_CASE(EqualSpeedsHaveFactorsOfExactlyOne) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    const WorkerSpeeds Speeds = learn(1.0, 1.0, 2000, Seed);
    BOOST_TEST(!Speeds.Differ_);
    BOOST_TEST(Speeds.Kinds_[1].Factor_ == 1.0);
    BOOST_TEST(Speeds.Kinds_[2].Factor_ == 1.0);
    BOOST_TEST(kindCosts(Speeds, KindCostInput{}).empty());
  }
}

// Guards against factors that rest on a few tasks.
BOOST_AUTO_TEST_CASE(FewSamplesChangeNothing) {
  BOOST_TEST(!learn(0.5, 3.0, 2, 1).Differ_);
}

// Guards against an unbounded number of kinds from the registry's labels.
BOOST_AUTO_TEST_CASE(NumberOfKindsIsBounded) {
  WorkerSpeeds Speeds;
  for (int Kind = 0; Kind < 1000; ++Kind)
    (void)kindIndex(Speeds, "kind" + std::to_string(Kind));
  BOOST_TEST(Speeds.Kinds_.size() <= 32U);
  BOOST_TEST(kindIndex(Speeds, "kind999") == 0);
}

// Guards against a kind that is avoided forever because it gets no more tasks.
BOOST_AUTO_TEST_CASE(OldSpeedsAreForgotten) {
  WorkerSpeeds Speeds = learn(0.7, 1.7, 100, 1);
  for (int Minute = 1; Minute < 20; ++Minute)
    (void)updateFactors(Speeds, {0, 20, 10}, Millis{1000 + 60000 * Minute});
  BOOST_TEST(!Speeds.Differ_);
}

BOOST_AUTO_TEST_CASE(UrgentStepsPreferKindsOnWhichTheyEndInTime) {
  const WorkerSpeeds Speeds = learn(0.7, 1.7, 200, 1);
  KindCostInput Input;
  Input.Urgent_ = true;
  Input.Estimate_ = Millis{680};
  Input.Objective_ = Millis{1270};
  BOOST_TEST(kindCosts(Speeds, Input)[1] == 0);
  BOOST_TEST(kindCosts(Speeds, Input)[2] > 16);
  // A job that is late everywhere still prefers the faster kind.
  Input.Age_ = Millis{5000};
  BOOST_TEST(kindCosts(Speeds, Input)[2] > 16);
  Input.Age_ = Millis{};
  Input.Objective_ = Millis{5000};
  BOOST_TEST(kindCosts(Speeds, Input)[2] == 0);
  Input.Urgent_ = false;
  BOOST_TEST(kindCosts(Speeds, Input)[2] == 0);
  BOOST_TEST(kindCosts(Speeds, Input)[1] > 0);
  BOOST_TEST(kindCosts(Speeds, Input)[1] < 16);
}

// Guards against urgent jobs that are late because their tasks run on a slow
// kind of worker while fast ones run long work.
BOOST_AUTO_TEST_CASE(MoreLookupsAreOnTimeWithLearnedSpeeds) {
  struct Shares {
    LoadOutcome Lookups_;
    LoadOutcome Checks_;
  };
  const auto Add = [](LoadOutcome &Sum, const LoadOutcome &Outcome) {
    Sum.Jobs_ += Outcome.Jobs_;
    Sum.OnTime_ += Outcome.OnTime_;
    Sum.Late_ += Outcome.Late_;
  };
  const auto Play = [&](bool UseSpeeds) {
    Shares Sums;
    for (unsigned Seed = 1; Seed <= 6; ++Seed) {
      PlayedLoad Load(deskLoad(Seed, UseSpeeds));
      Load.run(Millis{500000});
      BOOST_TEST(Load.dispatcher().verify() == "");
      BOOST_TEST(Load.waitingJobs() == 0);
      Add(Sums.Lookups_, Load.outcome("lookup"));
      Add(Sums.Checks_, Load.outcome("batch"));
    }
    return Sums;
  };
  const auto OnTime = [](const LoadOutcome &Outcome) {
    return static_cast<double>(Outcome.OnTime_) / Outcome.Jobs_;
  };
  const Shares Without = Play(false);
  const Shares With = Play(true);
  BOOST_TEST_MESSAGE("lookups on time: " << OnTime(Without.Lookups_) << " -> "
                                         << OnTime(With.Lookups_));
  BOOST_TEST_MESSAGE("checks on time: " << OnTime(Without.Checks_) << " -> "
                                        << OnTime(With.Checks_) << " of "
                                        << With.Checks_.Jobs_);
  // About a quarter of the lookups have a task of seven times the length and
  // cannot be on time.
  BOOST_TEST(OnTime(With.Lookups_) > OnTime(Without.Lookups_) + 0.2);
  BOOST_TEST(OnTime(With.Checks_) >= OnTime(Without.Checks_) - 0.03);
}

// Guards against a kind that is always slower being taken for faulty workers,
// which would also keep its speed from being learned.
BOOST_AUTO_TEST_CASE(SlowKindIsNotFaulty) {
  LoadSettings Settings = deskLoad(1, true);
  Settings.Kinds_ = {{"a", 0.7}, {"a", 0.7}, {"b", 3.5}};
  // Work that is not urgent and may run on both kinds.
  LoadClass &Lookup = Settings.Classes_.front();
  Lookup.Policy_.Priority_ = 1;
  Lookup.Policy_.SlackFactor_ = 20;
  PlayedLoad Load(Settings);
  Load.run(Millis{60000});
  const WorkerSpeeds &Speeds = Load.dispatcher().speeds();
  BOOST_TEST(Speeds.Kinds_[2].Factor_ / Speeds.Kinds_[1].Factor_ > 4);
  constexpr Millis Now = StartTime + Millis{60000};
  int SlowWorkers = 0;
  for (const auto &[Id, W] : Load.dispatcher().workers())
    SlowWorkers += isSlow(W, Speeds.Kinds_[1].TypicalRatio_, Now) ? 1 : 0;
  BOOST_TEST(SlowWorkers <= 6);
}

// Guards against placement that changes with noise in the learned speeds.
BOOST_AUTO_TEST_CASE(EqualSpeedsPlaceAsBefore) {
  for (const std::vector<std::pair<std::string, double>> &Kinds :
       {std::vector<std::pair<std::string, double>>{{"a", 1.0}},
        {{"a", 1.0}, {"b", 1.0}, {"c", 1.0}}}) {
    std::vector<std::string> Results;
    for (const bool UseSpeeds : {false, true}) {
      LoadSettings Settings = deskLoad(7, UseSpeeds);
      Settings.Kinds_ = Kinds;
      PlayedLoad Load(Settings);
      Load.run(Millis{30000});
      Results.push_back(Load.placements());
    }
    BOOST_TEST((Results[0] == Results[1]));
    BOOST_TEST(!Results[0].empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
