#include "tests/stand_ins/vm_list_service.h"

#include "core/codec.h"

namespace damaskglade::stand_ins {

HttpResponse VmListService::handle(const HttpRequest &Request) {
  if (Request.Path_ == "/_fault")
    return Panel_.set(Request.Body_);
  if (Request.Path_ == "/_dump")
    return dump();
  if (Request.Path_ == "/_vms")
    return replace(Request.Body_);
  if (!Panel_.admit())
    return droppedAnswer();
  const Faults Now = Panel_.current();
  if (Panel_.chance(Now.Throttle_))
    return HttpResponse{503, "{}"};
  HttpResponse Answer = visible();
  Answer.Drop_ = Panel_.chance(Now.DropAnswers_);
  Answer.Truncate_ = Panel_.chance(Now.Truncate_);
  return Answer;
}

HttpResponse VmListService::replace(const std::string &Body) {
  const bool Bare = !Body.empty() && Body.front() == '[';
  const auto Parsed =
      parseJson(Bare ? "{\"vms\":" + Body + "}" : Body, "set VM list");
  if (!Parsed)
    return jsonResponse(400, encodeError(Parsed.error()));
  Json::Value Groups(Json::arrayValue);
  for (const Json::Value &Vm : Parsed.value()["vms"]) {
    Json::Value Group;
    Group["targets"].append(Vm["address"]);
    Json::Value &Labels = Group["labels"];
    Labels["vm"] = Vm["id"];
    for (const char *Name : {"zone", "rack", "role", "state"})
      Labels[Name] = Vm.get(Name, "").asString();
    Groups.append(Group);
  }
  const MutexLock Held(Mutex_);
  const Millis Lag = Versions_.empty() ? Millis{} : Lag_;
  Versions_.push_back(Version{Clock_.monotonic() + Lag, Groups});
  return jsonResponse(200, Json::objectValue);
}

HttpResponse VmListService::visible() {
  const MutexLock Held(Mutex_);
  const Millis Now = Clock_.monotonic();
  while (Versions_.size() > 1 && Versions_[1].Visible_ <= Now)
    Versions_.pop_front();
  return jsonResponse(200, Versions_.empty() ? Json::Value(Json::arrayValue)
                                             : Versions_.front().Groups_);
}

HttpResponse VmListService::dump() {
  const MutexLock Held(Mutex_);
  return jsonResponse(200, Versions_.empty() ? Json::Value(Json::arrayValue)
                                             : Versions_.back().Groups_);
}

} // namespace damaskglade::stand_ins
