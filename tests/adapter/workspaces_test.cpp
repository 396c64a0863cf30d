// Workspaces and API keys in the operators' configuration.

#include "platform/settings.h"
#include "platform/store.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::platform;

namespace {

std::string withTenants(const std::string &Tenants) {
  return R"({"version":7,"routes":[{"name":"open","host":"h",)"
         R"("pathPrefix":"/a/","service":"s","public":true},{"name":"closed",)"
         R"("host":"h","pathPrefix":"/b/","service":"s"}],"tenants":)" +
         Tenants + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Workspaces)

BOOST_AUTO_TEST_CASE(WorkspacesAreDecoded) {
  const auto Config = decodeConfig(withTenants(
      R"([{"name":"lab","apiKeys":["k1","k2"],"priority":1,"weight":2.5,)"
      R"("maxCount":{"cpu":8000,"memMb":900,"gpu":0}},)"
      R"({"name":"desk","apiKeys":[]}])"));
  BOOST_TEST_REQUIRE(Config.has_value());
  const CellConfig &Decoded = Config.value();
  BOOST_TEST(Decoded.KeysRequired_);
  BOOST_TEST(Decoded.Routes_[0].Public_);
  BOOST_TEST(!Decoded.Routes_[1].Public_);
  const dispatch::WorkspacePolicy Lab{2.5, dispatch::Size{8000, 900, 0}};
  BOOST_TEST((Decoded.Workspaces_.at("lab") == Lab));
  BOOST_TEST((Decoded.Workspaces_.at("desk") == dispatch::WorkspacePolicy{}));
  BOOST_TEST(Decoded.WorkspaceOfKey_.at("k2") == "lab");
  BOOST_TEST(Decoded.WorkspaceOfKey_.size() == 2);
}

// Guards against cells without workspaces that ask for keys, and against keys
// that are no longer asked for once the last workspace is removed.
BOOST_AUTO_TEST_CASE(KeysAreAskedForIfTheConfigurationHasAListOfWorkspaces) {
  const auto Without = decodeConfig(R"({"version":7,"routes":[]})");
  BOOST_TEST_REQUIRE(Without.has_value());
  BOOST_TEST(!Without.value().KeysRequired_);
  const auto Empty = decodeConfig(withTenants("[]"));
  BOOST_TEST_REQUIRE(Empty.has_value());
  BOOST_TEST(Empty.value().KeysRequired_);
}

// Guards against a version that is taken in part, which would leave keys or
// limits of no version in force.
BOOST_AUTO_TEST_CASE(InvalidWorkspacesRejectTheVersion) {
  for (const char *Tenants :
       {"7", "{}", R"({"name":"lab"})", "[7]", "[{}]", R"([{"name":""}])",
        R"([{"name":"lab"},{"name":"lab"}])", R"([{"name":"lab","weight":-1}])",
        R"([{"name":"lab","weight":"x"}])",
        R"([{"name":"lab","maxCount":{"cpu":-1}}])",
        R"([{"name":"lab","maxCount":{"memMb":[]}}])",
        R"([{"name":"lab","maxCount":7}])",
        R"([{"name":"lab","apiKeys":[""]}])",
        R"([{"name":"lab","apiKeys":[7]}])",
        R"([{"name":"lab","apiKeys":["k"]},{"name":"desk","apiKeys":["k"]}])"})
    BOOST_TEST(!decodeConfig(withTenants(Tenants)).has_value(), Tenants);
}

// Guards against keys in log files: decoding errors are logged.
BOOST_AUTO_TEST_CASE(ErrorsNameWorkspacesButNoKeys) {
  const auto Config =
      decodeConfig(withTenants(R"([{"name":"lab","apiKeys":["secret"]},)"
                               R"({"name":"desk","apiKeys":["secret"]}])"));
  BOOST_TEST_REQUIRE(!Config.has_value());
  const std::string Text = describe(Config.error());
  BOOST_TEST(Text.find("desk") != std::string::npos);
  BOOST_TEST(Text.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
