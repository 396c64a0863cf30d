#include "cell/recorder.h"

#include <algorithm>
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
    : Metrics_(Ports.Metrics_), Clock_(Ports.Clock_), Dispatcher_(Dispatcher),
      Parts_{PartRecorder(Ports, Dispatcher, MainPart, Record.Epoch_,
                          {OnLeadershipLost, std::move(OnWorkerOpened),
                           [this] { collectChanges(); }}),
             PartRecorder(
                 Ports, Dispatcher, SparePart, Record.Epoch_,
                 {OnLeadershipLost, nullptr, [this] { collectChanges(); }})} {
  main().setLeaderRowVersion(Record.Version_);
}

PartRecorder &Recorder::partOf(const std::string &Id) {
  const auto Part = PartsOfJobs_.find(Id);
  return Part == PartsOfJobs_.end() ? main() : *Part->second;
}

void Recorder::setPart(const std::string &Id, const std::string &Part) {
  if (Part == SparePart)
    PartsOfJobs_[Id] = &spare();
}

// A partition that fails is tried again if no other works: first the one that
// failed longest ago.
PartRecorder *
Recorder::choosePart(const std::set<const PartRecorder *> &Offered) {
  PartRecorder *Chosen = nullptr;
  for (PartRecorder &Part : Parts_) {
    if (Offered.count(&Part) > 0)
      continue;
    if (Part.isResponsive())
      return &Part;
    if (!Chosen || Part.lastFailureAt() < Chosen->lastFailureAt())
      Chosen = &Part;
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
    if (Next && Next->isResponsive())
      return offerJob(Id, Offered, Done);
    if (IsRejected) {
      PartsOfJobs_.erase(Id);
      Dispatcher_.dropJob(Id);
    } else if (Part != &main()) {
      Metrics_.count("jobs_in_spare_partition");
    }
    Done(Outcome);
  });
}

void Recorder::collectChanges() {
  std::vector<std::string> InMain = Dispatcher_.takeChangedJobs();
  const auto FirstElsewhere = std::stable_partition(
      InMain.begin(), InMain.end(),
      [this](const std::string &Id) { return PartsOfJobs_.count(Id) == 0; });
  spare().recordProgress({FirstElsewhere, InMain.end()});
  InMain.erase(FirstElsewhere, InMain.end());
  main().recordProgress(InMain);
}

void Recorder::whenRecorded(const std::function<void()> &Done) {
  const auto OpenParts = std::make_shared<std::size_t>(Parts_.size());
  for (PartRecorder &Part : Parts_)
    Part.whenRecorded([OpenParts, Done] {
      if (--*OpenParts == 0)
        Done();
    });
}

void Recorder::whenJobRecorded(const std::string &Id,
                               std::function<void()> Done) {
  partOf(Id).whenRecorded(std::move(Done));
}

void Recorder::removeJobs(const std::vector<std::string> &Ids) {
  std::vector<std::string> InMain;
  std::vector<std::string> InSpare;
  for (const std::string &Id : Ids)
    (PartsOfJobs_.erase(Id) > 0 ? InSpare : InMain).push_back(Id);
  main().removeJobs(InMain);
  spare().removeJobs(InSpare);
}

bool Recorder::allRecorded() const {
  return std::all_of(Parts_.begin(), Parts_.end(),
                     [](const auto &Part) { return Part.allRecorded(); });
}

void Recorder::stop() {
  for (PartRecorder &Part : Parts_)
    Part.stop();
}

Millis Recorder::failingSince() const {
  const Millis AnsweredSince = Clock_.monotonic() - AnsweredRecently;
  const bool IsSpareAnswering = Parts_.back().failingSince() == Millis{} &&
                                Parts_.back().answeredAt() > AnsweredSince;
  return IsSpareAnswering ? Millis{} : main().failingSince();
}

} // namespace damaskglade::cell
