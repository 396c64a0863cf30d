#ifndef DAMASKGLADE_REVIEW_STAND_INS_3_STORE_H
#define DAMASKGLADE_REVIEW_STAND_INS_3_STORE_H

#include "drivers/beast/event_loop.h"
#include "review/stand_ins_3/record.h"

#include <json/value.h>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace damaskglade::review {

/// Limits of the platform's store, as the users' pages give them.
struct StoreLimits {
  std::size_t RowBytes_ = 65536; ///< `rowBytes` of DEPLOY.md.
  std::size_t CallBytes_ = std::size_t{1024} * 1024; ///< "at most 1 MB".
  std::size_t CallEntries_ = 100;
  std::size_t NameBytes_ = 200;

  friend bool operator==(const StoreLimits &, const StoreLimits &) = default;
};

/// Stand-in for the platform's table store and for the advice service, which
/// allows all workers. The operator and the workers write through the path
/// /stand-in/put.
class Store {
public:
  Store(drivers::EventLoop &Loop, Record Log)
      : Loop_(Loop), Log_(std::move(Log)) {}

  Status listen(const std::string &Address);

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
    std::int64_t Number_ = 0;
    WebReplier Reply_;
  };
  using Query = std::map<std::string, std::string>;

  void handle(const WebRequest &Request, const WebReplier &Reply);
  void serve(const WebRequest &Request, const WebReplier &Reply);
  void put(const Json::Value &Body);
  static WebReply advise(const std::string &Body);
  WebReply transact(const std::string &Body);
  /// Empty if the transaction is within the limits.
  std::string findExcess(const std::string &Body,
                         const Json::Value &Change) const;
  WebReply read(const Query &Parameters) const;
  void follow(const Query &Parameters, const WebReplier &Reply);
  bool answerFeed(const Feed &Waiting, bool EvenIfEmpty) const;
  void wakeFeeds();

  drivers::EventLoop &Loop_;
  const Record Log_;
  const SystemClock Clock_;
  const StoreLimits Limits_;
  std::map<Name, Row> Rows_;
  std::int64_t Version_ = 0;
  std::vector<Feed> Feeds_;
  std::int64_t LastFeed_ = 0;
  int Excesses_ = 0; ///< Rejected transactions; some are recorded.
};

} // namespace damaskglade::review

#endif
