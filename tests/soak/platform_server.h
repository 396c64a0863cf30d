#ifndef DAMASKGLADE_TESTS_SOAK_PLATFORM_SERVER_H
#define DAMASKGLADE_TESTS_SOAK_PLATFORM_SERVER_H

#include "drivers/beast/event_loop.h"

#include <json/value.h>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace damaskglade::soak {

/// How the store treats calls.
enum class StoreFault {
  None,
  Refuses, ///< 503, nothing is done.
  Silent,  ///< Nothing is done, no answer comes.
  Slow,
  LosesAnswers, ///< Half of the writes are done, now or late, and not answered.
};

/// How long the advice service takes for a call.
inline constexpr Millis AdviceTime{150};

/// Stand-in for the platform's table store and its advice service.
class PlatformServer {
public:
  PlatformServer(drivers::EventLoop &Loop, const Clock &Time, unsigned Seed)
      : Loop_(Loop), Time_(Time), Random_(Seed) {}

  /// The store and the advice service have an address for each calling node.
  /// The calls of a node for advice wait in turn.
  Status listen(const std::vector<std::string> &StoreAddresses,
                const std::vector<std::string> &AdviceAddresses);
  void setFault(StoreFault Fault) { Fault_ = Fault; }
  /// The same for the calls that concern one part of the store.
  void setFaultOfPart(const std::string &Part, StoreFault Fault) {
    PartFaults_[Part] = Fault;
  }
  /// The same for the calls of a node, by the place of its address.
  void setFaultOfCaller(std::size_t Caller, StoreFault Fault) {
    CallerFaults_[Caller] = Fault;
  }
  void clearFaultsOfCallers() { CallerFaults_.clear(); }
  bool servesNobody() const {
    return Fault_ == StoreFault::Refuses || Fault_ == StoreFault::Silent;
  }
  /// Changes up to now are no longer known to feeds.
  void dropHistory() { HistoryFrom_ = Version_; }
  /// Writes a row of the operator or of a worker.
  void put(const std::string &Table, const std::string &Key,
           const Json::Value &Value);
  void put(const std::string &Table, const std::string &Key,
           const std::string &Text);
  void remove(const std::string &Table, const std::string &Key);

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
    WebReplier Reply_;
  };

  void handleStore(std::size_t Caller, const WebRequest &Request,
                   const WebReplier &Reply);
  StoreFault faultOf(std::size_t Caller, const WebRequest &Request) const;
  void answer(const WebRequest &Request, const WebReplier &Reply);
  WebReply transact(const std::string &Body);
  WebReply read(const std::map<std::string, std::string> &Query) const;
  void follow(const std::map<std::string, std::string> &Query,
              const WebReplier &Reply);
  bool answerFeed(const Feed &Waiting) const;
  void wakeFeeds();
  Json::Value show(const Name &Key, const Row &Value) const;
  void advise(const WebRequest &Request, const WebReplier &Reply,
              Millis &FreeAt);

  drivers::EventLoop &Loop_;
  const Clock &Time_;
  std::minstd_rand Random_;
  std::map<Name, Row> Rows_;
  std::int64_t Version_ = 0;
  std::vector<Feed> Feeds_;
  std::map<std::string, Millis> AdviceFreeAt_; ///< By address.
  StoreFault Fault_ = StoreFault::None;
  std::map<std::string, StoreFault> PartFaults_;
  std::map<std::size_t, StoreFault> CallerFaults_;
  std::int64_t HistoryFrom_ = 0; ///< Feeds after an older version get 410.
};

} // namespace damaskglade::soak

#endif
