#ifndef DAMASKGLADE_REVIEW_PLATFORM_H
#define DAMASKGLADE_REVIEW_PLATFORM_H

#include "review/stand_ins/http.h"

#include <condition_variable>
#include <fstream>
#include <json/value.h>
#include <tuple>
#include <vector>

namespace damaskglade::review {

std::string writeText(const Json::Value &Value);
/// Null if the text is no JSON.
Json::Value readText(const std::string &Text);

/// What was sent, answered and run; a line for each, with the time.
class Record {
public:
  explicit Record(const std::string &Path) : Out_(Path) {}
  void write(const std::string &Line);

private:
  std::mutex Lock_;
  std::ofstream Out_;
};

/// Stand-in for the table store of the platform.
class Store {
public:
  explicit Store(Record &Log);
  int port() const { return Server_.port(); }
  std::string address() const { return Server_.address(); }
  /// While the store is down it answers all calls with 503 and does nothing.
  void setDown(bool Down);
  /// See HttpServer.
  std::size_t silenceOpen() { return Server_.silenceOpen(); }
  /// Writes a row of the operator or of a worker, in the empty part.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Text);
  /// The decoded row that names the leader; only to choose the node to kill.
  std::string leaderRow();

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value_; ///< Base64.
    std::int64_t Version_ = 0;
    bool Deleted_ = false;
  };

  std::optional<HttpReply> handle(const HttpRequest &Request);
  HttpReply transact(const std::string &Body);
  HttpReply read(std::map<std::string, std::string> Query);
  HttpReply follow(std::map<std::string, std::string> Query);
  static Json::Value show(const Name &Key, const Row &Value);

  Record &Log_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  std::map<Name, Row> Rows_;
  std::int64_t Version_ = 0;
  std::atomic<bool> Down_{false};
  HttpServer Server_;
};

} // namespace damaskglade::review

#endif
