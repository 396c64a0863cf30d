#include "drivers/platform/object_client.h"
#include "drivers/platform/vm_list_client.h"
#include "drivers/platform/worker_client.h"
#include "tests/platform/fixtures.h"
#include "tests/stand_ins/object_service.h"
#include "tests/stand_ins/relay.h"
#include "tests/stand_ins/vm_list_service.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::tests;
using stand_ins::Faults;

BOOST_AUTO_TEST_SUITE(ObjectClient)

// Guards against bodies that change on the way and against a missing object
// that is reported as an outage.
BOOST_AUTO_TEST_CASE(ObjectsSurviveRoundTrip) {
  const Served<stand_ins::ObjectService> Store{std::uint64_t{1}};
  const auto Client = drivers::makeObjectClient(Store.url());
  const std::string Body("a\0b\r\n\xff", 6);
  BOOST_REQUIRE(Client->put("name", Body, CallTimeout));
  const auto Read = Client->get("name", CallTimeout);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read.value() == Body);
  const auto Missing = Client->get("other", CallTimeout);
  BOOST_REQUIRE(!Missing);
  BOOST_TEST((Missing.error().Reason_ == Reason::NotFound));
}

// Guards against a part of an object that is taken for the whole.
BOOST_AUTO_TEST_CASE(FaultsAreErrors) {
  Served<stand_ins::ObjectService> Store{std::uint64_t{1}};
  const auto Client = drivers::makeObjectClient(Store.url());
  BOOST_REQUIRE(Client->put("name", "some body", CallTimeout));
  const std::vector<Faults> Cases = {
      Faults{.Down_ = true}, Faults{.DropAnswers_ = 1.0},
      Faults{.Truncate_ = 1.0}, Faults{.Throttle_ = 1.0}};
  for (const Faults &Fault : Cases) {
    Store.Service_.panel().set(Fault);
    const auto Read = Client->get("name", CallTimeout);
    BOOST_REQUIRE(!Read);
    BOOST_TEST((Read.error().Reason_ == Reason::ObjectStoreUnavailable));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(VmListClient)

namespace {

constexpr const char *Vms =
    R"([{"id":"w1","zone":"z","rack":"r","address":"127.0.0.1:1",)"
    R"("role":"worker","state":"leaving"},{"id":"n1","zone":"z","rack":"",)"
    R"("address":"127.0.0.1:2","role":"node","state":"live"}])";

template <typename Service>
void post(Service &To, const std::string &Path, const std::string &Body) {
  BOOST_REQUIRE(
      To.handle(stand_ins::HttpRequest{"POST", Path, "", Body}).Status_ == 200);
}

} // namespace

// Guards against labels that are mixed up, and against a list that does not
// lag in tests that depend on the lag.
BOOST_AUTO_TEST_CASE(ListIsDecodedAndLags) {
  Served<stand_ins::VmListService> List{std::uint64_t{1}, Millis{300}};
  const auto Client = drivers::makeVmListClient(List.url() + "/vms");
  post(List.Service_, "/_vms", Vms);
  const auto Read = Client->list(CallTimeout);
  BOOST_REQUIRE(Read);
  const std::vector<VmEntry> Expected = {
      VmEntry{"w1", "z", "r", "127.0.0.1:1", true, true},
      VmEntry{"n1", "z", "", "127.0.0.1:2", false, false}};
  BOOST_TEST((Read.value() == Expected));
  post(List.Service_, "/_vms", "[]");
  BOOST_TEST(Client->list(CallTimeout).value().size() == 2U);
  for (int Try = 0; Try < 100 && !Client->list(CallTimeout).value().empty();
       ++Try)
    sleepFor(Millis{50});
  BOOST_TEST(Client->list(CallTimeout).value().empty());
}

// Guards against an outage of the list that looks as if all VMs had gone.
BOOST_AUTO_TEST_CASE(FaultsAreErrors) {
  Served<stand_ins::VmListService> List{std::uint64_t{1}, Millis{}};
  const auto Client = drivers::makeVmListClient(List.url());
  post(List.Service_, "/_vms", Vms);
  for (const Faults &Fault : {Faults{.Down_ = true}, Faults{.Truncate_ = 1.0},
                              Faults{.Throttle_ = 1.0}}) {
    List.Service_.panel().set(Fault);
    BOOST_TEST(!Client->list(CallTimeout));
  }
  List.Service_.panel().set(Faults{});
  post(List.Service_, "/_vms", R"([{"id":"w1","role":"other"}])");
  BOOST_TEST(!Client->list(CallTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Relay)

// Guards against links that stay open in partition tests, and against a cut
// that loses bytes instead of delaying them.
BOOST_AUTO_TEST_CASE(CutLinksDelayAndRefusedLinksFail) {
  const ServedWorker Worker;
  stand_ins::Relay Links({stand_ins::Link{"a", 0, Worker.port()}});
  const std::string Address = "127.0.0.1:" + std::to_string(Links.port("a"));
  const auto Client = drivers::makeWorkerClient();
  BOOST_REQUIRE(Client->state(Address, "x.0.1", CallTimeout));
  Links.set("a", stand_ins::LinkState::Cut);
  sleepFor(Millis{50});
  const auto Cut = Client->state(Address, "x.0.1", Millis{200});
  BOOST_REQUIRE(!Cut);
  BOOST_TEST((Cut.error().Effect_ == Effect::Unknown));
  Links.set("a", stand_ins::LinkState::Refuse);
  sleepFor(Millis{50});
  BOOST_TEST(!Client->state(Address, "x.0.1", CallTimeout));
  Links.set("a", stand_ins::LinkState::Open);
  sleepFor(Millis{50});
  BOOST_TEST(Client->state(Address, "x.0.1", CallTimeout).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
