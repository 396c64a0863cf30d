#include "review/stand_ins_2/ledger.h"

#include <iostream>

namespace damaskglade::review {

namespace {

std::string describeRun(const RunRecord &Run) {
  return "task=" + Run.Task_ + " attempt=" + std::to_string(Run.Attempt_) +
         " worker=" + Run.Worker_ + " boot=" + std::to_string(Run.Boot_);
}

} // namespace

Ledger::Ledger(const std::string &RecordFile)
    : Start_(Clock_.monotonic()), Record_(RecordFile) {}

void Ledger::write(const std::string &Line) {
  if (!Brief_)
    Record_ << now().Value_ << " ms " << Line << std::endl;
}

RunRecord &Ledger::addRun(RunRecord Started) {
  Started.StartedAt_ = now();
  write("run starts " + describeRun(Started));
  return Runs_.emplace_back(std::move(Started));
}

void Ledger::endRun(RunRecord &Run, const std::string &How) {
  Run.EndedAt_ = now();
  Run.How_ = How;
  write("run ends " + describeRun(Run) + " how=" + How);
}

void Ledger::noteEnd(RunRecord &Run) {
  if (Run.NotedAt_)
    return;
  Run.NotedAt_ = now();
  write("end is taken note of " + describeRun(Run) + " how=" + Run.How_);
}

int Ledger::countEnds(const std::string &Worker, const std::string &How) const {
  int Count = 0;
  for (const RunRecord &Run : Runs_)
    Count += Run.Worker_ == Worker && Run.How_ == How ? 1 : 0;
  return Count;
}

std::vector<std::string> Ledger::findDoubleRuns() const {
  std::vector<std::string> Found;
  for (auto First = Runs_.begin(); First != Runs_.end(); ++First)
    for (auto Second = std::next(First); Second != Runs_.end(); ++Second) {
      if (First->Task_ != Second->Task_)
        continue;
      const bool AtTheSameTime =
          !First->EndedAt_ || *First->EndedAt_ > Second->StartedAt_;
      const bool AfterDone = First->How_ == "done" && First->NotedAt_;
      if (AtTheSameTime)
        Found.push_back("two runs at the same time: " + describeRun(*First) +
                        " and " + describeRun(*Second));
      else if (AfterDone)
        Found.push_back("started after it was done: " + describeRun(*First) +
                        " and " + describeRun(*Second));
    }
  return Found;
}

} // namespace damaskglade::review
