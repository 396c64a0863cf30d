#include "policy/placement.h"
#include "policy/shard_choice.h"
#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace damaskglade;
using namespace damaskglade::policy;

BOOST_AUTO_TEST_SUITE(ShardChoice)

// Guards against a service whose tasks all run in one rack or zone because each
// shard places tasks independently.
BOOST_AUTO_TEST_CASE(ServicesSpreadOverShards) {
  std::map<std::string, Ledger> Shards;
  std::map<std::string, std::string> Zones;
  for (int Number = 0; Number < 48; ++Number) {
    const WorkerInfo Info = makeWorker(Number);
    const std::string Shard = Info.Zone_ + "/" + Info.Rack_;
    BOOST_REQUIRE(Shards[Shard].putWorker(Info));
    Zones[Shard] = Info.Zone_;
  }
  const Resources Size{1000, 512, 0, 1, 1};
  std::map<std::string, int> PerShard;
  for (int Task = 0; Task < 12; ++Task) {
    std::vector<ShardSummary> Summaries;
    Summaries.reserve(Shards.size());
    for (const auto &[Shard, Accounts] : Shards)
      Summaries.push_back(summarizeShard(Accounts, Shard, Zones[Shard], "job"));
    const auto Order = rankShards(Summaries, TaskClass::Service, Size);
    BOOST_REQUIRE(!Order.empty());
    Ledger &Accounts = Shards.at(Order.front().Shard_);
    PlacementRequest Request;
    Request.Job_ = "job";
    Request.Class_ = TaskClass::Service;
    Request.Size_ = Size;
    const auto Chosen = place(Accounts, Request);
    BOOST_REQUIRE(Chosen);
    BOOST_REQUIRE(Accounts.reserve(
        makeReservation("job." + std::to_string(Task) + ".1", Chosen->Worker_,
                        Size, TaskClass::Service)));
    ++PerShard[Order.front().Shard_];
  }
  BOOST_TEST(PerShard.size() == 6u);
  for (const auto &[Shard, Count] : PerShard)
    BOOST_TEST(Count == 2);
}

// Guards against batch work on idle shards, lookups on busy shards, and work
// without accelerators on shards with accelerators.
BOOST_AUTO_TEST_CASE(OrderFollowsTheClass) {
  const Resources Capacity{16000, 65536, 0, 8, 64};
  const std::vector<ShardSummary> Shards{
      {"full", "a", Capacity, {100, 65536, 0, 8, 64}, 0},
      {"busy", "a", Capacity, {8000, 65536, 0, 8, 64}, 0},
      {"idle", "b", Capacity, Capacity, 0},
      {"accelerated",
       "b",
       {16000, 65536, 4, 8, 64},
       {9000, 65536, 4, 8, 64},
       0}};
  const Resources Size{1000, 512, 0, 1, 1};
  const auto Batch = rankShards(Shards, TaskClass::Batch, Size);
  BOOST_REQUIRE(Batch.size() == 3u);
  BOOST_TEST(Batch.front().Shard_ == "busy");
  BOOST_TEST(Batch.back().Shard_ == "accelerated");
  BOOST_TEST(rankShards(Shards, TaskClass::Lookup, Size).front().Shard_ ==
             "idle");
}

BOOST_AUTO_TEST_SUITE_END()
