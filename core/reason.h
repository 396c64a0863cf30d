#ifndef DAMASKGLADE_CORE_REASON_H
#define DAMASKGLADE_CORE_REASON_H

#include <string_view>
#include <vector>

namespace damaskglade {

/// Why a request was refused or an operation is retried. Each value has a
/// counter, so operators see how often it arises.
enum class Reason {
  None,
  InvalidField,
  BodyTooLarge,
  NotFound,
  IdempotencyKeyReused,
  NeverFits,
  QuotaExceeded,
  QueueFull,
  DeadlineUnreachable,
  RetryBudgetExhausted,
  NoCapacity,
  NotOwner,
  StaleEpoch,
  StartExpired,
  WorkerLeaving,
  WorkerFull,
  WorkerQuarantined,
  StartFailed,
  TableUnavailable,
  TableConflict,
  ObjectStoreUnavailable,
  VersionMoved,
  ShuttingDown,
  NotReady,
  Canceled,
  ConnectFailed,
  Timeout,
  AnswerTruncated,
  AnswerLost,
  AttemptLost,
  Internal,
};

/// Name used in JSON bodies and metric labels, for example "queue_full".
std::string_view reasonName(Reason Value);

/// The reason with the given name, or Internal if there is none.
Reason reasonFromName(std::string_view Name);

/// All reasons except None, in order of declaration.
const std::vector<Reason> &allReasons();

} // namespace damaskglade

#endif
