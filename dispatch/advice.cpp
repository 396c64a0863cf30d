#include "dispatch/advice.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

bool precedes(const AllowedWorker &Allowed, int Slot) {
  return Allowed.Slot_ < Slot;
}

} // namespace

const Ticket *findTicket(const StepAdvice &Advice, int Slot) {
  const auto Position = std::lower_bound(Advice.Allowed_.begin(),
                                         Advice.Allowed_.end(), Slot, precedes);
  const bool Found =
      Position != Advice.Allowed_.end() && Position->Slot_ == Slot;
  return Found ? &Position->Ticket_ : nullptr;
}

void allowWorker(StepAdvice &Advice, int Slot, Ticket NewTicket) {
  const auto Position = std::lower_bound(Advice.Allowed_.begin(),
                                         Advice.Allowed_.end(), Slot, precedes);
  if (Position != Advice.Allowed_.end() && Position->Slot_ == Slot)
    Position->Ticket_ = std::move(NewTicket);
  else
    Advice.Allowed_.insert(Position, AllowedWorker{Slot, std::move(NewTicket)});
}

bool wasAsked(const StepAdvice &Advice, int Slot) {
  const auto Index = static_cast<std::size_t>(Slot);
  return Index < Advice.Asked_.size() && Advice.Asked_[Index];
}

void markAsked(StepAdvice &Advice, int Slot) {
  const auto Index = static_cast<std::size_t>(Slot);
  if (Index >= Advice.Asked_.size())
    Advice.Asked_.resize(Index + 1);
  Advice.Asked_[Index] = true;
}

} // namespace damaskglade::dispatch
