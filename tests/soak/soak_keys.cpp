// API keys in a soak run: some are replaced while nodes are disturbed.

#include "tests/soak/soak.h"

namespace damaskglade::soak {

namespace {

constexpr Millis ProbePeriod{120};
constexpr Millis ProbeTimeout{3000};
// Keys that were revoked last.
constexpr std::size_t ProbedKeys = 3;

} // namespace

Json::Value Soak::makeWorkspaces() const {
  Json::Value Desk;
  Desk["name"] = "desk";
  Desk["apiKeys"].append(StableKey);
  Desk["apiKeys"].append(ReplacedKey_);
  Desk["weight"] = 1000;
  Json::Value Workspaces(Json::arrayValue);
  Workspaces.append(Desk);
  return Workspaces;
}

// The next version has another key in place of the last one.
void Soak::replaceKeyLater() {
  constexpr std::size_t MostGap = 6000;
  Loop_.after(Millis{static_cast<std::int64_t>(KeyRandom_() % MostGap)},
              [this] {
                if (faultsOver())
                  return;
                RevokedKeys_.push_front(ReplacedKey_);
                if (RevokedKeys_.size() > ProbedKeys)
                  RevokedKeys_.pop_back();
                ReplacedKey_ = "key-" + std::to_string(ConfigVersion_);
                writeConfig();
                Keys_.revoked(RevokedKeys_.front(), Time_.monotonic());
                replaceKeyLater();
              });
}

// Asks a node, one request at a time, with a key that is or was valid, or never
// was.
void Soak::probeKeys(std::size_t Number) {
  if (TrafficOver_)
    return;
  std::vector<std::string> Keys(RevokedKeys_.begin(), RevokedKeys_.end());
  Keys.insert(Keys.end(), {StableKey, UnknownKey});
  const std::string Key = Keys[KeyRandom_() % Keys.size()];
  WebCall Call;
  Call.Address_ = local(Nodes_[Number].CallerPort_);
  Call.Method_ = "GET";
  Call.Target_ = QueuePrefix;
  Call.Headers_ = {{"Host", QueueHost},
                   {"Authorization", "Bearer " + Key},
                   {"Deadline-Ms", std::to_string(ProbeTimeout.Value_)}};
  Call.Timeout_ = ProbeTimeout;
  Call.ConnectionGroup_ = "keys";
  Callers_->call(Call, [this, Number, Key, SentAt = Time_.monotonic()](
                           const Result<WebReply> &Reply) {
    if (Reply)
      Keys_.answered(Nodes_[Number].Name_, Key, Reply.value().Status_, SentAt);
    Loop_.after(ProbePeriod, [this, Number] { probeKeys(Number); });
  });
}

} // namespace damaskglade::soak
