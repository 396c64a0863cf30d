#ifndef DAMASKGLADE_POLICY_NEVER_FITS_H
#define DAMASKGLADE_POLICY_NEVER_FITS_H

#include "core/error.h"
#include "core/resources.h"

#include <optional>
#include <vector>

namespace damaskglade::policy {

/// Returns an error (never_fits, Effect::None) for a task that exceeds the
/// total capacity of each worker. Peer_ names the field of the resource that
/// the most workers have too little of, for example "size.memory_mib". Nothing
/// if the task fits a worker, or if no worker is known.
std::optional<Error> neverFits(const Resources &Size,
                               const std::vector<Resources> &Capacities);

} // namespace damaskglade::policy

#endif
