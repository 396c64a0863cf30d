#include "cell/work_meter.h"

namespace damaskglade::cell {

void WorkMeter::charge() {
  const std::int64_t Now = Clock_.processorMicros();
  Times_[static_cast<std::size_t>(Current_)] += Now - ReadAt_;
  ReadAt_ = Now;
}

Work WorkMeter::begin(Work Kind) {
  const Work Outer = Current_;
  // Reading the clock of a thread is a system call.
  if (Kind != Outer)
    charge();
  Current_ = Kind;
  return Outer;
}

WorkTimes WorkMeter::take() {
  charge();
  const WorkTimes Times = Times_;
  Times_ = {};
  return Times;
}

std::string describeLoad(const PassCounts &Counts, const WorkTimes &Times) {
  constexpr std::array<const char *, WorkKinds> Names{
      "other", "planning", "orders", "recording", "replies", "callers"};
  std::string Text = "passes=" + std::to_string(Counts.Passes_) +
                     " full=" + std::to_string(Counts.FullPasses_) +
                     " starts=" + std::to_string(Counts.Starts_) +
                     " questions=" + std::to_string(Counts.Questions_) +
                     " passes_ms=" + std::to_string(Counts.Elapsed_.Value_) +
                     " longest_ms=" + std::to_string(Counts.Longest_.Value_) +
                     " delay_ms=" + std::to_string(Counts.LongestDelay_.Value_);
  for (std::size_t Kind = 0; Kind < WorkKinds; ++Kind)
    Text +=
        std::string(" ") + Names[Kind] + "_us=" + std::to_string(Times[Kind]);
  return Text;
}

} // namespace damaskglade::cell
