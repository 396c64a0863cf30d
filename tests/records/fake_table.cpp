#include "tests/records/fake_table.h"

namespace damaskglade::records {

namespace {

Error injectedError(Effect FailedEffect) {
  return Error{Reason::TableUnavailable, FailedEffect, "commit", "fake",
               "fault"};
}

} // namespace

Result<std::optional<TableRow>> FakeTable::read(const TableKey &Key, Millis) {
  const MutexLock Lock(Mutex_);
  ++Reads_;
  if (Down_)
    return injectedError(Effect::None);
  const auto Entry = Rows_.find(Key);
  if (Entry == Rows_.end())
    return std::optional<TableRow>();
  return std::optional<TableRow>(Entry->second);
}

Result<std::vector<TableRow>> FakeTable::list(const std::string &Kind,
                                              const std::string &Prefix,
                                              const std::string &StartAfter,
                                              std::size_t Limit, Millis) {
  const MutexLock Lock(Mutex_);
  ++Reads_;
  if (Down_)
    return injectedError(Effect::None);
  std::vector<TableRow> Matches;
  for (const auto &[Key, Row] : Rows_)
    if (Key.Kind_ == Kind && Key.Id_.starts_with(Prefix) &&
        Key.Id_ > StartAfter && Matches.size() < Limit)
      Matches.push_back(Row);
  return Matches;
}

Status FakeTable::commit(const std::vector<TableWrite> &Writes,
                         const std::string &Token, Millis) {
  Fault Injected = Fault::None;
  Millis Delay;
  {
    const MutexLock Lock(Mutex_);
    ++Commits_;
    LargestCommit_ = std::max(LargestCommit_, Writes.size());
    deliverDueWrites();
    if (!Faults_.empty()) {
      Injected = Faults_.front();
      Faults_.pop_front();
    }
    if (Down_)
      Injected = Fault::Dropped;
    Delay = Down_ ? DownAfter_ : Millis{Injected == Fault::Slow ? 5 : 0};
  }
  sleepFor(Delay);
  const MutexLock Lock(Mutex_);
  switch (Injected) {
  case Fault::Refused:
    return injectedError(Effect::None);
  case Fault::Dropped:
    return injectedError(Effect::Unknown);
  case Fault::AnswerLost:
    static_cast<void>(apply(Writes, Token));
    return injectedError(Effect::Unknown);
  case Fault::Late:
    Late_.push_back({Writes, Token, 2});
    return injectedError(Effect::Unknown);
  default:
    return apply(Writes, Token);
  }
}

Status FakeTable::apply(const std::vector<TableWrite> &Writes,
                        const std::string &Token) {
  if (Tokens_.contains(Token))
    return success();
  std::set<TableKey> SeenKeys;
  for (const TableWrite &Write : Writes) {
    const auto Entry = Rows_.find(Write.Key_);
    const std::int64_t Version =
        Entry == Rows_.end() ? 0 : Entry->second.Version_;
    // The protocol refuses a transaction that contains a row twice, or too many
    // writes.
    if (!SeenKeys.insert(Write.Key_).second ||
        Writes.size() > MaxTransactionWrites)
      return Error{Reason::Internal, Effect::None, "commit", "fake",
                   "malformed transaction"};
    if (Version != Write.ExpectedVersion_)
      return Error{Reason::TableConflict, Effect::None, "commit", "fake",
                   Write.Key_.Kind_ + " " + Write.Key_.Id_};
  }
  Tokens_.insert(Token);
  for (const TableWrite &Write : Writes) {
    if (Write.Remove_) {
      Rows_.erase(Write.Key_);
      continue;
    }
    Rows_[Write.Key_] = {Write.Key_, Write.ExpectedVersion_ + 1, Write.Body_};
    History_[Write.Key_].push_back(Write.Body_);
  }
  return success();
}

void FakeTable::deliverDueWrites() {
  for (std::size_t Remaining = Late_.size(); Remaining > 0; --Remaining) {
    LateCommit Call = std::move(Late_.front());
    Late_.pop_front();
    if (--Call.CommitsLeft_ > 0)
      Late_.push_back(std::move(Call));
    else
      static_cast<void>(apply(Call.Writes_, Call.Token_));
  }
}

void FakeTable::plan(const std::vector<Fault> &Faults) {
  const MutexLock Lock(Mutex_);
  Faults_.assign(Faults.begin(), Faults.end());
}

void FakeTable::setOutage(bool Down, Millis After) {
  const MutexLock Lock(Mutex_);
  Down_ = Down;
  DownAfter_ = After;
}

void FakeTable::deliverLate() {
  const MutexLock Lock(Mutex_);
  for (const LateCommit &Call : Late_)
    static_cast<void>(apply(Call.Writes_, Call.Token_));
  Late_.clear();
}

std::map<TableKey, std::vector<std::string>> FakeTable::history() {
  const MutexLock Lock(Mutex_);
  return History_;
}

std::map<TableKey, TableRow> FakeTable::rows() {
  const MutexLock Lock(Mutex_);
  return Rows_;
}

void FakeTable::overwrite(const TableRow &Row) {
  const MutexLock Lock(Mutex_);
  Rows_[Row.Key_] = Row;
}

std::int64_t FakeTable::commits() {
  const MutexLock Lock(Mutex_);
  return Commits_;
}

std::int64_t FakeTable::reads() {
  const MutexLock Lock(Mutex_);
  return Reads_;
}

std::size_t FakeTable::largestCommit() {
  const MutexLock Lock(Mutex_);
  return LargestCommit_;
}

} // namespace damaskglade::records
