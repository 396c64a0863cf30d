#include "tests/cell/takeover_play.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace damaskglade::fakes {

namespace {

constexpr int NodeCount = 3;
constexpr int WorkerCount = 3;
constexpr dispatch::Size SizeOfTwoTasks{1000, 8000, 0};
constexpr int TasksPerWorker = 2;
constexpr Millis ShortTaskDuration{3000};
constexpr Millis ElectionTimeout{4000};
// In this time a new leader opens the rows of the workers.
constexpr Millis WorkerRowsTime{500};
constexpr Millis StartTime{900};
constexpr std::int64_t SlowClockRatePerMille = 980;
// From each point to the next one.
constexpr std::array<Millis, PointCount> Intervals{
    Millis{650}, Millis{850}, Millis{700}, Millis{900},
    Millis{750}, Millis{850}, Millis{650}, Millis{800}};
constexpr Millis RestartDelay{1500};
constexpr Millis FaultDuration{2300};
constexpr Millis CutOffDuration{3100};
// A worker that starts again is back before the next point.
constexpr Millis WorkerDownTime{600};
constexpr Millis StartDelay{6000};
// Less than the timeout of a call.
constexpr Millis ReplyHoldTime{500};
constexpr Millis LifeBeforeRestart{200};
constexpr Millis ShortDownTime{100};
constexpr Millis ShortLife{60};
constexpr Millis EntryDelay{300};
constexpr Millis ArrivalInterval{170};
constexpr Millis ArrivingTaskDuration{250};
// Ids of late jobs and of those with odd shapes.
constexpr int FirstLateJob = 1000000;
constexpr int FirstOddJob = 2000000;
constexpr Millis OddTaskDuration{200};
constexpr Millis CancelDelay{300};
constexpr Millis SettleTime{12000};
// Covers the wait for the leases of a leader that only a minority elected.
constexpr Millis RecoveryLimit{20000};

struct NamedKind {
  EventKind Kind_;
  const char *Name_;
};

constexpr std::array<NamedKind, 26> NamedKinds{{
    {EventKind::KillLeader, "kill-leader"},
    {EventKind::StopLeader, "stop-leader"},
    {EventKind::IsolateLeader, "isolate-leader"},
    {EventKind::StoreRejects, "store-rejects"},
    {EventKind::StoreTimesOut, "store-times-out"},
    {EventKind::StoreLosesReplies, "store-loses-replies"},
    {EventKind::CutWorkerOff, "cut-worker-off"},
    {EventKind::CutWorkerOffForNow, "cut-worker-off-for-now"},
    {EventKind::HealWorkers, "heal-workers"},
    {EventKind::DrainWorker, "drain-worker"},
    {EventKind::EndWorker, "end-worker"},
    {EventKind::PauseLeader, "pause-leader"},
    {EventKind::KillRelay, "kill-relay"},
    {EventKind::StopRelay, "stop-relay"},
    {EventKind::IsolateRelay, "isolate-relay"},
    {EventKind::PauseRelay, "pause-relay"},
    {EventKind::MuteRelay, "mute-relay"},
    {EventKind::BlindRelay, "blind-relay"},
    {EventKind::MainPartRejects, "main-part-rejects"},
    {EventKind::SparePartRejects, "spare-part-rejects"},
    {EventKind::RestartWorker, "restart-worker"},
    {EventKind::DelayStarts, "delay-starts"},
    {EventKind::RestartWorkerTwice, "restart-worker-twice"},
    {EventKind::RestartWithLateReplies, "restart-with-late-replies"},
    {EventKind::RestartAfterLostReplies, "restart-after-lost-replies"},
    {EventKind::SubmitLate, "submit-late"},
}};

std::string nameOf(EventKind Kind) {
  for (const NamedKind &Named : NamedKinds)
    if (Named.Kind_ == Kind)
      return Named.Name_;
  return "";
}

std::optional<Event> parseEvent(const std::string &Text) {
  std::istringstream Stream(Text);
  Event Parsed;
  std::string Name;
  if (!(Stream >> Parsed.Point_ >> Name))
    return std::nullopt;
  Stream >> Parsed.Worker_;
  for (const NamedKind &Named : NamedKinds)
    if (Named.Name_ == Name) {
      Parsed.Kind_ = Named.Kind_;
      return Parsed;
    }
  return std::nullopt;
}

std::string list(const std::string &Title,
                 const std::vector<std::string> &Tasks) {
  std::string Text;
  for (const std::string &Task : Tasks)
    Text += ' ' + Task;
  return Tasks.empty() ? "" : Title + ':' + Text + ' ';
}

} // namespace

std::string describe(const Schedule &Events) {
  std::string Text;
  for (const Event &Happening : Events) {
    Text += Text.empty() ? "" : ", ";
    Text += std::to_string(Happening.Point_) + ' ' + nameOf(Happening.Kind_);
    if (!Happening.Worker_.empty())
      Text += ' ' + Happening.Worker_;
  }
  return Text;
}

std::optional<Schedule> parseSchedule(const std::string &Text) {
  Schedule Events;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    auto Parsed = parseEvent(Part);
    if (!Parsed)
      return std::nullopt;
    Events.push_back(std::move(*Parsed));
  }
  return Events;
}

std::string describe(const Violations &Found) {
  return list("in two places at once", Found.ConcurrentRuns_) +
         list("started after its acknowledged end",
              Found.StartedAfterAcknowledgement_) +
         (Found.ForeignAcknowledgements_ > 0 ? "unlisted ends acknowledged "
                                             : "") +
         list("not running at the end", Found.MissingTasks_) +
         list("runs although canceled", Found.CanceledRuns_) +
         list("has not ended", Found.UnfinishedJobs_) +
         list("with an older configuration", Found.StaleNodes_);
}

TakeoverPlay::TakeoverPlay(const RowFault &Fault, PlaySettings Settings)
    : Settings_(Settings),
      Cell_(NodeCount, WorkerCount,
            Settings.WithRelays_ ? 1 : cell::CellSettings{}.RelayMinWorkers_) {
  for (auto &[Id, Worker] : Cell_.Fleet_.Workers_)
    Worker.Info_.Capacity_ = SizeOfTwoTasks;
  Cell_.Fleet_.Workers_.at("w1").ClockRatePerMille_ = SlowClockRatePerMille;
  if (Fault)
    Cell_.StoreState_.ChangeWrites_ = [this, Fault](RowTransaction &Written) {
      Fault(Cell_.StoreState_, Written);
    };
}

Violations TakeoverPlay::play(const Schedule &Events) {
  Cell_.Loop_.runUntil(ElectionTimeout,
                       [this] { return !Cell_.leader().empty(); });
  if (Settings_.InSparePart_) {
    Cell_.Loop_.run(WorkerRowsTime);
    Cell_.StoreState_.RejectedParts_.insert(cell::MainPart);
  }
  Cell_.submitLongRunning("n1", jobOfLongRunningTasks(), LongRunningTasks);
  Cell_.submit("n1", jobId(2), 1, ShortTaskDuration);
  Cell_.Loop_.run(StartTime);
  Cell_.StoreState_.RejectedParts_.clear();
  Violations Found;
  Found.MissingTasks_ = missingTasks();
  if (Found.any())
    return Found;
  JobsArrive_ = Settings_.WithArrivals_;
  submitShortJobs();
  if (Settings_.WithOddJobs_)
    submitOddJobs();
  auto Next = Events.begin();
  for (int Point = 0; Next != Events.end(); ++Point) {
    Cell_.changeConfig();
    for (; Next != Events.end() && Next->Point_ <= Point; ++Next)
      apply(*Next);
    if (Next != Events.end())
      Cell_.Loop_.run(Intervals[static_cast<std::size_t>(Point % PointCount)]);
  }
  JobsArrive_ = false;
  Cell_.Loop_.run(SettleTime);
  const int TasksWithoutRoom =
      std::max(0, LongRunningTasks - TasksPerWorker * usableWorkers());
  constexpr Millis CheckInterval{100};
  const Millis End = Cell_.Loop_.monotonic() + RecoveryLimit;
  const auto MissingCount = [this] {
    return static_cast<int>(missingTasks().size());
  };
  while (MissingCount() > TasksWithoutRoom && Cell_.Loop_.monotonic() < End)
    Cell_.Loop_.run(CheckInterval);
  if (MissingCount() > TasksWithoutRoom)
    Found.MissingTasks_ = missingTasks();
  while (!unfinishedJobs().empty() && Cell_.Loop_.monotonic() < End)
    Cell_.Loop_.run(CheckInterval);
  Found.UnfinishedJobs_ = unfinishedJobs();
  Found.CanceledRuns_ = canceledRuns();
  Found.ConcurrentRuns_ = Cell_.Fleet_.ConcurrentRuns_;
  Found.StartedAfterAcknowledgement_ =
      Cell_.Fleet_.StartedAfterAcknowledgement_;
  Found.ForeignAcknowledgements_ = Cell_.Fleet_.ForeignAcknowledgements_;
  Found.StaleNodes_ = Cell_.ConfigRegressions_;
  for (const std::string &Name : Cell_.nodes())
    if (Cell_.configVersion(Name) < Cell_.StoreState_.Configs_.back()->Version_)
      Found.StaleNodes_.push_back(Name);
  return Found;
}

void TakeoverPlay::apply(const Event &Happening) {
  auto &Workers = Cell_.Fleet_.Workers_;
  switch (Happening.Kind_) {
  case EventKind::CutWorkerOffForNow:
    Cell_.Loop_.after(CutOffDuration, [State = &Workers.at(Happening.Worker_)] {
      State->Reachable_ = !State->Refuses_;
    });
    [[fallthrough]];
  case EventKind::CutWorkerOff:
    Workers.at(Happening.Worker_).Reachable_ = false;
    return;
  case EventKind::HealWorkers:
    for (auto &[Id, State] : Workers)
      State.Reachable_ = !State.Refuses_;
    return;
  case EventKind::DrainWorker:
    return Cell_.drainWorker(Happening.Worker_);
  case EventKind::EndWorker:
    return Cell_.removeWorker(Happening.Worker_);
  case EventKind::RestartWorker:
  case EventKind::RestartWorkerTwice:
  case EventKind::RestartWithLateReplies:
  case EventKind::RestartAfterLostReplies:
    return restart(Happening);
  case EventKind::DelayStarts:
    Workers.at(Happening.Worker_).StartDelay_ = StartDelay;
    return Cell_.Loop_.after(CutOffDuration,
                             [State = &Workers.at(Happening.Worker_)] {
                               State->StartDelay_ = Millis{};
                             });
  case EventKind::KillRelay:
  case EventKind::StopRelay:
  case EventKind::IsolateRelay:
  case EventKind::PauseRelay:
  case EventKind::MuteRelay:
  case EventKind::BlindRelay:
    if (const std::string Relay = chooseRelay(); !Relay.empty())
      applyToRelay(Happening.Kind_, Relay);
    return;
  case EventKind::SubmitLate:
    return submitLate();
  case EventKind::MainPartRejects:
    return rejectPart(cell::MainPart);
  case EventKind::SparePartRejects:
    return rejectPart(cell::SpareParts.front());
  default:
    if (const std::string Leader = chooseLeader(); !Leader.empty())
      applyToLeader(Happening.Kind_, Leader);
  }
}

void TakeoverPlay::restart(const Event &Happening) {
  const std::string &Id = Happening.Worker_;
  FakeWorkerState &Worker = Cell_.Fleet_.Workers_.at(Id);
  const auto RestartLater = [this, Id](Millis Delay, Millis DownTime) {
    Cell_.Loop_.after(Delay, [this, Id, DownTime] {
      if (!Cell_.Fleet_.Workers_.at(Id).Refuses_)
        Cell_.restartWorker(Id, DownTime, EntryDelay);
    });
  };
  switch (Happening.Kind_) {
  case EventKind::RestartWorkerTwice:
    RestartLater(ShortDownTime + ShortLife, ShortDownTime);
    return Cell_.restartWorker(Id, ShortDownTime, EntryDelay);
  case EventKind::RestartWithLateReplies:
    Worker.RepliesHeldUntil_ = Cell_.Loop_.monotonic() + ReplyHoldTime;
    return RestartLater(LifeBeforeRestart, ShortDownTime);
  case EventKind::RestartAfterLostReplies:
    Worker.LosesStartReplies_ = true;
    Worker.LosesStopReplies_ = true;
    return RestartLater(LifeBeforeRestart, ShortDownTime);
  default:
    return Cell_.restartWorker(Id, WorkerDownTime, EntryDelay);
  }
}

// Any node may be down.
void TakeoverPlay::submitShortJobs() {
  if (!JobsArrive_)
    return;
  Cell_.submit(Cell_.nodes().front(), jobId(++LastJob_), 1,
               ArrivingTaskDuration);
  Cell_.Loop_.after(ArrivalInterval, [this] { submitShortJobs(); });
}

void TakeoverPlay::submitOddJobs() {
  constexpr int ChainSteps = 8;
  constexpr int GraphSteps = 5;
  dispatch::StepSpec Small;
  Small.Size_ = dispatch::Size{100, 100, 0};
  Small.Estimate_ = OddTaskDuration;
  std::vector<dispatch::StepSpec> Chain;
  for (int Step = 0; Step < ChainSteps; ++Step) {
    Chain.push_back(Small);
    if (Step > 0)
      Chain.back().Dependencies_ = {Step - 1};
  }
  std::vector<dispatch::StepSpec> Graph;
  for (int Step = 0; Step < GraphSteps; ++Step) {
    Graph.push_back(Small);
    Graph.back().Count_ = 2;
    for (int Earlier = 0; Earlier < Step; ++Earlier)
      Graph.back().Dependencies_.push_back(Earlier);
  }
  dispatch::StepSpec Gang = Small;
  Gang.Count_ = WorkerCount;
  Gang.Gang_ = true;
  dispatch::StepSpec Apart = Small;
  Apart.Count_ = WorkerCount * 2;
  Apart.MaxPerWorker_ = 1;
  dispatch::StepSpec Large = Small;
  Large.Count_ = WorkerCount + 1;
  Large.Size_.MemoryMib_ = SizeOfTwoTasks.MemoryMib_ * 2 / 3;
  int Number = FirstOddJob;
  for (const auto &Steps : {Chain, Graph, std::vector{Gang}, std::vector{Apart},
                            std::vector{Large}}) {
    const std::string Id = jobId(++Number);
    OddJobs_[Id] =
        Cell_.submitSteps(Cell_.nodes().front(), Id, Steps, OddTaskDuration);
  }
}

std::vector<std::string> TakeoverPlay::unfinishedJobs() {
  std::vector<std::string> Unfinished;
  const std::vector<std::string> Nodes = Cell_.nodes();
  if (usableWorkers() < WorkerCount)
    return Unfinished;
  for (const auto &[Id, Submission] : OddJobs_)
    if (Submission->has_value() && (*Submission)->has_value() &&
        Cell_.state(Nodes.front(), Id) != dispatch::JobState::Complete)
      Unfinished.push_back(Id);
  return Unfinished;
}

bool TakeoverPlay::LateJob::isCanceled() const {
  return std::any_of(Cancellations_.begin(), Cancellations_.end(),
                     [](const PendingAnswer &Answer) {
                       return Answer->has_value() &&
                              ((*Answer)->has_value() ||
                               (*Answer)->error().Reason_ == Reason::NotFound);
                     });
}

void TakeoverPlay::submitLate() {
  const std::string Late = chooseRelay();
  if (Late.empty())
    return;
  const std::size_t Index = LateJobs_.size();
  const std::string Id = jobId(FirstLateJob + static_cast<int>(Index));
  LateJobs_.push_back(LateJob{Id, {}});
  Cell_.pauseNode(Late, FaultDuration);
  Cell_.submitLongRunning(Late, Id, 1);
  Cell_.Loop_.after(CancelDelay,
                    [this, Index, Late] { cancelLateJob(Index, Late); });
}

// The caller tries other nodes in turn until one acknowledges.
void TakeoverPlay::cancelLateJob(std::size_t Index, const std::string &Late) {
  LateJob &Job = LateJobs_[Index];
  if (Job.isCanceled())
    return;
  std::vector<std::string> Nodes = Cell_.nodes();
  std::erase(Nodes, Late);
  if (!Nodes.empty()) {
    cell::CallerRequest Request;
    Request.Verb_ = cell::CallerVerb::Cancel;
    Request.Queue_ = "queue";
    Request.Id_ = Job.Id_;
    Job.Cancellations_.push_back(
        Cell_.call(Nodes[Job.Cancellations_.size() % Nodes.size()], Request));
  }
  Cell_.Loop_.after(CancelDelay,
                    [this, Index, Late] { cancelLateJob(Index, Late); });
}

std::vector<std::string> TakeoverPlay::canceledRuns() const {
  std::vector<std::string> Tasks;
  for (const LateJob &Job : LateJobs_)
    if (std::string Task = Job.Id_ + ".0.0.0";
        Job.isCanceled() &&
        Cell_.Fleet_.isRunning(Task, Cell_.Loop_.monotonic()))
      Tasks.push_back(std::move(Task));
  return Tasks;
}

void TakeoverPlay::applyToRelay(EventKind Kind, const std::string &Relay) {
  switch (Kind) {
  case EventKind::KillRelay:
    return applyToLeader(EventKind::KillLeader, Relay);
  case EventKind::StopRelay:
    return applyToLeader(EventKind::StopLeader, Relay);
  case EventKind::IsolateRelay:
    return applyToLeader(EventKind::IsolateLeader, Relay);
  case EventKind::PauseRelay:
    return applyToLeader(EventKind::PauseLeader, Relay);
  case EventKind::MuteRelay:
    Cell_.setMuted(Relay, true);
    return Cell_.Loop_.after(FaultDuration,
                             [this, Relay] { Cell_.setMuted(Relay, false); });
  case EventKind::BlindRelay:
    Cell_.setBlind(Relay, true);
    return Cell_.Loop_.after(FaultDuration,
                             [this, Relay] { Cell_.setBlind(Relay, false); });
  default:
    return;
  }
}

std::string TakeoverPlay::chooseRelay() const {
  const std::string Leader = chooseLeader();
  for (std::string &Name : Cell_.nodes())
    if (Name != Leader)
      return std::move(Name);
  return "";
}

void TakeoverPlay::applyToLeader(EventKind Kind, const std::string &Leader) {
  const auto IsThere = [this, Leader] {
    const auto Names = Cell_.nodes();
    return std::find(Names.begin(), Names.end(), Leader) != Names.end();
  };
  switch (Kind) {
  case EventKind::PauseLeader:
    return Cell_.pauseNode(Leader, FaultDuration);
  case EventKind::KillLeader:
    Cell_.killNode(Leader);
    return Cell_.Loop_.after(RestartDelay, [this, Leader, IsThere] {
      if (!IsThere())
        Cell_.startNode(Leader);
    });
  case EventKind::StopLeader:
    Cell_.member(Leader).resign([] {});
    return Cell_.Loop_.after(RestartDelay, [this, Leader, IsThere] {
      if (IsThere())
        Cell_.killNode(Leader);
      Cell_.startNode(Leader);
    });
  case EventKind::IsolateLeader:
    Cell_.setIsolated(Leader, true);
    DisturbedNodes_.insert(Leader);
    return Cell_.Loop_.after(FaultDuration, [this, Leader] {
      Cell_.setIsolated(Leader, false);
      DisturbedNodes_.erase(Leader);
    });
  case EventKind::StoreRejects:
    return setStoreMode(Leader, StoreMode::Rejects);
  case EventKind::StoreTimesOut:
    return setStoreMode(Leader, StoreMode::TimesOut);
  case EventKind::StoreLosesReplies:
    return setStoreMode(Leader, StoreMode::LosesReplies);
  default:
    return;
  }
}

void TakeoverPlay::setStoreMode(const std::string &Node, StoreMode Mode) {
  Cell_.StoreState_.StoreModes_[Node] = Mode;
  DisturbedNodes_.insert(Node);
  Cell_.Loop_.after(FaultDuration, [this, Node] {
    Cell_.StoreState_.StoreModes_[Node] = StoreMode::Healthy;
    DisturbedNodes_.erase(Node);
  });
}

void TakeoverPlay::rejectPart(const std::string &Part) {
  Cell_.StoreState_.RejectedParts_.insert(Part);
  Cell_.Loop_.after(FaultDuration, [this, Part] {
    Cell_.StoreState_.RejectedParts_.erase(Part);
  });
}

// A leader that has been replaced without knowing it still counts as active.
std::string TakeoverPlay::chooseLeader() const {
  std::vector<std::string> Leaders = Cell_.leaders();
  if (Leaders.empty())
    return "";
  const auto Undisturbed =
      std::find_if(Leaders.begin(), Leaders.end(), [this](const auto &Name) {
        return DisturbedNodes_.count(Name) == 0;
      });
  return Undisturbed == Leaders.end() ? Leaders.front() : *Undisturbed;
}

int TakeoverPlay::usableWorkers() const {
  const auto &Workers = Cell_.Fleet_.Workers_;
  return static_cast<int>(
      std::count_if(Workers.begin(), Workers.end(), [](const auto &Entry) {
        return Entry.second.Reachable_ && !Entry.second.Info_.Draining_;
      }));
}

std::vector<std::string> TakeoverPlay::missingTasks() const {
  std::vector<std::string> Missing;
  for (int Task = 0; Task < LongRunningTasks; ++Task) {
    std::string Name = jobOfLongRunningTasks() + ".0.0." + std::to_string(Task);
    if (!Cell_.Fleet_.isRunning(Name, Cell_.Loop_.monotonic()))
      Missing.push_back(std::move(Name));
  }
  return Missing;
}

} // namespace damaskglade::fakes
