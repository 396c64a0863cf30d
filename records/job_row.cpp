#include "records/job_row.h"

#include "core/codec.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace damaskglade::records {

namespace {

// Wall time in milliseconds has 13 digits until the year 2286, so ids of equal
// length sort by time.
constexpr std::size_t TimeDigits = 13;

TableKey indexFor(const JobRecord &Record,
                  const std::optional<RowMeta> &Previous, Millis Now) {
  if (!isFinal(Record.State_))
    return {OpenKind, openIndexPrefix(Record.Home_, Record.HomeIncarnation_) +
                          Record.Id_};
  if (Previous && Previous->Index_.Kind_ == DoneKind)
    return Previous->Index_;
  return {DoneKind, doneIndexId(Now, Record.Id_)};
}

} // namespace

std::string openIndexPrefix(const std::string &Node, std::int64_t Incarnation) {
  if (Incarnation == AnyIncarnation)
    return Node + "/";
  return Node + "/" + std::to_string(Incarnation) + "/";
}

std::string doneIndexId(Millis EndTime, const std::string &JobId) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%013" PRId64, EndTime.Value_);
  return std::string(Text.data()) + "/" + JobId;
}

std::string jobIdOfIndex(const TableKey &Index) {
  return Index.Id_.substr(Index.Id_.rfind('/') + 1);
}

std::optional<Millis> endTimeOfDoneIndexId(const std::string &Id) {
  if (Id.size() <= TimeDigits || Id[TimeDigits] != '/')
    return std::nullopt;
  std::int64_t Value = 0;
  for (std::size_t Index = 0; Index < TimeDigits; ++Index) {
    if (Id[Index] < '0' || Id[Index] > '9')
      return std::nullopt;
    Value = Value * 10 + (Id[Index] - '0');
  }
  return Millis{Value};
}

std::string encodeJobRow(const JobRecord &Record, const RowMeta &Meta) {
  Json::Value Extra;
  Extra["index_kind"] = Meta.Index_.Kind_;
  Extra["index_id"] = Meta.Index_.Id_;
  Extra["trail"] = Json::Value(Json::arrayValue);
  for (const std::string &WriteId : Meta.RecentWrites_)
    Extra["trail"].append(WriteId);
  // Both texts are non-empty JSON objects, so they are merged by joining the
  // texts instead of parsing the record again.
  std::string Text = writeJson(Extra);
  Text.back() = ',';
  return Text + encodeJobRecord(Record).substr(1);
}

Result<JobRow> decodeJobRow(const TableRow &Row) {
  BOOST_OUTCOME_TRY(Record, decodeJobRecord(Row.Body_, Row.Version_));
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Body_, "decode job row"));
  if (!Value["index_kind"].isString() || !Value["index_id"].isString() ||
      !Value["trail"].isArray())
    return Error{
        Reason::Internal, Effect::None, "decode job row", Row.Key_.Id_,
        "index_kind, index_id or trail is missing or has a wrong type"};
  RowMeta Meta;
  Meta.Version_ = Row.Version_;
  Meta.Index_ = {Value["index_kind"].asString(), Value["index_id"].asString()};
  for (const Json::Value &WriteId : Value["trail"])
    if (WriteId.isString())
      Meta.RecentWrites_.push_back(WriteId.asString());
  return JobRow{std::move(Record), std::move(Meta)};
}

RowChange makeRowChange(const JobRecord &Record,
                        const std::optional<RowMeta> &Previous,
                        const std::string &WriteId, Millis Now) {
  RowChange Change;
  const std::int64_t Expected = Previous ? Previous->Version_ : 0;
  Change.WriteId_ = WriteId;
  Change.NewRecord_ = Record;
  Change.NewRecord_.Version_ = Expected + 1;
  Change.NewMeta_.Version_ = Expected + 1;
  Change.NewMeta_.Index_ = indexFor(Record, Previous, Now);
  Change.NewMeta_.RecentWrites_.push_back(WriteId);
  if (Previous)
    for (const std::string &EarlierWriteId : Previous->RecentWrites_)
      if (Change.NewMeta_.RecentWrites_.size() < MaxRecentWrites)
        Change.NewMeta_.RecentWrites_.push_back(EarlierWriteId);

  Change.Writes_.push_back({{JobKind, Record.Id_},
                            Expected,
                            encodeJobRow(Record, Change.NewMeta_),
                            false});
  if (Previous && Previous->Index_ == Change.NewMeta_.Index_)
    return Change;
  Change.Writes_.push_back({Change.NewMeta_.Index_, 0, "{}", false});
  if (Previous)
    Change.Writes_.push_back({Previous->Index_, IndexVersion, "", true});
  return Change;
}

WriteOutcome determineOutcome(const RowChange &Change,
                              const std::optional<JobRow> &CurrentRow) {
  const std::int64_t WrittenVersion = Change.NewMeta_.Version_;
  if (!CurrentRow)
    return WrittenVersion == 1 ? WriteOutcome::NotYetApplied
                               : WriteOutcome::Undecided;
  const RowMeta &Meta = CurrentRow->Meta_;
  if (Meta.Version_ < WrittenVersion)
    return WriteOutcome::NotYetApplied;
  const auto LaterWrites =
      static_cast<std::size_t>(Meta.Version_ - WrittenVersion);
  if (LaterWrites >= Meta.RecentWrites_.size())
    return WriteOutcome::Undecided;
  return Meta.RecentWrites_[LaterWrites] == Change.WriteId_
             ? WriteOutcome::Applied
             : WriteOutcome::Conflict;
}

} // namespace damaskglade::records
