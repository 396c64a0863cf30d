#include "records/job_row.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::records;

BOOST_AUTO_TEST_SUITE(JobRows)

// Guards against an applied write that is taken for lost because other writers
// changed the row before it was read back.
BOOST_AUTO_TEST_CASE(RecentWritesDecideEarlierWrites) {
  JobRecord Record;
  Record.Id_ = "job";
  Record.Spec_.Team_ = "dock";
  Record.Spec_.Key_ = "wash";
  Record.Home_ = "n1";
  const RowChange Change =
      makeRowChange(Record, std::nullopt, "n1#1", Millis{});
  RowChange Latest = Change;
  for (int Number = 0; Number < 5; ++Number) {
    const auto Expected =
        Number < 4 ? WriteOutcome::Applied : WriteOutcome::Undecided;
    const TableRow Row{{JobKind, "job"},
                       Latest.NewMeta_.Version_,
                       Latest.Writes_.front().Body_};
    BOOST_TEST(
        (determineOutcome(Change, decodeJobRow(Row).value()) == Expected));
    Latest = makeRowChange(Record, Latest.NewMeta_,
                           "n2#" + std::to_string(Number), Millis{});
  }
  const RowChange Other = makeRowChange(Record, std::nullopt, "n3#1", Millis{});
  const TableRow Row{{JobKind, "job"}, 1, Other.Writes_.front().Body_};
  BOOST_TEST((determineOutcome(Change, decodeJobRow(Row).value()) ==
              WriteOutcome::Conflict));
  BOOST_TEST(
      (determineOutcome(Change, std::nullopt) == WriteOutcome::NotYetApplied));
}

BOOST_AUTO_TEST_SUITE_END()
