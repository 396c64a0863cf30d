#include "cell/context.h"

#include "core/codec.h"

namespace damaskglade::cell {

std::string encodeLeaderRecord(const LeaderRecord &Record) {
  Json::Value Row;
  Row["boot"] = Record.Incarnation_;
  Row["epoch"] = Json::Int64(Record.Epoch_);
  Row["node"] = Record.Node_;
  Row["address"] = Record.Address_;
  Row["lease_rows_since"] = Json::Int64(Record.LeaseRowsSince_);
  return writeJson(Row);
}

Result<LeaderRecord> decodeLeaderRecord(const StoredRow &Row) try {
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Value_, "decode leader row"));
  LeaderRecord Record;
  Record.Epoch_ = Value["epoch"].asInt64();
  Record.Node_ = Value["node"].asString();
  Record.Address_ = Value["address"].asString();
  Record.Incarnation_ = Value["boot"].asString();
  Record.LeaseRowsSince_ = Value["lease_rows_since"].asInt64();
  Record.Version_ = Row.Version_;
  return Record;
} catch (const Json::Exception &Failure) {
  return invalidField("decode leader row", Row.Name_.Key_, Failure.what());
}

} // namespace damaskglade::cell
