#ifndef DAMASKGLADE_CELL_SHARE_REJECTIONS_H
#define DAMASKGLADE_CELL_SHARE_REJECTIONS_H

#include "core/clock.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_set>

namespace damaskglade::cell {

/// What an entry VM remembers of workspaces that the leader has rejected jobs
/// of because they are over their share.
class ShareRejections {
public:
  /// Limit of the submissions that are remembered. About a minute of them on an
  /// entry VM that sends 100 a second, in less than 1 MB of memory.
  static constexpr std::size_t MaxSentIds = 6000;

  /// How long a submission has to be rejected without a call to the leader;
  /// zero if it has to be sent. A job that was sent before may have been
  /// accepted, so its repeated submission is always sent.
  Millis remaining(const std::string &Workspace, const std::string &Id,
                   Millis Now) const;
  /// Called when a submission is sent to the leader.
  void noteSent(const std::string &Id);
  /// Called when the leader has rejected a job of the workspace.
  void noteRejected(const std::string &Workspace, Millis Until);

private:
  std::map<std::string, Millis> RejectedUntil_; ///< By workspace.
  std::unordered_set<std::string> SentIds_;
  std::deque<std::string> SentOrder_; ///< The same ids, the oldest first.
};

} // namespace damaskglade::cell

#endif
