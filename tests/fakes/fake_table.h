#ifndef DAMASKGLADE_TESTS_FAKES_FAKE_TABLE_H
#define DAMASKGLADE_TESTS_FAKES_FAKE_TABLE_H

#include "core/thread.h"
#include "ports/table_store.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::fakes {

/// Versioned rows of a table, without locks or simulated failures.
class TableRows {
public:
  std::optional<TableRow> read(const TableKey &Key) const {
    const auto Row = Rows_.find(Key);
    return Row == Rows_.end() ? std::nullopt : std::optional(Row->second);
  }

  std::vector<TableRow> list(const std::string &Kind, const std::string &Prefix,
                             const std::string &StartAfter,
                             std::size_t Limit) const {
    std::vector<TableRow> Rows;
    for (const auto &[Key, Row] : Rows_)
      if (Key.Kind_ == Kind && Key.Id_ > StartAfter &&
          Key.Id_.compare(0, Prefix.size(), Prefix) == 0 && Rows.size() < Limit)
        Rows.push_back(Row);
    return Rows;
  }

  /// Applies all writes or none. Returns true if all versions matched, or if
  /// the token was applied before.
  bool commit(const std::vector<TableWrite> &Writes, const std::string &Token) {
    if (AppliedTokens_.count(Token) != 0)
      return true;
    for (const TableWrite &Write : Writes) {
      const auto Row = Rows_.find(Write.Key_);
      const std::int64_t Version =
          Row == Rows_.end() ? 0 : Row->second.Version_;
      if (Version != Write.ExpectedVersion_)
        return false;
    }
    for (const TableWrite &Write : Writes) {
      if (Write.Remove_)
        Rows_.erase(Write.Key_);
      else
        Rows_[Write.Key_] =
            TableRow{Write.Key_, Write.ExpectedVersion_ + 1, Write.Body_};
    }
    if (!Token.empty())
      AppliedTokens_.insert(Token);
    return true;
  }

private:
  std::map<TableKey, TableRow> Rows_;
  std::set<std::string> AppliedTokens_;
};

/// In-memory table service with failure injection. Thread-safe.
class FakeTable : public TableStore {
public:
  /// Makes all calls fail without effect.
  void setOutage(bool Enabled) { Outage_ = Enabled; }
  /// Delays each call by this time, up to its timeout.
  void setDelay(Millis Delay) { DelayMs_ = Delay.Value_; }
  /// Applies the next commits, but reports that it is unknown whether they were
  /// applied.
  void loseAnswers(int Count) { RepliesToLose_ = Count; }
  /// Stores the next commits until applyLate() applies them, and reports that
  /// it is unknown whether they were applied.
  void holdWrites(int Count) { CommitsToHold_ = Count; }
  std::int64_t calls() const { return Calls_; }

  /// Applies the held commits whose versions still match; returns their number.
  int applyLate() {
    const MutexLock Guard(Lock_);
    int Applied = 0;
    for (const HeldCommit &Commit : HeldCommits_)
      Applied += Rows_.commit(Commit.Writes_, Commit.Token_) ? 1 : 0;
    HeldCommits_.clear();
    return Applied;
  }

  Result<std::optional<TableRow>> read(const TableKey &Key,
                                       Millis Timeout) override {
    BOOST_OUTCOME_TRYV(beginCall("read row", Timeout));
    const MutexLock Guard(Lock_);
    return Rows_.read(Key);
  }

  Result<std::vector<TableRow>> list(const std::string &Kind,
                                     const std::string &Prefix,
                                     const std::string &StartAfter,
                                     std::size_t Limit,
                                     Millis Timeout) override {
    BOOST_OUTCOME_TRYV(beginCall("list rows", Timeout));
    const MutexLock Guard(Lock_);
    return Rows_.list(Kind, Prefix, StartAfter, Limit);
  }

  Status commit(const std::vector<TableWrite> &Writes, const std::string &Token,
                Millis Timeout) override {
    BOOST_OUTCOME_TRYV(beginCall("commit rows", Timeout));
    const MutexLock Guard(Lock_);
    if (consumeOne(CommitsToHold_)) {
      HeldCommits_.push_back(HeldCommit{Writes, Token});
      return failure(Effect::Unknown, "commit rows");
    }
    if (!Rows_.commit(Writes, Token))
      return Error{
          Reason::TableConflict,     Effect::None, "commit rows", "fake table",
          "a version did not match", Millis{}};
    if (consumeOne(RepliesToLose_))
      return failure(Effect::Unknown, "commit rows");
    return success();
  }

private:
  struct HeldCommit {
    std::vector<TableWrite> Writes_;
    std::string Token_;
  };

  static bool consumeOne(std::atomic<int> &Count) {
    if (Count <= 0)
      return false;
    Count -= 1;
    return true;
  }

  static Error failure(Effect CallEffect, const std::string &Step) {
    return Error{Reason::TableUnavailable, CallEffect, Step, "fake table",
                 "injected failure",       Millis{}};
  }

  Status beginCall(const std::string &Step, Millis Timeout) {
    Calls_ += 1;
    const Millis Delay{DelayMs_};
    sleepFor(std::min(Delay, Timeout));
    // A call that exceeds its timeout has no effect. holdWrites() simulates
    // calls that are applied after their timeout.
    if (Outage_ || Delay > Timeout)
      return failure(Effect::None, Step);
    return success();
  }

  Mutex Lock_;
  TableRows Rows_;
  std::vector<HeldCommit> HeldCommits_;
  std::atomic<int> RepliesToLose_ = 0;
  std::atomic<int> CommitsToHold_ = 0;
  std::atomic<bool> Outage_ = false;
  std::atomic<std::int64_t> DelayMs_ = 0;
  std::atomic<std::int64_t> Calls_ = 0;
};

/// Connection of one node to a shared table; it can be interrupted.
class FakeTableLink : public TableStore {
public:
  explicit FakeTableLink(FakeTable &Table) : Table_(Table) {}
  void setCut(bool Enabled) { Interrupted_ = Enabled; }

  Result<std::optional<TableRow>> read(const TableKey &Key,
                                       Millis Timeout) override {
    if (Interrupted_)
      return failure("read row");
    return Table_.read(Key, Timeout);
  }

  Result<std::vector<TableRow>> list(const std::string &Kind,
                                     const std::string &Prefix,
                                     const std::string &StartAfter,
                                     std::size_t Limit,
                                     Millis Timeout) override {
    if (Interrupted_)
      return failure("list rows");
    return Table_.list(Kind, Prefix, StartAfter, Limit, Timeout);
  }

  Status commit(const std::vector<TableWrite> &Writes, const std::string &Token,
                Millis Timeout) override {
    if (Interrupted_)
      return failure("commit rows");
    return Table_.commit(Writes, Token, Timeout);
  }

private:
  static Error failure(const std::string &Step) {
    return Error{
        Reason::TableUnavailable,        Effect::None, Step, "fake table",
        "the connection is interrupted", Millis{}};
  }

  FakeTable &Table_;
  std::atomic<bool> Interrupted_ = false;
};

} // namespace damaskglade::fakes

#endif
