#include "config/folder.h"
#include "config/registry.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>

using namespace damaskglade;
using namespace damaskglade::config;

namespace {

std::vector<std::string> messages(const std::vector<Problem> &Problems) {
  std::vector<std::string> Texts;
  Texts.reserve(Problems.size());
  for (const Problem &Each : Problems)
    Texts.push_back(describe(Each));
  return Texts;
}

void checkMessages(const std::vector<Problem> &Found,
                   const std::vector<std::string> &Expected) {
  const std::vector<std::string> Texts = messages(Found);
  BOOST_TEST(Texts == Expected, boost::test_tools::per_element());
}

const std::string NameRule =
    "must be 1 to 63 letters, digits, \"-\", \"_\" or \".\"";

constexpr const char *NodeFile = "[node]\n"
                                 "id = n1\n"
                                 "zone = klang-dock\n"
                                 "region = selangor\n"
                                 "listen = 127.0.0.1:7001\n"
                                 "[platform]\n"
                                 "table_url = http://127.0.0.1:8001\n"
                                 "objects_url = http://127.0.0.1:8002/b\n"
                                 "vm_list_url = http://127.0.0.1:8003/sd\n";

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

// Guards against a check that stops at the first error, and against errors
// without file and line.
BOOST_AUTO_TEST_CASE(EveryErrorIsListedWithFileAndLine) {
  const CheckedCell Checked =
      checkCell({{"10-base.ini", "[ownership]\n"
                                 "lease_s = 4\n"
                                 "renew_ms = 1s\n"
                                 "promise_ms = 99999\n"
                                 "colour = red\n"
                                 "nonsense\n"
                                 "[shares]\n"
                                 "x = 1\n"
                                 "[broken\n"
                                 "y = 2\n"},
                 {"20-team.ini", "[team a/b]\n"
                                 "weight = 1\n"
                                 "[team dock]\n"
                                 "weight = 2\n"
                                 "weight = 3\n"
                                 "quota_milli_cpus = -1\n"}});
  BOOST_TEST(!Checked.Settings_);
  checkMessages(
      Checked.Problems_,
      {"10-base.ini:2: wrong unit in key \"lease_s\"; use \"lease_ms\"",
       "10-base.ini:3: renew_ms = 1s: must be a whole number; its unit is ms",
       "10-base.ini:4: promise_ms = 99999: must be from 500 to 10000",
       "10-base.ini:5: unknown key \"colour\" in section [ownership]",
       "10-base.ini:6: not a \"key = value\" line",
       "10-base.ini:8: unknown section [shares]",
       "10-base.ini:9: section line without \"]\"",
       "20-team.ini:2: section [team a/b]: the team name " + NameRule,
       "20-team.ini:5: key \"weight\" is already set in line 4",
       "20-team.ini:6: quota_milli_cpus = -1: must be from 0 to 1000000000"});
}

// Guards against values that are valid alone but not together.
BOOST_AUTO_TEST_CASE(RelationsBetweenSettingsAreChecked) {
  const CheckedCell Checked =
      checkCell({{"a.ini", "[ownership]\nlease_ms = 1500\n"
                           "[class batch]\nmin_share_percent = 90\n"}});
  checkMessages(
      Checked.Problems_,
      {"a.ini:2: renew_ms must be at most half of lease_ms",
       "a.ini:4: min_share_percent of all classes together is 150; it must not "
       "exceed 100"});
}

// Guards against an order of merging other than that of the file names, and
// against hashes that depend on how the values are spread over files.
BOOST_AUTO_TEST_CASE(LaterFileOverridesAndTextIsCanonical) {
  const std::filesystem::path Dir =
      std::filesystem::temp_directory_path() /
      ("damaskglade-config-test-" + std::to_string(getpid()));
  std::filesystem::create_directories(Dir);
  std::ofstream(Dir / "20-site.ini") << "[ownership]\nlease_ms = 004500\n";
  std::ofstream(Dir / "10-base.ini")
      << "[team dock]\nweight = 5 ; heavier\n[ownership]\nlease_ms=3000\n";
  std::ofstream(Dir / "README.md") << "not settings\n";
  const CheckedCell Folder = checkFolder(Dir.string());
  std::filesystem::remove_all(Dir);
  BOOST_REQUIRE(Folder.Settings_);
  BOOST_TEST(Folder.Settings_.value().Ownership_.Lease_.Value_ == 4500);
  BOOST_TEST(Folder.Canonical_ ==
             "[ownership]\nlease_ms = 4500\n\n[team dock]\nweight = 5\n");
  const CheckedCell Single = checkCanonical(Folder.Canonical_);
  BOOST_REQUIRE(Single.Settings_);
  BOOST_TEST((Single.Settings_.value() == Folder.Settings_.value()));
  BOOST_TEST(Single.Hash_ == Folder.Hash_);
  BOOST_TEST(Single.Hash_.size() == 32U);
}

// Guards against a team section that resets the keys it leaves out.
BOOST_AUTO_TEST_CASE(TeamInheritsTheDefaultQuota) {
  const CheckedCell Checked = checkCell(
      {{"a.ini", "[team dock]\nweight = 3\n[team_default]\nweight = 2\n"
                 "quota_accelerators = 7\n"}});
  BOOST_REQUIRE(Checked.Settings_);
  const CellSettings &Cell = Checked.Settings_.value();
  BOOST_TEST(Cell.forTeam("dock").Weight_ == 3);
  BOOST_TEST(Cell.forTeam("dock").QuotaAccelerators_ == 7);
  BOOST_TEST(Cell.forTeam("other").Weight_ == 2);
}

// Guards against defaults out of range, keys without their unit, and two
// settings that share a key.
BOOST_AUTO_TEST_CASE(RegistryIsConsistent) {
  std::set<std::pair<std::string, std::string>> Seen;
  const std::string Reference = settingsMarkdown();
  for (const CellSetting &Each : cellSettings()) {
    BOOST_TEST_CONTEXT(Each.Section_ << " " << Each.Key_) {
      BOOST_TEST(Seen.emplace(Each.Section_, Each.Key_).second);
      BOOST_TEST(Each.Min_ <= defaultOf(Each));
      BOOST_TEST(defaultOf(Each) <= Each.Max_);
      BOOST_TEST((Each.Unit_.empty() || Each.Key_.ends_with(Each.Unit_)));
      BOOST_TEST(Reference.find("`" + Each.Key_ + "`") != std::string::npos);
    }
  }
  BOOST_TEST(checkCanonical("").Problems_.empty());
}

// Guards against a node that starts with a missing or mistyped identity.
BOOST_AUTO_TEST_CASE(ProcessFileIsChecked) {
  const CheckedProcess Good = checkProcess(
      {"node.ini", std::string(NodeFile) +
                       "[seeds]\npeers = 127.0.0.1:7002,\n  127.0.0.1:7003\n"});
  checkMessages(Good.Problems_, {});
  BOOST_REQUIRE(Good.Settings_);
  BOOST_TEST(Good.Settings_.value().Listen_.text() == "127.0.0.1:7001");
  BOOST_TEST(Good.Settings_.value().Seeds_.size() == 2U);
  BOOST_TEST((Good.Settings_.value().LogLevel_ == LogLevel::Info));

  const CheckedProcess Bad = checkProcess(
      {"node.ini", "[node]\nid = n 1\nlisten = localhost:70000\n[log]\n"
                   "level = loud\n"});
  checkMessages(Bad.Problems_,
                {"node.ini: missing key \"objects_url\" in section [platform]",
                 "node.ini: missing key \"region\" in section [node]",
                 "node.ini: missing key \"table_url\" in section [platform]",
                 "node.ini: missing key \"vm_list_url\" in section [platform]",
                 "node.ini: missing key \"zone\" in section [node]",
                 "node.ini:2: id = n 1: " + NameRule,
                 std::string("node.ini:3: listen = localhost:70000: ") +
                     "must be an IPv4 number and port, ip:port",
                 std::string("node.ini:5: level = loud: ") +
                     "must be one of debug, info, warning, error"});
}

BOOST_AUTO_TEST_SUITE_END()
