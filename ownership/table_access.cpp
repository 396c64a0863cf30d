#include "ownership/table_access.h"

namespace damaskglade::ownership {

namespace {

constexpr std::size_t PageRows = 500;

Result<std::vector<TableRow>> listAll(TableStore &Table,
                                      const std::string &Kind, Millis Timeout) {
  std::vector<TableRow> Out;
  std::string Last;
  while (true) {
    BOOST_OUTCOME_TRY(Page, Table.list(Kind, "", Last, PageRows, Timeout));
    Out.insert(Out.end(), Page.begin(), Page.end());
    if (Page.size() < PageRows)
      return Out;
    Last = Page.back().Key_.Id_;
  }
}

Status readShards(TableStore &Table, const std::string &Zone, Millis Timeout,
                  RowsRead &Out) {
  BOOST_OUTCOME_TRY(Shards, listAll(Table, ShardKind, Timeout));
  for (const TableRow &Row : Shards)
    if (const auto Shard = decodeShardRow(Row))
      Out.Shards_.push_back({Shard.value(), Row.Version_});
  BOOST_OUTCOME_TRY(ListRow, Table.read(TableKey{ListKind, Zone}, Timeout));
  if (ListRow) {
    BOOST_OUTCOME_TRY(List, decodeZoneList(*ListRow));
    Out.List_ = List;
  }
  return success();
}

Status readNodes(TableStore &Table, Millis Timeout, RowsRead &Out) {
  BOOST_OUTCOME_TRY(Nodes, listAll(Table, NodeKind, Timeout));
  for (const TableRow &Row : Nodes)
    if (const auto Node = decodeNodeRow(Row))
      Out.Nodes_.push_back({Node.value(), Row.Version_});
  return success();
}

} // namespace

CommitResult commitRows(TableStore &Table, const Commit &Write,
                        const std::string &Token, Millis Timeout) {
  std::vector<TableWrite> Writes;
  Writes.reserve(Write.Rows_.size());
  for (const RowWrite &Row : Write.Rows_)
    Writes.push_back(encodeRowWrite(Row));
  const Status Done = Table.commit(Writes, Token, Timeout);
  if (Done)
    return CommitResult::Ok;
  if (Done.error().Reason_ == Reason::TableConflict)
    return CommitResult::Conflict;
  return Done.error().Effect_ == Effect::None ? CommitResult::Unavailable
                                              : CommitResult::Unknown;
}

RowsRead readRows(TableStore &Table, const std::string &Zone, bool Shards,
                  Millis Started, Millis Timeout) {
  RowsRead Out;
  Out.Started_ = Started;
  if (Shards && !readShards(Table, Zone, Timeout, Out))
    return Out;
  if (!readNodes(Table, Timeout, Out))
    return Out;
  Out.Ok_ = true;
  Out.HasShards_ = Shards;
  return Out;
}

} // namespace damaskglade::ownership
