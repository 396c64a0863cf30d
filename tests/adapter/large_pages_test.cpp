// Calls of the store with messages of the largest size, made by a node whose
// event loop has other work, too.

#include "core/codec.h"
#include "drivers/beast/event_loop.h"
#include "platform/store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

using namespace damaskglade;
using namespace damaskglade::platform;

namespace {

namespace base64 = boost::beast::detail::base64;

// Below the ports of the process tests and the soak, which run beside it.
constexpr const char *Address = "127.0.0.1:11451";
// Turns that a call takes besides those for its large messages.
constexpr int TurnsOfSmallMessages = 12;
constexpr std::size_t BytesPerTurn = std::size_t{16} * 1024;
constexpr std::size_t LargestMessage = std::size_t{1024} * 1024;
constexpr int PageRows = 500;

Json::Value makeRow(const std::string &Table, const std::string &Key,
                    const std::string &Text) {
  std::string Value(base64::encoded_size(Text.size()), '\0');
  Value.resize(base64::encode(Value.data(), Text.data(), Text.size()));
  Json::Value Row;
  Row["table"] = Table;
  Row["part"] = "";
  Row["key"] = Key;
  Row["ver"] = 3;
  Row["value"] = Value;
  return Row;
}

/// A store that answers reads with prepared pages, one after the other.
class PagedStore {
public:
  explicit PagedStore(std::vector<std::string> Pages)
      : Pages_(std::move(Pages)) {
    ListenerLimits Limits;
    Limits.BodyBytes_ = LargestMessage * 2;
    BOOST_TEST_REQUIRE(
        Loop_
            .listen(Address, Limits,
                    [this](const WebRequest &, const WebReplier &Reply) {
                      Reply(WebReply{200, Pages_[Next_++ % Pages_.size()]});
                    })
            .has_value());
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ~PagedStore() {
    Loop_.after(Millis{}, [this] { Loop_.stop(); });
    Thread_.join();
  }
  PagedStore(const PagedStore &) = delete;
  PagedStore &operator=(const PagedStore &) = delete;

  std::size_t bytes() const {
    std::size_t Bytes = 0;
    for (const std::string &Page : Pages_)
      Bytes += Page.size();
    return Bytes;
  }

private:
  using ListenerLimits = drivers::ListenerLimits;

  const std::vector<std::string> Pages_;
  std::size_t Next_ = 0;
  drivers::EventLoop Loop_;
  std::thread Thread_;
};

/// A node whose event loop is busy all the time.
class BusyNode {
public:
  BusyNode()
      : Http_(Loop_.makeClient()), Store_(makeRowStore(*Http_, Address)) {
    takeTurn();
  }

  /// Runs the loop until the call has ended; returns the turns that it took.
  int turnsOf(const std::function<void(std::function<void()> Done)> &Call) {
    Loop_.after(Millis{}, [&] {
      Turns_ = 0;
      Call([this] { Loop_.stop(); });
    });
    Loop_.run();
    return Turns_;
  }

  RowStore &store() { return *Store_; }

private:
  void takeTurn() {
    Loop_.after(Millis{}, [this] {
      constexpr Millis TurnTime{1};
      sleepFor(TurnTime);
      ++Turns_;
      takeTurn();
    });
  }

  drivers::EventLoop Loop_;
  const std::unique_ptr<WebClient> Http_;
  const std::unique_ptr<RowStore> Store_;
  int Turns_ = 0;
};

int maxTurns(std::size_t Bytes, std::size_t Calls) {
  return static_cast<int>(Bytes / BytesPerTurn + Calls * TurnsOfSmallMessages);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargePages)

// Guards against a busy leader that reads the registry of a large deployment so
// slowly that the reads time out.
BOOST_AUTO_TEST_CASE(RegistryOfALargeFleetTakesFewTurns) {
  constexpr int Workers = 1100;
  std::vector<std::string> Pages;
  for (int First = 0; First < Workers; First += PageRows) {
    Json::Value Page;
    const int End = std::min(First + PageRows, Workers);
    for (int Number = First; Number < End; ++Number)
      Page["rows"].append(makeRow(
          "servers", "i-" + std::to_string(Number),
          R"({"service":"s","addr":"10.0.0.1:5","zone":"z","state":"ready",)"
          R"("version":"1.2.3","slots":8,"coldLeftMs":0,"seq":12345,)"
          R"("born":1771234567890,"machine":"m-0a3f1",)"
          R"("capacity":{"cpu":16000,"memMb":65536},"labels":["a","r1-3"]})"));
    Page["hasMore"] = End < Workers;
    Page["ver"] = 3;
    Pages.push_back(writeJson(Page));
  }
  const PagedStore Store(Pages);
  BusyNode Node;
  const auto Registry = makeWorkerRegistry(Node.store());
  std::size_t Listed = 0;
  const int Turns = Node.turnsOf([&](const std::function<void()> &Done) {
    Registry->list([&, Done](const Result<RegistrySnapshot> &Snapshot) {
      Listed = Snapshot ? Snapshot.value().Workers_.size() : 0;
      Done();
    });
  });
  BOOST_TEST(Listed == static_cast<std::size_t>(Workers));
  BOOST_TEST(Turns <= maxTurns(Store.bytes(), Pages.size()));
}

// Guards against a takeover that gets longer with the load of the node, since
// it reads all jobs in pages of this size.
BOOST_AUTO_TEST_CASE(PageOfATakeoverTakesFewTurns) {
  Json::Value Page;
  for (int Number = 0; Number < PageRows; ++Number)
    Page["rows"].append(
        makeRow("jobs", "j-" + std::to_string(Number),
                std::string(LargestMessage / PageRows / 2, 'x')));
  Page["ver"] = 3;
  const PagedStore Store({writeJson(Page)});
  BusyNode Node;
  std::size_t Rows = 0;
  const int Turns = Node.turnsOf([&](const std::function<void()> &Done) {
    Node.store().read(RowRange{"jobs", "main", "", 0},
                      [&, Done](const Result<RowPage> &Read) {
                        Rows = Read ? Read.value().Rows_.size() : 0;
                        Done();
                      });
  });
  BOOST_TEST(Rows == static_cast<std::size_t>(PageRows));
  BOOST_TEST(Turns <= maxTurns(Store.bytes(), 1));
}

BOOST_AUTO_TEST_CASE(LargestConfigurationTakesFewTurns) {
  constexpr int Routes = 1400;
  Json::Value Config;
  Config["version"] = 7;
  for (int Number = 0; Number < Routes; ++Number) {
    Json::Value Route;
    Route["name"] = "r-" + std::to_string(Number);
    Route["host"] = "nony24.example";
    Route["pathPrefix"] = "/pule" + std::to_string(Number) + '/';
    Route["service"] = "huvo11a";
    Route["maxAttempts"] = 4;
    Route["slackFactor"] = 2.2;
    Route["hint"]["decisionMs"] = 416;
    Config["routes"].append(Route);
  }
  Json::Value Page;
  Page["rows"].append(makeRow("op", "config", writeJson(Config)));
  Page["ver"] = 3;
  const PagedStore Store({writeJson(Page)});
  BusyNode Node;
  const auto Source = makeConfigSource(Node.store());
  SharedConfig Received;
  const int Turns = Node.turnsOf([&](const std::function<void()> &Done) {
    Source->next([&, Done](const Result<ConfigRead> &Read) {
      Received = Read ? Read.value().Config_ : nullptr;
      Done();
    });
  });
  BOOST_TEST_REQUIRE(Received);
  BOOST_TEST(Received->Routes_.size() == static_cast<std::size_t>(Routes));
  BOOST_TEST(Turns <= maxTurns(Store.bytes(), 1));
}

// Guards against the same for what a node writes.
BOOST_AUTO_TEST_CASE(LargestTransactionTakesFewTurns) {
  constexpr std::size_t Rows = 100;
  RowTransaction Change;
  for (std::size_t Number = 0; Number < Rows; ++Number)
    Change.Puts_.push_back(
        RowPut{RowName{"jobs", "main", std::to_string(Number)},
               std::string(LargestMessage / Rows / 2, 'x')});
  const PagedStore Store({R"({"ver":9,"nowMs":1})"});
  BusyNode Node;
  bool Applied = false;
  const int Turns = Node.turnsOf([&](const std::function<void()> &Done) {
    Node.store().transact(Change,
                          [&, Done](const Result<TransactionOutcome> &Outcome) {
                            Applied = Outcome && Outcome.value().Applied_;
                            Done();
                          });
  });
  BOOST_TEST(Applied);
  BOOST_TEST(Turns <= maxTurns(LargestMessage, 1));
}

BOOST_AUTO_TEST_SUITE_END()
