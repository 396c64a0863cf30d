#ifndef DAMASKGLADE_POLICY_NEVER_FITS_H
#define DAMASKGLADE_POLICY_NEVER_FITS_H

#include "core/error.h"
#include "core/resources.h"

#include <optional>
#include <vector>

namespace damaskglade::policy {

/// Refusal (never_fits, Effect::None) of a task that fits no worker's total
/// size. Peer_ names the field, for example "size.memory_mib": the resource
/// that most workers lack for it. Nothing if it fits one, or if no worker is
/// known.
std::optional<Error> neverFits(const Resources &Size,
                               const std::vector<Resources> &Capacities);

} // namespace damaskglade::policy

#endif
