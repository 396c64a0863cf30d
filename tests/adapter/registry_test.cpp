#include "core/codec.h"
#include "platform/store.h"

#include <boost/test/unit_test.hpp>
#include <json/value.h>

using namespace damaskglade;
using namespace damaskglade::platform;

namespace {

class FakeRows : public RowStore {
public:
  void transact(const RowTransaction &,
                std::function<void(Result<TransactionOutcome>)>) override {}
  void read(const RowRange &,
            std::function<void(Result<RowPage>)> Done) override {
    Done(Page_);
  }
  void follow(const std::string &, std::int64_t, Millis,
              std::function<void(Result<RowPage>)>) override {}

  void set(const std::string &Key, const std::string &Text) {
    StoredRow Row;
    Row.Name_ = RowName{"servers", "", Key};
    Row.Value_ = Text;
    Row.Version_ = 1;
    Page_.Rows_.push_back(Row);
  }

  RowPage Page_;
};

std::string entry(int MilliCpus) {
  Json::Value Value;
  Value["state"] = "ready";
  Value["addr"] = "10.0.0.1:5";
  Value["service"] = "s";
  Value["capacity"]["cpu"] = MilliCpus;
  Value["capacity"]["memMb"] = 1;
  return writeJson(Value);
}

RegistrySnapshot readAll(WorkerRegistry &Registry) {
  RegistrySnapshot Read;
  Registry.list([&](const Result<RegistrySnapshot> &Snapshot) {
    Read = Snapshot.value();
  });
  return Read;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Registry)

// Guards against a worker that is kept as it was read before.
BOOST_AUTO_TEST_CASE(EveryReadTellsWhatTheEntriesHold) {
  FakeRows Rows;
  const auto Registry = makeWorkerRegistry(Rows);
  Rows.set("w1", entry(1000));
  Rows.set("w2", entry(2000));
  const RegistrySnapshot First = readAll(*Registry);
  BOOST_TEST_REQUIRE(First.Workers_.size() == 2U);
  BOOST_TEST(First.Workers_[0].Capacity_.MilliCpus_ == 1000);
  BOOST_TEST((readAll(*Registry) == First));

  Rows.Page_.Rows_[0].Value_ = entry(3000);
  const RegistrySnapshot Changed = readAll(*Registry);
  BOOST_TEST_REQUIRE(Changed.Workers_.size() == 2U);
  BOOST_TEST(Changed.Workers_[0].Capacity_.MilliCpus_ == 3000);
  BOOST_TEST((Changed.Workers_[1] == First.Workers_[1]));
}

// Guards against an earlier content in place of one that cannot be used, and
// against workers that have left.
BOOST_AUTO_TEST_CASE(UnusableAndRemovedEntriesAreNotKept) {
  FakeRows Rows;
  const auto Registry = makeWorkerRegistry(Rows);
  Rows.set("w1", entry(1000));
  Rows.set("w2", entry(1000));
  const RegistrySnapshot First = readAll(*Registry);
  for (const std::string Text : {"", "no JSON"}) {
    Rows.Page_.Rows_[0].Value_ = Text;
    for (int Read = 0; Read < 2; ++Read) {
      const RegistrySnapshot Broken = readAll(*Registry);
      BOOST_TEST_REQUIRE(Broken.Workers_.size() == 1U);
      BOOST_TEST(Broken.Workers_[0].Id_ == "w2");
      BOOST_TEST(Broken.UnusableEntries_.count("w1") == 1U);
    }
  }
  Rows.Page_.Rows_[0].Value_ = entry(1000);
  BOOST_TEST((readAll(*Registry) == First));

  Rows.Page_.Rows_.erase(Rows.Page_.Rows_.begin());
  const RegistrySnapshot Left = readAll(*Registry);
  BOOST_TEST_REQUIRE(Left.Workers_.size() == 1U);
  BOOST_TEST(Left.Workers_[0].Id_ == "w2");
  BOOST_TEST(Left.UnusableEntries_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
