#include "records/commit_queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damaskglade::records {

namespace {

// The table protocol bounds a transaction at 4 MB in all; the rest is left for
// keys and encoding.
constexpr std::size_t MaxGroupBytes = std::size_t{3} * 1024 * 1024;
// Fruitless conflicts after which the changes of a group are sent one by one.
constexpr int MaxFruitless = 3;
// Upper bound of a wait for work, so that a clock set by hand is noticed.
constexpr Millis IdleWait{100};
// Wait for the write budget before it is looked at again which callers are
// left.
constexpr Millis BudgetWait{1000};
constexpr const char *Step = "commit job row";

Error unavailable(Effect Happened, const std::string &Message) {
  return Error{
      Reason::TableUnavailable, Happened, Step, "table", Message, Millis{1000}};
}

std::size_t bytesOf(const RowChange &Change) {
  std::size_t Bytes = 0;
  for (const TableWrite &Write : Change.Writes_)
    Bytes += Write.Body_.size() + Write.Key_.Id_.size();
  return Bytes;
}

} // namespace

// Wakes the caller whose changes are decided.
struct CommitQueue::Waiter {
  Condition Decided_;
  std::size_t Open_ = 0;
};

struct CommitQueue::Pending {
  RowChange Change_;
  std::shared_ptr<Waiter> Waiter_;
  std::optional<Status> Outcome_;
  bool Abandoned_ = false; ///< The caller has been answered at its deadline.
  bool InCall_ = false;    ///< Part of a call that has not returned.
  bool Uncertain_ = false; ///< Part of a call whose effect is unknown.
};

CommitQueue::CommitQueue(CommitOptions Options, TableStore &Table,
                         TableBudget &Budget, RowReader &Rows,
                         const Clock &Time, MetricsSink &Metrics)
    : Options_(std::move(Options)), Table_(Table), Budget_(Budget), Rows_(Rows),
      Time_(Time), Metrics_(Metrics), Random_(std::random_device{}()) {}

CommitQueue::~CommitQueue() { stop(); }

void CommitQueue::start() {
  const MutexLock Lock(Mutex_);
  if (Running_ || Stopping_)
    return;
  Running_ = true;
  Thread_ = Thread([this] { run(); });
}

void CommitQueue::stop() {
  {
    const MutexLock Lock(Mutex_);
    Stopping_ = true;
    Work_.notifyAll();
  }
  Thread_.join();
}

std::vector<Status> CommitQueue::commit(std::vector<RowChange> Changes,
                                        Millis Deadline) {
  std::vector<Status> Outcomes;
  Group Members;
  const auto Shared = std::make_shared<Waiter>();
  const MutexLock Lock(Mutex_);
  for (RowChange &Change : Changes) {
    auto Member = std::make_shared<Pending>();
    Member->Change_ = std::move(Change);
    Member->Waiter_ = Shared;
    if (Stopping_ || !Running_)
      Member->Outcome_ = Error{Reason::ShuttingDown, Effect::None, Step, "",
                               "the job store is not running"};
    else if (Pending_.size() >= Options_.MaxPending_)
      Member->Outcome_ =
          unavailable(Effect::None, "too many changes wait for the table");
    else
      Pending_.push_back(Member);
    Shared->Open_ += Member->Outcome_ ? 0 : 1;
    Members.push_back(std::move(Member));
  }
  Metrics_.gauge("record_pending", static_cast<double>(Pending_.size()));
  Work_.notifyOne();
  while (Shared->Open_ > 0) {
    const Millis Left = Deadline - Time_.monotonic();
    if (Left <= Millis{})
      break;
    Shared->Decided_.waitFor(Mutex_, std::min(Left, IdleWait));
  }
  for (const auto &Member : Members) {
    if (Member->Outcome_) {
      Outcomes.push_back(*Member->Outcome_);
      continue;
    }
    Member->Abandoned_ = true;
    const bool MayHappen = Member->InCall_ || Member->Uncertain_;
    Outcomes.emplace_back(
        unavailable(MayHappen ? Effect::Unknown : Effect::None,
                    "the table did not answer before the deadline"));
  }
  // The places in the queue are free at once, whatever the commit thread is
  // waiting for.
  if (Shared->Open_ > 0)
    dropAbandoned();
  return Outcomes;
}

void CommitQueue::dropAbandoned() {
  std::erase_if(Pending_, [](const auto &Each) { return Each->Abandoned_; });
}

void CommitQueue::run() {
  while (waitForWork()) {
    // The group is formed once it may be sent, so that it holds all changes
    // that have arrived by then.
    const bool Granted = Budget_.waitForWrite(Time_.monotonic() + BudgetWait);
    commitGroup(takeGroup(), Granted);
  }
}

// Returns false if the queue has been stopped and is empty.
bool CommitQueue::waitForWork() {
  const MutexLock Lock(Mutex_);
  while (true) {
    if (!Pending_.empty())
      return true;
    if (Stopping_)
      return false;
    Work_.waitFor(Mutex_, IdleWait);
  }
}

CommitQueue::Group CommitQueue::takeGroup() {
  const MutexLock Lock(Mutex_);
  Group Members;
  std::set<std::string> Jobs;
  std::size_t Items = 0;
  std::size_t Bytes = 0;
  std::deque<std::shared_ptr<Pending>> Rest;
  for (auto &Each : Pending_) {
    const RowChange &Change = Each->Change_;
    const bool Fits =
        Items + Change.Writes_.size() <= MaxTransactionWrites &&
        (Members.empty() || Bytes + bytesOf(Change) <= MaxGroupBytes);
    // A transaction names a row only once; a later change of the same job
    // waits for the next group.
    if (!Jobs.insert(Change.After_.Id_).second || !Fits) {
      Rest.push_back(std::move(Each));
      continue;
    }
    Items += Change.Writes_.size();
    Bytes += bytesOf(Change);
    Members.push_back(std::move(Each));
  }
  Pending_ = std::move(Rest);
  Metrics_.gauge("record_pending", static_cast<double>(Pending_.size()));
  return Members;
}

void CommitQueue::commitGroup(Group Members, bool Granted) {
  Transaction Work{std::move(Members), newToken(), 0, false, Granted};
  while (beginCall(Work)) {
    const Status Outcome = call(Work);
    if (Outcome) {
      Metrics_.count("record_transactions");
      Metrics_.count("record_rows_written",
                     static_cast<double>(Work.Members_.size()));
      finishAll(Work, success());
      return;
    }
    handleFailure(Work, Outcome.error());
    if (!Work.Isolate_)
      continue;
    for (auto &Each : Work.Members_)
      commitGroup({std::move(Each)}, false);
    return;
  }
}

// Drops members whose callers have gone and marks the others as being sent;
// both under one lock, so that a caller that leaves knows whether its change
// may happen.
bool CommitQueue::beginCall(Transaction &Work) {
  if (Work.Members_.empty())
    return false;
  const bool Granted = std::exchange(Work.Granted_, false) ||
                       Budget_.waitForWrite(Time_.monotonic() + BudgetWait);
  const MutexLock Lock(Mutex_);
  const auto Gone = std::erase_if(
      Work.Members_, [](const auto &Each) { return Each->Abandoned_; });
  if (Gone > 0)
    Work.Token_ = newToken();
  for (const auto &Each : Work.Members_)
    Each->InCall_ = Granted;
  return !Work.Members_.empty();
}

Status CommitQueue::call(const Transaction &Work) {
  if (!Work.Members_.front()->InCall_)
    return unavailable(Effect::None, "the write budget is used up");
  std::vector<TableWrite> Writes;
  for (const auto &Each : Work.Members_)
    Writes.insert(Writes.end(), Each->Change_.Writes_.begin(),
                  Each->Change_.Writes_.end());
  Status Outcome = Table_.commit(Writes, Work.Token_, Options_.CallTimeout_);
  const bool Unknown = !Outcome && Outcome.error().Effect_ == Effect::Unknown;
  const MutexLock Lock(Mutex_);
  for (const auto &Each : Work.Members_) {
    Each->InCall_ = false;
    Each->Uncertain_ = Each->Uncertain_ || Unknown;
  }
  return Outcome;
}

void CommitQueue::handleFailure(Transaction &Work, const Error &Failure) {
  ++Work.Failures_;
  Metrics_.countRetry(Failure.Reason_);
  if (Failure.Reason_ == Reason::TableConflict)
    return handleConflict(Work);
  if (Failure.Effect_ == Effect::Unknown) {
    // The rows of a transaction change together, so the first tells whether
    // it is worth reading the others. A call that has not arrived is repeated
    // under the same token.
    waitBeforeRetry(Work.Failures_);
    readBack(Work);
    return;
  }
  if (isTransient(Failure.Reason_))
    return waitBeforeRetry(Work.Failures_);
  if (Work.Members_.size() > 1)
    Work.Isolate_ = true;
  else
    finishAll(Work, Failure);
}

// Decides members by the writer and sequence that their rows carry. Returns
// true if at least one was decided.
bool CommitQueue::readBack(Transaction &Work) {
  Group Open;
  bool Stop = false;
  for (auto &Each : Work.Members_) {
    if (Stop) {
      Open.push_back(std::move(Each));
      continue;
    }
    const auto Found = Rows_.readJob(Each->Change_.After_.Id_,
                                     Time_.monotonic() + Options_.CallTimeout_);
    Metrics_.count("record_read_backs");
    const WriteOutcome Outcome =
        Found ? decideOutcome(Each->Change_, Found.value())
              : WriteOutcome::NotYet;
    if (Outcome == WriteOutcome::Applied) {
      finish(*Each, success());
    } else if (Outcome == WriteOutcome::NotYet) {
      Stop = !Found;
      Open.push_back(std::move(Each));
    } else {
      Metrics_.count("record_conflicts");
      const Effect Happened =
          Outcome == WriteOutcome::Conflict ? Effect::None : Effect::Unknown;
      finish(*Each, Error{Reason::TableConflict, Happened, Step,
                          Each->Change_.After_.Id_, "the row has moved on"});
    }
  }
  const bool Progress = Open.size() < Work.Members_.size();
  Work.Members_ = std::move(Open);
  if (Progress) {
    Work.Token_ = newToken();
    Work.Failures_ = 0;
  }
  return Progress;
}

void CommitQueue::handleConflict(Transaction &Work) {
  if (readBack(Work))
    return;
  // The job rows are as expected, so the index rows are not, or the table is
  // busy with another transaction on the same rows.
  bool Repaired = false;
  for (const auto &Each : Work.Members_)
    Repaired = repairIndex(*Each) || Repaired;
  if (Repaired) {
    Metrics_.count("record_index_repairs");
    Work.Token_ = newToken();
    return;
  }
  waitBeforeRetry(Work.Failures_);
  if (Work.Failures_ >= MaxFruitless) {
    if (Work.Members_.size() > 1) {
      Work.Isolate_ = true;
      return;
    }
    const Effect Happened =
        Work.Members_.front()->Uncertain_ ? Effect::Unknown : Effect::None;
    return finishAll(Work,
                     unavailable(Happened, "other transactions hold the row"));
  }
  // The table may remember the conflict under the old token.
  Work.Token_ = newToken();
}

// Adapts the index writes of a change to the index rows found. The index is
// changed only together with the job row, so this is for rows that were
// damaged by hand. Returns true if something was adapted.
bool CommitQueue::repairIndex(Pending &Member) {
  bool Repaired = false;
  auto &Writes = Member.Change_.Writes_;
  for (auto Write = Writes.begin() + 1; Write != Writes.end();) {
    const auto Found =
        Rows_.readRow(Write->Key_, Time_.monotonic() + Options_.CallTimeout_);
    const std::int64_t Version =
        Found && Found.value() ? Found.value()->Version_ : 0;
    if (!Found || Version == Write->ExpectedVersion_) {
      ++Write;
      continue;
    }
    Repaired = true;
    // A row that is to be created is there, or one to be removed is gone.
    const bool Needless = !Write->Remove_ || Version == 0;
    Write->ExpectedVersion_ = Version;
    Write = Needless ? Writes.erase(Write) : Write + 1;
  }
  return Repaired;
}

void CommitQueue::finish(Pending &Member, const Status &Outcome) {
  const MutexLock Lock(Mutex_);
  Member.Outcome_ = Outcome;
  if (Member.Abandoned_)
    return;
  if (--Member.Waiter_->Open_ == 0)
    Member.Waiter_->Decided_.notifyAll();
}

void CommitQueue::finishAll(Transaction &Work, const Status &Outcome) {
  for (const auto &Each : Work.Members_)
    finish(*Each, Outcome);
  Work.Members_.clear();
}

void CommitQueue::waitBeforeRetry(int Failures) {
  sleepFor(retryDelay(Options_.RetryDelay_, Failures, Random_));
}

std::string CommitQueue::newToken() {
  // The protocol bounds a token at 36 characters.
  return digestOf(Options_.Writer_) + "-" + std::to_string(++Tokens_);
}

} // namespace damaskglade::records
