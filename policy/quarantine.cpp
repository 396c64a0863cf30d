#include "policy/quarantine.h"

#include <algorithm>
#include <unordered_set>

namespace damaskglade::policy {

void Quarantine::setZone(const std::string &Zone,
                         const std::vector<std::string> &Workers) {
  const std::unordered_set<std::string> ZoneWorkers(Workers.begin(),
                                                    Workers.end());
  for (auto RecordIt = Records_.begin(); RecordIt != Records_.end();) {
    Record &Entry = RecordIt->second;
    const bool IsRemoved =
        Entry.Zone_ == Zone && !ZoneWorkers.contains(RecordIt->first);
    const bool HasMoved =
        Entry.Zone_ != Zone && ZoneWorkers.contains(RecordIt->first);
    if (!IsRemoved && !HasMoved) {
      ++RecordIt;
      continue;
    }
    endQuarantine(Entry);
    --ZoneSizes_[Entry.Zone_];
    RecordIt = Records_.erase(RecordIt);
  }
  for (const std::string &Worker : ZoneWorkers)
    Records_[Worker].Zone_ = Zone;
  ZoneSizes_[Zone] = static_cast<std::int64_t>(ZoneWorkers.size());

  for (auto &[OtherZone, Size] : ZoneSizes_) {
    std::vector<std::pair<std::int64_t, Record *>> QuarantinedRecords;
    for (auto &[Worker, Entry] : Records_)
      if (Entry.Zone_ == OtherZone && Entry.Quarantined_)
        QuarantinedRecords.emplace_back(Entry.FailedTrials_, &Entry);
    std::sort(QuarantinedRecords.begin(), QuarantinedRecords.end());
    const std::int64_t Excess =
        quarantinedIn(OtherZone) - maxQuarantinedIn(OtherZone);
    for (std::int64_t RecordIndex = 0; RecordIndex < Excess; ++RecordIndex)
      endQuarantine(
          *QuarantinedRecords[static_cast<std::size_t>(RecordIndex)].second);
  }
}

void Quarantine::recordFailure(const std::string &Worker, Millis RunTime,
                               Millis Now) {
  const auto RecordIt = Records_.find(Worker);
  if (RecordIt == Records_.end())
    return;
  Record &Entry = RecordIt->second;
  if (RunTime > Settings_.StartFailureWindow_) {
    recordSuccess(Worker);
    return;
  }
  ++Entry.ConsecutiveFailures_;
  if (!Entry.Quarantined_) {
    if (Entry.ConsecutiveFailures_ >= Settings_.FailureThreshold_)
      beginQuarantine(Entry, Now);
    return;
  }
  // Ignores failures of tasks that were started before the quarantine.
  if (Entry.TrialDeadline_ == Millis{})
    return;
  ++Entry.FailedTrials_;
  Entry.TrialDeadline_ = Millis{};
  Entry.NextTrial_ = Now + trialDelay(Entry.FailedTrials_);
}

void Quarantine::recordSuccess(const std::string &Worker) {
  const auto RecordIt = Records_.find(Worker);
  if (RecordIt == Records_.end())
    return;
  // A task that was started before the quarantine may succeed on a worker that
  // fails all new starts.
  const Record &Entry = RecordIt->second;
  if (!Entry.Quarantined_ || Entry.TrialDeadline_ != Millis{})
    endQuarantine(RecordIt->second);
}

void Quarantine::lift(const std::string &Worker) {
  const auto RecordIt = Records_.find(Worker);
  if (RecordIt != Records_.end())
    endQuarantine(RecordIt->second);
}

bool Quarantine::quarantine(const std::string &Worker, Millis Now) {
  const auto RecordIt = Records_.find(Worker);
  return RecordIt != Records_.end() && (RecordIt->second.Quarantined_ ||
                                        beginQuarantine(RecordIt->second, Now));
}

WorkerHealth Quarantine::health(const std::string &Worker, Millis Now) const {
  const auto RecordIt = Records_.find(Worker);
  if (RecordIt == Records_.end() || !RecordIt->second.Quarantined_)
    return WorkerHealth::Healthy;
  const Record &Entry = RecordIt->second;
  if (Entry.TrialDeadline_ > Now)
    return WorkerHealth::TrialRunning;
  return Entry.NextTrial_ <= Now ? WorkerHealth::TrialDue
                                 : WorkerHealth::Quarantined;
}

bool Quarantine::beginTrial(const std::string &Worker, Millis Now) {
  if (health(Worker, Now) != WorkerHealth::TrialDue)
    return false;
  Records_.at(Worker).TrialDeadline_ = Now + Settings_.TrialTimeout_;
  return true;
}

std::int64_t Quarantine::quarantinedIn(const std::string &Zone) const {
  const auto ZoneIt = QuarantinedCounts_.find(Zone);
  return ZoneIt == QuarantinedCounts_.end() ? 0 : ZoneIt->second;
}

std::int64_t Quarantine::maxQuarantinedIn(const std::string &Zone) const {
  const auto ZoneIt = ZoneSizes_.find(Zone);
  return ZoneIt == ZoneSizes_.end()
             ? 0
             : static_cast<std::int64_t>(Settings_.MaxZoneShare_ *
                                         static_cast<double>(ZoneIt->second));
}

bool Quarantine::beginQuarantine(Record &WorkerRecord, Millis Now) {
  if (quarantinedIn(WorkerRecord.Zone_) >= maxQuarantinedIn(WorkerRecord.Zone_))
    return false;
  WorkerRecord.Quarantined_ = true;
  WorkerRecord.FailedTrials_ = 0;
  WorkerRecord.NextTrial_ = Now + trialDelay(0);
  WorkerRecord.TrialDeadline_ = Millis{};
  ++QuarantinedCounts_[WorkerRecord.Zone_];
  return true;
}

void Quarantine::endQuarantine(Record &WorkerRecord) {
  WorkerRecord.ConsecutiveFailures_ = 0;
  if (!WorkerRecord.Quarantined_)
    return;
  WorkerRecord.Quarantined_ = false;
  --QuarantinedCounts_[WorkerRecord.Zone_];
}

Millis Quarantine::trialDelay(std::int64_t FailedTrials) const {
  Millis Delay = Settings_.InitialTrialDelay_;
  for (std::int64_t Trial = 0;
       Trial < FailedTrials && Delay < Settings_.MaxTrialDelay_; ++Trial)
    Delay = Delay * 2;
  return std::min(Delay, Settings_.MaxTrialDelay_);
}

} // namespace damaskglade::policy
