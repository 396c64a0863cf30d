#include "drivers/platform/table_client.h"
#include "tests/platform/fixtures.h"
#include "tests/stand_ins/table_service.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::tests;
using stand_ins::Faults;

namespace {

struct TableFixture {
  Served<stand_ins::TableService> Table_{std::uint64_t{1}};
  std::unique_ptr<TableStore> Client_ = drivers::makeTableClient(Table_.url());

  void set(const Faults &Value) { Table_.Service_.panel().set(Value); }

  Status put(const std::string &Id, std::int64_t Expected,
             const std::string &Body, const std::string &Token = {}) {
    return Client_->commit({TableWrite{{"job", Id}, Expected, Body, false}},
                           Token, CallTimeout);
  }

  std::optional<TableRow> row(const std::string &Id) {
    auto Read = Client_->read({"job", Id}, CallTimeout);
    BOOST_REQUIRE(Read);
    return Read.value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TableClient, TableFixture)

// Guards against rows whose body or version changes on the way, and against
// conditions that are not sent.
BOOST_AUTO_TEST_CASE(WritesAreConditional) {
  const std::string Body = "{\"text\":\"\\u00e9 \\\" \n\"}";
  BOOST_REQUIRE(put("a", 0, Body));
  BOOST_TEST((row("a") == TableRow{{"job", "a"}, 1, Body}));
  const Status Twice = put("a", 0, "other");
  BOOST_REQUIRE(!Twice);
  BOOST_TEST((Twice.error().Reason_ == Reason::TableConflict));
  BOOST_TEST((Twice.error().Effect_ == Effect::None));
  BOOST_REQUIRE(put("a", 1, "next"));
  BOOST_TEST(row("a")->Version_ == 2);
  BOOST_TEST(!put("a", 1, "stale"));
  BOOST_TEST(!Client_->commit({TableWrite{{"job", "a"}, 1, "", true}}, "",
                              CallTimeout));
  BOOST_REQUIRE(Client_->commit({TableWrite{{"job", "a"}, 2, "", true}}, "",
                                CallTimeout));
  BOOST_TEST(!row("a").has_value());
}

// Guards against a transaction of which a part is applied.
BOOST_AUTO_TEST_CASE(TransactionIsAllOrNothing) {
  BOOST_REQUIRE(put("b", 0, "old"));
  const Status Mixed =
      Client_->commit({TableWrite{{"job", "a"}, 0, "new", false},
                       TableWrite{{"job", "b"}, 7, "new", false}},
                      "", CallTimeout);
  BOOST_REQUIRE(!Mixed);
  BOOST_TEST((Mixed.error().Reason_ == Reason::TableConflict));
  BOOST_TEST(!row("a").has_value());
  BOOST_TEST(row("b")->Body_ == "old");
}

// Guards against a lost answer that is taken for a failed write: the row is
// there, so "not applied" would be untrue.
BOOST_AUTO_TEST_CASE(LostAnswerHasUnknownEffect) {
  set(Faults{.DropAnswers_ = 1.0});
  const Status Lost = put("a", 0, "x", "token");
  BOOST_REQUIRE(!Lost);
  BOOST_TEST((Lost.error().Reason_ == Reason::TableUnavailable));
  BOOST_TEST((Lost.error().Effect_ == Effect::Unknown));
  set(Faults{});
  BOOST_TEST(row("a")->Version_ == 1);
  // The token makes the repeat succeed without a second effect.
  BOOST_TEST(put("a", 0, "x", "token").has_value());
  BOOST_TEST(row("a")->Version_ == 1);
}

// Guards against a token above the service's limit of 36 bytes, which the
// service rejects.
BOOST_AUTO_TEST_CASE(LongTokensAreShortened) {
  const std::string Token(80, 't');
  BOOST_REQUIRE(put("a", 0, "x", Token));
  BOOST_REQUIRE(put("a", 0, "x", Token));
  BOOST_TEST(row("a")->Version_ == 1);
}

// Guards against a write that takes effect after its failure was reported and
// that the client calls "not applied".
BOOST_AUTO_TEST_CASE(LateWriteHasUnknownEffect) {
  set(Faults{.DropAnswers_ = 1.0, .LateWrite_ = Millis{300}});
  const Status Late = put("a", 0, "x");
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().Effect_ == Effect::Unknown));
  set(Faults{});
  BOOST_TEST(!row("a").has_value());
  for (int Try = 0; Try < 100 && !row("a"); ++Try)
    sleepFor(Millis{50});
  BOOST_TEST(row("a").has_value());
}

// Guards against throttling that is handled like an ambiguous failure.
BOOST_AUTO_TEST_CASE(ThrottlingHasNoEffect) {
  set(Faults{.Throttle_ = 1.0});
  const Status Throttled = put("a", 0, "x");
  BOOST_REQUIRE(!Throttled);
  BOOST_TEST((Throttled.error().Reason_ == Reason::TableUnavailable));
  BOOST_TEST((Throttled.error().Effect_ == Effect::None));
  BOOST_TEST((Throttled.error().RetryAfter_ > Millis{}));
  set(Faults{});
  BOOST_TEST(!row("a").has_value());
}

// Guards against a truncated body that is read as an absent or shorter row.
BOOST_AUTO_TEST_CASE(TruncatedAnswersAreErrors) {
  BOOST_REQUIRE(put("a", 0, std::string(1000, 'x')));
  set(Faults{.Truncate_ = 1.0});
  const auto Read = Client_->read({"job", "a"}, CallTimeout);
  BOOST_REQUIRE(!Read);
  BOOST_TEST((Read.error().Reason_ == Reason::TableUnavailable));
  const auto Listed = Client_->list("job", "", "", 10, CallTimeout);
  BOOST_TEST(!Listed);
  const Status Written = put("a", 1, "y");
  BOOST_REQUIRE(!Written);
  BOOST_TEST((Written.error().Effect_ == Effect::Unknown));
}

// Guards against a refused connection, where nothing was sent, that is
// reported as an unknown effect.
BOOST_AUTO_TEST_CASE(RefusedConnectionHasNoEffect) {
  const auto Client = drivers::makeTableClient("http://" + closedAddress());
  const Status Refused = Client->commit(
      {TableWrite{{"job", "a"}, 0, "x", false}}, "", CallTimeout);
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::TableUnavailable));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
}

// Guards against calls that outlast their timeout when the service hangs.
BOOST_AUTO_TEST_CASE(HangingServiceTimesOut) {
  set(Faults{.Hang_ = true});
  const SystemClock Clock;
  const Millis Start = Clock.monotonic();
  const Status Hung = Client_->commit({TableWrite{{"job", "a"}, 0, "x", false}},
                                      "", Millis{200});
  const Millis Took = Clock.monotonic() - Start;
  BOOST_REQUIRE(!Hung);
  BOOST_TEST((Hung.error().Effect_ == Effect::Unknown));
  BOOST_TEST(Took.Value_ >= 190);
  BOOST_TEST(Took.Value_ < 2000);
  set(Faults{});
}

// Guards against a down service whose closed connection reads as success.
BOOST_AUTO_TEST_CASE(DownServiceIsUnavailable) {
  BOOST_REQUIRE(put("a", 0, "x"));
  set(Faults{.Down_ = true});
  BOOST_TEST(!Client_->read({"job", "a"}, CallTimeout));
  BOOST_TEST(!put("a", 1, "y"));
  set(Faults{});
  BOOST_TEST(row("a")->Version_ == 1);
}

// Guards against lists that end with the first page, include other kinds or
// prefixes, or repeat the row at which they continue.
BOOST_AUTO_TEST_CASE(ListFollowsPages) {
  constexpr int RowCount = 250;
  for (int First = 0; First < RowCount; First += 50) {
    std::vector<TableWrite> Writes;
    for (int Index = First; Index < First + 50; ++Index)
      Writes.push_back(TableWrite{
          {"job", "p" + std::to_string(1000 + Index)}, 0, "x", false});
    BOOST_REQUIRE(Client_->commit(Writes, "", CallTimeout));
  }
  BOOST_REQUIRE(put("q1", 0, "x"));
  BOOST_REQUIRE(Client_->commit({TableWrite{{"jobs", "p1"}, 0, "x", false}}, "",
                                CallTimeout));
  const auto All = Client_->list("job", "p", "", 1000, CallTimeout);
  BOOST_REQUIRE(All);
  BOOST_TEST(All.value().size() == RowCount);
  BOOST_TEST(All.value().front().Key_.Id_ == "p1000");
  const auto Rest = Client_->list("job", "p", "p1099", 120, CallTimeout);
  BOOST_REQUIRE(Rest);
  BOOST_TEST(Rest.value().size() == 120U);
  BOOST_TEST(Rest.value().front().Key_.Id_ == "p1100");
  BOOST_TEST(Rest.value().back().Key_.Id_ == "p1219");
  const auto Every = Client_->list("job", "", "", 1000, CallTimeout);
  BOOST_REQUIRE(Every);
  BOOST_TEST(Every.value().size() == RowCount + 1U);
}

// Guards against a client that mixes up the replies of concurrent calls.
BOOST_AUTO_TEST_CASE(ConcurrentWritersAreSerialized) {
  constexpr int ThreadCount = 6;
  constexpr int Increments = 20;
  BOOST_REQUIRE(put("n", 0, "0"));
  {
    std::vector<Thread> Threads;
    for (int Index = 0; Index < ThreadCount; ++Index)
      Threads.emplace_back([this] {
        for (int Done = 0; Done < Increments;) {
          const auto Read = Client_->read({"job", "n"}, CallTimeout);
          if (!Read || !Read.value())
            continue;
          const TableRow &Row = *Read.value();
          const std::string Next = std::to_string(std::stoi(Row.Body_) + 1);
          if (put("n", Row.Version_, Next))
            ++Done;
        }
      });
  }
  BOOST_TEST(row("n")->Body_ == std::to_string(ThreadCount * Increments));
  BOOST_TEST(row("n")->Version_ == ThreadCount * Increments + 1);
}

BOOST_AUTO_TEST_SUITE_END()
