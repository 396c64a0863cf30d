#include "tests/overload/cases.h"

#include <algorithm>

namespace damaskglade::overload {

namespace {

// Limits for well-behaved clients, docs/design/hard_load.md.
constexpr std::size_t MaxBodyBytes = 262144;
constexpr std::size_t MaxHeaderBytes = 16384;
// More than the daemon may have descriptors, and more bytes than it may have
// memory.
constexpr int ManyClients = 400;
constexpr int ManyWholeRequests = 150;
constexpr int PipeliningClients = 20;
constexpr int PipelinedRequests = 500;

std::string head(const std::string &Method, const std::string &Path) {
  return Method + ' ' + Path + " HTTP/1.1\r\nHost: " + Host + "\r\n";
}

std::string makeChunked(const std::string &Path, const std::string &Body) {
  constexpr std::size_t ChunkBytes = 1024;
  std::string Text = head("POST", Path) + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t At = 0; At < Body.size(); At += ChunkBytes)
    Text += "400\r\n" + Body.substr(At, ChunkBytes) + "\r\n";
  return Text + "0\r\n\r\n";
}

std::string makeManyFields(const std::string &Path) {
  std::string Text = head("GET", Path);
  for (int Number = 0; Text.size() + 16 < MaxHeaderBytes; ++Number)
    Text += "a" + std::to_string(Number % 100) + ":\r\n";
  return Text + "\r\n";
}

// A job of legal size, which is filled up with empty objects.
std::string makeManyValues() {
  std::string Body = R"({"spec":"x","phases":[{"count":1,"cpu":100}],"fill":[)";
  while (Body.size() + 8 < MaxBodyBytes)
    Body += "{},";
  return Body + "{}]}";
}

std::string withoutLastByte(std::string Text) {
  Text.pop_back();
  return Text;
}

std::vector<Client> repeat(int Count, int Port, std::string Text) {
  Client Each;
  Each.Port_ = Port;
  Each.Text_ = std::make_shared<const std::string>(std::move(Text));
  return std::vector<Client>(static_cast<std::size_t>(Count), Each);
}

std::vector<Client> makeSlowClients(int Port) {
  const std::string Request = makeRequest("GET", "/work/none", "");
  auto All = repeat(ManyClients / 2, Port, Request.substr(0, 30));
  for (Client &Each : repeat(ManyClients / 2, Port, Request)) {
    Each.PieceBytes_ = 1;
    Each.Gap_ = Millis{200};
    Each.MaxReadBytes_ = 1;
    All.push_back(Each);
  }
  return All;
}

} // namespace

std::string makeRequest(const std::string &Method, const std::string &Path,
                        const std::string &Body) {
  return head(Method, Path) + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::vector<Client> makeClients(const std::string &Case, int CallerPort,
                                int ReadinessPort) {
  const std::string JobId = "/work/0123456789abcdef";
  const std::string Body(MaxBodyBytes, ' ');
  const auto Stalled = [&](const std::string &Path) {
    return withoutLastByte(makeRequest("POST", Path, Body));
  };
  if (Case == "stalled_body")
    return repeat(ManyClients, CallerPort, Stalled(JobId));
  if (Case == "stalled_body_in_pieces") {
    auto All = repeat(ManyClients, CallerPort, Stalled(JobId));
    for (Client &Each : All) {
      Each.PieceBytes_ = 2048;
      Each.Gap_ = Millis{10};
    }
    return All;
  }
  if (Case == "stalled_body_chunked")
    return repeat(ManyClients, CallerPort,
                  withoutLastByte(makeChunked(JobId, Body)));
  if (Case == "stalled_body_without_route")
    return repeat(ManyClients, CallerPort, Stalled("/nowhere"));
  if (Case == "stalled_body_readiness")
    return repeat(ManyClients, ReadinessPort, Stalled("/"));
  if (Case == "oversized_body") {
    auto All = repeat(ManyClients / 2, CallerPort,
                      makeRequest("POST", JobId, std::string(1 << 24, ' ')));
    const auto Chunked = repeat(ManyClients / 2, CallerPort,
                                makeChunked(JobId, std::string(1 << 24, ' ')));
    All.insert(All.end(), Chunked.begin(), Chunked.end());
    return All;
  }
  if (Case == "many_fields")
    return repeat(ManyClients, CallerPort, makeManyFields("/work/none"));
  if (Case == "many_fields_stalled")
    return repeat(ManyClients, CallerPort,
                  withoutLastByte(makeManyFields("/work/none")));
  if (Case == "many_json_values")
    return repeat(ManyWholeRequests, CallerPort,
                  makeRequest("POST", JobId, makeManyValues()));
  if (Case == "many_json_values_stalled")
    return repeat(
        ManyClients, CallerPort,
        withoutLastByte(makeRequest("POST", JobId, makeManyValues())));
  if (Case == "pipelined") {
    std::string Text;
    for (int Count = 0; Count < PipelinedRequests; ++Count)
      Text += makeRequest("GET", "/work/none", "");
    auto All = repeat(PipeliningClients, CallerPort, Text);
    for (Client &Each : All)
      Each.MaxReadBytes_ = 0;
    return All;
  }
  if (Case == "slow_clients")
    return makeSlowClients(CallerPort);
  return {};
}

} // namespace damaskglade::overload
