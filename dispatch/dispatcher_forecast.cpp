// Which waiting steps can count on capacity before the tickets that are
// requested for them expire.

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Tickets are valid for about this long.
constexpr Millis ForecastPeriod{2500};

} // namespace

int Dispatcher::poolIndex(const WorkerInfo &Info) {
  const auto [Entry, Added] = PoolIndexes_.try_emplace(
      {Info.Service_, Info.Labels_}, static_cast<int>(Pools_.size()));
  if (Added) {
    CapacityPool Pool;
    Pool.Info_.Service_ = Info.Service_;
    Pool.Info_.Labels_ = Info.Labels_;
    Pools_.push_back(std::move(Pool));
  }
  return Entry->second;
}

void Dispatcher::resetPools() {
  for (CapacityPool &Pool : Pools_) {
    CapacityPool Empty;
    Empty.Info_.Service_ = std::move(Pool.Info_.Service_);
    Empty.Info_.Labels_ = std::move(Pool.Info_.Labels_);
    Pool = std::move(Empty);
  }
}

bool Dispatcher::isSuitable(const RankedStep &Ranked,
                            const CapacityPool &Pool) {
  return Pool.Info_.Service_ == Ranked.Policy_->Service_ &&
         mayRunOn(
             Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)],
             Pool.Info_);
}

bool Dispatcher::expectsCapacity(const RankedStep &Ranked) const {
  const Size Need = reservedSize(
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)]);
  return std::any_of(
      Pools_.begin(), Pools_.end(), [&](const CapacityPool &Pool) {
        return availableTasks(Pool, Need) > 0 && isSuitable(Ranked, Pool);
      });
}

// What keeps tasks from starting, apart from capacity: attempts that may be
// running, the limit per worker, and advice. Delays after failures are shorter
// than the forecast.
double Dispatcher::startableTasks(const RankedStep &Ranked, int Waiting,
                                  int SuitableWorkers, Millis Now) const {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const auto MayStartSoon = [&](const TaskState &Task) {
    return !Task.Done_ && !Task.Run_ && !mayBeRunning(*Ranked.Job_, Task);
  };
  double Tasks = std::min<double>(
      Waiting, static_cast<double>(std::count_if(
                   State.Tasks_.begin(), State.Tasks_.end(), MayStartSoon)));
  int Workers = SuitableWorkers;
  const StepAdvice &Advice = State.Advice_;
  const auto AnsweredWorkers = std::count(Advice.AnsweredWorkers_.begin(),
                                          Advice.AnsweredWorkers_.end(), true);
  if (Ranked.Policy_->NeedsAdvice_ && AnsweredWorkers >= SuitableWorkers) {
    CapacityPool Allowed;
    for (const AllowedWorker &Entry : Advice.AllowedWorkers_)
      if (const Worker *W =
              WorkersByIndex_[static_cast<std::size_t>(Entry.WorkerIndex_)];
          W && acceptsWork(*W, Now))
        addWorker(Allowed, *W);
    Workers = Allowed.Workers_;
    Tasks = std::min(Tasks, availableTasks(Allowed, reservedSize(Spec)));
  }
  if (Spec.MaxPerWorker_ > 0) {
    const double Running = State.RunCount_;
    const double Slots = static_cast<double>(Workers) * Spec.MaxPerWorker_;
    Tasks = std::min(Tasks,
                     std::max(Slots - Running, 0.0) + Running * ReleasedShare);
  }
  return Tasks;
}

void Dispatcher::claimCapacity(const RankedStep &Ranked, int Waiting,
                               Millis Now) {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const Size Need = reservedSize(Spec);
  if (Waiting == 0 || Need == Size{} ||
      std::none_of(Pools_.begin(), Pools_.end(), hasCapacity))
    return;
  std::vector<std::pair<CapacityPool *, double>> Suitable;
  double Available = 0;
  int Workers = 0;
  for (CapacityPool &Pool : Pools_)
    if (isSuitable(Ranked, Pool)) {
      Suitable.emplace_back(&Pool, availableTasks(Pool, Need));
      Available += Suitable.back().second;
      Workers += Pool.Workers_;
    }
  if (Available <= 0)
    return;
  const double Startable = startableTasks(Ranked, Waiting, Workers, Now);
  // A gang needs no capacity until there is enough for all members.
  const bool IsReserved = GangHold_ && GangHold_->State_ == &State &&
                          State.Reservation_->StartAt_ <= Now + ForecastPeriod;
  if (Spec.Gang_ && !IsReserved && std::min(Available, Startable) < Waiting)
    return;
  // In proportion, since any of the workers may be chosen.
  const double Part = std::min(Startable / Available, 1.0);
  for (const auto &[Pool, Tasks] : Suitable)
    claimTasks(*Pool, Need, Tasks * Part);
}

} // namespace damaskglade::dispatch
