#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_LEDGER_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_LEDGER_H

#include "core/clock.h"

#include <fstream>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::review {

/// One execution of a task, as its worker has seen it.
struct RunRecord {
  std::string Task_;
  std::string Worker_;
  int Boot_ = 0;
  std::int64_t Attempt_ = 0;
  Millis StartedAt_{};
  std::optional<Millis> EndedAt_;
  std::string How_; ///< As workers list it, or "lost" with its worker.
  /// The end was taken note of: lastSeen has reached it.
  std::optional<Millis> NotedAt_;
};

/// What workers and callers have seen in a run of a case; it is written to the
/// record file as it happens.
class Ledger {
public:
  explicit Ledger(const std::string &RecordFile);

  /// Time since the start of the case.
  Millis now() const { return Clock_.monotonic() - Start_; }
  void write(const std::string &Line);
  /// Leaves runs out of the record file.
  void setBrief(bool Brief) { Brief_ = Brief; }
  RunRecord &addRun(RunRecord Started);
  void endRun(RunRecord &Run, const std::string &How);
  void noteEnd(RunRecord &Run);
  const std::list<RunRecord> &runs() const { return Runs_; }
  int countEnds(const std::string &Worker, const std::string &How) const;

  /// Breaches of TWICE: two runs of a task at the same time, or a start after
  /// an end "done" that is taken note of then or later.
  std::vector<std::string> findDoubleRuns() const;

private:
  SystemClock Clock_;
  const Millis Start_;
  std::ofstream Record_;
  bool Brief_ = false;
  std::list<RunRecord> Runs_;
};

} // namespace damaskglade::review

#endif
