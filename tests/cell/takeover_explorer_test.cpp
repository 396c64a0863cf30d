// Plays schedules of faults and changes of the leader and checks that no task
// runs in two places at once and that all long-running tasks run in the end.

#include "cell/worker_rows.h"
#include "tests/cell/takeover_play.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace damaskglade;
using namespace damaskglade::fakes;

namespace {

constexpr unsigned Seed = 29;
// All schedules of two events are played at the first points only.
constexpr int PointsOfTwoEvents = 6;
constexpr int SampledSchedules = 600;

constexpr PlaySettings WithRelays{true, false};
constexpr PlaySettings InSparePart{false, true};
constexpr PlaySettings WithArrivals{false, false, true};
constexpr PlaySettings WithRelaysAndArrivals{true, false, true};
constexpr PlaySettings WithOddJobs{false, false, false, true};

struct Finding {
  Schedule Events_;
  Violations Violations_;
  int Plays_ = 0; ///< Including the last one.
};

std::string describe(const Finding &Found) {
  return fakes::describe(Found.Violations_) + "in the schedule \"" +
         fakes::describe(Found.Events_) + "\", play " +
         std::to_string(Found.Plays_);
}

const std::vector<EventKind> RelayFaults{
    EventKind::PauseLeader,  EventKind::KillRelay,  EventKind::StopRelay,
    EventKind::IsolateRelay, EventKind::PauseRelay, EventKind::MuteRelay,
    EventKind::BlindRelay};

std::vector<Event> eventsWithWorkers(const std::vector<std::string> &Workers) {
  std::vector<Event> Events;
  for (const EventKind Kind :
       {EventKind::KillLeader, EventKind::StopLeader, EventKind::IsolateLeader,
        EventKind::StoreRejects, EventKind::StoreTimesOut,
        EventKind::StoreLosesReplies, EventKind::HealWorkers})
    Events.push_back(Event{0, Kind, ""});
  for (const EventKind Kind :
       {EventKind::CutWorkerOff, EventKind::CutWorkerOffForNow,
        EventKind::DrainWorker, EventKind::EndWorker})
    for (const std::string &Worker : Workers)
      Events.push_back(Event{0, Kind, Worker});
  return Events;
}

Event atPoint(Event Happening, int Point) {
  Happening.Point_ = Point;
  return Happening;
}

std::vector<Schedule> schedulesOfUpToTwoEvents() {
  std::vector<Schedule> Schedules{Schedule{}};
  const std::vector<Event> Events = eventsWithWorkers({"w1"});
  for (int Point = 0; Point < PointsOfTwoEvents; ++Point)
    for (const Event &First : Events) {
      if (First.Kind_ == EventKind::HealWorkers)
        continue; // Nothing is cut off yet.
      Schedules.push_back({atPoint(First, Point)});
      for (int Later = Point + 1; Later < PointsOfTwoEvents; ++Later)
        for (const Event &Second : Events)
          Schedules.push_back({atPoint(First, Point), atPoint(Second, Later)});
    }
  return Schedules;
}

/// All schedules of one fault of a relay and of another event.
std::vector<Schedule> schedulesWithRelayFaults(int Points) {
  std::vector<Schedule> Schedules;
  std::vector<Event> Others = eventsWithWorkers({"w1"});
  for (const EventKind Kind : RelayFaults)
    Others.push_back(Event{0, Kind, ""});
  for (const EventKind Fault : RelayFaults)
    for (int Point = 0; Point < Points; ++Point) {
      Schedules.push_back({Event{Point, Fault, ""}});
      for (int Other = 0; Other < Points; ++Other)
        for (const Event &Happening : Others) {
          Schedule Events{Event{Point, Fault, ""}, atPoint(Happening, Other)};
          if (Other < Point)
            std::swap(Events[0], Events[1]);
          Schedules.push_back(std::move(Events));
        }
    }
  return Schedules;
}

const std::vector<EventKind> Restarts{
    EventKind::RestartWorker, EventKind::RestartWorkerTwice,
    EventKind::RestartWithLateReplies, EventKind::RestartAfterLostReplies};

bool isRestart(EventKind Kind) {
  return std::find(Restarts.begin(), Restarts.end(), Kind) != Restarts.end();
}

const std::vector<EventKind> PartFaults{EventKind::MainPartRejects,
                                        EventKind::SparePartRejects};

Schedule sampleSchedule(std::mt19937 &Random,
                        const std::vector<EventKind> &FurtherKinds) {
  constexpr unsigned MinEvents = 3;
  constexpr unsigned EventCounts = 3;
  // The first worker, whose clock is slow, is concerned more often.
  std::vector<Event> Events = eventsWithWorkers({"w1", "w1", "w2"});
  for (const EventKind Kind : FurtherKinds)
    Events.push_back(Event{0, Kind, isRestart(Kind) ? "w1" : ""});
  std::size_t EventsLeft = MinEvents + Random() % EventCounts;
  Schedule Sample;
  for (int Point = 0; Point < PointCount; ++Point) {
    if (Random() % static_cast<unsigned>(PointCount - Point) >= EventsLeft)
      continue;
    --EventsLeft;
    Sample.push_back(atPoint(Events[Random() % Events.size()], Point));
  }
  return Sample;
}

std::vector<Schedule>
sampleSchedules(const std::vector<EventKind> &FurtherKinds = {},
                std::size_t Count = SampledSchedules,
                unsigned RandomSeed = Seed) {
  std::mt19937 Random(RandomSeed);
  std::vector<Schedule> Schedules;
  while (Schedules.size() < Count)
    Schedules.push_back(sampleSchedule(Random, FurtherKinds));
  return Schedules;
}

/// All schedules of a rejected part and of another event after it.
std::vector<Schedule> schedulesWithPartFaults() {
  std::vector<Schedule> Schedules;
  std::vector<Event> Others = eventsWithWorkers({"w1"});
  for (const EventKind Kind : PartFaults)
    Others.push_back(Event{0, Kind, ""});
  for (const EventKind Fault : PartFaults)
    for (int Point = 0; Point < PointsOfTwoEvents / 2; ++Point)
      for (int Other = Point; Other < PointsOfTwoEvents; ++Other)
        for (const Event &Happening : Others)
          Schedules.push_back(
              {Event{Point, Fault, ""}, atPoint(Happening, Other)});
  return Schedules;
}

/// Schedules of a late submission and of another event before or after it.
std::vector<Schedule> schedulesOfLateSubmissions() {
  std::vector<Schedule> Schedules;
  for (int Point = 0; Point < PointsOfTwoEvents / 2; ++Point) {
    const Event Late{Point, EventKind::SubmitLate, ""};
    Schedules.push_back({Late});
    for (int Other = 0; Other < PointsOfTwoEvents; ++Other)
      for (const Event &Happening : eventsWithWorkers({"w1"})) {
        Schedules.push_back({Late, atPoint(Happening, Other)});
        if (Other < Point)
          std::swap(Schedules.back()[0], Schedules.back()[1]);
      }
  }
  return Schedules;
}

/// Schedules in which a worker is cut off, comes back and is cut off again
/// before the leader changes.
std::vector<Schedule> schedulesOfAReturningWorker() {
  std::vector<Schedule> Schedules;
  for (int Cut = 0; Cut < PointCount; ++Cut)
    for (int Heal = Cut + 1; Heal < PointCount; ++Heal)
      for (int SecondCut = Heal + 1; SecondCut < PointCount; ++SecondCut)
        for (int Change = SecondCut + 1; Change < PointCount; ++Change)
          for (const EventKind Kind :
               {EventKind::KillLeader, EventKind::StopLeader,
                EventKind::IsolateLeader})
            Schedules.push_back(
                {Event{Cut, EventKind::CutWorkerOff, "w1"},
                 Event{Heal, EventKind::HealWorkers, ""},
                 Event{SecondCut, EventKind::CutWorkerOff, "w1"},
                 Event{Change, Kind, ""}});
  return Schedules;
}

/// Schedules in which a worker starts again, is cut off after that, and the
/// leader changes in one of the given ways since.
std::vector<Schedule>
schedulesOfARestartedWorker(const std::vector<EventKind> &Changes,
                            EventKind Kind = EventKind::RestartWorker) {
  std::vector<Schedule> Schedules;
  for (int Restart = 0; Restart < PointCount; ++Restart)
    for (int Cut = Restart + 1; Cut < PointCount; ++Cut) {
      const Event Back{Restart, Kind, "w1"};
      const Event CutOff{Cut, EventKind::CutWorkerOff, "w1"};
      Schedules.push_back({Back, CutOff});
      for (int Change = Restart; Change < PointCount; ++Change)
        for (const EventKind ChangeKind : Changes) {
          Schedule Events{Back, CutOff, Event{Change, ChangeKind, ""}};
          std::stable_sort(Events.begin(), Events.end(),
                           [](const Event &A, const Event &B) {
                             return A.Point_ < B.Point_;
                           });
          Schedules.push_back(std::move(Events));
        }
    }
  return Schedules;
}

/// Schedules in which a worker gets tasks of another one while it carries out
/// starts late, and starts again before it does, with the same leader or the
/// next one.
std::vector<Schedule> schedulesOfLateStarts() {
  constexpr int ShortestToRestart = 4;
  constexpr int LongestToRestart = 5;
  std::vector<Schedule> Schedules;
  for (int Start = 0; Start < PointCount; ++Start)
    for (int Restart = Start + ShortestToRestart;
         Restart <= Start + LongestToRestart; ++Restart)
      for (const char *Late : {"w1", "w3"}) {
        const Schedule Events{Event{Start, EventKind::DelayStarts, Late},
                              Event{Start, EventKind::RestartWorker, "w2"},
                              Event{Restart, EventKind::RestartWorker, Late}};
        Schedules.push_back(Events);
        Schedules.push_back(Events);
        Schedules.back().insert(Schedules.back().begin() + 2,
                                Event{Restart - 1, EventKind::KillLeader, ""});
      }
  return Schedules;
}

template <typename Matches>
std::optional<Finding> explore(const std::vector<Schedule> &Schedules,
                               const RowFault &Fault, const Matches &IsSought,
                               PlaySettings Settings = {}) {
  int Plays = 0;
  for (const Schedule &Events : Schedules) {
    ++Plays;
    Violations Found = TakeoverPlay(Fault, Settings).play(Events);
    if (IsSought(Found))
      return Finding{Events, std::move(Found), Plays};
  }
  BOOST_TEST_MESSAGE(Plays << " schedules played");
  return std::nullopt;
}

void checkNoViolation(const std::vector<Schedule> &Schedules,
                      PlaySettings Settings = {}) {
  const auto Found = explore(
      Schedules, nullptr, [](const Violations &V) { return V.any(); },
      Settings);
  BOOST_TEST(!Found, (Found ? describe(*Found) : ""));
}

// All schedules in a random order, which finds most faults earlier.
std::vector<Schedule> shuffledSchedules() {
  std::vector<Schedule> Schedules = schedulesOfUpToTwoEvents();
  for (const auto &Others : {schedulesOfAReturningWorker(), sampleSchedules()})
    Schedules.insert(Schedules.end(), Others.begin(), Others.end());
  std::mt19937 Random(Seed);
  for (std::size_t Last = Schedules.size() - 1; Last > 0; --Last)
    std::swap(Schedules[Last], Schedules[Random() % (Last + 1)]);
  return Schedules;
}

void checkIsFound(const RowFault &Fault) {
  const auto Found =
      explore(shuffledSchedules(), Fault,
              [](const Violations &V) { return V.repeatedRuns(); });
  BOOST_TEST_REQUIRE(Found.has_value());
  BOOST_TEST_MESSAGE("found: " << describe(*Found));
}

/// The row of a worker; empty if another one is written.
std::optional<cell::WorkerRow> workerRowOf(const RowPut &Put) {
  if (Put.Name_.Table_ != cell::WorkersTable)
    return std::nullopt;
  return cell::decodeWorkerRow(StoredRow{Put.Name_, Put.Value_, 0}).value();
}

/// A fault that changes what closed rows tell.
RowFault faultOfClosedRows(
    const std::function<void(dispatch::ClosedLeases &Leases)> &Change) {
  return [Change](const FakeStoreState &, RowTransaction &Written) {
    for (RowPut &Put : Written.Puts_)
      if (auto Row = workerRowOf(Put); Row && Row->Closed_) {
        Change(*Row->Closed_);
        Put.Value_ = cell::encodeWorkerRow(*Row);
      }
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TakeoverExplorer)

BOOST_AUTO_TEST_CASE(UpToTwoEventsRepeatNoTask) {
  checkNoViolation(schedulesOfUpToTwoEvents());
}

BOOST_AUTO_TEST_CASE(SampledEventsRepeatNoTask) {
  checkNoViolation(sampleSchedules());
}

BOOST_AUTO_TEST_CASE(ReturningWorkerRepeatsNoTask) {
  checkNoViolation(schedulesOfAReturningWorker());
}

// Plays the schedule that follows "--" on the command line.
BOOST_AUTO_TEST_CASE(GivenScheduleRepeatsNoTask) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  const auto Events = parseSchedule(Suite.argc > 1 ? Suite.argv[1] : "");
  BOOST_TEST_REQUIRE(Events.has_value());
  checkNoViolation({*Events});
}

// The store goes on showing the closed row.
BOOST_AUTO_TEST_CASE(UseOfAWorkerWhoseRowIsStillClosedIsFound) {
  checkIsFound([](const FakeStoreState &Store, RowTransaction &Written) {
    for (RowPut &Put : Written.Puts_) {
      const auto Row = workerRowOf(Put);
      const auto Stored = Store.Rows_.find(Put.Name_);
      if (!Row || Row->Closed_ || Stored == Store.Rows_.end())
        continue;
      const RowPut Earlier{Put.Name_, Stored->second.Value_};
      if (workerRowOf(Earlier)->Closed_)
        Put = Earlier;
    }
  });
}

BOOST_AUTO_TEST_CASE(EarlyEndInAClosedRowIsFound) {
  checkIsFound(faultOfClosedRows([](dispatch::ClosedLeases &Leases) {
    Leases.Expiry_ = Leases.Expiry_ - Millis{4000};
  }));
}

BOOST_AUTO_TEST_CASE(ClosedRowWithoutItsRunsIsFound) {
  checkIsFound(faultOfClosedRows([](dispatch::ClosedLeases &Leases) {
    Leases.RunsKnown_ = true;
    Leases.Runs_.clear();
  }));
}

BOOST_AUTO_TEST_CASE(RemovedRowOfAWorkerWithRunsIsFound) {
  checkIsFound([](const FakeStoreState &, RowTransaction &Written) {
    for (const RowPut &Put : Written.Puts_) {
      const auto Row = workerRowOf(Put);
      if (!Row || !Row->Closed_)
        continue;
      const dispatch::ClosedLeases &Leases = *Row->Closed_;
      if (!Leases.RunsKnown_ || !Leases.Runs_.empty())
        Written.Removes_.push_back(Put.Name_);
    }
  });
}

BOOST_AUTO_TEST_CASE(RunningTasksToldAsWaitingAreFound) {
  checkIsFound([](const FakeStoreState &, RowTransaction &Written) {
    for (RowPut &Put : Written.Puts_) {
      if (Put.Name_ != cell::resignationRow())
        continue;
      auto Record =
          cell::decodeResignation(StoredRow{Put.Name_, Put.Value_, 0}).value();
      Record.Waiting_ = {dispatch::TaskRange{jobOfLongRunningTasks(), 0, 0,
                                             LongRunningTasks - 1}};
      Put.Value_ = cell::encodeResignation(Record);
    }
  });
}

BOOST_AUTO_TEST_CASE(EarlyEndInAResignationIsFound) {
  checkIsFound([](const FakeStoreState &, RowTransaction &Written) {
    for (RowPut &Put : Written.Puts_) {
      if (Put.Name_ != cell::resignationRow())
        continue;
      auto Record =
          cell::decodeResignation(StoredRow{Put.Name_, Put.Value_, 0}).value();
      Record.LeaseExpiry_ = Record.LeaseExpiry_ - Millis{6000};
      Put.Value_ = cell::encodeResignation(Record);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

// The same with leaders that call workers through relays, and faults of these.
BOOST_AUTO_TEST_SUITE(RelayExplorer)

BOOST_AUTO_TEST_CASE(UpToTwoEventsRepeatNoTask) {
  checkNoViolation(schedulesWithRelayFaults(PointsOfTwoEvents / 2), WithRelays);
}

// For runs by hand.
BOOST_AUTO_TEST_CASE(UpToTwoEventsAtAllPointsRepeatNoTask,
                     *boost::unit_test::disabled()) {
  checkNoViolation(schedulesWithRelayFaults(PointsOfTwoEvents), WithRelays);
}

BOOST_AUTO_TEST_CASE(SampledEventsRepeatNoTask) {
  checkNoViolation(sampleSchedules(RelayFaults), WithRelays);
}

// Plays the schedule that follows "--" on the command line.
BOOST_AUTO_TEST_CASE(GivenScheduleRepeatsNoTask) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  const auto Events = parseSchedule(Suite.argc > 1 ? Suite.argv[1] : "");
  BOOST_TEST_REQUIRE(Events.has_value());
  checkNoViolation({*Events}, WithRelays);
}

BOOST_AUTO_TEST_SUITE_END()

// The same with jobs in the spare part of the store, and with parts that the
// store rejects for all nodes.
BOOST_AUTO_TEST_SUITE(SparePartExplorer)

BOOST_AUTO_TEST_CASE(UpToTwoEventsRepeatNoTask) {
  checkNoViolation(schedulesWithPartFaults(), InSparePart);
}

BOOST_AUTO_TEST_CASE(SampledEventsRepeatNoTask) {
  constexpr std::size_t Count = 150;
  checkNoViolation(sampleSchedules(PartFaults, Count), InSparePart);
}

// For runs by hand.
BOOST_AUTO_TEST_CASE(MoreSampledEventsRepeatNoTask,
                     *boost::unit_test::disabled()) {
  checkNoViolation(sampleSchedules(PartFaults), InSparePart);
}

// Plays the schedule that follows "--" on the command line.
BOOST_AUTO_TEST_CASE(GivenScheduleRepeatsNoTask) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  const auto Events = parseSchedule(Suite.argc > 1 ? Suite.argv[1] : "");
  BOOST_TEST_REQUIRE(Events.has_value());
  checkNoViolation({*Events}, InSparePart);
}

BOOST_AUTO_TEST_SUITE_END()

// The same with a worker that starts again under its id, and takes calls that
// were under way to the process before.
BOOST_AUTO_TEST_SUITE(RestartExplorer)

BOOST_AUTO_TEST_CASE(RestartedWorkerRepeatsNoTask) {
  checkNoViolation(
      schedulesOfARestartedWorker({EventKind::KillLeader, EventKind::StopLeader,
                                   EventKind::IsolateLeader}));
}

BOOST_AUTO_TEST_CASE(LateStartsRepeatNoTask) {
  checkNoViolation(schedulesOfLateStarts());
}

BOOST_AUTO_TEST_CASE(RestartedWorkerRepeatsNoTaskWithRelays) {
  checkNoViolation(schedulesOfARestartedWorker({EventKind::KillLeader}),
                   WithRelays);
}

BOOST_AUTO_TEST_CASE(SampledEventsRepeatNoTask) {
  constexpr std::size_t Count = 200;
  checkNoViolation(sampleSchedules(
      {EventKind::RestartWorker, EventKind::RestartWorker}, Count));
}

// Two restarts in a row, replies of an earlier process that arrive after those
// of the next one, and orders whose replies are lost before a restart.
BOOST_AUTO_TEST_CASE(SampledKindsOfRestartsRepeatNoTask) {
  constexpr std::size_t Count = 150;
  checkNoViolation(sampleSchedules(Restarts, Count), WithArrivals);
}

BOOST_AUTO_TEST_CASE(SampledKindsOfRestartsRepeatNoTaskWithRelays) {
  constexpr std::size_t Count = 60;
  checkNoViolation(sampleSchedules(Restarts, Count), WithRelaysAndArrivals);
}

// For runs by hand.
BOOST_AUTO_TEST_CASE(AllKindsOfRestartsRepeatNoTask,
                     *boost::unit_test::disabled()) {
  for (const EventKind Kind : Restarts)
    for (const PlaySettings &Settings : {WithArrivals, WithRelaysAndArrivals})
      checkNoViolation(schedulesOfARestartedWorker({EventKind::KillLeader,
                                                    EventKind::StopLeader,
                                                    EventKind::IsolateLeader},
                                                   Kind),
                       Settings);
}

// The same, with the seed that follows "--" on the command line.
BOOST_AUTO_TEST_CASE(MoreSampledKindsOfRestartsRepeatNoTask,
                     *boost::unit_test::disabled()) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  const unsigned RandomSeed =
      Suite.argc > 1 ? static_cast<unsigned>(std::stoul(Suite.argv[1])) : Seed;
  std::vector<EventKind> Kinds;
  for (int Weight = 0; Weight < 3; ++Weight)
    Kinds.insert(Kinds.end(), Restarts.begin(), Restarts.end());
  for (const PlaySettings &Settings : {WithArrivals, WithRelaysAndArrivals})
    checkNoViolation(sampleSchedules(Kinds, SampledSchedules, RandomSeed),
                     Settings);
}

// Plays the schedule that follows "--" on the command line.
BOOST_AUTO_TEST_CASE(GivenScheduleRepeatsNoTask) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  const auto Events = parseSchedule(Suite.argc > 1 ? Suite.argv[1] : "");
  BOOST_TEST_REQUIRE(Events.has_value());
  checkNoViolation({*Events});
}

BOOST_AUTO_TEST_SUITE_END()

// The same with submissions that arrive after they were canceled, and with jobs
// of odd shapes.
BOOST_AUTO_TEST_SUITE(OddRequestExplorer)

// Guards against a job that starts after its cancellation was acknowledged.
BOOST_AUTO_TEST_CASE(CanceledJobsDoNotStart) {
  checkNoViolation(schedulesOfLateSubmissions());
}

BOOST_AUTO_TEST_CASE(SampledEventsStartNoCanceledJob) {
  constexpr std::size_t Count = 150;
  checkNoViolation(sampleSchedules(
      {EventKind::SubmitLate, EventKind::SubmitLate, EventKind::PauseLeader},
      Count));
}

// Guards against accepted jobs that never end.
BOOST_AUTO_TEST_CASE(JobsOfOddShapesEnd) {
  constexpr std::size_t Count = 150;
  checkNoViolation(sampleSchedules({EventKind::PauseLeader}, Count),
                   WithOddJobs);
}

// Plays the schedule that follows "--" on the command line.
BOOST_AUTO_TEST_CASE(GivenScheduleBreaksNoPromise) {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  const auto Events = parseSchedule(Suite.argc > 1 ? Suite.argv[1] : "");
  BOOST_TEST_REQUIRE(Events.has_value());
  checkNoViolation({*Events}, WithOddJobs);
}

BOOST_AUTO_TEST_SUITE_END()
