#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_STORE_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_STORE_H

#include "core/clock.h"
#include "review/stand_ins_2/server.h"

#include <json/value.h>
#include <list>
#include <map>
#include <string>
#include <tuple>

namespace damaskglade::review {

/// Stand-in for the platform's store: transactions, ranges and feeds, with the
/// limits of a healthy one. Calls beyond a limit are rejected with 400 and have
/// no effect.
class Store {
public:
  Store(boost::asio::io_context &Loop, int Port);

  /// Writes a row of the operator or of a worker.
  void put(const std::string &Table, const std::string &Key,
           const Json::Value &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// The row as the cell wrote it, without its encoding; empty if there is
  /// none.
  std::string text(const std::string &Table, const std::string &Part,
                   const std::string &Key) const;
  /// Transactions that exceeded a limit, and the largest value in one.
  int rejected() const { return Rejected_; }
  std::size_t largestValue() const { return LargestValue_; }

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value_; ///< Base64.
    std::int64_t Version_ = 0;
    bool Deleted_ = false;
  };
  struct Feed {
    std::string Table_;
    std::int64_t After_ = 0;
    Replier Answer_;
  };

  void handle(const Request &Call, const Replier &Answer);
  Reply transact(const std::string &Body);
  bool exceedsLimits(const std::string &Body, const Json::Value &Change);
  Reply read(std::map<std::string, std::string> Query) const;
  void follow(std::map<std::string, std::string> Query, const Replier &Answer);
  bool answerFeed(const Feed &Waiting, bool Empty) const;
  void wakeFeeds();
  Json::Value stamp() const;
  static Json::Value show(const Name &Key, const Row &Value);

  boost::asio::io_context &Loop_;
  SystemClock Clock_;
  std::map<Name, Row> Rows_;
  std::int64_t Version_ = 0;
  std::list<Feed> Feeds_;
  int Rejected_ = 0;
  std::size_t LargestValue_ = 0;
  Server Server_;
};

/// Calls the task after the delay.
void after(boost::asio::io_context &Loop, Millis Delay,
           std::function<void()> Task);

} // namespace damaskglade::review

#endif
