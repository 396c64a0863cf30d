#ifndef DAMASKGLADE_TESTS_POLICY_NAIVE_H
#define DAMASKGLADE_TESTS_POLICY_NAIVE_H

#include "policy/queue.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace damaskglade::policy {

/// A job with the index of the worker of each task.
struct NaiveStart {
  QueuedJob Job_;
  std::vector<std::size_t> Workers_;
};

/// The scheduler to compare with: one FIFO queue, first fit, no shares, no
/// admission control. Jobs that do not fit are tried again at every dispatch.
class NaiveScheduler {
public:
  /// Passed is the number of jobs that do not fit and are passed over at one
  /// dispatch; 0 keeps strictly to the order of arrival.
  explicit NaiveScheduler(std::size_t Passed = 0) : Passed_(Passed) {}

  void addWorker(const Resources &Capacity) {
    Free_.push_back(Capacity);
    FreeSlots_ += Capacity.Slots_;
  }

  void submit(QueuedJob Job) { Queue_.push_back(std::move(Job)); }

  std::vector<NaiveStart> dispatch() {
    std::vector<NaiveStart> Starts;
    Refused_.clear();
    std::size_t Kept = 0;
    std::size_t Next = 0;
    for (; Next < Queue_.size() && Kept <= Passed_ && FreeSlots_ > 0; ++Next) {
      auto Workers = firstFit(Queue_[Next]);
      if (Workers) {
        Starts.push_back(
            NaiveStart{std::move(Queue_[Next]), std::move(*Workers)});
        continue;
      }
      if (Kept != Next)
        Queue_[Kept] = std::move(Queue_[Next]);
      ++Kept;
    }
    Queue_.erase(Queue_.begin() + static_cast<std::ptrdiff_t>(Kept),
                 Queue_.begin() + static_cast<std::ptrdiff_t>(Next));
    return Starts;
  }

  void finish(const NaiveStart &Ended) {
    for (const std::size_t Worker : Ended.Workers_)
      giveBack(Worker, Ended.Job_.Size_);
  }

  std::size_t queued() const { return Queue_.size(); }
  const std::vector<Resources> &free() const { return Free_; }

private:
  bool wasRefused(const QueuedJob &Job) const {
    for (const auto &[Size, Tasks] : Refused_)
      if (Tasks <= Job.Tasks_ && fits(Size, Job.Size_))
        return true;
    return false;
  }

  std::optional<std::vector<std::size_t>> firstFit(const QueuedJob &Job) {
    // Saves time only: larger work cannot fit either.
    if (wasRefused(Job))
      return std::nullopt;
    std::vector<std::size_t> Workers;
    for (std::size_t Worker = 0;
         Worker < Free_.size() && std::cmp_less(Workers.size(), Job.Tasks_);
         ++Worker)
      while (std::cmp_less(Workers.size(), Job.Tasks_) &&
             fits(Job.Size_, Free_[Worker]))
        take(Worker, Job.Size_, Workers);
    if (std::cmp_equal(Workers.size(), Job.Tasks_))
      return Workers;
    for (const std::size_t Worker : Workers)
      giveBack(Worker, Job.Size_);
    Refused_.emplace_back(Job.Size_, Job.Tasks_);
    return std::nullopt;
  }

  void take(std::size_t Worker, const Resources &Size,
            std::vector<std::size_t> &Workers) {
    Free_[Worker] = Free_[Worker] - Size;
    FreeSlots_ -= Size.Slots_;
    Workers.push_back(Worker);
  }

  void giveBack(std::size_t Worker, const Resources &Size) {
    Free_[Worker] = Free_[Worker] + Size;
    FreeSlots_ += Size.Slots_;
  }

  std::size_t Passed_;
  std::vector<Resources> Free_;
  std::int64_t FreeSlots_ = 0; ///< Every task takes at least one.
  std::vector<std::pair<Resources, std::int64_t>> Refused_;
  std::deque<QueuedJob> Queue_;
};

} // namespace damaskglade::policy

#endif
