#include "dispatch/advice.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

bool precedes(const AllowedWorker &AllowedEntry, int WorkerIndex) {
  return AllowedEntry.WorkerIndex_ < WorkerIndex;
}

} // namespace

const Ticket *findTicket(const StepAdvice &Advice, int WorkerIndex) {
  const auto Entry =
      std::lower_bound(Advice.AllowedWorkers_.begin(),
                       Advice.AllowedWorkers_.end(), WorkerIndex, precedes);
  const bool Found = Entry != Advice.AllowedWorkers_.end() &&
                     Entry->WorkerIndex_ == WorkerIndex;
  return Found ? &Entry->Ticket_ : nullptr;
}

void allowWorker(StepAdvice &Advice, int WorkerIndex, Ticket NewTicket) {
  const auto Entry =
      std::lower_bound(Advice.AllowedWorkers_.begin(),
                       Advice.AllowedWorkers_.end(), WorkerIndex, precedes);
  if (Entry != Advice.AllowedWorkers_.end() &&
      Entry->WorkerIndex_ == WorkerIndex)
    Entry->Ticket_ = std::move(NewTicket);
  else
    Advice.AllowedWorkers_.insert(
        Entry, AllowedWorker{WorkerIndex, std::move(NewTicket)});
}

bool hasAnswer(const StepAdvice &Advice, int WorkerIndex) {
  const auto Index = static_cast<std::size_t>(WorkerIndex);
  return Index < Advice.AnsweredWorkers_.size() &&
         Advice.AnsweredWorkers_[Index];
}

void markAnswered(StepAdvice &Advice, int WorkerIndex) {
  const auto Index = static_cast<std::size_t>(WorkerIndex);
  if (Index >= Advice.AnsweredWorkers_.size())
    Advice.AnsweredWorkers_.resize(Index + 1);
  Advice.AnsweredWorkers_[Index] = true;
}

} // namespace damaskglade::dispatch
