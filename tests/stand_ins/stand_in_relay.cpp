// TCP relay on 127.0.0.1 whose links can be cut through a control port:
// POST /_cut {"pair": "name", "cut": true|false, "mode": "hang"|"refuse"}.

#include "core/codec.h"
#include "tests/stand_ins/http_server.h"
#include "tests/stand_ins/relay.h"
#include "tests/stand_ins/stand_in_main.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_int32(control_port, 9300, "port of the control requests");
DEFINE_string(pairs, "", "links: name=listen_port:target_port,...");

using namespace damaskglade;
using namespace damaskglade::stand_ins;

namespace {

std::vector<Link> parsePairs(const std::string &Text) {
  std::vector<Link> Links;
  std::istringstream Stream(Text);
  std::string Entry;
  while (std::getline(Stream, Entry, ',')) {
    const std::size_t Equals = Entry.find('=');
    const std::size_t Colon = Entry.find(':');
    if (Equals == std::string::npos || Colon == std::string::npos)
      continue;
    Links.push_back(Link{Entry.substr(0, Equals),
                         std::atoi(Entry.c_str() + Equals + 1),
                         std::atoi(Entry.c_str() + Colon + 1)});
  }
  return Links;
}

HttpResponse control(Relay &Links, const HttpRequest &Request) {
  const auto Body = parseJson(Request.Body_, "cut link");
  if (Request.Path_ != "/_cut" || !Body)
    return jsonResponse(400, Json::objectValue);
  const Json::Value &Value = Body.value();
  LinkState State = LinkState::Open;
  if (Value.get("cut", false).asBool())
    State = Value.get("mode", "hang").asString() == "refuse" ? LinkState::Refuse
                                                             : LinkState::Cut;
  const bool Known = Links.set(Value.get("pair", "").asString(), State);
  return jsonResponse(Known ? 200 : 404, Json::objectValue);
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  Relay Links(parsePairs(FLAGS_pairs));
  const HttpServer Control(
      FLAGS_control_port,
      [&Links](const HttpRequest &Request) { return control(Links, Request); });
  std::printf("relay with control port %d\n", FLAGS_control_port);
  std::fflush(stdout);
  runUntilStopped();
}
