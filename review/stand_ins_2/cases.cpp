#include "review/stand_ins_2/cases.h"

#include "review/stand_ins_2/bed.h"

#include "core/codec.h"

#include <csignal>
#include <set>

namespace damaskglade::review {

namespace {

constexpr Millis StartTime{15000};
constexpr std::int64_t SmallTask = 1300;

std::vector<HostKind> sameWorkers(std::size_t Count) {
  return std::vector<HostKind>(Count, HostKind{"a"});
}

Outcome notRun(Bed &Cell, const std::string &Cause) {
  Cell.log().write("the case could not run: " + Cause);
  return Outcome::NotRun;
}

Outcome judge(Bed &Cell, const std::vector<std::string> &Breaches) {
  constexpr std::size_t MaxLines = 20;
  for (std::size_t Index = 0; Index < std::min(MaxLines, Breaches.size());
       ++Index)
    Cell.log().write("BROKEN " + Breaches[Index]);
  Cell.log().write("breaches: " + std::to_string(Breaches.size()));
  return Breaches.empty() ? Outcome::Held : Outcome::Broken;
}

/// Submits so many jobs of a step each, in turn to all nodes.
void submitJobs(Bed &Cell, int Jobs, int Tasks, const TaskTraits &Traits) {
  for (int Number = 0; Number < Jobs; ++Number)
    Cell.submit(static_cast<std::size_t>(Number) % Cell.nodes(),
                {Step{Tasks, {}, ""}}, Traits);
}

bool allAccepted(const Bed &Cell) {
  for (const auto &Each : Cell.jobs())
    if (!Each->AcceptedAt_)
      return false;
  return true;
}

} // namespace

// The worker is chosen at the moment at which it has just been sent a poll that
// waits for an end, as it has been nearly all the time while it is idle.
Outcome playPowerLoss(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 8;
  constexpr int Rounds = 3;
  constexpr int Jobs = 8;
  constexpr int Tasks = 12;
  const TaskTraits Traits{Millis{400}, SmallTask, "", false};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  for (int Round = 0; Round < Rounds; ++Round) {
    submitJobs(Cell, Jobs, Tasks, Traits);
    if (!Cell.waitForEnds(Millis{15000}))
      return notRun(Cell, "the jobs before the disruption have not ended");
  }
  Worker &Victim = Cell.worker(0);
  Cell.runFor(Millis{2500});
  if (!Cell.runUntil(
          [&] {
            const Millis Age = Cell.log().now() - Victim.longPollAt();
            return Age > Millis{20} && Age < Millis{120};
          },
          Millis{5000}))
    return notRun(Cell, "no long poll");
  if (Settings.Trouble_)
    Victim.loseHost();
  Cell.runFor(Millis{1000});
  if (Settings.Trouble_)
    Victim.restoreHost();
  Cell.runFor(Millis{100});
  submitJobs(Cell, Jobs, Tasks, Traits);
  if (!Cell.waitForEnds(Millis{30000}))
    return notRun(Cell, "the jobs have not ended");
  Cell.runFor(Millis{1000});
  return judge(Cell, Cell.log().findDoubleRuns());
}

// The entry stands until the worker writes its own again, 1.5 s later at most.
Outcome playForeignEntry(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 6;
  constexpr int Jobs = 6;
  constexpr int Tasks = 6;
  const TaskTraits Traits{Millis{6000}, SmallTask, "", false};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  submitJobs(Cell, Jobs, Tasks, Traits);
  if (!Cell.runUntil([&] { return allAccepted(Cell); }, Millis{10000}))
    return notRun(Cell, "the jobs are not accepted");
  Cell.runFor(Millis{1000});
  std::size_t Busy = 0;
  while (Busy < Cell.workers() && Cell.worker(Busy).running() == 0)
    ++Busy;
  if (Busy == Cell.workers())
    return notRun(Cell, "no task runs");
  const Worker &Victim = Cell.worker(Busy);
  Cell.runUntil(
      [&] { return Cell.log().now() - Victim.registeredAt() < Millis{50}; },
      Millis{3000});
  if (Settings.Trouble_) {
    const SystemClock Clock;
    Json::Value Entry;
    Entry["service"] = "parcel-sort";
    Entry["addr"] = "127.0.0.1:9";
    Entry["zone"] = "zone-0";
    Entry["version"] = "v7";
    Entry["slots"] = 8;
    Entry["state"] = "ready";
    Entry["coldLeftMs"] = 0;
    Entry["capacity"]["cpu"] = 4000;
    Entry["capacity"]["memMb"] = 8192;
    Entry["capacity"]["gpu"] = 0;
    Entry["labels"].append("s");
    Entry["born"] = Json::Int64(Clock.wall().Value_);
    Entry["seq"] = 1;
    Cell.log().write("another writer overwrites the entry of " + Victim.id());
    Cell.store().put("servers", Victim.id(), Entry);
  }
  if (!Cell.waitForEnds(Millis{40000}))
    return notRun(Cell, "the jobs have not ended");
  return judge(Cell, Cell.log().findDoubleRuns());
}

// A job is accepted by the next leader while the former one is frozen. Its
// requester cancels it over a connection that it has open to the former one.
Outcome playFreeze(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 6;
  constexpr Millis FreezeTime{4000};
  constexpr Millis Deadline{3000};
  // cancel_ms of the site.
  constexpr Millis CancelTime{3000};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  const TaskTraits Short{Millis{300}, SmallTask, "", false};
  submitJobs(Cell, 3, 6, Short);
  if (!Cell.waitForEnds(Millis{15000}))
    return notRun(Cell, "the jobs before the disruption have not ended");
  const auto Former = Cell.leader();
  if (!Former)
    return notRun(Cell, "there is no leader");
  // The requester uses the connection before, so that it is open.
  const auto Open = Cell.connect(*Former);
  bool Connected = false;
  Open->send("GET", QueuePrefix + Cell.jobs().front()->Id_, "", Deadline,
             [&](const Answer &Got) { Connected = Got.Status_ == 200; });
  if (!Cell.runUntil([&] { return Connected; }, Deadline))
    return notRun(Cell, "no connection");
  Cell.runFor(Millis{2000});
  if (Settings.Trouble_) {
    Cell.log().write("node " + std::to_string(*Former) +
                     ", the leader, freezes");
    Cell.node(*Former).signal(SIGSTOP);
  }
  const Millis FrozenAt = Cell.log().now();
  const std::size_t Other = (*Former + 1) % Cell.nodes();
  if (Settings.Trouble_ &&
      !Cell.runUntil([&] { return Cell.leader() != Former; }, FreezeTime)) {
    Cell.node(*Former).signal(SIGCONT);
    return notRun(Cell, "no other leader in time");
  }
  const TaskTraits Long{Millis{4000}, SmallTask, "", false};
  Job &Canceled = Cell.submit(
      Other, {Step{4, {}, ""}, Step{4, {0}, ""}, Step{4, {1}, ""}}, Long);
  if (!Cell.runUntil([&] { return Canceled.AcceptedAt_.has_value(); },
                     FrozenAt + FreezeTime - Cell.log().now())) {
    Cell.node(*Former).signal(SIGCONT);
    return notRun(Cell, "the job is not accepted in time");
  }
  Cell.runFor(Millis{200});
  std::optional<Answer> Acknowledged;
  Millis AcknowledgedAt{};
  Cell.log().write("requester cancels job " + Canceled.Id_ + " at node " +
                   std::to_string(*Former));
  Open->send("DELETE", QueuePrefix + Canceled.Id_, "", Deadline,
             [&](const Answer &Got) {
               Acknowledged = Got;
               AcknowledgedAt = Cell.log().now();
               Cell.log().write("requester gets " +
                                std::to_string(Got.Status_) +
                                " for its cancel");
             });
  Cell.runFor(FrozenAt + FreezeTime - Cell.log().now());
  if (Settings.Trouble_) {
    Cell.log().write("node " + std::to_string(*Former) + " wakes");
    Cell.node(*Former).signal(SIGCONT);
  }
  Cell.runUntil([&] { return Acknowledged.has_value(); }, Deadline);
  constexpr Millis WatchTime{14000};
  Cell.runFor(WatchTime);
  for (std::size_t Node = 0; Node < Cell.nodes(); ++Node) {
    Cell.askState(Node, Canceled);
    Cell.runFor(Millis{300});
  }
  constexpr int Ok = 200;
  constexpr int Gone = 410;
  if (!Acknowledged ||
      (Acknowledged->Status_ != Ok && Acknowledged->Status_ != Gone))
    return judge(Cell, {});
  std::vector<std::string> Breaches;
  for (const RunRecord &Run : Cell.log().runs()) {
    const bool IsOfJob = Run.Task_.find(Canceled.Id_) == 0;
    if (IsOfJob && Run.StartedAt_ > AcknowledgedAt + CancelTime)
      Breaches.push_back(
          "starts " + std::to_string((Run.StartedAt_ - AcknowledgedAt).Value_) +
          " ms after the cancel was acknowledged: task " + Run.Task_);
  }
  return judge(Cell, Breaches);
}

// The record of a job with many tasks grows with each task that is done, until
// it does not fit into a row of the store. Jobs that come then are never done.
Outcome playLargeJob(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 6;
  constexpr int ManyTasks = 7400;
  const TaskTraits Traits{Millis{300}, SmallTask, "", false};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  submitJobs(Cell, 3, 6, Traits);
  if (!Cell.waitForEnds(Millis{15000}))
    return notRun(Cell, "the jobs before the disruption have not ended");
  Cell.log().setBrief(true);
  if (Settings.Trouble_) {
    const TaskTraits Small{Millis{20}, 20, "", false};
    Job &Large = Cell.submit(
        0, {Step{ManyTasks, {}, ""}, Step{ManyTasks, {}, ""}}, Small);
    if (!Cell.runUntil([&] { return Large.AcceptedAt_.has_value(); },
                       Millis{10000}))
      return notRun(Cell, "the large job is not accepted");
    Cell.runUntil([&] { return Cell.store().rejected() > 0; }, Millis{60000});
  }
  Cell.log().setBrief(false);
  const std::size_t First = Cell.jobs().size();
  submitJobs(Cell, 6, 6, Traits);
  Cell.waitForEnds(Millis{30000});
  std::vector<std::string> Breaches;
  for (std::size_t Index = First; Index < Cell.jobs().size(); ++Index) {
    const Job &Each = *Cell.jobs()[Index];
    if (Each.State_ != "complete")
      Breaches.push_back("job " + Each.Id_ + " has status " +
                         std::to_string(Each.LastStatus_) +
                         " and is shown as " + Each.State_);
  }
  Cell.log().write(
      "transactions that the store rejected: " +
      std::to_string(Cell.store().rejected()) +
      ", largest value: " + std::to_string(Cell.store().largestValue()));
  return judge(Cell, Breaches);
}

// Jobs fill all workers but one. The jobs after them can only start on that
// one, which is unhealthy.
Outcome playUnhealthyWorker(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 12;
  constexpr int Waiting = 8;
  constexpr std::int64_t LargeTask = 8000;
  constexpr Millis UnhealthyTime{6500};
  // visible_ms of the site, and the age that the count may have.
  constexpr Millis VisibleTime{3000 + 2000};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  Cell.runFor(Millis{1000});
  const TaskTraits Filling{Millis{12000}, LargeTask, "", false};
  submitJobs(Cell, 2, static_cast<int>(WorkerCount) - 1, Filling);
  const auto CountRuns = [&] {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < Cell.workers(); ++Index)
      Count += Cell.worker(Index).running();
    return Count;
  };
  if (!Cell.runUntil([&] { return CountRuns() == 2 * (WorkerCount - 1); },
                     Millis{10000}))
    return notRun(Cell, "the workers are not filled");
  std::size_t Idle = 0;
  while (Idle < Cell.workers() && Cell.worker(Idle).running() > 0)
    ++Idle;
  if (Idle == Cell.workers())
    return notRun(Cell, "no worker is idle");
  if (Settings.Trouble_)
    Cell.worker(Idle).setHealthy(false);
  const Millis Start = Cell.log().now();
  const std::size_t First = Cell.jobs().size();
  const TaskTraits Small{Millis{500}, SmallTask, "", false};
  submitJobs(Cell, Waiting, 1, Small);
  std::vector<std::string> Breaches;
  while (Cell.log().now() < Start + UnhealthyTime) {
    int Old = 0;
    for (std::size_t Index = First; Index < Cell.jobs().size(); ++Index) {
      const Job &Each = *Cell.jobs()[Index];
      bool HasBegun = false;
      for (const RunRecord &Run : Cell.log().runs())
        HasBegun = HasBegun || Run.Task_.find(Each.Id_) == 0;
      Old += !HasBegun && Each.AcceptedAt_ &&
                     Cell.log().now() > *Each.AcceptedAt_ + VisibleTime
                 ? 1
                 : 0;
    }
    std::optional<int> Pending;
    Cell.askPending(0, [&](int Count) { Pending = Count; });
    Cell.runUntil([&] { return Pending.has_value(); }, Millis{3000});
    if (Pending && *Pending * 2 < Old) {
      Breaches.push_back(std::to_string(*Pending) + " jobs are said to wait; " +
                         std::to_string(Old) +
                         " were accepted over 5 s ago and have not begun");
      Cell.log().write(Breaches.back());
    }
    Cell.runFor(Millis{250});
  }
  if (Settings.Trouble_)
    Cell.worker(Idle).setHealthy(true);
  if (!Cell.waitForEnds(Millis{40000}))
    return notRun(Cell, "the jobs have not ended");
  return judge(Cell, Breaches);
}

// The gang has a task on each of the eight workers.
Outcome playFlakyWorker(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 8;
  constexpr int Crashes = 3;
  constexpr std::int64_t LargeTask = 9000;
  const TaskTraits Traits{Millis{4000}, LargeTask, "", false};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  Cell.runFor(Millis{1000});
  Job &Gang = Cell.submit(0, {Step{WorkerCount, {}, "", true}}, Traits);
  Worker &Victim = Cell.worker(0);
  const auto RunsOnAll = [&] {
    for (std::size_t Index = 0; Index < Cell.workers(); ++Index)
      if (!Cell.worker(Index).runs(Gang.Id_))
        return false;
    return true;
  };
  for (int Number = 0; Settings.Trouble_ && Number < Crashes; ++Number) {
    if (!Cell.runUntil(RunsOnAll, Millis{15000}))
      break;
    Cell.runFor(Millis{400});
    Victim.loseHost();
    Cell.runFor(Millis{100});
    for (std::size_t Index = 1; Index < Cell.workers(); ++Index)
      Cell.worker(Index).breakGang(Gang.Id_);
    Cell.runFor(Millis{900});
    Victim.restoreHost();
  }
  if (!Cell.waitForEnds(Millis{40000}))
    return notRun(Cell, "the job has not ended");
  int Failed = 0;
  for (const RunRecord &Run : Cell.log().runs())
    Failed += Run.How_ == "failed" ? 1 : 0;
  std::vector<std::string> Breaches;
  if (Gang.State_ != "complete" && Failed == 0)
    Breaches.push_back("accepted job " + Gang.Id_ + " is shown as " +
                       Gang.State_ + ", and none of its runs has failed");
  return judge(Cell, Breaches);
}

// The jobs have been accepted before. Their requesters can no longer ask for
// them, so the workers tell whether all of their tasks run.
Outcome playRemovedRoute(const CaseSettings &Settings) {
  constexpr std::size_t WorkerCount = 6;
  constexpr int Jobs = 3;
  constexpr int Tasks = 3;
  // finish_s of the site.
  constexpr Millis FinishTime{14000};
  const TaskTraits Traits{Millis{3000}, SmallTask, "", false};
  Bed Cell({Settings.RecordFile_, 3, sameWorkers(WorkerCount)});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  for (int Number = 0; Number < Jobs; ++Number)
    Cell.submit(
        static_cast<std::size_t>(Number) % Cell.nodes(),
        {Step{Tasks, {}, ""}, Step{Tasks, {0}, ""}, Step{Tasks, {1}, ""}},
        Traits);
  if (!Cell.runUntil([&] { return allAccepted(Cell); }, Millis{10000}))
    return notRun(Cell, "the jobs are not accepted");
  Cell.runFor(Millis{1000});
  if (Settings.Trouble_)
    Cell.changeConfig(2, false);
  Cell.runFor(Millis{2500});
  const auto Former = Cell.leader();
  if (Settings.Trouble_ && Former) {
    Cell.log().write("node " + std::to_string(*Former) +
                     ", the leader, gets SIGTERM");
    Cell.node(*Former).signal(SIGTERM);
  }
  Cell.runFor(Millis{6000} + FinishTime);
  std::set<std::string> Done;
  for (const RunRecord &Run : Cell.log().runs())
    if (Run.How_ == "done")
      Done.insert(Run.Task_);
  std::vector<std::string> Breaches;
  for (const auto &Each : Cell.jobs())
    for (int Number = 0; Number < 3 * Tasks; ++Number) {
      const std::string Task = Each->Id_ + ".0." +
                               std::to_string(Number / Tasks) + "." +
                               std::to_string(Number % Tasks);
      if (Done.count(Task) == 0)
        Breaches.push_back("task of an accepted job was never done: " + Task);
    }
  return judge(Cell, Breaches);
}

// Jobs that need a worker of kind "a" come all the time. One such worker ends
// and starts again as kind "b", with half of the processors.
Outcome playOtherKind(const CaseSettings &Settings) {
  std::vector<HostKind> Kinds = sameWorkers(3);
  Kinds.resize(6, HostKind{"b", 8000});
  Bed Cell({Settings.RecordFile_, 3, Kinds});
  if (!Cell.waitUntilReady(StartTime))
    return notRun(Cell, "the nodes are not ready");
  const TaskTraits Traits{Millis{400}, SmallTask, "a", false};
  const auto SubmitFor = [&](int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      submitJobs(Cell, 2, 6, Traits);
      Cell.runFor(Millis{200});
    }
  };
  SubmitFor(10);
  Worker &Victim = Cell.worker(0);
  if (Settings.Trouble_)
    Victim.stop();
  SubmitFor(5);
  if (Settings.Trouble_)
    Victim.restart(HostKind{"b", 8000});
  SubmitFor(25);
  if (!Cell.waitForEnds(Millis{30000}))
    return notRun(Cell, "the jobs have not ended");
  std::vector<std::string> Breaches;
  for (std::size_t Index = 0; Index < Cell.workers(); ++Index)
    for (const std::string &Each : Cell.worker(Index).misplaced())
      Breaches.push_back(Each);
  return judge(Cell, Breaches);
}

} // namespace damaskglade::review
