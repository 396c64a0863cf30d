#include "review/stand_ins/platform.h"

#include <json/reader.h>
#include <json/writer.h>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int HistoryGone = 410;
constexpr int Conflict = 412;
constexpr int Unavailable = 503;
constexpr std::int64_t TransactionMs = 8;
constexpr std::int64_t ReadMs = 4;
constexpr std::size_t MaxPageRows = 500;

std::string encodeBase64(const std::string &Text) {
  static const char *const Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr std::size_t GroupBytes = 3;
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); At += GroupBytes) {
    std::uint32_t Group = 0;
    for (std::size_t Byte = 0; Byte < GroupBytes; ++Byte)
      Group = Group << 8U | (At + Byte < Text.size()
                                 ? static_cast<unsigned char>(Text[At + Byte])
                                 : 0U);
    Out += Digits[Group >> 18U & 63U];
    Out += Digits[Group >> 12U & 63U];
    Out += At + 1 < Text.size() ? Digits[Group >> 6U & 63U] : '=';
    Out += At + 2 < Text.size() ? Digits[Group & 63U] : '=';
  }
  return Out;
}

std::string decodeBase64(const std::string &Text) {
  static const std::string Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  std::uint32_t Bits = 0;
  int Count = 0;
  for (const char Letter : Text) {
    const auto Digit = Digits.find(Letter);
    if (Digit == std::string::npos)
      break;
    Bits = Bits << 6U | static_cast<std::uint32_t>(Digit);
    Count += 6;
    if (Count < 8)
      continue;
    Count -= 8;
    Out += static_cast<char>(Bits >> static_cast<unsigned>(Count) & 255U);
  }
  return Out;
}

std::string unescape(const std::string &Text) {
  constexpr int Hexadecimal = 16;
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%') {
      Out += Text[At];
      continue;
    }
    Out += static_cast<char>(
        std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, Hexadecimal));
    At += 2;
  }
  return Out;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Query;
  auto At = Target.find('?');
  while (At != std::string::npos) {
    const auto End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    const auto Equal = Pair.find('=');
    Query[Pair.substr(0, Equal)] = unescape(Pair.substr(Equal + 1));
    At = End;
  }
  return Query;
}

std::int64_t numberOf(const std::string &Text) {
  constexpr int Decimal = 10;
  return std::strtoll(Text.c_str(), nullptr, Decimal);
}

} // namespace

std::string writeText(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

Json::Value readText(const std::string &Text) {
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr))
    return Json::Value();
  return Value;
}

void Record::write(const std::string &Line) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  Out_ << nowMs() << " ms " << Line << std::endl;
}

Store::Store(Record &Log)
    : Log_(Log),
      Server_([this](const HttpRequest &Request) { return handle(Request); }) {}

void Store::setDown(bool Down) {
  Down_ = Down;
  Log_.write(Down ? "store is down" : "store is back");
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Text) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  Rows_[Name{Table, "", Key}] = Row{encodeBase64(Text), ++Version_, false};
  Changed_.notify_all();
}

std::string Store::leaderRow() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  const auto Found = Rows_.find(Name{"cell", "main", "leader"});
  return Found == Rows_.end() ? "" : decodeBase64(Found->second.Value_);
}

std::optional<HttpReply> Store::handle(const HttpRequest &Request) {
  if (Down_) {
    sleepMs(ReadMs);
    return HttpReply{Unavailable, "{}"};
  }
  const std::string Path = Request.Target_.substr(0, Request.Target_.find('?'));
  if (Path == "/api/rows-tx") {
    sleepMs(TransactionMs);
    return transact(Request.Body_);
  }
  sleepMs(ReadMs);
  if (Path == "/api/rows-get")
    return read(parseQuery(Request.Target_));
  if (Path == "/api/rows-feed")
    return follow(parseQuery(Request.Target_));
  return HttpReply{NotFound, "{}"};
}

Json::Value Store::show(const Name &Key, const Row &Value) {
  Json::Value Out;
  Out["table"] = std::get<0>(Key);
  Out["part"] = std::get<1>(Key);
  Out["key"] = std::get<2>(Key);
  Out["ver"] = Json::Int64(Value.Version_);
  if (Value.Deleted_)
    Out["deleted"] = true;
  else
    Out["value"] = Value.Value_;
  return Out;
}

HttpReply Store::transact(const std::string &Body) {
  const Json::Value Change = readText(Body);
  const auto NameOf = [](const Json::Value &Entry) {
    return Name{Entry["table"].asString(), Entry["part"].asString(),
                Entry["key"].asString()};
  };
  const std::lock_guard<std::mutex> Guard(Lock_);
  Json::Value Out;
  Out["rows"] = Json::arrayValue;
  Out["nowMs"] = Json::Int64(nowMs() + 1);
  bool Holds = true;
  for (const Json::Value &Condition : Change["expectedRev"]) {
    const auto Found = Rows_.find(NameOf(Condition));
    const bool IsThere = Found != Rows_.end() && !Found->second.Deleted_;
    Holds = Holds && Condition["ver"].asInt64() ==
                         (IsThere ? Found->second.Version_ : 0);
    if (IsThere)
      Out["rows"].append(show(Found->first, Found->second));
  }
  if (Holds) {
    ++Version_;
    for (const Json::Value &Put : Change["puts"])
      Rows_[NameOf(Put)] = Row{Put["value"].asString(), Version_, false};
    for (const Json::Value &Removed : Change["remove"])
      Rows_[NameOf(Removed)] = Row{"", Version_, true};
    Out.removeMember("rows");
    Changed_.notify_all();
  }
  Out["ver"] = Json::Int64(Version_);
  return HttpReply{Holds ? Ok : Conflict, writeText(Out)};
}

HttpReply Store::read(std::map<std::string, std::string> Query) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  const auto Limit = static_cast<std::size_t>(numberOf(Query["limit"]));
  const std::size_t MaxRows =
      Limit == 0 ? MaxPageRows : std::min(Limit, MaxPageRows);
  Json::Value Out;
  Out["rows"] = Json::arrayValue;
  Out["hasMore"] = false;
  Out["ver"] = Json::Int64(Version_);
  Out["nowMs"] = Json::Int64(nowMs() + 1);
  for (auto At = Rows_.lower_bound(
           Name{Query["table"], Query["part"], Query["from"]});
       At != Rows_.end() && std::get<0>(At->first) == Query["table"] &&
       std::get<1>(At->first) == Query["part"];
       ++At) {
    if (At->second.Deleted_)
      continue;
    if (Out["rows"].size() == MaxRows) {
      Out["hasMore"] = true;
      break;
    }
    Out["rows"].append(show(At->first, At->second));
  }
  return HttpReply{Ok, writeText(Out)};
}

HttpReply Store::follow(std::map<std::string, std::string> Query) {
  const std::int64_t After = numberOf(Query["after"]);
  const std::int64_t Until = nowMs() + numberOf(Query["waitMs"]);
  std::unique_lock<std::mutex> Guard(Lock_);
  for (;;) {
    std::map<std::int64_t, Json::Value> Rows;
    for (const auto &[Key, Value] : Rows_)
      if (std::get<0>(Key) == Query["table"] && Value.Version_ > After)
        Rows.emplace(Value.Version_, show(Key, Value));
    if (!Rows.empty() || nowMs() >= Until) {
      Json::Value Out;
      Out["rows"] = Json::arrayValue;
      for (const auto &[Version, Row] : Rows)
        Out["rows"].append(Row);
      Out["ver"] = Json::Int64(Version_);
      Out["nowMs"] = Json::Int64(nowMs() + 1);
      return HttpReply{After > Version_ ? HistoryGone : Ok, writeText(Out)};
    }
    Changed_.wait_for(Guard, std::chrono::milliseconds(Until - nowMs()));
  }
}

} // namespace damaskglade::review
