#include "policy/placement.h"
#include "policy/queue.h"
#include "tests/bench/report.h"
#include "tests/bench/workload.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <deque>
#include <random>
#include <string_view>

namespace damaskglade::bench {

namespace {

using namespace damaskglade::policy;

constexpr std::uint64_t Seed = 20261204;
constexpr int Teams = 110;
constexpr int TasksPerWorker = 6; // 3,000 tasks on 500 workers.
constexpr std::size_t QueuedJobs = 5000;

/// A cell with running tasks and a backlog of all classes and teams.
class BusyCell {
public:
  explicit BusyCell(int Workers)
      : Random_(Seed), Shares_(ShareSettings{}),
        Queue_(QueueSettings{}, Shares_) {
    Resources Fleet;
    for (int Number = 0; Number < Workers; ++Number) {
      WorkerInfo Info;
      Info.Id_ = "w" + std::to_string(Number);
      Info.Rack_ = "r" + std::to_string(Number / 8);
      Info.Zone_ = "z" + std::to_string(Number / 8 % 6);
      Info.Capacity_ = Resources{16000, 65536, Number % 3 == 0 ? 4 : 0, 8, 64};
      Info.Listed_ = true;
      Fleet = Fleet + Info.Capacity_;
      (void)Ledger_.putWorker(Info);
    }
    Shares_.setFleet(Fleet);
    for (int Count = 0; Count < Workers * TasksPerWorker; ++Count) {
      (void)Queue_.push(randomJob());
      decide();
    }
    while (Queue_.size() < QueuedJobs)
      (void)Queue_.push(randomJob());
  }

  /// One decision: the next job, its worker and the reservation. True if the
  /// job was placed.
  bool decide() {
    const auto Next = Queue_.take(Now_, Ledger_.totals().Free_);
    if (!Next)
      return false;
    const QueuedJob &Job = Next->Job_;
    PlacementRequest Request;
    Request.Job_ = Job.Id_;
    Request.Class_ = Job.Class_;
    Request.Size_ = Job.Size_;
    Request.Random_ = Random_();
    const auto Chosen = place(Ledger_, Request);
    Reservation Wanted;
    if (Chosen) {
      Wanted.Attempt_ = Job.Id_ + ".0.1";
      Wanted.Worker_ = Chosen->Worker_;
      Wanted.Size_ = Job.Size_;
      Wanted.Class_ = Job.Class_;
      Wanted.Team_ = Job.Team_;
      Wanted.Start_ = Now_;
    }
    if (!Chosen || !Ledger_.reserve(Wanted)) {
      Queue_.putBack(*Next);
      return false;
    }
    Shares_.start(Job.Class_, Job.Team_, Job.Urgency_, Job.Size_, Now_);
    Running_.push_back(Job);
    return true;
  }

  /// Ends a task and queues a job, so that the state stays alike.
  void turnOver() {
    Now_ = Now_ + Millis{1};
    const std::size_t At = Random_() % Running_.size();
    std::swap(Running_[At], Running_.back());
    const QueuedJob Ended = Running_.back();
    Running_.pop_back();
    Ledger_.release(Ended.Id_ + ".0.1");
    Shares_.finish(Ended.Class_, Ended.Team_, Ended.Urgency_, Ended.Size_,
                   Now_);
    Queue_.beginRound();
    (void)Queue_.push(randomJob());
  }

private:
  QueuedJob randomJob() {
    constexpr std::array Classes{TaskClass::Lookup, TaskClass::Request,
                                 TaskClass::Batch, TaskClass::Service};
    QueuedJob Job;
    Job.Id_ = "job" + std::to_string(NextJob_++);
    Job.Team_ = "team-" + std::to_string(Random_() % Teams);
    Job.Class_ = Classes[Random_() % Classes.size()];
    Job.Urgency_ = static_cast<Urgency>(Random_() % UrgencyCount);
    Job.Size_ =
        Resources{500 + static_cast<std::int64_t>(Random_() % 8) * 500,
                  1024 + static_cast<std::int64_t>(Random_() % 16) * 512,
                  Random_() % 10 == 0 ? 1 : 0, 1, 2};
    Job.Run_ = Millis{1000};
    return Job;
  }

  std::mt19937_64 Random_;
  Ledger Ledger_;
  Shares Shares_;
  JobQueue Queue_;
  std::vector<QueuedJob> Running_;
  std::uint64_t NextJob_ = 0;
  Millis Now_{1};
};

void decisionTime(benchmark::State &State) {
  BusyCell Cell(static_cast<int>(State.range(0)));
  std::vector<double> Seconds;
  for ([[maybe_unused]] auto Iteration : State) {
    Cell.turnOver();
    const auto Start = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(Cell.decide());
    const std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - Start;
    State.SetIterationTime(Elapsed.count());
    Seconds.push_back(Elapsed.count());
  }
  std::sort(Seconds.begin(), Seconds.end());
  State.counters["p99_us"] = Seconds[Seconds.size() * 99 / 100] * 1e6;
}

BENCHMARK(decisionTime)->Arg(48)->Arg(500)->Arg(5000)->UseManualTime();

/// Prints results in the format of all measures.
class MeasureReporter : public benchmark::BenchmarkReporter {
public:
  bool ReportContext(const Context & /*Where*/) override { return true; }

  void ReportRuns(const std::vector<Run> &Runs) override {
    for (const Run &Result : Runs) {
      const std::string Workers = Result.run_name.args;
      const bool HasTarget = Workers == "500";
      const std::string Workload = Workers + " workers";
      report({"decision_time_p99", Workload, Result.counters.at("p99_us"), "us",
              std::nullopt,
              HasTarget ? std::optional(Target{1000.0}) : std::nullopt, Seed});
      report({"decisions_per_second", Workload,
              static_cast<double>(Result.iterations) /
                  Result.real_accumulated_time,
              "1/s", std::nullopt,
              HasTarget ? std::optional(Target{20000.0, true}) : std::nullopt,
              Seed});
    }
  }
};

} // namespace

} // namespace damaskglade::bench

int main(int Count, char **Arguments) {
  benchmark::Initialize(&Count, Arguments);
  damaskglade::bench::MeasureReporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);
  benchmark::Shutdown();
  return 0;
}
