#include "tests/stand_ins/object_service.h"

namespace damaskglade::stand_ins {

HttpResponse ObjectService::handle(const HttpRequest &Request) {
  if (Request.Path_ == "/_fault")
    return Panel_.set(Request.Body_);
  if (Request.Path_ == "/_dump")
    return dump();
  if (!Panel_.admit())
    return droppedAnswer();
  const Faults Now = Panel_.current();
  if (Panel_.chance(Now.Throttle_))
    return HttpResponse{503, "<Error><Code>SlowDown</Code></Error>",
                        "application/xml"};
  HttpResponse Answer = serve(Request);
  Answer.Drop_ = Panel_.chance(Now.DropAnswers_);
  Answer.Truncate_ = Panel_.chance(Now.Truncate_);
  return Answer;
}

HttpResponse ObjectService::serve(const HttpRequest &Request) {
  const MutexLock Held(Mutex_);
  if (Request.Method_ == "PUT") {
    Objects_[Request.Path_] = Request.Body_;
    return HttpResponse{200, "", "application/xml"};
  }
  const auto Found = Objects_.find(Request.Path_);
  if (Request.Method_ != "GET" || Found == Objects_.end())
    return HttpResponse{404, "<Error><Code>NoSuchKey</Code></Error>",
                        "application/xml"};
  return HttpResponse{200, Found->second, "application/octet-stream"};
}

HttpResponse ObjectService::dump() {
  const MutexLock Held(Mutex_);
  Json::Value Out(Json::objectValue);
  for (const auto &[Path, Body] : Objects_)
    Out[Path] = Body;
  return jsonResponse(200, Out);
}

} // namespace damaskglade::stand_ins
