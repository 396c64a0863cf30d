#include "review/stand_ins_2/store.h"

#include "core/codec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>

namespace damaskglade::review {

namespace base64 = boost::beast::detail::base64;

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 412;
constexpr Millis AnswerTime{4};
// The limits of the pages: entries and bytes of a transaction, bytes of a
// value, rows of a page.
constexpr Json::ArrayIndex MaxEntries = 100;
constexpr std::size_t MaxTransactionBytes = 1000000;
constexpr std::size_t MaxValueBytes = 65536;
constexpr Json::ArrayIndex MaxPageRows = 500;

std::string decodePercent(const std::string &Text) {
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
    Out[Pair.substr(0, Equal)] = decodePercent(Pair.substr(Equal + 1));
    At = End;
  }
  return Out;
}

std::int64_t numberOf(const std::map<std::string, std::string> &Query,
                      const char *Key) {
  const auto Found = Query.find(Key);
  return Found == Query.end() ? 0 : std::stoll(Found->second);
}

std::string encodeValue(const std::string &Text) {
  std::string Out(base64::encoded_size(Text.size()), '\0');
  Out.resize(base64::encode(Out.data(), Text.data(), Text.size()));
  return Out;
}

std::string decodeValue(const std::string &Text) {
  std::string Out(base64::decoded_size(Text.size() + 3), '\0');
  Out.resize(base64::decode(Out.data(), Text.data(), Text.size()).first);
  return Out;
}

} // namespace

void after(boost::asio::io_context &Loop, Millis Delay,
           std::function<void()> Task) {
  const auto Timer = std::make_shared<boost::asio::steady_timer>(
      Loop, std::chrono::milliseconds(Delay.Value_));
  Timer->async_wait(
      [Timer, Task = std::move(Task)](boost::system::error_code Failure) {
        if (!Failure)
          Task();
      });
}

Store::Store(boost::asio::io_context &Loop, int Port)
    : Loop_(Loop),
      Server_(Loop, Port, [this](const Request &Call, const Replier &Answer) {
        after(Loop_, AnswerTime,
              [this, Call, Answer] { handle(Call, Answer); });
      }) {}

void Store::put(const std::string &Table, const std::string &Key,
                const Json::Value &Value) {
  Rows_[{Table, "", Key}] = Row{encodeValue(writeJson(Value)), ++Version_};
  wakeFeeds();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  Rows_[{Table, "", Key}] = Row{"", ++Version_, true};
  wakeFeeds();
}

std::string Store::text(const std::string &Table, const std::string &Part,
                        const std::string &Key) const {
  const auto Found = Rows_.find({Table, Part, Key});
  return Found == Rows_.end() || Found->second.Deleted_
             ? ""
             : decodeValue(Found->second.Value_);
}

Json::Value Store::stamp() const {
  Json::Value Out;
  Out["ver"] = Json::Int64(Version_);
  Out["nowMs"] = Json::Int64(Clock_.monotonic().Value_);
  return Out;
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

void Store::handle(const Request &Call, const Replier &Answer) {
  const std::string Path = Call.Target_.substr(0, Call.Target_.find('?'));
  if (Path == "/api/rows-tx")
    return Answer(transact(Call.Body_));
  if (Path == "/api/rows-get")
    return Answer(read(parseQuery(Call.Target_)));
  if (Path == "/api/rows-feed")
    return follow(parseQuery(Call.Target_), Answer);
  Answer(Reply{NotFound, "{}"});
}

bool Store::exceedsLimits(const std::string &Body, const Json::Value &Change) {
  bool Exceeds = Body.size() > MaxTransactionBytes ||
                 Change["expectedRev"].size() + Change["puts"].size() +
                         Change["remove"].size() >
                     MaxEntries;
  for (const Json::Value &Each : Change["puts"]) {
    const std::size_t Bytes = decodeValue(Each["value"].asString()).size();
    LargestValue_ = std::max(LargestValue_, Bytes);
    Exceeds = Exceeds || Bytes > MaxValueBytes;
  }
  return Exceeds;
}

Reply Store::transact(const std::string &Body) {
  const auto Parsed = parseJson(Body, "stand-in transaction");
  if (!Parsed || exceedsLimits(Body, Parsed.value())) {
    ++Rejected_;
    return Reply{BadRequest, writeJson(stamp())};
  }
  const Json::Value &Change = Parsed.value();
  const auto NameOf = [](const Json::Value &Entry) {
    return Name{Entry["table"].asString(), Entry["part"].asString(),
                Entry["key"].asString()};
  };
  Json::Value Rows(Json::arrayValue);
  bool Holds = true;
  for (const Json::Value &Each : Change["expectedRev"]) {
    const auto Found = Rows_.find(NameOf(Each));
    const bool Missing = Found == Rows_.end() || Found->second.Deleted_;
    const std::int64_t Version = Missing ? 0 : Found->second.Version_;
    Holds = Holds && Version == Each["ver"].asInt64();
    if (!Missing)
      Rows.append(show(Found->first, Found->second));
  }
  if (Holds) {
    ++Version_;
    for (const Json::Value &Each : Change["puts"])
      Rows_[NameOf(Each)] = Row{Each["value"].asString(), Version_};
    for (const Json::Value &Each : Change["remove"])
      Rows_[NameOf(Each)] = Row{"", Version_, true};
    wakeFeeds();
    return Reply{Ok, writeJson(stamp())};
  }
  Json::Value Out = stamp();
  Out["rows"] = Rows;
  return Reply{Conflict, writeJson(Out)};
}

Reply Store::read(std::map<std::string, std::string> Query) const {
  Json::Value Out = stamp();
  Out["rows"] = Json::arrayValue;
  Out["hasMore"] = false;
  const std::int64_t Asked = numberOf(Query, "limit");
  const Json::ArrayIndex Limit =
      Asked > 0 ? std::min(static_cast<Json::ArrayIndex>(Asked), MaxPageRows)
                : MaxPageRows;
  for (auto At = Rows_.lower_bound(
           Name{Query["table"], Query["part"], Query["from"]});
       At != Rows_.end() && std::get<0>(At->first) == Query["table"] &&
       std::get<1>(At->first) == Query["part"];
       ++At) {
    if (At->second.Deleted_)
      continue;
    if (Out["rows"].size() == Limit) {
      Out["hasMore"] = true;
      break;
    }
    Out["rows"].append(show(At->first, At->second));
  }
  return Reply{Ok, writeJson(Out)};
}

bool Store::answerFeed(const Feed &Waiting, bool Empty) const {
  std::map<std::int64_t, Json::Value> Changed;
  for (const auto &[Key, Value] : Rows_)
    if (std::get<0>(Key) == Waiting.Table_ && Value.Version_ > Waiting.After_)
      Changed.emplace(Value.Version_, show(Key, Value));
  if (Changed.empty() && !Empty)
    return false;
  Json::Value Out = stamp();
  Out["rows"] = Json::arrayValue;
  for (const auto &[Version, Each] : Changed)
    Out["rows"].append(Each);
  Waiting.Answer_(Reply{Ok, writeJson(Out)});
  return true;
}

void Store::wakeFeeds() {
  Feeds_.remove_if(
      [this](const Feed &Each) { return answerFeed(Each, false); });
}

void Store::follow(std::map<std::string, std::string> Query,
                   const Replier &Answer) {
  const Feed Waiting{Query["table"], numberOf(Query, "after"), Answer};
  if (answerFeed(Waiting, false))
    return;
  const auto Entry = Feeds_.insert(Feeds_.end(), Waiting);
  const auto Open = std::make_shared<bool>(true);
  Entry->Answer_ = [Open, Answer](const Reply &Out) {
    *Open = false;
    Answer(Out);
  };
  after(Loop_, Millis{numberOf(Query, "waitMs")}, [this, Open, Entry] {
    if (!*Open)
      return;
    answerFeed(*Entry, true);
    Feeds_.erase(Entry);
  });
}

} // namespace damaskglade::review
