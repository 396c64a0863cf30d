#ifndef DAMASKGLADE_CORE_ERROR_H
#define DAMASKGLADE_CORE_ERROR_H

#include "core/clock.h"
#include "core/reason.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace damaskglade {

/// Whether the operation that failed may have had an effect.
enum class Effect {
  None,    ///< Nothing happened; "not run" may be said.
  Unknown, ///< It may have happened; the caller must find out or say so.
};

/// A failure with the step and the peer at which it arose.
struct Error {
  Reason Reason_ = Reason::Internal;
  Effect Effect_ = Effect::Unknown;
  std::string Step_; ///< Operation in progress, for example "commit job row".
  std::string Peer_; ///< Address or id of the other side; empty if local.
  std::string Message_; ///< A sentence for people.
  Millis RetryAfter_{}; ///< Zero if a retry does not help.

  friend bool operator==(const Error &, const Error &) = default;
};

/// "step (peer): reason: message", for logs.
std::string describe(const Error &Failure);

/// A value or an Error. Access to the wrong one ends the process.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Result of an operation that returns nothing on success.
using Status = Result<void>;

inline Status success() { return boost::outcome_v2::success(); }

} // namespace damaskglade

#endif
