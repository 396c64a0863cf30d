#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

/// The reply of a worker that runs the given tasks, written at this moment of
/// the leader's clock.
PollReply makeReply(Millis WrittenAt, std::vector<RunningEntry> Running = {},
                    std::int64_t ProcessStart = 1) {
  PollReply Reply;
  Reply.Clock_ = WrittenAt + Millis{50000};
  Reply.ProcessStart_ = ProcessStart;
  Reply.Running_ = std::move(Running);
  return Reply;
}

/// Orders the only waiting task; the worker does not answer the order.
StartAction startUnanswered(DispatcherFixture &Fixture) {
  constexpr Millis OrderTimeout{250};
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  Fixture.advance(OrderTimeout);
  Fixture.Dispatcher_.handleStartReply(
      Pass.Starts_.front(), startError(Effect::Unknown), Fixture.Now_);
  return Pass.Starts_.front();
}

RunningEntry entryOf(const StartAction &Start) {
  return RunningEntry{Start.Order_.Task_, Start.Order_.Attempt_, "", 5, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OvertakenReplies)

// Guards against a task that runs twice: a worker carries out a start order
// late, and the reply to a poll from before arrives after one that lists the
// run.
BOOST_AUTO_TEST_CASE(OvertakenReplyEndsNoRun) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{1});
  const Millis LongPollSentAt = Fixture.Now_;
  Fixture.advance(Millis{1});
  const StartAction Start = startUnanswered(Fixture);
  const Millis ProbeSentAt = Fixture.Now_;
  Fixture.advance(Millis{150});
  BOOST_TEST(Fixture.Dispatcher_.handlePollReply(
      "w1", makeReply(Fixture.Now_, {entryOf(Start)}), LongPollSentAt,
      Fixture.Now_));
  Fixture.advance(Millis{150});
  Fixture.Dispatcher_.handlePollReply("w1", makeReply(ProbeSentAt), ProbeSentAt,
                                      Fixture.Now_);
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST(Pass.Starts_.empty());
  BOOST_TEST(Pass.Stops_.empty());
  BOOST_TEST(Fixture.Dispatcher_.hasRuns(Start.Task_.Job_));
}

// Guards against the same if both replies were written in one millisecond.
BOOST_AUTO_TEST_CASE(OverlappingReplyOfTheSameMomentEndsNoRun) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Millis LongPollSentAt = Fixture.Now_;
  Fixture.advance(Millis{1});
  const StartAction Start = startUnanswered(Fixture);
  const Millis WrittenAt = Fixture.Now_ + Millis{1};
  Fixture.advance(Millis{2});
  Fixture.Dispatcher_.handlePollReply("w1",
                                      makeReply(WrittenAt, {entryOf(Start)}),
                                      LongPollSentAt, Fixture.Now_);
  Fixture.Dispatcher_.handlePollReply("w1", makeReply(WrittenAt),
                                      WrittenAt - Millis{1}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.empty());
  BOOST_TEST(Fixture.Dispatcher_.hasRuns(Start.Task_.Job_));
}

// Guards against a run that has ended without a trace and keeps its capacity:
// a poll that was sent after a reply had arrived is newer whatever its clock
// says.
BOOST_AUTO_TEST_CASE(ReplyToALaterPollIsNotOvertaken) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.advance(Millis{5});
  BOOST_TEST(Fixture.Dispatcher_.handlePollReply(
      "w1", makeReply(Millis{-50000}), Fixture.Now_, Fixture.Now_));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against an end that is lost because two replies were written in the
// same millisecond.
BOOST_AUTO_TEST_CASE(EndInAnOverlappingReplyCounts) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  const Actions Pass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  const Millis SentAt = Fixture.Now_;
  Fixture.advance(Millis{5});
  PollReply Reply = makeReply(Fixture.Now_, {entryOf(Pass.Starts_.front())});
  Fixture.Dispatcher_.handlePollReply("w1", Reply, SentAt, Fixture.Now_);
  Reply.Running_.clear();
  Reply.Ended_.push_back(
      EndedTask{1, taskNameOf(Job, 0, 0), 1, TaskEnd::Done, ""});
  BOOST_TEST(
      Fixture.Dispatcher_.handlePollReply("w1", Reply, SentAt, Fixture.Now_));
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against ends that the new process of a worker forgets before they are
// recorded: a late reply of the process before counted as a restart, and the
// number of its last end was acknowledged to the new one.
BOOST_AUTO_TEST_CASE(ReplyOfAnEarlierProcessIsIgnored) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis SentAt = Fixture.Now_;
  const PollReply LateReply = makeReply(SentAt);
  Fixture.advance(Millis{5});
  Fixture.pollWorker("w1", {}, 2);
  const Worker Before = *Fixture.Dispatcher_.findWorker("w1");
  Fixture.advance(Millis{5});
  BOOST_TEST(!Fixture.Dispatcher_.handlePollReply("w1", LateReply, SentAt,
                                                  Fixture.Now_));
  const Worker &After = *Fixture.Dispatcher_.findWorker("w1");
  BOOST_TEST(After.ProcessStart_ == 2);
  BOOST_TEST((After.WorkerClock_ == Before.WorkerClock_));
  BOOST_TEST((After.LeaseExpiry_ == Before.LeaseExpiry_));
}

// Guards against a task that runs twice: another worker had its address for a
// moment, and its rejection arrives after a reply that lists the run.
BOOST_AUTO_TEST_CASE(OvertakenRejectionEndsNoRun) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions Pass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  Fixture.advance(Millis{1});
  const Millis SentAt = Fixture.Now_;
  Fixture.advance(Millis{5});
  const std::string &Worker = Pass.Starts_.front().Target_.Worker_;
  Fixture.pollWorker(Worker);
  PollReply Rejection;
  Rejection.Outcome_ = OrderOutcome::WrongWorker;
  BOOST_TEST(!Fixture.Dispatcher_.handlePollReply(Worker, Rejection, SentAt,
                                                  Fixture.Now_));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against a task that runs twice: the worker still runs an attempt that
// the leader has given up, and is being told to stop it.
BOOST_AUTO_TEST_CASE(TaskWaitsForItsRunThatIsBeingStopped) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  const StartAction &Start = First.Starts_.front();
  const std::string &Worker = Start.Target_.Worker_;
  Fixture.Dispatcher_.handleStartReply(Start, startError(Effect::None),
                                       Fixture.Now_);
  Fixture.RunningTasks_[Worker][Start.Order_.Task_] = entryOf(Start);
  Fixture.pollWorker(Worker);
  Fixture.advance(Millis{100});
  const Actions WhileItRuns = Fixture.decideAndExecute();
  BOOST_TEST(WhileItRuns.Starts_.empty());
  BOOST_TEST(WhileItRuns.Stops_.size() == 1U);
  Fixture.RunningTasks_[Worker].clear();
  Fixture.pollWorker(Worker);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// The same for a worker that is lost before the run has ended.
BOOST_AUTO_TEST_CASE(TaskDoesNotWaitForARunOnAWorkerThatHasLeft) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  const StartAction Start =
      Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.front();
  Fixture.Dispatcher_.handleStartReply(Start, startError(Effect::None),
                                       Fixture.Now_);
  Fixture.RunningTasks_["w1"][Start.Order_.Task_] = entryOf(Start);
  Fixture.pollWorker("w1");
  Fixture.addWorkers({makeWorker("w2")});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.rejectPoll("w1");
  Fixture.advance(Millis{100});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against leases that last longer than counted: the clock of a worker
// was taken from the reply of its process before.
BOOST_AUTO_TEST_CASE(LateReplyToAnOrderDoesNotSetTheClockOfANewProcess) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  Fixture.advance(Millis{5});
  PollReply Restarted;
  Restarted.Clock_ = Millis{3};
  Restarted.ProcessStart_ = 2;
  Fixture.Dispatcher_.handlePollReply("w1", Restarted, Fixture.Now_,
                                      Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.Dispatcher_.handleStartReply(
      Pass.Starts_.front(),
      OrderReply{OrderOutcome::Done, Fixture.Now_ + Millis{50000}},
      Fixture.Now_);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->WorkerClock_ == Millis{3}));
}

// Guards against a start order that the new process of a worker carries out
// although the process before has confirmed the stop.
BOOST_AUTO_TEST_CASE(LateConfirmationOfAStopDoesNotBindANewProcess) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  startUnanswered(Fixture);
  Fixture.pollWorker("w1");
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Stops_.size() == 1U);
  Fixture.advance(Millis{5});
  Fixture.pollWorker("w1", {}, 2);
  Fixture.advance(Millis{5});
  Fixture.Dispatcher_.handleStopReply(
      Pass.Stops_.front(), OrderReply{OrderOutcome::Done, Fixture.Now_},
      Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against the same with a stop that was repeated since: the late
// confirmation is that of its first copy.
BOOST_AUTO_TEST_CASE(LateConfirmationOfAFirstStopDoesNotBindANewProcess) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  startUnanswered(Fixture);
  Fixture.pollWorker("w1");
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Stops_.size() == 1U);
  Fixture.pollWorker("w1", {}, 2);
  Fixture.advance(Millis{2000});
  const Actions Second = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Second.Stops_.size() == 1U);
  BOOST_TEST(First.Stops_.front().Target_.ProcessStart_ == 1);
  BOOST_TEST(Second.Stops_.front().Target_.ProcessStart_ == 2);
  Fixture.Dispatcher_.handleStopReply(
      First.Stops_.front(), OrderReply{OrderOutcome::Done, Fixture.Now_},
      Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.Dispatcher_.handleStopReply(
      Second.Stops_.front(), OrderReply{OrderOutcome::Done, Fixture.Now_},
      Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a task that waits for a run that no process has got: another
// process answered in place of the one that the order was meant for.
BOOST_AUTO_TEST_CASE(StartMeantForAnotherProcessIsMadeAgain) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      Pass.Starts_.front(), OrderReply{OrderOutcome::Restarted, Millis{}},
      Fixture.Now_);
  Fixture.pollWorker("w1", {}, 2);
  Fixture.advance(Millis{1000});
  const Actions Next = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Next.Starts_.size() == 1U);
  BOOST_TEST(Next.Starts_.front().Target_.ProcessStart_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr int TaskCount = static_cast<int>(MaxListedEnds) + 20;

/// Starts a job whose tasks are more than a worker lists ends at a time.
JobSpec startManyTasks(DispatcherFixture &Fixture) {
  Fixture.addWorkers({makeWorker("w1", 16000)});
  JobSpec Job = makeJob("1", "urgent", {makeStep(TaskCount, 20)});
  Fixture.submit(Job);
  std::size_t Started = 0;
  for (int Pass = 0; Pass < TaskCount && Started < TaskCount; ++Pass)
    Started += Fixture.decideAndExecute().Starts_.size();
  BOOST_TEST_REQUIRE(Started == static_cast<std::size_t>(TaskCount));
  return Job;
}

/// The successful ends of so many tasks of the job from the given one on.
std::vector<EndedTask> endsOf(const JobSpec &Job, int First, int Count) {
  std::vector<EndedTask> Ends;
  for (int Index = First; Index < First + Count; ++Index)
    Ends.push_back(
        EndedTask{Index + 1, taskNameOf(Job, 0, Index), 1, TaskEnd::Done, ""});
  return Ends;
}

/// The reply of a worker that lists the first ends of a job of the leader
/// before, and runs nothing.
PollReply makeIncompleteReply(Millis WrittenAt) {
  PollReply Reply = makeReply(WrittenAt);
  Reply.Ended_ =
      endsOf(makeJob("2", "urgent", {}), 0, static_cast<int>(MaxListedEnds));
  return Reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(IncompleteListsOfEnds)

// Guards against tasks that run twice: they have ended while the store was
// down, and the worker lists only the first of its ends.
BOOST_AUTO_TEST_CASE(TaskWhoseEndIsNotListedDoesNotStartAgain) {
  DispatcherFixture Fixture;
  const JobSpec Job = startManyTasks(Fixture);
  constexpr auto Listed = static_cast<int>(MaxListedEnds);
  Fixture.advance(Millis{5});
  PollReply Reply = makeReply(Fixture.Now_);
  Reply.Ended_ = endsOf(Job, 0, Listed);
  Fixture.Dispatcher_.handlePollReply("w1", Reply, Fixture.Now_, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{5});
  Reply = makeReply(Fixture.Now_);
  Reply.Ended_ = endsOf(Job, Listed, TaskCount - Listed);
  Fixture.Dispatcher_.handlePollReply("w1", Reply, Fixture.Now_, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against a task that is lost without an end and never starts again.
BOOST_AUTO_TEST_CASE(TaskStartsAgainOnceAllEndsAreListed) {
  DispatcherFixture Fixture;
  const JobSpec Job = startManyTasks(Fixture);
  constexpr auto Listed = static_cast<int>(MaxListedEnds);
  Fixture.advance(Millis{5});
  PollReply Reply = makeReply(Fixture.Now_);
  Reply.Ended_ = endsOf(Job, 0, Listed);
  Fixture.Dispatcher_.handlePollReply("w1", Reply, Fixture.Now_, Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.Dispatcher_.handlePollReply("w1", makeReply(Fixture.Now_),
                                      Fixture.Now_, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() ==
             static_cast<std::size_t>(TaskCount - Listed));
}

// Guards against the same after a restart that the leader learns of from such
// a list: the new process may have run and ended a task already.
BOOST_AUTO_TEST_CASE(TaskMayHaveEndedUnlistedInANewProcess) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.advance(Millis{5});
  PollReply Reply = makeIncompleteReply(Fixture.Now_);
  Reply.ProcessStart_ = 2;
  Fixture.Dispatcher_.handlePollReply("w1", Reply, Fixture.Now_, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{5});
  Fixture.RunningTasks_["w1"].clear();
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a new leader that starts tasks which have ended under the
// leader before.
BOOST_AUTO_TEST_CASE(RestoredTaskWaitsForTheWholeListOfEnds) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.restoreJob(makeJob("1", "urgent", {makeStep(1, 1000)}),
                                 JobProgress{}, Fixture.Now_);
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1"));
  Fixture.Dispatcher_.finishRestore();
  Fixture.Dispatcher_.setWorkers({makeWorker("w1")}, Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.Dispatcher_.handlePollReply("w1", makeIncompleteReply(Fixture.Now_),
                                      Fixture.Now_, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{5});
  Fixture.Dispatcher_.handlePollReply("w1", makeReply(Fixture.Now_),
                                      Fixture.Now_, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against the next leader: without an open or closed row it would not
// wait for the worker.
BOOST_AUTO_TEST_CASE(RowOfAWorkerWithUnseenEndsNamesNoKnownRuns) {
  DispatcherFixture Fixture(2);
  WorkerInfo Draining = makeWorker("w1");
  Draining.Draining_ = true;
  Fixture.Dispatcher_.restoreWorker(Draining);
  Fixture.Dispatcher_.finishRestore();
  Fixture.Dispatcher_.setWorkers({Draining}, Fixture.Now_);
  Fixture.advance(Millis{5});
  Fixture.Dispatcher_.handlePollReply("w1", makeIncompleteReply(Fixture.Now_),
                                      Fixture.Now_, Fixture.Now_);
  Fixture.Dispatcher_.closeLeaseRows(Millis{}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.takeWorkersToClose().empty());
  Fixture.Dispatcher_.handlePollFailure("w1", startError(Effect::Unknown),
                                        Fixture.Now_);
  Fixture.Dispatcher_.closeLeaseRows(Millis{}, Fixture.Now_);
  const auto Closing = Fixture.Dispatcher_.leaseClosing("w1");
  BOOST_TEST_REQUIRE(Closing.has_value());
  BOOST_TEST_REQUIRE(Closing->Leases_.has_value());
  BOOST_TEST(!Closing->Leases_->RunsKnown_);
}

BOOST_AUTO_TEST_SUITE_END()
