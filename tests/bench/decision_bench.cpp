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

/// A cell with running tasks and a backlog of jobs of several classes and all
/// teams.
class LoadedCell {
public:
  explicit LoadedCell(int Workers)
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

  /// Makes one decision: takes the next job, chooses its worker and reserves
  /// its capacity. Returns true if the job was placed.
  bool decide() {
    const auto Selected = Queue_.take(Now_, Ledger_.totals().Free_);
    if (!Selected)
      return false;
    const QueuedJob &Job = Selected->Job_;
    PlacementRequest Request;
    Request.Job_ = Job.Id_;
    Request.Class_ = Job.Class_;
    Request.Size_ = Job.Size_;
    Request.Random_ = Random_();
    const auto ChosenWorker = place(Ledger_, Request);
    Reservation NewReservation;
    if (ChosenWorker) {
      NewReservation.Attempt_ = Job.Id_ + ".0.1";
      NewReservation.Worker_ = ChosenWorker->Worker_;
      NewReservation.Size_ = Job.Size_;
      NewReservation.Class_ = Job.Class_;
      NewReservation.Team_ = Job.Team_;
      NewReservation.Start_ = Now_;
    }
    if (!ChosenWorker || !Ledger_.reserve(NewReservation)) {
      Queue_.putBack(*Selected);
      return false;
    }
    Shares_.start(Job.Class_, Job.Team_, Job.Urgency_, Job.Size_, Now_);
    Running_.push_back(Job);
    return true;
  }

  /// Ends a random task and queues a new job, so that the load stays constant.
  void replaceRandomTask() {
    Now_ = Now_ + Millis{1};
    const std::size_t Index = Random_() % Running_.size();
    std::swap(Running_[Index], Running_.back());
    const QueuedJob FinishedJob = Running_.back();
    Running_.pop_back();
    Ledger_.release(FinishedJob.Id_ + ".0.1");
    Shares_.finish(FinishedJob.Class_, FinishedJob.Team_, FinishedJob.Urgency_,
                   FinishedJob.Size_, Now_);
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
  LoadedCell Cell(static_cast<int>(State.range(0)));
  std::vector<double> Seconds;
  for ([[maybe_unused]] auto Iteration : State) {
    Cell.replaceRandomTask();
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

/// Prints results in the format of the other benchmarks.
class MeasureReporter : public benchmark::BenchmarkReporter {
public:
  bool ReportContext(const Context & /*Unused*/) override { return true; }

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
