#include "config/registry.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

using namespace damaskglade;

namespace {

const std::string Begin = "<!-- settings begin -->\n";
const std::string End = "<!-- settings end -->";

std::string readPage() {
  std::ifstream In(DAMASKGLADE_OPERATORS_PAGE);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

// Guards against a setting that is added, removed or changed in the registry
// while the operators' page keeps the old reference.
BOOST_AUTO_TEST_CASE(operators_page_holds_the_current_settings_reference) {
  const std::string Page = readPage();
  const auto From = Page.find(Begin);
  BOOST_REQUIRE_MESSAGE(From != std::string::npos,
                        "no settings reference in " DAMASKGLADE_OPERATORS_PAGE);
  const auto Start = From + Begin.size();
  const auto To = Page.find(End, Start);
  BOOST_REQUIRE(To != std::string::npos);
  BOOST_TEST(Page.substr(Start, To - Start) == config::settingsMarkdown());
}
