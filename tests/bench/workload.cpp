#include "tests/bench/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>

namespace damaskglade::bench {

namespace {

using policy::QueuedJob;

constexpr double MaxDeclarationError = 4.0;

// Standard deviation of the logarithm of run times; the longest of 1,000 runs
// is about 15 times the mean.
constexpr double RunSigma = 1.2;

constexpr Resources SmallTaskSize{250, 256, 0, 1, 1};
constexpr Resources MediumTaskSize{1000, 2048, 0, 1, 2};

std::vector<std::string> teamNames(int Count) {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    Names.push_back("team-" + std::to_string(Number));
  return Names;
}

std::vector<Resources> batchSizes() {
  return {Resources{1000, 2048, 0, 1, 2}, Resources{2000, 4096, 0, 1, 2},
          Resources{2000, 8192, 0, 1, 2}, Resources{4000, 6144, 0, 1, 2}};
}

/// Draws the random values of one arrival list.
class ArrivalGenerator {
public:
  ArrivalGenerator(const Workload &Work, std::uint64_t Seed)
      : Random_(Seed), Work_(Work) {
    // Most declared run times of a team are wrong in the same direction.
    for (std::size_t Index = 0; Index < Work.Teams_.size(); ++Index)
      TeamError_.push_back(declarationError());
  }

  double declarationError() {
    return std::pow(MaxDeclarationError,
                    std::uniform_real_distribution<>(-1.0, 1.0)(Random_));
  }

  Millis runTime(double MeanMs) {
    const double Mu = std::log(MeanMs) - RunSigma * RunSigma / 2.0;
    const double Sample = std::lognormal_distribution<>(Mu, RunSigma)(Random_);
    return Millis{std::max<std::int64_t>(1, std::llround(Sample))};
  }

  double interval(double MeanMs) {
    return std::exponential_distribution<>(1.0 / MeanMs)(Random_);
  }

  std::size_t index(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random_);
  }

  std::int64_t tasks(const Stream &JobStream) {
    return std::uniform_int_distribution<std::int64_t>(
        JobStream.MinTasks_, JobStream.MaxTasks_)(Random_);
  }

  Arrival makeArrival(const Stream &JobStream, Millis Time) {
    Arrival NewArrival;
    QueuedJob &Job = NewArrival.Declared_;
    const std::size_t Team = index(Work_.Teams_.size());
    Job.Team_ = JobStream.Flood_ ? "flood" : Work_.Teams_[Team];
    Job.Class_ = JobStream.Class_;
    Job.Urgency_ = JobStream.Urgency_;
    Job.Size_ = JobStream.Sizes_[index(JobStream.Sizes_.size())];
    Job.Tasks_ = tasks(JobStream);
    NewArrival.Time_ = Time;
    NewArrival.ActualRunTime_ = runTime(JobStream.MeanRunMs_);
    NewArrival.Flood_ = JobStream.Flood_;
    const double Error =
        std::clamp((JobStream.Flood_ ? 1.0 : TeamError_[Team]) *
                       std::lognormal_distribution<>(0.0, 0.3)(Random_),
                   1.0 / MaxDeclarationError, MaxDeclarationError);
    Job.Run_ = Millis{std::max<std::int64_t>(
        1, std::llround(static_cast<double>(NewArrival.ActualRunTime_.Value_) *
                        Error))};
    Job.Enqueued_ = Time;
    if (JobStream.Deadline_ > Millis{})
      Job.Deadline_ = Time + JobStream.Deadline_;
    return NewArrival;
  }

private:
  std::mt19937_64 Random_;
  const Workload &Work_;
  std::vector<double> TeamError_;
};

/// Arrivals per millisecond whose load is the given share of the capacity.
double arrivalRate(const Stream &JobStream, double Share,
                   const Resources &Capacity) {
  double MeanShare = 0.0;
  for (const Resources &Size : JobStream.Sizes_)
    MeanShare += dominantShare(Size, Capacity);
  MeanShare /= static_cast<double>(JobStream.Sizes_.size());
  const double Tasks =
      static_cast<double>(JobStream.MinTasks_ + JobStream.MaxTasks_) / 2.0;
  return Share / (MeanShare * Tasks * JobStream.MeanRunMs_);
}

constexpr std::array ResourceFields{
    &Resources::MilliCpus_, &Resources::MemoryMib_, &Resources::Accelerators_,
    &Resources::Slots_, &Resources::Connections_};

std::size_t serviceCount(const Workload &Work) {
  return static_cast<std::size_t>(
      Work.ServiceShare_ /
      dominantShare(MediumTaskSize, Work.Fleet_.capacity()));
}

/// Returns the factor by which the load shares of all streams except floods are
/// multiplied so that the most used resource reaches the workload's load. The
/// sum of the shares is not that load: the share of a stream refers to the
/// resource of which its tasks need the largest part of the fleet's capacity,
/// and this resource differs between streams.
double loadFactor(const Workload &Work) {
  const Resources Capacity = Work.Fleet_.capacity();
  double Factor = std::numeric_limits<double>::infinity();
  for (const auto Field : ResourceFields) {
    if (Capacity.*Field == 0)
      continue;
    const auto Total = static_cast<double>(Capacity.*Field);
    double Demand = 0.0;
    for (const Stream &JobStream : Work.Streams_) {
      if (JobStream.Flood_)
        continue;
      double MeanSize = 0.0;
      for (const Resources &Size : JobStream.Sizes_)
        MeanSize += static_cast<double>(Size.*Field);
      MeanSize /= static_cast<double>(JobStream.Sizes_.size());
      const double Tasks =
          static_cast<double>(JobStream.MinTasks_ + JobStream.MaxTasks_) / 2.0;
      Demand += arrivalRate(JobStream, JobStream.LoadShare_, Capacity) *
                MeanSize * Tasks * JobStream.MeanRunMs_ / Total;
    }
    const double Services = static_cast<double>(serviceCount(Work)) *
                            static_cast<double>(MediumTaskSize.*Field) / Total;
    if (Demand > 0.0)
      Factor = std::min(Factor, (Work.Load_ - Services) / Demand);
  }
  return Factor;
}

/// Maps a time to the first third of its wave period.
Millis compressIntoWave(const Stream &JobStream, double Time) {
  if (JobStream.WavePeriod_ == Millis{})
    return Millis{static_cast<std::int64_t>(Time)};
  const auto Period = static_cast<double>(JobStream.WavePeriod_.Value_);
  const double Start = std::floor(Time / Period) * Period;
  return Millis{static_cast<std::int64_t>(Start + (Time - Start) / 3.0)};
}

/// Adds services that run from the start to the end of the workload.
void addServices(const Workload &Work, std::vector<Arrival> &Arrivals) {
  const std::size_t Count = serviceCount(Work);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Arrival Service;
    Service.Declared_.Team_ = Work.Teams_[Index % Work.Teams_.size()];
    Service.Declared_.Class_ = TaskClass::Service;
    Service.Declared_.Size_ = MediumTaskSize;
    Service.Declared_.Run_ = Work.Duration_ * 10;
    Service.ActualRunTime_ = Work.Duration_ * 10;
    Arrivals.push_back(Service);
  }
}

} // namespace

Resources Fleet::capacity() const {
  Resources Sum;
  for (const WorkerGroup &Group : Groups_)
    Sum = Sum + policy::timesTasks(Group.Capacity_, Group.Count_);
  return Sum;
}

Fleet depotFleet() {
  return Fleet{"depot-48", {{48, Resources{16000, 65536, 0, 8, 64}}}, 8, 3};
}

Fleet serviceFleet() {
  return Fleet{"restauro-48", {{48, Resources{16000, 32768, 0, 8, 64}}}, 8, 3};
}

Fleet designFleet() {
  return Fleet{"design-500",
               {{325, Resources{16000, 65536, 0, 8, 64}},
                {175, Resources{16000, 65536, 4, 8, 64}}},
               8,
               6};
}

Workload depotMix(double Load, Millis Duration) {
  Workload Work;
  Work.Name_ = "depot";
  Work.Fleet_ = depotFleet();
  Work.Teams_ = teamNames(4);
  Work.ServiceShare_ = 0.05;
  Work.Load_ = Load;
  Work.Duration_ = Duration;
  // Load shares without the services; they add up to about 1 - 0.05 / 0.9.
  Work.Streams_ = {
      {TaskClass::Lookup,
       Urgency::Normal,
       0.17,
       30.0,
       1,
       1,
       {SmallTaskSize},
       Millis{1000},
       false},
      {TaskClass::Request,
       Urgency::Normal,
       0.17,
       200.0,
       1,
       1,
       {SmallTaskSize},
       Millis{3000},
       false},
      {TaskClass::Batch, Urgency::Normal, 0.40, 4000.0, 1, 1, batchSizes(),
       Millis{90000}, false},
      {TaskClass::Batch, Urgency::Urgent, 0.05, 2000.0, 1, 1, batchSizes(),
       Millis{30000}, false},
      {TaskClass::Gang,
       Urgency::Normal,
       0.15,
       5000.0,
       2,
       8,
       {MediumTaskSize},
       Millis{90000},
       false},
  };
  // Non-urgent batch jobs and gangs arrive in waves, the other jobs do not.
  for (Stream &JobStream : Work.Streams_)
    if ((JobStream.Class_ == TaskClass::Batch ||
         JobStream.Class_ == TaskClass::Gang) &&
        JobStream.Urgency_ != Urgency::Urgent)
      JobStream.WavePeriod_ = Millis{30000};
  return Work;
}

Workload serviceMix(double Load, Millis Duration) {
  Workload Work;
  Work.Name_ = "restauro";
  Work.Fleet_ = serviceFleet();
  Work.Teams_ = teamNames(6);
  Work.ServiceShare_ = 0.15;
  Work.Load_ = Load;
  Work.Duration_ = Duration;
  Work.Streams_ = {
      {TaskClass::Lookup,
       Urgency::Normal,
       0.15,
       20.0,
       1,
       1,
       {SmallTaskSize},
       Millis{1000},
       false},
      {TaskClass::Request,
       Urgency::Normal,
       0.25,
       1500.0,
       1,
       1,
       {MediumTaskSize},
       Millis{60000},
       false},
      {TaskClass::Batch, Urgency::Normal, 0.28, 5000.0, 1, 1, batchSizes(),
       Millis{90000}, false},
      {TaskClass::Batch, Urgency::Urgent, 0.05, 2000.0, 1, 1, batchSizes(),
       Millis{30000}, false},
      {TaskClass::Gang,
       Urgency::Normal,
       0.10,
       5000.0,
       2,
       8,
       {MediumTaskSize},
       Millis{90000},
       false},
  };
  // Non-urgent batch jobs and gangs arrive in waves, the other jobs do not.
  for (Stream &JobStream : Work.Streams_)
    if ((JobStream.Class_ == TaskClass::Batch ||
         JobStream.Class_ == TaskClass::Gang) &&
        JobStream.Urgency_ != Urgency::Urgent)
      JobStream.WavePeriod_ = Millis{30000};
  return Work;
}

Workload designMix(double Load, Millis Duration) {
  Workload Work;
  Work.Name_ = "design";
  Work.Fleet_ = designFleet();
  Work.Teams_ = teamNames(110);
  Work.ServiceShare_ = 0.15;
  Work.Load_ = Load;
  Work.Duration_ = Duration;
  std::vector<Resources> Accelerated{Resources{2000, 8192, 1, 1, 2},
                                     Resources{4000, 16384, 2, 1, 2}};
  Work.Streams_ = {
      {TaskClass::Lookup,
       Urgency::Normal,
       0.005,
       30.0,
       1,
       1,
       {SmallTaskSize},
       Millis{1000},
       false},
      {TaskClass::Request,
       Urgency::Normal,
       0.08,
       2000.0,
       1,
       1,
       {MediumTaskSize},
       Millis{60000},
       false},
      {TaskClass::Batch, Urgency::Normal, 0.48, 80000.0, 1, 1, batchSizes(),
       Millis{}, false},
      {TaskClass::Batch, Urgency::Normal, 0.15, 80000.0, 1, 1, Accelerated,
       Millis{}, false},
      {TaskClass::Gang,
       Urgency::Normal,
       0.10,
       60000.0,
       2,
       16,
       {MediumTaskSize},
       Millis{},
       false},
      {TaskClass::Batch, Urgency::Urgent, 0.02, 20000.0, 1, 1, batchSizes(),
       Millis{}, false},
  };
  // Non-urgent batch jobs and gangs arrive in waves, the other jobs do not.
  for (Stream &JobStream : Work.Streams_)
    if ((JobStream.Class_ == TaskClass::Batch ||
         JobStream.Class_ == TaskClass::Gang) &&
        JobStream.Urgency_ != Urgency::Urgent)
      JobStream.WavePeriod_ = Millis{150000};
  return Work;
}

Workload withFlood(Workload Base, Urgency Level, double Factor) {
  Base.Name_ += Level == Urgency::Urgent ? "+urgent-flood" : "+low-flood";
  // Longer tasks on a larger fleet limit the number of arrivals.
  const double MeanRunMs =
      63.0 * static_cast<double>(Base.Fleet_.capacity().Slots_) / 8.0;
  Base.Streams_.push_back({TaskClass::Batch,
                           Level,
                           Factor,
                           MeanRunMs,
                           1,
                           1,
                           {MediumTaskSize},
                           Millis{},
                           true});
  return Base;
}

std::vector<Arrival> makeArrivals(const Workload &Work, std::uint64_t Seed) {
  std::vector<Arrival> Arrivals;
  addServices(Work, Arrivals);
  const double Factor = loadFactor(Work);
  std::uint64_t StreamSeed = Seed;
  for (const Stream &JobStream : Work.Streams_) {
    // Each stream has its own generator, so that a flood does not change the
    // arrivals of the other streams.
    ArrivalGenerator Generator(Work, ++StreamSeed * 7919);
    const double Share =
        JobStream.LoadShare_ * (JobStream.Flood_ ? 1.0 : Factor);
    const double Rate = arrivalRate(JobStream, Share, Work.Fleet_.capacity());
    const Millis Start = JobStream.Flood_ ? Work.WarmUp_ : Millis{};
    const auto Length = static_cast<double>((Work.Duration_ - Start).Value_);
    double Time = 0.0;
    while ((Time += Generator.interval(1.0 / Rate)) < Length)
      Arrivals.push_back(Generator.makeArrival(
          JobStream, Start + compressIntoWave(JobStream, Time)));
  }
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.Time_ < B.Time_; });
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index)
    Arrivals[Index].Declared_.Id_ = "job" + std::to_string(Index);
  return Arrivals;
}

} // namespace damaskglade::bench
