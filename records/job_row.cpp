#include "records/job_row.h"

#include "core/codec.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace damaskglade::records {

namespace {

// Wall time in milliseconds has 13 digits until the year 2286, so ids sort by
// time.
constexpr std::size_t TimeDigits = 13;

TableKey indexFor(const JobRecord &Record, const std::optional<RowMeta> &Before,
                  Millis Now) {
  if (!isFinal(Record.State_))
    return {OpenKind,
            openPrefix(Record.Home_, Record.HomeIncarnation_) + Record.Id_};
  if (Before && Before->Index_.Kind_ == DoneKind)
    return Before->Index_;
  return {DoneKind, doneId(Now, Record.Id_)};
}

} // namespace

std::string openPrefix(const std::string &Node, std::int64_t Incarnation) {
  if (Incarnation == AnyIncarnation)
    return Node + "/";
  return Node + "/" + std::to_string(Incarnation) + "/";
}

std::string doneId(Millis Ended, const std::string &JobId) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%013" PRId64, Ended.Value_);
  return std::string(Text.data()) + "/" + JobId;
}

std::string jobIdOfIndex(const TableKey &Index) {
  return Index.Id_.substr(Index.Id_.rfind('/') + 1);
}

std::optional<Millis> endOfDoneId(const std::string &Id) {
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
  for (const std::string &Stamp : Meta.Trail_)
    Extra["trail"].append(Stamp);
  // Both texts are JSON objects with members, so their members can be joined
  // without parsing the record again.
  std::string Text = writeJson(Extra);
  Text.back() = ',';
  return Text + encodeJobRecord(Record).substr(1);
}

Result<JobRow> decodeJobRow(const TableRow &Row) {
  BOOST_OUTCOME_TRY(Record, decodeJobRecord(Row.Body_, Row.Version_));
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Body_, "decode job row"));
  if (!Value["index_kind"].isString() || !Value["index_id"].isString() ||
      !Value["trail"].isArray())
    return Error{Reason::Internal, Effect::None, "decode job row", Row.Key_.Id_,
                 "the row has no index or trail"};
  RowMeta Meta;
  Meta.Version_ = Row.Version_;
  Meta.Index_ = {Value["index_kind"].asString(), Value["index_id"].asString()};
  for (const Json::Value &Stamp : Value["trail"])
    if (Stamp.isString())
      Meta.Trail_.push_back(Stamp.asString());
  return JobRow{std::move(Record), std::move(Meta)};
}

RowChange makeRowChange(const JobRecord &Record,
                        const std::optional<RowMeta> &Before,
                        const std::string &Stamp, Millis Now) {
  RowChange Change;
  const std::int64_t Expected = Before ? Before->Version_ : 0;
  Change.Stamp_ = Stamp;
  Change.After_ = Record;
  Change.After_.Version_ = Expected + 1;
  Change.MetaAfter_.Version_ = Expected + 1;
  Change.MetaAfter_.Index_ = indexFor(Record, Before, Now);
  Change.MetaAfter_.Trail_.push_back(Stamp);
  if (Before)
    for (const std::string &Earlier : Before->Trail_)
      if (Change.MetaAfter_.Trail_.size() < TrailLength)
        Change.MetaAfter_.Trail_.push_back(Earlier);

  Change.Writes_.push_back({{JobKind, Record.Id_},
                            Expected,
                            encodeJobRow(Record, Change.MetaAfter_),
                            false});
  if (Before && Before->Index_ == Change.MetaAfter_.Index_)
    return Change;
  Change.Writes_.push_back({Change.MetaAfter_.Index_, 0, "{}", false});
  if (Before)
    Change.Writes_.push_back({Before->Index_, IndexVersion, "", true});
  return Change;
}

WriteOutcome decideOutcome(const RowChange &Change,
                           const std::optional<JobRow> &Found) {
  const std::int64_t Written = Change.MetaAfter_.Version_;
  if (!Found)
    return Written == 1 ? WriteOutcome::NotYet : WriteOutcome::Undecided;
  const RowMeta &Meta = Found->Meta_;
  if (Meta.Version_ < Written)
    return WriteOutcome::NotYet;
  const auto Later = static_cast<std::size_t>(Meta.Version_ - Written);
  if (Later >= Meta.Trail_.size())
    return WriteOutcome::Undecided;
  return Meta.Trail_[Later] == Change.Stamp_ ? WriteOutcome::Applied
                                             : WriteOutcome::Conflict;
}

} // namespace damaskglade::records
