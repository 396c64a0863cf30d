#ifndef DAMASKGLADE_OWNERSHIP_ROWS_H
#define DAMASKGLADE_OWNERSHIP_ROWS_H

#include "core/clock.h"
#include "core/error.h"
#include "ports/table_store.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace damaskglade::ownership {

/// Row kinds in the table.
constexpr const char *NodeKind = "node";
constexpr const char *ShardKind = "shard";
constexpr const char *ListKind = "list";

enum class NodeRowState {
  Live,
  Released, ///< Released by the node itself in a planned stop.
  Fenced,   ///< Fenced by a claimant after the lease had expired.
};

/// Row `node/<id>`.
struct NodeRow {
  std::string Id_;
  std::string Zone_;
  std::string Address_;
  std::string Writer_; ///< Identifies the process; differs after a restart.
  std::int64_t Incarnation_ = 0;
  std::int64_t Sequence_ = 0; ///< Of the node's transaction that wrote the row.
  NodeRowState State_ = NodeRowState::Live;
  Millis LeaseEnd_{}; ///< Wall time, for operators; unused by the protocol.

  friend bool operator==(const NodeRow &, const NodeRow &) = default;
};

/// Row `shard/<zone>/<rack>`.
struct ShardRow {
  std::string Id_;    ///< "<zone>/<rack>".
  std::string Owner_; ///< Empty if the shard has no owner.
  std::int64_t Incarnation_ = 0;
  std::int64_t Epoch_ = 0; ///< Incremented by each change of owner.

  friend bool operator==(const ShardRow &, const ShardRow &) = default;
};

/// Row `list/<zone>`. The row version in the table is the list version.
struct ZoneList {
  std::string Zone_;
  std::int64_t Version_ = 0;
  std::vector<std::string> Nodes_; ///< Sorted.

  friend bool operator==(const ZoneList &, const ZoneList &) = default;
};

/// Conditional write of one row in a transaction.
struct RowWrite {
  std::variant<NodeRow, ShardRow, ZoneList> Row_;
  std::int64_t ExpectedVersion_ = 0; ///< 0 if the row must not exist.

  friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

std::string encodeNodeRow(const NodeRow &Row);
std::string encodeShardRow(const ShardRow &Row);
std::string encodeZoneList(const ZoneList &List);
TableWrite encodeRowWrite(const RowWrite &Write);

/// The decoders fail with invalid_field and the field name in Peer_.
Result<NodeRow> decodeNodeRow(const TableRow &Row);
Result<ShardRow> decodeShardRow(const TableRow &Row);
Result<ZoneList> decodeZoneList(const TableRow &Row);

} // namespace damaskglade::ownership

#endif
