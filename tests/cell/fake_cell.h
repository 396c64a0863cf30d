#ifndef DAMASKGLADE_TESTS_CELL_FAKE_CELL_H
#define DAMASKGLADE_TESTS_CELL_FAKE_CELL_H

#include "cell/gateway.h"
#include "cell/member.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::fakes {

/// Event loop in virtual time. Tasks of the same moment run in order.
class FakeLoop : public TimerService, public Clock {
public:
  void after(Millis Delay, std::function<void()> Task) override {
    Tasks_.emplace(std::make_pair(Now_ + Delay, ++Number_), std::move(Task));
  }
  Millis monotonic() const override { return Now_; }
  Millis wall() const override { return Now_; }
  void run(Millis Time);
  /// Runs until the condition holds. False if it does not within the time.
  bool runUntil(Millis Time, const std::function<bool()> &Done);

private:
  Millis Now_{100000};
  std::uint64_t Number_ = 0;
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> Tasks_;
};

enum class StoreMode {
  Good,
  Refuses,     ///< Nothing is done, and the reply says so.
  Silent,      ///< Nothing is done, and no reply comes.
  LosesAnswers ///< Writes are done and not answered.
};

/// Rows with versions, shared by all nodes; how it treats a node is set for
/// each of them.
struct FakeRows {
  std::map<RowName, StoredRow> Rows_;
  std::int64_t Version_ = 0;
  std::map<std::string, StoreMode> Modes_;
  int Writes_ = 0;
  Millis Delay_{5};  ///< Of all answers.
  int MostRows_ = 0; ///< Larger pages do not arrive in time; zero: all do.
  std::set<std::string> NeverReads_; ///< Nodes whose links are too slow.

  TransactionOutcome apply(const RowTransaction &Change);
};

class FakeStore : public RowStore {
public:
  FakeStore(FakeLoop &Loop, FakeRows &Rows, std::string Node)
      : Loop_(Loop), Rows_(Rows), Node_(std::move(Node)) {}
  void transact(const RowTransaction &Change,
                std::function<void(Result<TransactionOutcome>)> Done) override;
  void read(const RowRange &Range,
            std::function<void(Result<RowPage>)> Done) override;
  void follow(const std::string &, std::int64_t, Millis,
              std::function<void(Result<RowPage>)>) override {}

private:
  FakeLoop &Loop_;
  FakeRows &Rows_;
  const std::string Node_;
};

/// A worker that keeps fences, leases, attempts and ends as the real ones do.
struct FakeWorkerState {
  dispatch::WorkerInfo Info_;
  std::int64_t Fence_ = 0;
  std::int64_t Born_ = 1;
  Millis LeaseEnd_{};
  bool Up_ = true;
  bool LosesStarts_ = false; ///< Starts are carried out, the answer is lost.
  std::map<std::string, std::int64_t> Running_;
  std::map<std::string, std::int64_t> Highest_; ///< Attempts stopped or ended.
  std::vector<EndedTask> Ended_;
  std::int64_t LastEnd_ = 0;
};

/// What happened on all workers, for the checks.
struct FakeFleet {
  std::map<std::string, FakeWorkerState> Workers_;
  std::map<std::string, int> Starts_;     ///< By task.
  std::vector<std::string> DoubleRuns_;   ///< Tasks that ran twice at once.
  std::set<std::string> NotedDone_;       ///< Ends that were acknowledged.
  std::vector<std::string> RunAfterDone_; ///< Started after such an end.

  bool runs(const std::string &Task) const;
};

class FakeTaskWorkers : public TaskWorkers {
public:
  FakeTaskWorkers(FakeLoop &Loop, FakeFleet &Fleet,
                  std::function<bool(const std::string &)> Reaches)
      : Loop_(Loop), Fleet_(Fleet), Reaches_(std::move(Reaches)) {}
  void start(const WorkerTarget &Worker, const StartOrder &Order,
             OrderHandler Done) override;
  void stop(const WorkerTarget &Worker, const std::string &Task,
            std::int64_t Attempt, OrderHandler Done) override;
  void pace(const WorkerTarget &, const std::string &, std::int64_t, int,
            OrderHandler Done) override {
    Done(OrderReply{});
  }
  void look(const WorkerTarget &Worker, const LookOrder &Order,
            std::function<void(Result<LookReply>)> Done) override;

private:
  FakeWorkerState *reach(const WorkerTarget &Worker);
  void end(FakeWorkerState &Where, const std::string &Task, TaskEnd How);
  void answerLook(const std::string &Id, Millis Until,
                  const std::function<void(Result<LookReply>)> &Done);

  FakeLoop &Loop_;
  FakeFleet &Fleet_;
  const std::function<bool(const std::string &)> Reaches_;
};

/// Nodes of a cell with a shared store and fleet. Each can be killed, paused
/// from its peers, or cut off from workers and store.
class FakeCell {
public:
  FakeCell(int Nodes, int Workers);
  ~FakeCell();

  void startNode(const std::string &Name);
  void killNode(const std::string &Name);
  /// The node reaches nothing, and nothing reaches it.
  void cutNode(const std::string &Name, bool Cut);
  /// Name of the only active leader, or empty.
  std::string leader() const;
  std::vector<std::string> leaders() const;
  cell::Member &member(const std::string &Name);

  /// A caller's request at a node; the answer arrives in the pointed result.
  std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
  call(const std::string &Node, const cell::CallerRequest &Request);
  std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
  submit(const std::string &Node, const std::string &Id, int Tasks,
         Millis Length);
  /// State of a job, asked at a node; runs the loop until the answer is there.
  std::optional<dispatch::JobState> state(const std::string &Node,
                                          const std::string &Id);

  FakeLoop Loop_;
  FakeRows Rows_;
  FakeFleet Fleet_;

private:
  struct Node;
  class PeerHttp;
  std::map<std::string, std::unique_ptr<Node>> Nodes_;
  std::vector<std::unique_ptr<Node>> Dead_;
  std::set<std::string> Cut_;
};

/// A job id with 16 digits.
std::string jobId(int Number);

} // namespace damaskglade::fakes

#endif
