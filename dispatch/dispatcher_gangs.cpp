// Gangs that wait for capacity: whether they can ever have it, and which
// workers are reserved for them.

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Once a gang has waited this long for capacity, workers are reserved for it.
constexpr Millis GangHoldDelay{2000};
// A reservation is used for this long, since calculating one goes through all
// runs on the workers that the gang may use.
constexpr Millis ReservationPeriod{100};
// Workers that were lost with their zone, or whose registry entries expired
// while the store was away, are back before this.
constexpr Millis DepartedWorkerPeriod{60000};

int slotsIn(const Size &Capacity, const StepSpec &Spec) {
  return slotsIn(Capacity, Spec,
                 Spec.MaxPerWorker_ > 0
                     ? std::min(Spec.Count_, Spec.MaxPerWorker_)
                     : Spec.Count_);
}

} // namespace

void Dispatcher::forgetDeparted(Millis Now) {
  std::erase_if(DepartedWorkers_, [&](const DepartedWorker &Departed) {
    return Departed.RemovedAt_ + DepartedWorkerPeriod < Now;
  });
}

void Dispatcher::rememberDeparted(const Worker &W, Millis Now) {
  DepartedWorker Departed;
  Departed.Worker_.Info_ = W.Info_;
  Departed.Worker_.LargestCapacity_ = W.LargestCapacity_;
  Departed.RemovedAt_ = Now;
  DepartedWorkers_.push_back(std::move(Departed));
}

// Workers that are away for the moment count. Of some only a row is known until
// they are in the registry again or their leases have expired.
std::optional<bool>
Dispatcher::couldHoldGang(const StepSpec &Spec,
                          const std::string &Service) const {
  std::int64_t Slots = 0;
  bool IsCapacityKnown = true;
  const auto Add = [&](const Worker &W) {
    if (!Service.empty() && !W.Info_.Service_.empty() &&
        W.Info_.Service_ != Service)
      return;
    IsCapacityKnown = IsCapacityKnown && !(W.LargestCapacity_ == Size{});
    if (mightRunOn(Spec, W))
      Slots += slotsIn(W.LargestCapacity_, Spec);
  };
  for (const auto &[Id, W] : Workers_)
    Add(W);
  for (const DepartedWorker &Departed : DepartedWorkers_)
    if (Workers_.count(Departed.Worker_.Info_.Id_) == 0)
      Add(Departed.Worker_);
  if (Slots < Spec.Count_ && !IsCapacityKnown)
    return std::nullopt;
  return Slots >= Spec.Count_;
}

void Dispatcher::addReleases(const RankedStep &Ranked, const Worker &W,
                             Millis NotBefore, Millis Now,
                             std::vector<SlotRelease> &Releases) const {
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  Size Free = freeCapacity(W);
  int Slots = slotsIn(Free, Spec);
  if (Slots > 0)
    Releases.push_back(SlotRelease{W.Index_, NotBefore, Slots});
  std::vector<std::pair<Millis, Size>> Ends;
  for (const TaskRef &Ref : W.Tasks_)
    if (const auto EndsAt = expectedEnd(W, Ref, Now))
      Ends.emplace_back(std::max(*EndsAt, NotBefore),
                        reservedSize(stepOf(Ref)));
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  for (const auto &[Time, Released] : Ends) {
    Free = Free + Released;
    const int NewSlots = slotsIn(Free, Spec);
    if (NewSlots > Slots)
      Releases.push_back(SlotRelease{W.Index_, Time, NewSlots - Slots});
    Slots = std::max(Slots, NewSlots);
  }
}

// Workers on which advice has not been given yet may be allowed, and are asked
// about once they have room.
std::optional<Reservation>
Dispatcher::calculateReservation(const RankedStep &Ranked, Millis Now) const {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  Millis NotBefore = Now;
  for (const TaskState &Task : State.Tasks_) {
    if (mayBeRunning(*Ranked.Job_, Task))
      return std::nullopt;
    NotBefore = std::max(NotBefore, Task.RetryAt_);
  }
  std::vector<SlotRelease> Releases;
  for (const Worker *W : WorkersByFreeCapacity_) {
    const bool MayBeAllowed = !Ranked.Policy_->NeedsAdvice_ ||
                              findTicket(State.Advice_, W->Index_) ||
                              !hasAnswer(State.Advice_, W->Index_);
    if (MayBeAllowed && W->Info_.Service_ == Ranked.Policy_->Service_ &&
        mayRunOn(Spec, W->Info_) && isOpenTo(*W, Ranked.Job_->Spec_.Id_, Now))
      addReleases(Ranked, *W, NotBefore, Now, Releases);
  }
  return reserveSlots(std::move(Releases), Spec.Count_);
}

// A reservation pays only if the gang can start once the runs on the reserved
// workers have ended. Otherwise it would keep them idle for nothing.
void Dispatcher::holdWorkersForGang(const RankedStep &Ranked, Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  if (GangHold_ || Now <= State.ReadyAt_ + GangHoldDelay)
    return;
  if (State.ReservationAt_ == Millis{} ||
      Now >= State.ReservationAt_ + ReservationPeriod) {
    State.Reservation_ = calculateReservation(Ranked, Now);
    State.ReservationAt_ = Now;
  }
  if (!State.Reservation_) {
    State.HeldSince_ = Millis{};
    return;
  }
  if (State.HeldSince_ == Millis{}) {
    State.HeldSince_ = Now;
    log(Ranked.Job_->Spec_.Id_, stepName(Ranked.Job_->Spec_.Id_, Ranked.Step_),
        "",
        "workers are reserved for a gang, workers=" +
            std::to_string(State.Reservation_->Slots_.size()) +
            " start_in_ms=" +
            std::to_string((State.Reservation_->StartAt_ - Now).Value_));
  }
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  GangHold_ = GangHold{&State, reservedSize(Spec)};
}

Size Dispatcher::reservedFor(const RankedStep &Ranked, const Worker &W,
                             Millis Now) const {
  if (!GangHold_ || isUrgent(Ranked))
    return Size{};
  const StepRun &Gang = *GangHold_->State_;
  const auto Slots = Gang.Reservation_->Slots_.find(W.Index_);
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  if (Slots == Gang.Reservation_->Slots_.end() ||
      mayBackfill(Spec.Estimate_, Now - Gang.HeldSince_,
                  Gang.Reservation_->StartAt_ - Now))
    return Size{};
  return GangHold_->Member_ * Slots->second;
}

} // namespace damaskglade::dispatch
