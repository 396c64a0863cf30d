#include "cell/recorder.h"

#include <algorithm>
#include <map>
#include <memory>

namespace damaskglade::cell {

namespace {

// A partition that has answered within this time counts as working.
constexpr Millis AnsweredRecently{1000};

} // namespace

Recorder::Recorder(const CellPorts &Ports, dispatch::Dispatcher &Dispatcher,
                   const LeaderRecord &Record,
                   const std::function<void()> &OnLeadershipLost,
                   std::function<void(const std::string &)> OnWorkerOpened)
    : Metrics_(Ports.Metrics_), Clock_(Ports.Clock_), Dispatcher_(Dispatcher) {
  const auto AddPart = [&](const std::string &Part) {
    Parts_.push_back(std::make_unique<PartRecorder>(
        Ports, Dispatcher, Part, Record.Epoch_,
        PartRecorder::Events{OnLeadershipLost, OnWorkerOpened,
                             [this] { collectChanges(); }}));
  };
  AddPart(MainPart);
  for (const char *Part : SpareParts)
    AddPart(Part);
  main().setLeaderRowVersion(Record.Version_);
}

PartRecorder &Recorder::recorderOf(const std::string &Part) {
  return **std::find_if(
      Parts_.begin(), Parts_.end(),
      [&](const auto &Recorder) { return Recorder->part() == Part; });
}

PartRecorder &Recorder::partOf(const std::string &Id) {
  const auto Part = PartsOfJobs_.find(Id);
  return Part == PartsOfJobs_.end() ? main() : *Part->second;
}

void Recorder::setPart(const std::string &Id, const std::string &Part) {
  if (Part != MainPart)
    PartsOfJobs_[Id] = &recorderOf(Part);
}

// A partition that fails is tried again if no other works: first the one that
// failed longest ago.
PartRecorder *
Recorder::choosePart(const std::set<const PartRecorder *> &Offered) {
  PartRecorder *Chosen = nullptr;
  for (const auto &Part : Parts_) {
    if (Offered.count(Part.get()) > 0)
      continue;
    if (Part->isResponsive())
      return Part.get();
    if (!Chosen || Part->lastFailureAt() < Chosen->lastFailureAt())
      Chosen = Part.get();
  }
  return Chosen;
}

void Recorder::recordJob(const std::string &Id,
                         const std::function<void(Status)> &Done) {
  offerJob(Id, {}, Done);
}

// A job that one partition has rejected without effect is offered to the next.
// One that may have been written stays, so that it is never in two partitions.
void Recorder::offerJob(const std::string &Id,
                        std::set<const PartRecorder *> Offered,
                        const std::function<void(Status)> &Done) {
  PartRecorder *Part = choosePart(Offered);
  if (Part == &main())
    PartsOfJobs_.erase(Id);
  else
    PartsOfJobs_[Id] = Part;
  Offered.insert(Part);
  Part->recordJob(Id, [this, Id, Part, Offered, Done](const Status &Outcome) {
    const bool IsRejected = !Outcome && Outcome.error().Effect_ == Effect::None;
    const PartRecorder *Next = IsRejected ? choosePart(Offered) : nullptr;
    if (Next && (Next->isResponsive() || Next->mayBeServedAgain()))
      return offerJob(Id, Offered, Done);
    if (IsRejected) {
      PartsOfJobs_.erase(Id);
      Dispatcher_.dropJob(Id);
    } else if (Outcome && Part != &main()) {
      Metrics_.count("jobs_in_spare_partition");
    }
    Done(Outcome);
  });
}

void Recorder::collectChanges() {
  std::map<std::string, std::vector<std::string>> Changes; // By partition.
  for (std::string &Id : Dispatcher_.takeChangedJobs())
    Changes[partOf(Id).part()].push_back(std::move(Id));
  for (const auto &[Part, Ids] : Changes)
    recorderOf(Part).recordProgress(Ids);
}

void Recorder::whenRecorded(const std::function<void()> &Done) {
  const auto OpenParts = std::make_shared<std::size_t>(Parts_.size());
  for (const auto &Part : Parts_)
    Part->whenRecorded([OpenParts, Done] {
      if (--*OpenParts == 0)
        Done();
    });
}

void Recorder::whenJobRecorded(const std::string &Id,
                               std::function<void()> Done) {
  partOf(Id).whenRecorded(std::move(Done));
}

void Recorder::removeJobs(const std::vector<std::string> &Ids) {
  std::map<std::string, std::vector<std::string>> Removals; // By partition.
  for (const std::string &Id : Ids) {
    Removals[partOf(Id).part()].push_back(Id);
    PartsOfJobs_.erase(Id);
  }
  for (const auto &[Part, PartIds] : Removals)
    recorderOf(Part).removeJobs(PartIds);
}

bool Recorder::allRecorded() const {
  return std::all_of(Parts_.begin(), Parts_.end(),
                     [](const auto &Part) { return Part->allRecorded(); });
}

void Recorder::stop() {
  for (const auto &Part : Parts_)
    Part->stop();
}

Millis Recorder::failingSince() const {
  const Millis AnsweredSince = Clock_.monotonic() - AnsweredRecently;
  const bool AnyAnswers =
      std::any_of(Parts_.begin(), Parts_.end(), [&](const auto &Part) {
        return Part->failingSince() == Millis{} &&
               Part->answeredAt() > AnsweredSince;
      });
  return AnyAnswers ? Millis{} : main().failingSince();
}

} // namespace damaskglade::cell
