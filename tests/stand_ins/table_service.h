#ifndef DAMASKGLADE_TESTS_STAND_INS_TABLE_SERVICE_H
#define DAMASKGLADE_TESTS_STAND_INS_TABLE_SERVICE_H

#include "core/thread.h"
#include "ports/table_store.h"
#include "tests/stand_ins/fault_panel.h"
#include "tests/stand_ins/http_server.h"
#include "tests/stand_ins/timer_queue.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace damaskglade::stand_ins {

/// Table service with the subset of DynamoDB JSON 1.0 that the node uses:
/// TransactWriteItems, GetItem and Query. Rows live in memory.
class TableService {
public:
  explicit TableService(std::uint64_t Seed) : Panel_(Seed) {}

  HttpResponse handle(const HttpRequest &Request);
  FaultPanel &panel() { return Panel_; }

private:
  HttpResponse serve(const std::string &Operation, const Json::Value &Body);
  HttpResponse transact(const Json::Value &Body);
  HttpResponse getItem(const Json::Value &Body);
  HttpResponse query(const Json::Value &Body);
  HttpResponse dump();

  FaultPanel Panel_;
  Mutex Mutex_;
  std::map<TableKey, TableRow> Rows_;
  /// Content of applied transactions by token.
  std::map<std::string, std::string> Applied_;
  std::int64_t Transactions_ = 0;
  std::int64_t Written_ = 0;
  std::int64_t Reads_ = 0;
  TimerQueue Late_; // Last, so that its thread ends before the rows go.
};

} // namespace damaskglade::stand_ins

#endif
