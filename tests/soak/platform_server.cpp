#include "tests/soak/platform_server.h"

#include "core/codec.h"

#include <boost/beast/core/detail/base64.hpp>

namespace damaskglade::soak {

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 412;
constexpr int Unavailable = 503;
constexpr Millis SlowAnswer{250};
constexpr Millis LateWrite{1500};
constexpr std::size_t PageRows = 500;

std::string unescape(const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    constexpr int Hexadecimal = 16;
    constexpr std::size_t Digits = 2;
    if (Text[At] != '%') {
      Out += Text[At];
      continue;
    }
    Out += static_cast<char>(
        std::stoi(Text.substr(At + 1, Digits), nullptr, Hexadecimal));
    At += Digits;
  }
  return Out;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Out;
  auto At = Target.find('?');
  while (At != std::string::npos) {
    const auto End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    const auto Equal = Pair.find('=');
    Out[Pair.substr(0, Equal)] = unescape(Pair.substr(Equal + 1));
    At = End;
  }
  return Out;
}

std::int64_t number(const std::map<std::string, std::string> &Query,
                    const char *Key) {
  const auto Found = Query.find(Key);
  return Found == Query.end() ? 0 : std::stoll(Found->second);
}

} // namespace

Status PlatformServer::listen(const std::vector<std::string> &StoreAddresses,
                              const std::vector<std::string> &AdviceAddresses) {
  drivers::ListenerLimits Limits;
  constexpr std::size_t MostBytes = std::size_t{2} * 1024 * 1024;
  Limits.BodyBytes_ = MostBytes;
  for (std::size_t Caller = 0; Caller < StoreAddresses.size(); ++Caller) {
    const auto Handle = [this, Caller](const WebRequest &Request,
                                       const WebReplier &Reply) {
      handleStore(Caller, Request, Reply);
    };
    BOOST_OUTCOME_TRYV(Loop_.listen(StoreAddresses[Caller], Limits, Handle));
  }
  for (const std::string &Each : AdviceAddresses) {
    const auto Handle = [this, Each](const WebRequest &Request,
                                     const WebReplier &Reply) {
      advise(Request, Reply, AdviceFreeAt_[Each]);
    };
    BOOST_OUTCOME_TRYV(Loop_.listen(Each, Limits, Handle));
  }
  return success();
}

void PlatformServer::put(const std::string &Table, const std::string &Key,
                         const Json::Value &Value) {
  put(Table, Key, writeJson(Value));
}

void PlatformServer::put(const std::string &Table, const std::string &Key,
                         const std::string &Text) {
  std::string Encoded(base64::encoded_size(Text.size()), '\0');
  Encoded.resize(base64::encode(Encoded.data(), Text.data(), Text.size()));
  Rows_[{Table, "", Key}] = Row{Encoded, ++Version_, false};
  wakeFeeds();
}

void PlatformServer::remove(const std::string &Table, const std::string &Key) {
  Rows_[{Table, "", Key}] = Row{"", ++Version_, true};
  wakeFeeds();
}

StoreFault PlatformServer::faultOf(std::size_t Caller,
                                   const WebRequest &Request) const {
  const auto CallerFault = CallerFaults_.find(Caller);
  if (CallerFault != CallerFaults_.end())
    return CallerFault->second;
  if (Fault_ != StoreFault::None || PartFaults_.empty())
    return Fault_;
  auto Query = parseQuery(Request.Target_);
  std::string Part = Query["part"];
  if (Request.Method_ == "POST") {
    const auto Change = parseJson(Request.Body_, "stand-in transaction");
    if (Change)
      Part = Change.value()["expectedRev"][0]["part"].asString();
  }
  const auto Fault = PartFaults_.find(Part);
  return Fault == PartFaults_.end() ? Fault_ : Fault->second;
}

void PlatformServer::handleStore(std::size_t Caller, const WebRequest &Request,
                                 const WebReplier &Reply) {
  switch (faultOf(Caller, Request)) {
  case StoreFault::Refuses:
    return Reply(WebReply{Unavailable, "{}"});
  case StoreFault::Silent:
    return;
  case StoreFault::Slow:
    return Loop_.after(SlowAnswer,
                       [this, Request, Reply] { answer(Request, Reply); });
  case StoreFault::LosesAnswers:
    if (Request.Method_ == "POST" && Random_() % 2 == 0) {
      const Millis Delay = Random_() % 2 == 0 ? Millis{} : LateWrite;
      return Loop_.after(Delay, [this, Request] { transact(Request.Body_); });
    }
    break;
  case StoreFault::None:
    break;
  }
  answer(Request, Reply);
}

void PlatformServer::answer(const WebRequest &Request,
                            const WebReplier &Reply) {
  const std::string Path = Request.Target_.substr(0, Request.Target_.find('?'));
  const auto Query = parseQuery(Request.Target_);
  if (Path == "/api/rows-tx")
    return Reply(transact(Request.Body_));
  if (Path == "/api/rows-get")
    return Reply(read(Query));
  if (Path == "/api/rows-feed")
    return follow(Query, Reply);
  Reply(WebReply{NotFound, "{}"});
}

Json::Value PlatformServer::show(const Name &Key, const Row &Value) const {
  Json::Value Out;
  Out["table"] = std::get<0>(Key);
  Out["part"] = std::get<1>(Key);
  Out["key"] = std::get<2>(Key);
  Out["ver"] = Json::Int64(Value.Deleted_ ? 0 : Value.Version_);
  if (Value.Deleted_)
    Out["deleted"] = true;
  else
    Out["value"] = Value.Value_;
  return Out;
}

WebReply PlatformServer::transact(const std::string &Body) {
  const auto Parsed = parseJson(Body, "stand-in transaction");
  if (!Parsed)
    return WebReply{NotFound, "{}"};
  const Json::Value &Change = Parsed.value();
  const auto NameOf = [](const Json::Value &Entry) {
    return Name{Entry["table"].asString(), Entry["part"].asString(),
                Entry["key"].asString()};
  };
  Json::Value Out;
  bool Holds = true;
  for (const Json::Value &Each : Change["expectedRev"]) {
    const auto Found = Rows_.find(NameOf(Each));
    const bool Missing = Found == Rows_.end() || Found->second.Deleted_;
    const std::int64_t Version = Missing ? 0 : Found->second.Version_;
    Holds = Holds && Version == Each["ver"].asInt64();
    if (!Missing)
      Out["rows"].append(show(Found->first, Found->second));
  }
  if (!Holds) {
    Out["ver"] = Json::Int64(Version_);
    Out["nowMs"] = Json::Int64(Time_.monotonic().Value_);
    return WebReply{Conflict, writeJson(Out)};
  }
  ++Version_;
  for (const Json::Value &Each : Change["puts"])
    Rows_[NameOf(Each)] = Row{Each["value"].asString(), Version_, false};
  for (const Json::Value &Each : Change["remove"])
    Rows_[NameOf(Each)] = Row{"", Version_, true};
  wakeFeeds();
  Json::Value Done;
  Done["ver"] = Json::Int64(Version_);
  Done["nowMs"] = Json::Int64(Time_.monotonic().Value_);
  return WebReply{Ok, writeJson(Done)};
}

WebReply
PlatformServer::read(const std::map<std::string, std::string> &Query) const {
  const auto Text = [&](const char *Key) {
    const auto Found = Query.find(Key);
    return Found == Query.end() ? std::string() : Found->second;
  };
  Json::Value Out;
  Out["rows"] = Json::arrayValue;
  Out["ver"] = Json::Int64(Version_);
  Out["nowMs"] = Json::Int64(Time_.monotonic().Value_);
  Out["hasMore"] = false;
  for (auto At =
           Rows_.lower_bound(Name{Text("table"), Text("part"), Text("from")});
       At != Rows_.end() && std::get<0>(At->first) == Text("table") &&
       std::get<1>(At->first) == Text("part");
       ++At) {
    if (At->second.Deleted_)
      continue;
    if (Out["rows"].size() == PageRows) {
      Out["hasMore"] = true;
      break;
    }
    Out["rows"].append(show(At->first, At->second));
  }
  return WebReply{Ok, writeJson(Out)};
}

bool PlatformServer::answerFeed(const Feed &Waiting) const {
  std::map<std::int64_t, Json::Value> Changed;
  for (const auto &[Key, Value] : Rows_)
    if (std::get<0>(Key) == Waiting.Table_ && Value.Version_ > Waiting.After_)
      Changed.emplace(Value.Version_, show(Key, Value));
  if (Changed.empty())
    return false;
  Json::Value Out;
  for (const auto &[Version, Each] : Changed)
    Out["rows"].append(Each);
  Out["ver"] = Json::Int64(Version_);
  Waiting.Reply_(WebReply{Ok, writeJson(Out)});
  return true;
}

void PlatformServer::wakeFeeds() {
  std::erase_if(Feeds_, [this](const Feed &Each) { return answerFeed(Each); });
}

void PlatformServer::follow(const std::map<std::string, std::string> &Query,
                            const WebReplier &Reply) {
  constexpr int HistoryGone = 410;
  const Feed Waiting{Query.at("table"), number(Query, "after"), Reply};
  if (Waiting.After_ < HistoryFrom_)
    return Reply(WebReply{HistoryGone, "{}"});
  if (answerFeed(Waiting))
    return;
  Feeds_.push_back(Waiting);
  Loop_.after(Millis{number(Query, "waitMs")},
              [this, After = Waiting.After_, Table = Waiting.Table_] {
                for (auto At = Feeds_.begin(); At != Feeds_.end(); ++At) {
                  if (At->After_ != After || At->Table_ != Table)
                    continue;
                  Json::Value Out;
                  Out["rows"] = Json::arrayValue;
                  Out["ver"] = Json::Int64(Version_);
                  At->Reply_(WebReply{Ok, writeJson(Out)});
                  Feeds_.erase(At);
                  return;
                }
              });
}

// Seven of ten workers may run a step, and always the same ones.
void PlatformServer::advise(const WebRequest &Request, const WebReplier &Reply,
                            Millis &FreeAt) {
  constexpr std::size_t Whole = 10;
  constexpr std::size_t Allowed = 7;
  constexpr std::int64_t MostWaiting = 32;
  constexpr int TooMany = 429;
  const auto Parsed = parseJson(Request.Body_, "stand-in advice");
  if (!Parsed)
    return Reply(WebReply{NotFound, "{}"});
  Json::Value Out;
  Out["allowed"] = Json::arrayValue;
  for (const Json::Value &Each : Parsed.value()["workers"]) {
    const std::string Key =
        Parsed.value()["phase"].asString() + Each.asString();
    if (std::hash<std::string>()(Key) % Whole >= Allowed)
      continue;
    Json::Value Entry(Json::arrayValue);
    Entry.append(Each);
    Entry.append("ticket");
    Out["allowed"].append(Entry);
  }
  const Millis Now = Time_.monotonic();
  FreeAt = std::max(FreeAt, Now);
  if ((FreeAt - Now).Value_ > MostWaiting * AdviceTime.Value_)
    return Reply(WebReply{TooMany, "{}"});
  FreeAt = FreeAt + AdviceTime;
  Loop_.after(FreeAt - Now, [Reply, Out] {
    Reply(WebReply{Ok, writeJson(Out)});
  });
}

} // namespace damaskglade::soak
