#include "cell/share_rejections.h"

#include <algorithm>

namespace damaskglade::cell {

Millis ShareRejections::remaining(const std::string &Workspace,
                                  const std::string &Id, Millis Now) const {
  const auto Rejected = RejectedUntil_.find(Workspace);
  if (Rejected == RejectedUntil_.end() || SentIds_.count(Id) > 0)
    return Millis{};
  return std::max(Rejected->second - Now, Millis{});
}

void ShareRejections::noteSent(const std::string &Id) {
  if (!SentIds_.insert(Id).second)
    return;
  SentOrder_.push_back(Id);
  if (SentOrder_.size() <= MaxSentIds)
    return;
  SentIds_.erase(SentOrder_.front());
  SentOrder_.pop_front();
}

void ShareRejections::noteRejected(const std::string &Workspace, Millis Until) {
  RejectedUntil_[Workspace] = Until;
}

} // namespace damaskglade::cell
