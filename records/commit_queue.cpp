#include "records/commit_queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damaskglade::records {

namespace {

// The table protocol limits a transaction to 4 MB in total; the difference is
// headroom for keys and encoding.
constexpr std::size_t MaxGroupBytes = std::size_t{3} * 1024 * 1024;
// Consecutive failures after which, on a conflict without a known cause, a
// group is split into single changes and a single change is failed.
constexpr int MaxFailuresOnConflict = 3;
// Upper bound of one wait on a condition, so that a clock that a test advances
// is noticed.
constexpr Millis IdleWait{100};
// Longest wait for the write budget before the transaction is checked again for
// callers that have given up.
constexpr Millis BudgetWait{1000};
constexpr const char *CommitStep = "commit job row";

Error tableUnavailable(Effect ChangeEffect, const std::string &Message) {
  return Error{Reason::TableUnavailable,
               ChangeEffect,
               CommitStep,
               "table",
               Message,
               Millis{1000}};
}

std::size_t sizeInBytes(const RowChange &Change) {
  std::size_t Bytes = 0;
  for (const TableWrite &Write : Change.Writes_)
    Bytes += Write.Body_.size() + Write.Key_.Id_.size();
  return Bytes;
}

} // namespace

// Wakes the caller when all its changes are decided.
struct CommitQueue::Waiter {
  Condition Decided_;
  std::size_t UndecidedCount_ = 0;
};

struct CommitQueue::Pending {
  RowChange Change_;
  std::shared_ptr<Waiter> Waiter_;
  std::optional<Status> Outcome_;
  bool Abandoned_ = false; ///< The caller has given up at its deadline.
  bool InCall_ = false;    ///< Being sent, or sent with success.
  bool Uncertain_ = false; ///< Sent in a call whose effect is unknown.
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
    WorkAvailable_.notifyAll();
  }
  Thread_.join();
}

std::vector<Status> CommitQueue::commit(std::vector<RowChange> Changes,
                                        Millis Deadline) {
  std::vector<Status> Outcomes;
  Group Members;
  const auto CallWaiter = std::make_shared<Waiter>();
  const MutexLock Lock(Mutex_);
  for (RowChange &Change : Changes) {
    auto Member = std::make_shared<Pending>();
    Member->Change_ = std::move(Change);
    Member->Waiter_ = CallWaiter;
    if (Stopping_ || !Running_)
      Member->Outcome_ = Error{Reason::ShuttingDown, Effect::None, CommitStep,
                               "", "the job store is not running"};
    else if (Pending_.size() >= Options_.MaxPending_)
      Member->Outcome_ =
          tableUnavailable(Effect::None, "the commit queue is full");
    else
      Pending_.push_back(Member);
    CallWaiter->UndecidedCount_ += Member->Outcome_ ? 0 : 1;
    Members.push_back(std::move(Member));
  }
  Metrics_.gauge("record_pending", static_cast<double>(Pending_.size()));
  WorkAvailable_.notifyOne();
  while (CallWaiter->UndecidedCount_ > 0) {
    const Millis TimeLeft = Deadline - Time_.monotonic();
    if (TimeLeft <= Millis{})
      break;
    CallWaiter->Decided_.waitFor(Mutex_, std::min(TimeLeft, IdleWait));
  }
  for (const auto &Member : Members) {
    if (Member->Outcome_) {
      Outcomes.push_back(*Member->Outcome_);
      continue;
    }
    Member->Abandoned_ = true;
    const bool MayBeApplied = Member->InCall_ || Member->Uncertain_;
    Outcomes.emplace_back(
        tableUnavailable(MayBeApplied ? Effect::Unknown : Effect::None,
                         "the change was not committed before the deadline"));
  }
  // Frees the queue slots at once, even if the commit thread is blocked.
  if (CallWaiter->UndecidedCount_ > 0)
    dropAbandoned();
  return Outcomes;
}

void CommitQueue::dropAbandoned() {
  std::erase_if(Pending_,
                [](const auto &Member) { return Member->Abandoned_; });
}

void CommitQueue::run() {
  while (waitForWork()) {
    // The group is formed only after the wait for the write budget, so that it
    // contains all changes that have arrived by then.
    const bool HasWriteBudget =
        Budget_.waitForWrite(Time_.monotonic() + BudgetWait);
    commitGroup(takeGroup(), HasWriteBudget);
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
    WorkAvailable_.waitFor(Mutex_, IdleWait);
  }
}

CommitQueue::Group CommitQueue::takeGroup() {
  const MutexLock Lock(Mutex_);
  Group Members;
  std::set<std::string> Jobs;
  std::size_t Items = 0;
  std::size_t Bytes = 0;
  std::deque<std::shared_ptr<Pending>> Remaining;
  for (auto &Member : Pending_) {
    const RowChange &Change = Member->Change_;
    const bool Fits =
        Items + Change.Writes_.size() <= MaxTransactionWrites &&
        (Members.empty() || Bytes + sizeInBytes(Change) <= MaxGroupBytes);
    // A transaction may contain a row only once; a later change of the same job
    // is left for the next group.
    if (!Jobs.insert(Change.NewRecord_.Id_).second || !Fits) {
      Remaining.push_back(std::move(Member));
      continue;
    }
    Items += Change.Writes_.size();
    Bytes += sizeInBytes(Change);
    Members.push_back(std::move(Member));
  }
  Pending_ = std::move(Remaining);
  Metrics_.gauge("record_pending", static_cast<double>(Pending_.size()));
  return Members;
}

void CommitQueue::commitGroup(Group Members, bool HasWriteBudget) {
  Transaction Txn{std::move(Members), newToken(), 0, false, HasWriteBudget};
  while (prepareCall(Txn)) {
    const Status Outcome = sendTransaction(Txn);
    if (Outcome) {
      Metrics_.count("record_transactions");
      Metrics_.count("record_rows_written",
                     static_cast<double>(Txn.Members_.size()));
      finishAll(Txn, success());
      return;
    }
    handleFailure(Txn, Outcome.error());
    if (!Txn.Isolate_)
      continue;
    for (auto &Member : Txn.Members_)
      commitGroup({std::move(Member)}, false);
    return;
  }
}

// Drops members whose callers have given up and marks the others as being sent
// if there is write budget. Both happen under one lock, so that a caller that
// gives up knows whether its change may be applied. Returns false if no member
// is left.
bool CommitQueue::prepareCall(Transaction &Txn) {
  if (Txn.Members_.empty())
    return false;
  const bool HasWriteBudget =
      std::exchange(Txn.HasWriteBudget_, false) ||
      Budget_.waitForWrite(Time_.monotonic() + BudgetWait);
  const MutexLock Lock(Mutex_);
  const auto Dropped = std::erase_if(
      Txn.Members_, [](const auto &Member) { return Member->Abandoned_; });
  if (Dropped > 0)
    Txn.Token_ = newToken();
  for (const auto &Member : Txn.Members_)
    Member->InCall_ = HasWriteBudget;
  return !Txn.Members_.empty();
}

Status CommitQueue::sendTransaction(const Transaction &Txn) {
  if (!Txn.Members_.front()->InCall_)
    return tableUnavailable(Effect::None, "the write budget is exhausted");
  std::vector<TableWrite> Writes;
  for (const auto &Member : Txn.Members_)
    Writes.insert(Writes.end(), Member->Change_.Writes_.begin(),
                  Member->Change_.Writes_.end());
  Status Outcome = Table_.commit(Writes, Txn.Token_, Options_.CallTimeout_);
  const bool EffectUnknown =
      !Outcome && Outcome.error().Effect_ == Effect::Unknown;
  const MutexLock Lock(Mutex_);
  for (const auto &Member : Txn.Members_) {
    // A caller that gives up between a success and finish() must not be told
    // that nothing was applied.
    Member->InCall_ = Outcome.has_value();
    Member->Uncertain_ = Member->Uncertain_ || EffectUnknown;
  }
  return Outcome;
}

void CommitQueue::handleFailure(Transaction &Txn, const Error &Failure) {
  ++Txn.Failures_;
  Metrics_.countRetry(Failure.Reason_);
  if (Failure.Reason_ == Reason::TableConflict)
    return handleConflict(Txn);
  if (Failure.Effect_ == Effect::Unknown) {
    // A call that has not been applied is repeated under the same token.
    waitBeforeRetry(Txn.Failures_);
    readBack(Txn);
    return;
  }
  if (isTransient(Failure.Reason_))
    return waitBeforeRetry(Txn.Failures_);
  if (Txn.Members_.size() > 1)
    Txn.Isolate_ = true;
  else
    finishAll(Txn, Failure);
}

// Reads the job rows back and decides members by the write ids found in them.
// Stops reading at the first failed read. Returns true if at least one member
// was decided.
bool CommitQueue::readBack(Transaction &Txn) {
  Group Undecided;
  bool ReadFailed = false;
  for (auto &Member : Txn.Members_) {
    if (ReadFailed) {
      Undecided.push_back(std::move(Member));
      continue;
    }
    const auto Row = Rows_.readJob(Member->Change_.NewRecord_.Id_,
                                   Time_.monotonic() + Options_.CallTimeout_);
    Metrics_.count("record_read_backs");
    const WriteOutcome Outcome =
        Row ? determineOutcome(Member->Change_, Row.value())
            : WriteOutcome::NotYetApplied;
    if (Outcome == WriteOutcome::Applied) {
      finish(*Member, success());
    } else if (Outcome == WriteOutcome::NotYetApplied) {
      ReadFailed = !Row;
      Undecided.push_back(std::move(Member));
    } else {
      Metrics_.count("record_conflicts");
      const Effect ChangeEffect =
          Outcome == WriteOutcome::Conflict ? Effect::None : Effect::Unknown;
      finish(*Member, Error{Reason::TableConflict, ChangeEffect, CommitStep,
                            Member->Change_.NewRecord_.Id_,
                            "the row was changed by another writer"});
    }
  }
  const bool Progress = Undecided.size() < Txn.Members_.size();
  Txn.Members_ = std::move(Undecided);
  if (Progress) {
    Txn.Token_ = newToken();
    Txn.Failures_ = 0;
  }
  return Progress;
}

void CommitQueue::handleConflict(Transaction &Txn) {
  if (readBack(Txn))
    return;
  // The job rows are as expected, so either an index row is not, or another
  // transaction on the same rows is in progress.
  bool Repaired = false;
  for (const auto &Member : Txn.Members_)
    Repaired = repairIndex(*Member) || Repaired;
  if (Repaired) {
    Metrics_.count("record_index_repairs");
    Txn.Token_ = newToken();
    return;
  }
  waitBeforeRetry(Txn.Failures_);
  if (Txn.Failures_ >= MaxFailuresOnConflict) {
    if (Txn.Members_.size() > 1) {
      Txn.Isolate_ = true;
      return;
    }
    const Effect ChangeEffect =
        Txn.Members_.front()->Uncertain_ ? Effect::Unknown : Effect::None;
    return finishAll(
        Txn, tableUnavailable(
                 ChangeEffect,
                 "repeated conflicts with other transactions on the row"));
  }
  // The table may have stored the conflict as the result for the old token.
  Txn.Token_ = newToken();
}

// Adapts the index writes of a change to the index rows in the table. The store
// changes an index row only together with its job row, so this handles index
// rows that were changed manually. Returns true if a write was adapted.
bool CommitQueue::repairIndex(Pending &Member) {
  bool Repaired = false;
  auto &Writes = Member.Change_.Writes_;
  for (auto Write = Writes.begin() + 1; Write != Writes.end();) {
    const auto IndexRow =
        Rows_.readRow(Write->Key_, Time_.monotonic() + Options_.CallTimeout_);
    const std::int64_t Version =
        IndexRow && IndexRow.value() ? IndexRow.value()->Version_ : 0;
    if (!IndexRow || Version == Write->ExpectedVersion_) {
      ++Write;
      continue;
    }
    Repaired = true;
    // The row to be created exists already, or the row to be removed is gone.
    const bool Unnecessary = !Write->Remove_ || Version == 0;
    Write->ExpectedVersion_ = Version;
    Write = Unnecessary ? Writes.erase(Write) : Write + 1;
  }
  return Repaired;
}

void CommitQueue::finish(Pending &Member, const Status &Outcome) {
  const MutexLock Lock(Mutex_);
  Member.Outcome_ = Outcome;
  if (Member.Abandoned_)
    return;
  if (--Member.Waiter_->UndecidedCount_ == 0)
    Member.Waiter_->Decided_.notifyAll();
}

void CommitQueue::finishAll(Transaction &Txn, const Status &Outcome) {
  for (const auto &Member : Txn.Members_)
    finish(*Member, Outcome);
  Txn.Members_.clear();
}

void CommitQueue::waitBeforeRetry(int Failures) {
  sleepFor(retryDelay(Options_.RetryDelay_, Failures, Random_));
}

std::string CommitQueue::newToken() {
  // The protocol limits a token to 36 characters.
  return digestOf(Options_.Writer_) + "-" + std::to_string(++TokenCount_);
}

} // namespace damaskglade::records
