#include "node/lookup_service.h"

#include <vector>

namespace damaskglade::node {

namespace {

constexpr std::size_t MaxRemoteOwners = 2;
// Waiting for free capacity repeats no work, so it is delayed but takes nothing
// from the retry budget.
constexpr Millis CapacityPollMin{5};
constexpr Millis CapacityPollMax{100};

} // namespace

LookupService::LookupService(NodeIdentity Self, LookupSettings Settings,
                             Services &Ports, OwnerGateway &Owners,
                             ShardOwner &Local, Router &Routes)
    : Self_(std::move(Self)), Settings_(Settings), Ports_(Ports),
      Owners_(Owners), Local_(Local), Routes_(Routes),
      // Starts at the wall time, so that a restarted node does not reuse the
      // attempt ids of its earlier incarnation.
      LastAttemptNumber_(Ports.Clock_.wall().Value_ * 1000),
      Random_(static_cast<std::uint64_t>(Ports.Clock_.wall().Value_)) {}

LookupSettings LookupService::settings() {
  const MutexLock Lock(Mutex_);
  return Settings_;
}

void LookupService::applySettings(const config::CellSettings &Cell) {
  constexpr double Percent = 0.01;
  const MutexLock Lock(Mutex_);
  Settings_.Delays_ = {Cell.Retry_.DelayMin_, Cell.Retry_.DelayMax_};
  Budget_.Fraction_ = static_cast<double>(Cell.Retry_.BudgetPercent_) * Percent;
}

Result<Answer> LookupService::run(const JobSpec &Spec) {
  const Resources Largest =
      Routes_.cellHeadroom(Local_.headroom()).LargestTotal_;
  const std::string_view ExceededResource = firstShortage(Spec.Size_, Largest);
  if (!(Largest == Resources{}) && !ExceededResource.empty())
    return Error{Reason::NeverFits, Effect::None, "check size",
                 "size." + std::string(ExceededResource),
                 "no worker has enough \"" + std::string(ExceededResource) +
                     "\""};
  if (InProgress_.fetch_add(1) >= settings().MaxInProgress_) {
    --InProgress_;
    return Error{Reason::QueueFull,
                 Effect::None,
                 "run lookup",
                 Self_.Id_,
                 "too many lookups are in progress",
                 Millis{500}};
  }
  const Millis TimeLimit =
      Spec.Deadline_ > Millis{} ? Spec.Deadline_ : settings().DefaultDeadline_;
  {
    const MutexLock Lock(Mutex_);
    records::recordFirstTry(Budget_);
  }
  const Millis Start = Ports_.Clock_.monotonic();
  auto Reply = runUntil(Spec, Start + TimeLimit);
  if (Reply)
    Ports_.Metrics_.observeWait(TaskClass::Lookup,
                                Ports_.Clock_.monotonic() - Start);
  --InProgress_;
  return Reply;
}

Result<Answer> LookupService::runUntil(const JobSpec &Spec, Millis Deadline) {
  for (int Retry = 1;; ++Retry) {
    auto Reply = tryOwners(Spec, Deadline);
    if (Reply)
      return Reply;
    Error FinalError;
    if (!waitForRetry(Reply.error(), Retry, Deadline, FinalError))
      return FinalError;
    Ports_.Metrics_.countRetry(Reply.error().Reason_);
  }
}

bool LookupService::waitForRetry(const Error &Failure, int Retry,
                                 Millis Deadline, Error &FinalError) {
  const Millis Now = Ports_.Clock_.monotonic();
  Millis Delay;
  if (Failure.Reason_ == Reason::NoCapacity) {
    const MutexLock Lock(Mutex_);
    Delay =
        records::retryDelay({CapacityPollMin, CapacityPollMax}, Retry, Random_);
  } else {
    const MutexLock Lock(Mutex_);
    const records::RetryDecision Decision =
        records::mayRetry(Failure, true, Deadline, Budget_, Now);
    if (!Decision.allowed()) {
      FinalError = Failure;
      if (Decision.Verdict_ == records::RetryVerdict::BudgetExhausted)
        FinalError.Reason_ = Reason::RetryBudgetExhausted;
      return false;
    }
    Delay = records::retryDelay(Settings_.Delays_, Retry, Random_);
  }
  if (Now + Delay >= Deadline) {
    FinalError = Failure;
    FinalError.RetryAfter_ = settings().Delays_.Max_;
    return false;
  }
  sleepFor(Delay);
  return true;
}

Result<Answer> LookupService::tryOwners(const JobSpec &Spec, Millis Deadline) {
  std::vector<std::string> OwnerIds{Self_.Id_};
  for (const std::string &Node : Routes_.pickOwners(Spec.Size_, MaxRemoteOwners,
                                                    Ports_.Clock_.monotonic()))
    OwnerIds.push_back(Node);
  // On a full cell only an owner that preempts other tasks can serve urgent
  // work.
  if (OwnerIds.size() == 1 && Spec.Urgency_ == Urgency::Urgent) {
    const std::string CapableOwner =
        Routes_.pickCapableOwner(std::to_string(LastAttemptNumber_), Spec.Size_,
                                 false, Ports_.Clock_.monotonic());
    if (!CapableOwner.empty())
      OwnerIds.push_back(CapableOwner);
  }
  Error LastError{Reason::NoCapacity, Effect::None, "place lookup", Self_.Id_,
                  "no worker has enough free capacity"};
  for (const std::string &Node : OwnerIds) {
    auto Reply = tryOwner(Node, Spec, Deadline);
    if (Reply)
      return Reply;
    LastError = Reply.error();
    // Only a refusal for lack of capacity is followed by the next owner at
    // once; all other errors wait for the retry delay.
    if (LastError.Reason_ != Reason::NoCapacity)
      return LastError;
    if (Node != Self_.Id_)
      Routes_.recordRefusal(Node);
  }
  return LastError;
}

Result<Answer> LookupService::tryOwner(const std::string &Node,
                                       const JobSpec &Spec, Millis Deadline) {
  const Millis Remaining = Deadline - Ports_.Clock_.monotonic();
  if (Remaining <= Millis{})
    return Error{Reason::DeadlineUnreachable, Effect::None, "run lookup", Node,
                 "the deadline has passed"};
  const ExecuteRequest Request{Spec, ++LastAttemptNumber_, Self_.Id_,
                               Remaining};
  BOOST_OUTCOME_TRY(Reply, Owners_.execute(Node, Request));
  if (!isWhole(Reply))
    return Error{Reason::AnswerTruncated, Effect::Unknown, "check answer", Node,
                 "length or digest of the answer does not match"};
  return Reply;
}

} // namespace damaskglade::node
