#include "drivers/platform/vm_list_client.h"

#include "core/codec.h"
#include "drivers/platform/http_pool.h"

namespace damaskglade::drivers {

namespace {

constexpr int HttpOk = 200;

std::string labelOf(const Json::Value &Labels, const char *Name) {
  const Json::Value &Label = Labels[Name];
  return Label.isString() ? Label.asString() : std::string();
}

bool readGroup(const Json::Value &Group, std::vector<VmEntry> &Out) {
  if (!Group.isObject() || !Group["targets"].isArray() ||
      !Group["labels"].isObject())
    return false;
  const Json::Value &Labels = Group["labels"];
  const std::string Role = labelOf(Labels, "role");
  const std::string State = labelOf(Labels, "state");
  const std::string Id = labelOf(Labels, "vm");
  if (Id.empty() || (Role != "node" && Role != "worker") ||
      (State != "live" && State != "leaving"))
    return false;
  for (const Json::Value &Target : Group["targets"]) {
    if (!Target.isString())
      return false;
    Out.push_back(VmEntry{Id, labelOf(Labels, "zone"), labelOf(Labels, "rack"),
                          Target.asString(), Role == "worker",
                          State == "leaving"});
  }
  return true;
}

class VmListClient : public VmList {
public:
  explicit VmListClient(const std::string &Url) : Url_(splitUrl(Url)) {}

  Result<std::vector<VmEntry>> list(Millis Timeout) override {
    const std::string Step = "read VM list";
    BOOST_OUTCOME_TRY(Reply, Pool_.call(Url_.Address_,
                                        HttpCall{"GET", Url_.Path_, "", "", {}},
                                        Timeout, Step));
    if (Reply.Status_ != HttpOk)
      return malformed(Step, "status " + std::to_string(Reply.Status_));
    // The list is a JSON array, which parseJson does not take on its own.
    auto Parsed = parseJson("{\"groups\":" + Reply.Body_ + "}", Step);
    if (!Parsed || !Parsed.value()["groups"].isArray())
      return malformed(Step, "the list is not a JSON array");
    std::vector<VmEntry> Entries;
    // A list that is accepted in part would look as if VMs had gone.
    for (const Json::Value &Group : Parsed.value()["groups"])
      if (!readGroup(Group, Entries))
        return malformed(Step, "an entry is malformed");
    return Entries;
  }

private:
  Error malformed(const std::string &Step, const std::string &Problem) const {
    return Error{Reason::Internal, Effect::None, Step, Url_.Address_, Problem};
  }

  HttpUrl Url_;
  HttpPool Pool_;
};

} // namespace

std::unique_ptr<VmList> makeVmListClient(const std::string &Url) {
  return std::make_unique<VmListClient>(Url);
}

} // namespace damaskglade::drivers
