#include "review/stand_ins_3/store.h"

#include "core/codec.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>

namespace damaskglade::review {

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int PreconditionFailed = 412;
constexpr Millis ReadTime{4};
constexpr Millis TransactionTime{8}; // `txnTimeoutMs` of DEPLOY.md.
constexpr Millis AdviceTime{30};     // `decisionMs` and `intervalMs`
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

std::string textOf(const std::map<std::string, std::string> &Query,
                   const std::string &Key) {
  const auto Found = Query.find(Key);
  return Found == Query.end() ? std::string() : Found->second;
}

std::int64_t numberOf(const std::map<std::string, std::string> &Query,
                      const std::string &Key) {
  const std::string Text = textOf(Query, Key);
  return Text.empty() ? 0 : std::stoll(Text);
}

std::size_t decodedSize(const std::string &Base64) {
  std::size_t Size = Base64.size() / 4 * 3;
  for (auto At = Base64.rbegin(); At != Base64.rend() && *At == '='; ++At)
    --Size;
  return Size;
}

Json::Value
describeRow(const std::tuple<std::string, std::string, std::string> &Key,
            const std::string &Value, std::int64_t Version, bool Deleted) {
  Json::Value Out;
  Out["table"] = std::get<0>(Key);
  Out["part"] = std::get<1>(Key);
  Out["key"] = std::get<2>(Key);
  Out["ver"] = Json::Int64(Deleted ? 0 : Version);
  if (Deleted)
    Out["deleted"] = true;
  else
    Out["value"] = Value;
  return Out;
}

} // namespace

Status Store::listen(const std::string &Address) {
  drivers::ListenerLimits Limits;
  constexpr std::size_t MaxBody = std::size_t{8} * 1024 * 1024;
  Limits.BodyBytes_ = MaxBody;
  return Loop_.listen(
      Address, Limits,
      [this](const WebRequest &Request, const WebReplier &Reply) {
        handle(Request, Reply);
      });
}

void Store::handle(const WebRequest &Request, const WebReplier &Reply) {
  if (Request.Target_ == "/stand-in/put") {
    const auto Body = parseJson(Request.Body_, "stand-in");
    if (!Body)
      return Reply(WebReply{BadRequest, "{}"});
    put(Body.value());
    return Reply(WebReply{Ok, "{}"});
  }
  if (Request.Target_ == "/api/advise")
    return Loop_.after(AdviceTime,
                       [Request, Reply] { Reply(advise(Request.Body_)); });
  const bool IsTransaction = Request.Target_ == "/api/rows-tx";
  Loop_.after(IsTransaction ? TransactionTime : ReadTime,
              [this, Request, Reply] { serve(Request, Reply); });
}

void Store::serve(const WebRequest &Request, const WebReplier &Reply) {
  const std::string Path = Request.Target_.substr(0, Request.Target_.find('?'));
  if (Path == "/api/rows-tx")
    return Reply(transact(Request.Body_));
  if (Path == "/api/rows-get")
    return Reply(read(parseQuery(Request.Target_)));
  if (Path == "/api/rows-feed")
    return follow(parseQuery(Request.Target_), Reply);
  Reply(WebReply{NotFound, "{}"});
}

WebReply Store::advise(const std::string &Body) {
  const auto Parsed = parseJson(Body, "stand-in advice");
  if (!Parsed)
    return WebReply{BadRequest, "{}"};
  Json::Value Out;
  Out["allowed"] = Json::arrayValue;
  for (const Json::Value &Worker : Parsed.value()["workers"]) {
    Json::Value Row(Json::arrayValue);
    Row.append(Worker);
    Row.append("ticket");
    Out["allowed"].append(Row);
  }
  Out["validMs"] = 2500;
  return WebReply{Ok, writeJson(Out)};
}

void Store::put(const Json::Value &Body) {
  const std::string Text = writeJson(Body["value"]);
  std::string Encoded(base64::encoded_size(Text.size()), '\0');
  Encoded.resize(base64::encode(Encoded.data(), Text.data(), Text.size()));
  Rows_[{Body["table"].asString(), "", Body["key"].asString()}] =
      Row{Encoded, ++Version_, false};
  wakeFeeds();
}

std::string Store::findExcess(const std::string &Body,
                              const Json::Value &Change) const {
  if (Body.size() > Limits_.CallBytes_)
    return "call of " + std::to_string(Body.size()) + " bytes";
  std::size_t Entries = 0;
  for (const char *List : {"expectedRev", "puts", "remove"}) {
    Entries += Change[List].size();
    for (const Json::Value &Entry : Change[List]) {
      if (Entry["key"].asString().size() > Limits_.NameBytes_)
        return "key of " + std::to_string(Entry["key"].asString().size()) +
               " bytes";
      const std::size_t Bytes = decodedSize(Entry["value"].asString());
      if (Bytes > Limits_.RowBytes_)
        return "row " + Entry["table"].asString() + "/" +
               Entry["key"].asString() + " of " + std::to_string(Bytes) +
               " bytes";
    }
  }
  if (Entries > Limits_.CallEntries_)
    return std::to_string(Entries) + " entries";
  return "";
}

WebReply Store::transact(const std::string &Body) {
  const auto Parsed = parseJson(Body, "stand-in transaction");
  if (!Parsed)
    return WebReply{BadRequest, "{}"};
  const Json::Value &Change = Parsed.value();
  const std::string Excess = findExcess(Body, Change);
  if (!Excess.empty()) {
    constexpr int RecordedEach = 50;
    if (Excesses_++ % RecordedEach == 0)
      Log_.write("400 to a transaction, over the limit: " + Excess +
                 ", rejected so far: " + std::to_string(Excesses_));
    return WebReply{BadRequest, "{}"};
  }
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
      Out["rows"].append(describeRow(Found->first, Found->second.Value_,
                                     Found->second.Version_, false));
  }
  if (Holds) {
    Out = Json::Value();
    ++Version_;
    for (const Json::Value &Each : Change["puts"])
      Rows_[NameOf(Each)] = Row{Each["value"].asString(), Version_, false};
    for (const Json::Value &Each : Change["remove"])
      Rows_[NameOf(Each)] = Row{"", Version_, true};
    wakeFeeds();
  }
  Out["ver"] = Json::Int64(Version_);
  Out["nowMs"] = Json::Int64(Clock_.monotonic().Value_);
  return WebReply{Holds ? Ok : PreconditionFailed, writeJson(Out)};
}

WebReply Store::read(const Query &Parameters) const {
  const std::string Table = textOf(Parameters, "table");
  const std::string Part = textOf(Parameters, "part");
  const std::string Target = textOf(Parameters, "target");
  const std::int64_t Asked = numberOf(Parameters, "limit");
  const std::size_t Limit =
      Asked > 0 ? std::min(PageRows, static_cast<std::size_t>(Asked))
                : PageRows;
  Json::Value Out;
  Out["rows"] = Json::arrayValue;
  Out["ver"] = Json::Int64(Version_);
  Out["nowMs"] = Json::Int64(Clock_.monotonic().Value_);
  Out["hasMore"] = false;
  std::size_t Bytes = 0;
  for (auto At =
           Rows_.lower_bound(Name{Table, Part, textOf(Parameters, "from")});
       At != Rows_.end() && std::get<0>(At->first) == Table &&
       std::get<1>(At->first) == Part &&
       (Target.empty() || std::get<2>(At->first) < Target);
       ++At) {
    if (At->second.Deleted_)
      continue;
    Bytes += At->second.Value_.size();
    if (Out["rows"].size() == Limit ||
        (Bytes > Limits_.CallBytes_ && !Out["rows"].empty())) {
      Out["hasMore"] = true;
      break;
    }
    Out["rows"].append(
        describeRow(At->first, At->second.Value_, At->second.Version_, false));
  }
  return WebReply{Ok, writeJson(Out)};
}

bool Store::answerFeed(const Feed &Waiting, bool EvenIfEmpty) const {
  std::map<std::int64_t, Json::Value> Changed;
  for (const auto &[Key, Value] : Rows_)
    if (std::get<0>(Key) == Waiting.Table_ && Value.Version_ > Waiting.After_)
      Changed.emplace(
          Value.Version_,
          describeRow(Key, Value.Value_, Value.Version_, Value.Deleted_));
  if (Changed.empty() && !EvenIfEmpty)
    return false;
  Json::Value Out;
  Out["rows"] = Json::arrayValue;
  for (const auto &[Version, Each] : Changed)
    Out["rows"].append(Each);
  Out["ver"] = Json::Int64(Version_);
  Out["nowMs"] = Json::Int64(Clock_.monotonic().Value_);
  Waiting.Reply_(WebReply{Ok, writeJson(Out)});
  return true;
}

void Store::wakeFeeds() {
  std::erase_if(Feeds_,
                [this](const Feed &Each) { return answerFeed(Each, false); });
}

void Store::follow(const Query &Parameters, const WebReplier &Reply) {
  const Feed Waiting{textOf(Parameters, "table"), numberOf(Parameters, "after"),
                     ++LastFeed_, Reply};
  if (answerFeed(Waiting, false))
    return;
  Feeds_.push_back(Waiting);
  Loop_.after(Millis{numberOf(Parameters, "waitMs")},
              [this, Number = Waiting.Number_] {
                std::erase_if(Feeds_, [&](const Feed &Each) {
                  return Each.Number_ == Number && answerFeed(Each, true);
                });
              });
}

} // namespace damaskglade::review
