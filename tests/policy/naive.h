#ifndef DAMASKGLADE_TESTS_POLICY_NAIVE_H
#define DAMASKGLADE_TESTS_POLICY_NAIVE_H

#include "policy/queue.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace damaskglade::policy {

/// A started job with the index of the worker of each of its tasks.
struct NaiveStart {
  QueuedJob Job_;
  std::vector<std::size_t> Workers_;
};

/// Baseline scheduler for comparisons: one FIFO queue, first fit, no shares, no
/// admission control. Jobs that do not fit are retried at every dispatch.
class NaiveScheduler {
public:
  /// MaxSkipped is the number of jobs that do not fit and may be skipped in one
  /// dispatch; 0 starts jobs strictly in order of arrival.
  explicit NaiveScheduler(std::size_t MaxSkipped = 0)
      : MaxSkipped_(MaxSkipped) {}

  void addWorker(const Resources &Capacity) {
    Free_.push_back(Capacity);
    FreeSlots_ += Capacity.Slots_;
  }

  void submit(QueuedJob Job) { Queue_.push_back(std::move(Job)); }

  std::vector<NaiveStart> dispatch() {
    std::vector<NaiveStart> Starts;
    RefusedSizes_.clear();
    std::size_t SkippedJobs = 0;
    std::size_t NextIndex = 0;
    for (; NextIndex < Queue_.size() && SkippedJobs <= MaxSkipped_ &&
           FreeSlots_ > 0;
         ++NextIndex) {
      auto Workers = firstFit(Queue_[NextIndex]);
      if (Workers) {
        Starts.push_back(
            NaiveStart{std::move(Queue_[NextIndex]), std::move(*Workers)});
        continue;
      }
      if (SkippedJobs != NextIndex)
        Queue_[SkippedJobs] = std::move(Queue_[NextIndex]);
      ++SkippedJobs;
    }
    Queue_.erase(Queue_.begin() + static_cast<std::ptrdiff_t>(SkippedJobs),
                 Queue_.begin() + static_cast<std::ptrdiff_t>(NextIndex));
    return Starts;
  }

  void finish(const NaiveStart &Started) {
    for (const std::size_t Worker : Started.Workers_)
      release(Worker, Started.Job_.Size_);
  }

  std::size_t queued() const { return Queue_.size(); }
  const std::vector<Resources> &free() const { return Free_; }

private:
  bool wasRefused(const QueuedJob &Job) const {
    for (const auto &[Size, Tasks] : RefusedSizes_)
      if (Tasks <= Job.Tasks_ && fits(Size, Job.Size_))
        return true;
    return false;
  }

  std::optional<std::vector<std::size_t>> firstFit(const QueuedJob &Job) {
    // Saves time: a job at least as large as a refused one does not fit either.
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
      release(Worker, Job.Size_);
    RefusedSizes_.emplace_back(Job.Size_, Job.Tasks_);
    return std::nullopt;
  }

  void take(std::size_t Worker, const Resources &Size,
            std::vector<std::size_t> &Workers) {
    Free_[Worker] = Free_[Worker] - Size;
    FreeSlots_ -= Size.Slots_;
    Workers.push_back(Worker);
  }

  void release(std::size_t Worker, const Resources &Size) {
    Free_[Worker] = Free_[Worker] + Size;
    FreeSlots_ += Size.Slots_;
  }

  std::size_t MaxSkipped_;
  std::vector<Resources> Free_;
  /// Ends a dispatch early: without a free slot no task can start.
  std::int64_t FreeSlots_ = 0;
  std::vector<std::pair<Resources, std::int64_t>> RefusedSizes_;
  std::deque<QueuedJob> Queue_;
};

} // namespace damaskglade::policy

#endif
