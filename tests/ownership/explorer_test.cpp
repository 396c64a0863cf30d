#include "tests/ownership/model.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <unordered_set>

using namespace damaskglade;
using namespace damaskglade::ownership;
using namespace damaskglade::ownership::model;

namespace {

// Times in units of one step, in the same order as the defaults and short
// enough to explore a takeover.
ProtocolConfig smallConfig() {
  ProtocolConfig Config;
  Config.LeaseDuration_ = Millis{6};
  Config.RenewInterval_ = Millis{2};
  Config.ClaimMargin_ = Millis{1};
  Config.ClockError_ = Millis{1};
  Config.PromiseDuration_ = Millis{4};
  Config.ConsentDuration_ = Millis{4};
  Config.RequestInterval_ = Millis{1};
  Config.VmListLag_ = Millis{10};
  Config.MaxHold_ = Millis{40};
  Config.NodeReadInterval_ = Millis{1};
  Config.ShardReadInterval_ = Millis{1};
  Config.ClaimStagger_ = Millis{1};
  return Config;
}

Fault noFault(const Delivery &) { return Fault::None; }

/// All nodes have joined and are listed. The last one owns the shard, so that
/// claimants act before the owner within a unit.
Model settledModel(std::size_t Nodes, const ProtocolConfig &Config) {
  Model Settled(Nodes, {"z/r"}, Config);
  for (ModelNode &Node : Settled.Nodes_)
    Node.WallOffset_ = Config.ClockError_;
  for (std::size_t I = 0; I + 1 < Nodes; ++I)
    Settled.Nodes_[I].Alive_ = false;
  for (int Unit = 0; Unit < 80; ++Unit) {
    if (Unit == 10)
      for (ModelNode &Node : Settled.Nodes_)
        Node.Alive_ = true;
    Settled.run(Millis{1}, noFault);
  }
  BOOST_REQUIRE(Settled.violation().empty());
  BOOST_REQUIRE(Settled.countStartableShards() == 1U);
  BOOST_REQUIRE(Settled.countListedNodes() == Nodes);
  return Settled;
}

struct SearchOptions {
  std::size_t Nodes_ = 2;
  int Depth_ = 20;
  int MaxFaults_ = 1; ///< Per path.
  std::set<std::string> AllowedFaults_ = {
      "pause", "cut table", "cut peers", "restart", "kill", "stop", "fault"};
  bool OwnerTableUnreachable_ = false; ///< Initially.
  bool ColdStart_ = false;             ///< Start before the nodes join.
  std::size_t MaxStates_ = 2000000;
  ProtocolConfig Config_ = smallConfig();
};

struct SearchResult {
  std::string Violation_;
  std::string Trace_;
  std::size_t States_ = 0;
  std::size_t Transitions_ = 0;
  bool Complete_ = true; ///< Not stopped by MaxStates_.
};

struct Path {
  Model State_;
  int RemainingFaults_ = 0;
  std::string Trace_;
};

/// Breadth-first search over the faults of each unit of time. Delayed messages
/// and writes can arrive, nodes can boot, and pauses and network faults can end
/// at any time; only new faults count towards the limit of a path.
class Explorer {
public:
  explicit Explorer(const SearchOptions &Options) : Options_(Options) {}

  SearchResult run() {
    Model Start = Options_.ColdStart_
                      ? Model(Options_.Nodes_, {"z/r"}, Options_.Config_)
                      : settledModel(Options_.Nodes_, Options_.Config_);
    Start.Nodes_.back().TableUnreachable_ = Options_.OwnerTableUnreachable_;
    std::vector<Path> Layer;
    Layer.push_back(Path{std::move(Start), Options_.MaxFaults_, ""});
    for (int Unit = 0; Unit < Options_.Depth_ && !stopped(); ++Unit) {
      NextLayer_.clear();
      Visited_.clear();
      for (const Path &From : Layer)
        expand(From);
      Layer = std::move(NextLayer_);
    }
    return Result_;
  }

private:
  bool stopped() const {
    return !Result_.Violation_.empty() || !Result_.Complete_;
  }

  // Branches on all combinations of ends of earlier faults, then on new faults.
  void expand(const Path &From) {
    std::vector<Path> Branches{From};
    for (std::size_t I = From.State_.Delayed_.size(); I-- > 0;)
      addBranches(Branches, "deliver ", I,
                  [I](Model &State) { State.deliverDelayed(I); });
    for (std::size_t I = 0; I < Options_.Nodes_; ++I) {
      const ModelNode &Node = From.State_.Nodes_[I];
      if (!Node.Alive_)
        addBranches(Branches, "boot ", I, [I](Model &State) { State.boot(I); });
      if (Node.Paused_ || Node.TableUnreachable_ || Node.PeersUnreachable_)
        addBranches(Branches, "heal ", I, [I](Model &State) {
          State.Nodes_[I].Paused_ = false;
          State.Nodes_[I].TableUnreachable_ = false;
          State.Nodes_[I].PeersUnreachable_ = false;
        });
    }
    for (const Path &Branch : Branches) {
      const std::vector<DeliveryKind> Calls = runUnit(Branch);
      if (Branch.RemainingFaults_ > 0)
        expandWithFaults(Branch, Calls);
    }
  }

  template <typename Change>
  void addBranches(std::vector<Path> &Branches, const std::string &Name,
                   std::size_t I, Change Apply) {
    const std::size_t Count = Branches.size();
    for (std::size_t C = 0; C < Count; ++C) {
      Branches.push_back(Branches[C]);
      Apply(Branches.back().State_);
      Branches.back().Trace_ += Name + std::to_string(I) + "; ";
    }
  }

  void expandWithFaults(const Path &From,
                        const std::vector<DeliveryKind> &Calls) {
    for (std::size_t I = 0; I < Options_.Nodes_; ++I) {
      const ModelNode &Node = From.State_.Nodes_[I];
      if (!Node.Alive_)
        continue;
      const auto InjectFault = [&](const std::string &Name, auto Change) {
        if (Options_.AllowedFaults_.count(Name) == 0)
          return;
        Path Branch = From;
        Branch.RemainingFaults_ -= 1;
        Branch.Trace_ += Name + " " + std::to_string(I) + "; ";
        Change(Branch.State_);
        runUnit(Branch);
      };
      if (!Node.Paused_)
        InjectFault("pause",
                    [I](Model &State) { State.Nodes_[I].Paused_ = true; });
      if (!Node.TableUnreachable_)
        InjectFault("cut table", [I](Model &State) {
          State.Nodes_[I].TableUnreachable_ = true;
        });
      if (!Node.PeersUnreachable_)
        InjectFault("cut peers", [I](Model &State) {
          State.Nodes_[I].PeersUnreachable_ = true;
        });
      InjectFault("restart", [I](Model &State) { State.restart(I); });
      InjectFault("kill", [I](Model &State) { State.kill(I); });
      InjectFault("stop", [I](Model &State) { State.requestStop(I); });
    }
    if (Options_.AllowedFaults_.count("fault") == 0)
      return;
    for (std::size_t Index = 0; Index < Calls.size(); ++Index)
      for (const Fault Kind :
           {Fault::Dropped, Fault::Delayed, Fault::AnswerLost})
        if (Kind != Fault::AnswerLost || Calls[Index] == DeliveryKind::Write)
          runUnitWithFault(From, Index, Kind);
  }

  void runUnitWithFault(const Path &From, std::size_t Index,
                        Fault InjectedFault) {
    Path Branch = From;
    Branch.RemainingFaults_ -= 1;
    Branch.Trace_ += "fault " +
                     std::to_string(static_cast<int>(InjectedFault)) +
                     " on call " + std::to_string(Index) + "; ";
    std::size_t Count = 0;
    Branch.State_.run(Millis{1}, [&](const Delivery &) {
      return Count++ == Index ? InjectedFault : Fault::None;
    });
    addSuccessor(std::move(Branch));
  }

  // Runs one unit without call faults. Returns its calls and messages.
  std::vector<DeliveryKind> runUnit(const Path &From) {
    Path Branch = From;
    std::vector<DeliveryKind> Calls;
    Branch.State_.run(Millis{1}, [&Calls](const Delivery &Item) {
      Calls.push_back(Item.Kind_);
      return Fault::None;
    });
    addSuccessor(std::move(Branch));
    return Calls;
  }

  void addSuccessor(Path Branch) {
    Result_.Transitions_ += 1;
    if (stopped())
      return;
    if (!Branch.State_.violation().empty()) {
      Result_.Violation_ = Branch.State_.violation();
      Result_.Trace_ = Branch.Trace_;
      return;
    }
    const std::string Key = Branch.State_.fingerprint() + "/" +
                            std::to_string(Branch.RemainingFaults_);
    if (!Visited_.insert(std::hash<std::string>{}(Key)).second)
      return;
    Branch.Trace_ += "| ";
    NextLayer_.push_back(std::move(Branch));
    Result_.States_ += 1;
    Result_.Complete_ = Result_.States_ < Options_.MaxStates_;
  }

  const SearchOptions Options_;
  SearchResult Result_;
  std::vector<Path> NextLayer_;
  std::unordered_set<std::size_t> Visited_;
};

SearchResult explore(const SearchOptions &Options) {
  SearchResult Result = Explorer(Options).run();
  BOOST_TEST_MESSAGE(Options.Nodes_ << " nodes, " << Options.MaxFaults_
                                    << " faults, depth " << Options.Depth_
                                    << ": " << Result.States_ << " states, "
                                    << Result.Transitions_ << " transitions"
                                    << (Result.Complete_ ? "" : ", bounded"));
  if (!Result.Violation_.empty())
    BOOST_TEST_MESSAGE(Result.Violation_ << "\n" << Result.Trace_);
  return Result;
}

// The search is single-threaded, so ThreadSanitizer can't find anything and
// makes it ten times slower.
#ifdef __SANITIZE_THREAD__
constexpr int DepthReduction = 4;
#else
constexpr int DepthReduction = 0;
#endif

bool isLongRun() { return std::getenv("DAMASKGLADE_LONG") != nullptr; }

} // namespace

BOOST_AUTO_TEST_SUITE(Exploration)

// Each case guards against two owners of one shard, decreasing epochs and
// renewal of expired leases, for one zone size and set of faults.

BOOST_AUTO_TEST_CASE(TwoNodesAnyFault) {
  SearchOptions Options;
  Options.MaxFaults_ = isLongRun() ? 2 : 1;
  BOOST_TEST(explore(Options).Violation_ == "");
}

BOOST_AUTO_TEST_CASE(ThreeNodesAnyFault) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.MaxFaults_ = isLongRun() ? 2 : 1;
  Options.Depth_ = isLongRun() ? 13 : 20 - 2 * DepthReduction;
  BOOST_TEST(explore(Options).Violation_ == "");
}

BOOST_AUTO_TEST_CASE(TwoNodesCutsAndRestarts) {
  SearchOptions Options;
  Options.MaxFaults_ = 2;
  Options.Depth_ = isLongRun() ? 20 : 10 - DepthReduction;
  Options.AllowedFaults_ = {"pause", "cut table", "cut peers", "restart",
                            "kill"};
  BOOST_TEST(explore(Options).Violation_ == "");
}

BOOST_AUTO_TEST_CASE(ThreeNodesCutsAndRestarts) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.MaxFaults_ = 2;
  Options.Depth_ = isLongRun() ? 14 : 9 - DepthReduction;
  Options.AllowedFaults_ = {"pause", "cut table", "cut peers", "restart"};
  BOOST_TEST(explore(Options).Violation_ == "");
}

// The owner can't reach the table, and its peers may give promises to it or
// consents to a claim.
BOOST_AUTO_TEST_CASE(ThreeNodesHoldEnds) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.OwnerTableUnreachable_ = true;
  Options.MaxFaults_ = 2;
  Options.Depth_ = isLongRun() ? 12 : 9;
  Options.AllowedFaults_ = {"cut peers"};
  BOOST_TEST(explore(Options).Violation_ == "");
}

// Start of a zone: nodes join, the list grows, the shard gets an owner.
BOOST_AUTO_TEST_CASE(ColdStart) {
  SearchOptions Options;
  Options.ColdStart_ = true;
  Options.Nodes_ = isLongRun() ? 3 : 2;
  Options.Depth_ = 24;
  BOOST_TEST(explore(Options).Violation_ == "");
}

BOOST_AUTO_TEST_SUITE_END()

// Each case disables one protocol rule. The search must find a violation;
// otherwise it shows nothing about the rule.
BOOST_AUTO_TEST_SUITE(Mutations)

BOOST_AUTO_TEST_CASE(MissingClockMarginIsFound) {
  SearchOptions Options;
  Options.AllowedFaults_ = {"pause", "cut table", "cut peers", "restart"};
  Options.Config_.Faults_.SkipClockMargin_ = true;
  BOOST_TEST(explore(Options).Violation_ != "");
}

BOOST_AUTO_TEST_CASE(MissingConsentIsFound) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.AllowedFaults_ = {"pause", "cut table", "cut peers", "restart"};
  Options.Config_.Faults_.SkipConsent_ = true;
  BOOST_TEST(explore(Options).Violation_ != "");
}

BOOST_AUTO_TEST_CASE(ResumedExpiredRightIsFound) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.MaxFaults_ = 2;
  Options.AllowedFaults_ = {"pause", "cut table", "cut peers", "restart"};
  Options.Config_.Faults_.ResumeExpiredLease_ = true;
  BOOST_TEST(explore(Options).Violation_ != "");
}

BOOST_AUTO_TEST_CASE(ConsentDespitePromiseIsFound) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.AllowedFaults_ = {"pause", "cut table", "cut peers", "restart"};
  Options.Config_.Faults_.ConsentDespitePromise_ = true;
  BOOST_TEST(explore(Options).Violation_ != "");
}

BOOST_AUTO_TEST_CASE(MissingRestartWaitIsFound) {
  SearchOptions Options;
  Options.Nodes_ = 3;
  Options.OwnerTableUnreachable_ = true;
  Options.MaxFaults_ = 2;
  Options.AllowedFaults_ = {"restart"};
  Options.Config_.Faults_.SkipRestartWait_ = true;
  BOOST_TEST(explore(Options).Violation_ != "");
}

BOOST_AUTO_TEST_SUITE_END()
