#include "config/version_store.h"

#include "config/folder.h"
#include "core/codec.h"
#include "core/thread.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <random>
#include <utility>

namespace damaskglade::config {

namespace {

constexpr const char *PushStep = "push configuration";
// Bound of one call, so that a push can try more than once.
constexpr Millis MaxCall{2000};
constexpr Millis MinCall{50};
constexpr Millis RetryWait{100};

std::string historyId(std::int64_t Version) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%012" PRId64, Version);
  return Text.data();
}

std::string objectName(const std::string &Hash) { return "config-" + Hash; }

std::string encodeInfo(const VersionInfo &Info) {
  Json::Value Out;
  Out["version"] = static_cast<Json::Int64>(Info.Version_);
  Out["hash"] = Info.Hash_;
  Out["previous"] = static_cast<Json::Int64>(Info.Previous_);
  Out["previous_hash"] = Info.PreviousHash_;
  Out["pushed_ms"] = static_cast<Json::Int64>(Info.Pushed_.Value_);
  Out["push_id"] = Info.PushId_;
  return writeJson(Out);
}

std::string textAt(const Json::Value &Value, const char *Name) {
  return Value[Name].isString() ? Value[Name].asString() : std::string();
}

std::int64_t numberAt(const Json::Value &Value, const char *Name) {
  return Value[Name].isInt64() ? Value[Name].asInt64() : 0;
}

Result<VersionInfo> decodeInfo(const std::string &Body) {
  BOOST_OUTCOME_TRY(Value, parseJson(Body, "decode configuration version"));
  VersionInfo Info{
      numberAt(Value, "version"),     textAt(Value, "hash"),
      numberAt(Value, "previous"),    textAt(Value, "previous_hash"),
      {numberAt(Value, "pushed_ms")}, textAt(Value, "push_id")};
  if (Info.Version_ < 1 || Info.Hash_.empty())
    return Error{Reason::Internal, Effect::None, "decode configuration version",
                 "table", "the row has no version or hash"};
  return Info;
}

Error timeoutError(Effect Happened) {
  return Error{Reason::TableUnavailable, Happened, PushStep, "table",
               "the table did not answer before the deadline"};
}

Error withoutEffect(Error Failure) {
  Failure.Effect_ = Effect::None;
  return Failure;
}

} // namespace

VersionStore::VersionStore(TableStore &Table, ObjectStore &Objects,
                           const Clock &Time, std::string Writer)
    : Table_(Table), Objects_(Objects), Time_(Time),
      Writer_(std::move(Writer) + "." +
              std::to_string(std::random_device{}())) {}

Millis VersionStore::callTimeout(Millis Deadline) const {
  return std::clamp(Deadline - Time_.monotonic(), MinCall, MaxCall);
}

Result<VersionInfo> VersionStore::push(const std::string &Text,
                                       std::int64_t BasedOn, Millis Timeout) {
  const Millis Deadline = Time_.monotonic() + Timeout;
  const CheckedCell Checked = checkCanonical(Text);
  if (!Checked.Settings_)
    return Checked.Settings_.error();
  BOOST_OUTCOME_TRY(Before, current(callTimeout(Deadline)));
  if (BasedOn != (Before ? Before->Version_ : 0))
    return moved(BasedOn, Deadline);
  // The body is written first: a pointer never names a body that is missing.
  const Status Stored = Objects_.put(objectName(Checked.Hash_),
                                     Checked.Canonical_, callTimeout(Deadline));
  if (!Stored)
    return withoutEffect(Stored.error());

  const std::string PushId = Writer_ + "#" + std::to_string(++Pushes_);
  const VersionInfo Next{BasedOn + 1,  Checked.Hash_,
                         BasedOn,      Before ? Before->Hash_ : "",
                         Time_.wall(), PushId};
  const std::string Body = encodeInfo(Next);
  BOOST_OUTCOME_TRY(
      decide(Next,
             {{{ConfigKind, ConfigPointerId}, BasedOn, Body, false},
              {{ConfigHistoryKind, historyId(Next.Version_)}, 0, Body, false}},
             Deadline));
  return Next;
}

// Sends the transaction until its outcome is known. The history row of the
// version tells whose push it was, also after later pushes.
Status VersionStore::decide(const VersionInfo &Next,
                            const std::vector<TableWrite> &Writes,
                            Millis Deadline) {
  const std::string Token =
      contentHash(Next.PushId_); // 32 of the 36 characters of a token.
  bool Uncertain = false;
  while (true) {
    const Status Sent = Table_.commit(Writes, Token, callTimeout(Deadline));
    if (Sent)
      return success();
    const Error &Failure = Sent.error();
    Uncertain = Uncertain || Failure.Effect_ == Effect::Unknown;
    if (Uncertain || Failure.Reason_ == Reason::TableConflict) {
      const auto Ours = isOurs(Next, Deadline);
      if (Ours && Ours.value())
        return success();
      // Another push took the version, so this one can't take effect late.
      if (!Ours && Ours.error().Reason_ == Reason::VersionMoved)
        return Ours.error();
      if (Failure.Reason_ == Reason::TableConflict && !Uncertain)
        return moved(Next.Previous_, Deadline);
    }
    const bool Transient = Failure.Reason_ == Reason::TableUnavailable ||
                           Failure.Reason_ == Reason::Timeout ||
                           Failure.Reason_ == Reason::TableConflict ||
                           Failure.Effect_ == Effect::Unknown;
    if (!Transient)
      return Failure;
    if (Time_.monotonic() + RetryWait >= Deadline)
      return timeoutError(Uncertain ? Effect::Unknown : Effect::None);
    sleepFor(RetryWait);
  }
}

// False if no version of this number exists yet.
Result<bool> VersionStore::isOurs(const VersionInfo &Next, Millis Deadline) {
  BOOST_OUTCOME_TRY(Found, readHistory(Next.Version_, Deadline));
  if (!Found)
    return false;
  if (Found->PushId_ == Next.PushId_)
    return true;
  return moved(Next.Previous_, Deadline);
}

Error VersionStore::moved(std::int64_t BasedOn, Millis Deadline) {
  std::string Message =
      "version moved, yours was based on " + std::to_string(BasedOn);
  const auto Now = current(callTimeout(Deadline));
  if (Now)
    Message += "; the current version is " +
               std::to_string(Now.value() ? Now.value()->Version_ : 0);
  return Error{Reason::VersionMoved, Effect::None, PushStep, "table", Message};
}

Result<VersionInfo> VersionStore::rollback(std::int64_t Version,
                                           std::int64_t BasedOn,
                                           Millis Timeout) {
  const Millis Deadline = Time_.monotonic() + Timeout;
  BOOST_OUTCOME_TRY(Earlier, readHistory(Version, Deadline));
  if (!Earlier)
    return Error{Reason::NotFound, Effect::None, "roll back configuration",
                 "table", "there is no version " + std::to_string(Version)};
  BOOST_OUTCOME_TRY(Text, body(Earlier->Hash_, callTimeout(Deadline)));
  return push(Text, BasedOn, Deadline - Time_.monotonic());
}

Result<std::optional<VersionInfo>> VersionStore::current(Millis Timeout) {
  const auto Row = Table_.read({ConfigKind, ConfigPointerId}, Timeout);
  if (!Row)
    return withoutEffect(Row.error());
  if (!Row.value())
    return std::optional<VersionInfo>();
  BOOST_OUTCOME_TRY(Info, decodeInfo(Row.value()->Body_));
  return std::optional<VersionInfo>(std::move(Info));
}

Result<std::optional<VersionInfo>>
VersionStore::readHistory(std::int64_t Version, Millis Deadline) {
  const auto Row = Table_.read({ConfigHistoryKind, historyId(Version)},
                               callTimeout(Deadline));
  if (!Row)
    return withoutEffect(Row.error());
  if (!Row.value())
    return std::optional<VersionInfo>();
  BOOST_OUTCOME_TRY(Info, decodeInfo(Row.value()->Body_));
  return std::optional<VersionInfo>(std::move(Info));
}

Result<std::string> VersionStore::body(const std::string &Hash,
                                       Millis Timeout) {
  auto Text = Objects_.get(objectName(Hash), Timeout);
  if (!Text)
    return withoutEffect(Text.error());
  if (contentHash(Text.value()) != Hash)
    return Error{Reason::AnswerTruncated, Effect::None, "fetch configuration",
                 "object store", "the body does not match its hash"};
  return Text;
}

Result<std::vector<VersionInfo>> VersionStore::history(std::size_t Limit,
                                                       Millis Timeout) {
  const Millis Deadline = Time_.monotonic() + Timeout;
  std::vector<VersionInfo> Versions;
  BOOST_OUTCOME_TRY(Now, current(callTimeout(Deadline)));
  if (!Now)
    return Versions;
  const std::int64_t First = std::max<std::int64_t>(
      Now->Version_ - static_cast<std::int64_t>(Limit), 0);
  const auto Rows = Table_.list(ConfigHistoryKind, "", historyId(First), Limit,
                                callTimeout(Deadline));
  if (!Rows)
    return withoutEffect(Rows.error());
  for (const TableRow &Row : Rows.value()) {
    BOOST_OUTCOME_TRY(Info, decodeInfo(Row.Body_));
    Versions.push_back(std::move(Info));
  }
  std::reverse(Versions.begin(), Versions.end());
  return Versions;
}

} // namespace damaskglade::config
