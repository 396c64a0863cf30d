#ifndef DAMASKGLADE_DISPATCH_WORKSPACE_H
#define DAMASKGLADE_DISPATCH_WORKSPACE_H

#include "dispatch/job.h"

#include <map>
#include <string>

namespace damaskglade::dispatch {

/// Policy of a workspace, taken from the active configuration.
struct WorkspacePolicy {
  /// Its share when the fleet is full, in jobs per second; zero: no share is
  /// kept for it and none is enforced.
  double Weight_ = 0;
  /// Most that it may have running on all workers; a resource that is zero is
  /// not limited.
  Size Limit_;

  friend bool operator==(const WorkspacePolicy &,
                         const WorkspacePolicy &) = default;
};

using WorkspacePolicies = std::map<std::string, WorkspacePolicy>;

} // namespace damaskglade::dispatch

#endif
