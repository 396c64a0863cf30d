#ifndef DAMASKGLADE_TESTS_CONFIG_FAKE_OBJECTS_H
#define DAMASKGLADE_TESTS_CONFIG_FAKE_OBJECTS_H

#include "core/thread.h"
#include "ports/object_store.h"

#include <map>
#include <string>

namespace damaskglade::config {

/// An object store in memory that can be made unavailable.
class FakeObjects : public ObjectStore {
public:
  Status put(const std::string &Name, const std::string &Body,
             Millis) override {
    const MutexLock Lock(Mutex_);
    if (Down_)
      return unavailable();
    Bodies_[Name] = Body;
    return success();
  }

  Result<std::string> get(const std::string &Name, Millis) override {
    const MutexLock Lock(Mutex_);
    if (Down_)
      return unavailable();
    const auto Found = Bodies_.find(Name);
    if (Found == Bodies_.end())
      return Error{Reason::NotFound, Effect::None, "get", "fake", Name};
    return Found->second;
  }

  void setOutage(bool Down) {
    const MutexLock Lock(Mutex_);
    Down_ = Down;
  }

private:
  static Error unavailable() {
    return Error{Reason::ObjectStoreUnavailable, Effect::Unknown, "object",
                 "fake", "outage"};
  }

  Mutex Mutex_;
  std::map<std::string, std::string> Bodies_;
  bool Down_ = false;
};

} // namespace damaskglade::config

#endif
