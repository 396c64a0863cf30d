#ifndef DAMASKGLADE_CELL_RECORDER_H
#define DAMASKGLADE_CELL_RECORDER_H

#include "cell/part_recorder.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::cell {

/// Records the jobs and workers of a leader in the store. Normally all rows are
/// in the main partition. While the store does not serve that one, new jobs go
/// to a spare one; a job stays in the partition in which it was recorded.
class Recorder {
public:
  /// OnWorkerOpened is called when the open row of a worker is stored.
  Recorder(const CellPorts &Ports, dispatch::Dispatcher &Dispatcher,
           const LeaderRecord &Record,
           const std::function<void()> &OnLeadershipLost,
           std::function<void(const std::string &)> OnWorkerOpened);

  /// Records a new job; the callback gets the outcome. An error without effect
  /// means that the job is not recorded and never will be.
  void recordJob(const std::string &Id,
                 const std::function<void(Status)> &Done);
  /// Takes the changed jobs from the dispatcher and schedules a write.
  void collectChanges();
  /// Calls back once all changes made so far are recorded.
  void whenRecorded(const std::function<void()> &Done);
  /// Calls back once all changes of the job made so far are recorded.
  void whenJobRecorded(const std::string &Id, std::function<void()> Done);
  /// PartRecorder::recordRow() for a row of the main partition.
  void recordRow(const RowName &Name, std::optional<std::string> Value) {
    main().recordRow(Name, std::move(Value));
  }
  /// Calls back once all changes of the main partition made so far are
  /// recorded.
  void whenMainRecorded(std::function<void()> Done) {
    main().whenRecorded(std::move(Done));
  }
  /// Removes the rows of jobs.
  void removeJobs(const std::vector<std::string> &Ids);
  bool allRecorded() const;
  /// Drops all that is not recorded yet, with its callbacks.
  void stop();

  // Called while a new leader loads the rows of the store.

  /// Sets the version of the leader row in a partition.
  void setLeaderRowVersion(const std::string &Part, std::int64_t Version) {
    recorderOf(Part).setLeaderRowVersion(Version);
  }
  /// Tells in which partition a job was found.
  void setPart(const std::string &Id, const std::string &Part);
  /// Sets the version of the progress row of a job.
  void setProgressRowVersion(const std::string &Id, std::int64_t Version) {
    partOf(Id).setProgressRowVersion(Id, Version);
  }
  /// The same for the row of a worker.
  void setWorkerRowVersion(const std::string &Id, std::int64_t Version) {
    main().setWorkerRowVersion(Id, Version);
  }

  // The rows of workers, which are in the main partition.

  /// Writes open rows of workers.
  void recordWorkers(const std::vector<dispatch::WorkerInfo> &Workers) {
    main().recordWorkers(Workers);
  }
  /// Closes or removes the rows of workers.
  void closeWorkers(const std::vector<dispatch::LeaseClosing> &Closings) {
    main().closeWorkers(Closings);
  }
  /// Removes the rows of workers whose leases have expired.
  void removeWorkers(const std::vector<std::string> &Ids) {
    main().removeWorkers(Ids);
  }
  /// Records that the leader has stopped; Record has its times on this node's
  /// clock. Calls back when the store has answered, with or without success.
  void recordResignation(const Resignation &Record,
                         const std::vector<dispatch::LeaseClosing> &Closings,
                         const std::function<void()> &Done) {
    main().recordResignation(Record, Closings, Done);
  }
  /// Whether rows of workers are currently not written.
  bool workerRowsFail() const { return main().failingSince() > Millis{}; }

  // Leadership. Elections write to the main partition only.

  /// When the store last confirmed the leadership of this node.
  Millis confirmedAt() const { return main().confirmedAt(); }
  /// Called when a read of the leader row sent at this time has confirmed the
  /// leadership.
  void handleConfirmation(Millis SentAt) { main().handleReadSuccess(SentAt); }
  /// Called when the store has told the time in a reply.
  void updateStoreClock(Millis SentAt, Millis StoreClock) {
    main().updateStoreClock(SentAt, StoreClock);
  }
  /// Since when this leader has written nothing, so that another node should
  /// lead; zero while any partition takes its writes. The store then rejects
  /// the main partition for all nodes, so none could be elected.
  Millis failingSince() const;

private:
  PartRecorder &main() { return *Parts_.front(); }
  const PartRecorder &main() const { return *Parts_.front(); }
  PartRecorder &recorderOf(const std::string &Part);
  PartRecorder &partOf(const std::string &Id);
  /// The partition for a new job; null if it has been offered to all.
  PartRecorder *choosePart(const std::set<const PartRecorder *> &Offered);
  void offerJob(const std::string &Id, std::set<const PartRecorder *> Offered,
                const std::function<void(Status)> &Done);

  MetricsSink &Metrics_;
  const Clock &Clock_;
  dispatch::Dispatcher &Dispatcher_;
  std::vector<std::unique_ptr<PartRecorder>> Parts_; ///< The main one first.
  /// Jobs that are not in the main partition.
  std::unordered_map<std::string, PartRecorder *> PartsOfJobs_;
};

} // namespace damaskglade::cell

#endif
