#include "records/job_row.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::records;

BOOST_AUTO_TEST_SUITE(JobRows)

// Guards against a write that counts as lost because other writers followed
// it before it was read back.
BOOST_AUTO_TEST_CASE(TrailDecidesEarlierWrites) {
  JobRecord Record;
  Record.Id_ = "job";
  Record.Spec_.Team_ = "dock";
  Record.Spec_.Key_ = "wash";
  Record.Home_ = "n1";
  const RowChange Ours = makeRowChange(Record, std::nullopt, "n1#1", Millis{});
  RowChange Later = Ours;
  for (int Number = 0; Number < 5; ++Number) {
    const auto Expected =
        Number < 4 ? WriteOutcome::Applied : WriteOutcome::Undecided;
    const TableRow Row{{JobKind, "job"},
                       Later.MetaAfter_.Version_,
                       Later.Writes_.front().Body_};
    BOOST_TEST((decideOutcome(Ours, decodeJobRow(Row).value()) == Expected));
    Later = makeRowChange(Record, Later.MetaAfter_,
                          "n2#" + std::to_string(Number), Millis{});
  }
  const RowChange Other = makeRowChange(Record, std::nullopt, "n3#1", Millis{});
  const TableRow Row{{JobKind, "job"}, 1, Other.Writes_.front().Body_};
  BOOST_TEST((decideOutcome(Ours, decodeJobRow(Row).value()) ==
              WriteOutcome::Conflict));
  BOOST_TEST((decideOutcome(Ours, std::nullopt) == WriteOutcome::NotYet));
}

BOOST_AUTO_TEST_SUITE_END()
