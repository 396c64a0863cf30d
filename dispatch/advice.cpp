#include "dispatch/advice.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

bool precedes(const AllowedWorker &Each, int Slot) { return Each.Slot_ < Slot; }

} // namespace

const Ticket *findTicket(const StepAdvice &Advice, int Slot) {
  const auto At = std::lower_bound(Advice.Allowed_.begin(),
                                   Advice.Allowed_.end(), Slot, precedes);
  const bool Found = At != Advice.Allowed_.end() && At->Slot_ == Slot;
  return Found ? &At->Ticket_ : nullptr;
}

void allowWorker(StepAdvice &Advice, int Slot, Ticket Given) {
  const auto At = std::lower_bound(Advice.Allowed_.begin(),
                                   Advice.Allowed_.end(), Slot, precedes);
  if (At != Advice.Allowed_.end() && At->Slot_ == Slot)
    At->Ticket_ = std::move(Given);
  else
    Advice.Allowed_.insert(At, AllowedWorker{Slot, std::move(Given)});
}

bool wasAsked(const StepAdvice &Advice, int Slot) {
  const auto At = static_cast<std::size_t>(Slot);
  return At < Advice.Asked_.size() && Advice.Asked_[At];
}

void markAsked(StepAdvice &Advice, int Slot) {
  const auto At = static_cast<std::size_t>(Slot);
  if (At >= Advice.Asked_.size())
    Advice.Asked_.resize(At + 1);
  Advice.Asked_[At] = true;
}

} // namespace damaskglade::dispatch
