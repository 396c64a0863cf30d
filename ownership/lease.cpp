#include "ownership/step_context.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

Millis clockError(const ProtocolConfig &Config) {
  return Config.Faults_.SkipClockMargin_ ? Millis{} : Config.ClockError_;
}

std::size_t majorityOf(const ZoneList &List) {
  return List.Nodes_.size() / 2 + 1;
}

bool anyEndsAfter(const std::map<std::string, Millis> &Ends, Millis Now) {
  return std::any_of(Ends.begin(), Ends.end(),
                     [Now](const auto &Entry) { return Entry.second > Now; });
}

bool endsAfter(const std::map<std::string, Millis> &Ends,
               const std::string &Node, Millis Now) {
  const auto Found = Ends.find(Node);
  return Found != Ends.end() && Found->second > Now;
}

bool isCurrentList(const NodeState &State, const ZoneList &List) {
  return List.Version_ > 0 && List.Version_ == State.List_.Version_ &&
         List.Version_ >= State.MinListVersion_ && isListed(List, State.Id_);
}

// Promises given are lost in a restart, so the node consents to nothing that
// could contradict them until they must have expired.
bool mayConsent(const StepContext &Context) {
  const NodeState &State = Context.State_;
  if (State.Phase_ == Phase::Stopped || State.ListRead_ == Millis{})
    return false;
  return Context.Config_.Faults_.SkipRestartWait_ ||
         Context.Now_ >= State.Started_ + restartWait(Context.Config_);
}

// A claimant may consider a listed node inactive because the VM list no longer
// includes it, although a VM with the same id has just started and the VM list
// is stale. The new process therefore gives promises only after its join has
// been in the table for the restart wait, and under a list read after the join.
bool mayPromise(const StepContext &Context) {
  const NodeState &State = Context.State_;
  if (State.Phase_ == Phase::Leaving || State.Joined_ == Millis{})
    return false;
  if (!mayConsent(Context))
    return false;
  if (Context.Config_.Faults_.SkipRestartWait_)
    return true;
  return State.ListRead_ >= State.Joined_ &&
         Context.Now_ >= State.Joined_ + restartWait(Context.Config_);
}

bool isKnownEnded(const NodeState &State, const PeerMessage &Request) {
  const auto Found = State.Nodes_.find(Request.From_);
  return Found != State.Nodes_.end() &&
         Found->second.Row_.State_ != NodeRowState::Live &&
         Found->second.Row_.Writer_ == Request.Writer_;
}

bool grantPromise(StepContext &Context, const PeerMessage &Request) {
  NodeState &State = Context.State_;
  if (!mayPromise(Context) || !isCurrentList(State, Request.List_) ||
      isKnownEnded(State, Request) ||
      endsAfter(State.ConsentsGiven_, Request.From_, Context.Now_))
    return false;
  // The margin covers an owner whose monotonic clock runs slower.
  State.PromisesGiven_[Request.From_] = Context.Now_ +
                                        Context.Config_.PromiseDuration_ +
                                        claimMargin(Context.Config_);
  return true;
}

bool grantConsent(StepContext &Context, const std::string &Target,
                  const ZoneList &List) {
  NodeState &State = Context.State_;
  if (!mayConsent(Context) || !isCurrentList(State, List))
    return false;
  // Workers whose clocks are behind accept starts for a short time after the
  // lease has expired, so the owner withholds its own consent for that time, as
  // peers do by their promises.
  const Millis Grace =
      clockError(Context.Config_) + claimMargin(Context.Config_);
  if (Target == State.Id_ &&
      hasValidLease(State, Context.Wall_ - Grace, Context.Now_ - Grace))
    return false;
  if (endsAfter(State.PromisesGiven_, Target, Context.Now_) &&
      !Context.Config_.Faults_.ConsentDespitePromise_)
    return false;
  State.ConsentsGiven_[Target] = Context.Now_ +
                                 Context.Config_.ConsentDuration_ +
                                 claimMargin(Context.Config_);
  return true;
}

bool isHeldByPromises(const StepContext &Context) {
  const NodeState &State = Context.State_;
  return hasValidLease(State, Context.Wall_, Context.Now_) &&
         State.LeaseExpiry_ > State.RenewalSent_ +
                                  Context.Config_.LeaseDuration_ -
                                  clockError(Context.Config_);
}

// A node consents only if none of its promises and claim consents are in force,
// and gives no more under the old list afterwards. When the change takes
// effect, no lease held by promises and no claim under the old list can be in
// progress.
bool grantListConsent(StepContext &Context, const ZoneList &List) {
  NodeState &State = Context.State_;
  if (!mayConsent(Context) || List.Version_ != State.List_.Version_ ||
      !isListed(List, State.Id_) || isHeldByPromises(Context) ||
      anyEndsAfter(State.PromisesGiven_, Context.Now_) ||
      anyEndsAfter(State.ConsentsGiven_, Context.Now_))
    return false;
  if (State.MinListVersion_ <= List.Version_) {
    State.MinListVersion_ = List.Version_ + 1;
    State.ListFrozenAt_ = Context.Now_;
  }
  return true;
}

// Extends the lease until the first promise of a majority expires. Durations
// count from the sending of the request.
void extendLeaseByPromises(StepContext &Context) {
  NodeState &State = Context.State_;
  const std::size_t Majority = majorityOf(State.List_);
  if (State.List_.Version_ == 0 || State.PromisesReceived_.size() < Majority)
    return;
  // The shards may have been claimed after the lease expired, so promises never
  // renew an expired lease.
  if (!hasValidLease(State, Context.Wall_, Context.Now_) &&
      !Context.Config_.Faults_.ResumeExpiredLease_)
    return;
  std::vector<Millis> Sent;
  std::vector<Millis> SentWall;
  for (const auto &[Peer, Request] : State.PromisesReceived_) {
    Sent.push_back(Request.Sent_);
    SentWall.push_back(Request.SentWall_);
  }
  std::sort(Sent.rbegin(), Sent.rend());
  std::sort(SentWall.rbegin(), SentWall.rend());
  const Millis Duration =
      Context.Config_.PromiseDuration_ - clockError(Context.Config_);
  const Millis HoldLimit = State.RenewalSent_ + Context.Config_.MaxHold_;
  State.LeaseExpiry_ = std::max(
      State.LeaseExpiry_, std::min(Sent[Majority - 1] + Duration, HoldLimit));
  State.LeaseExpiryWall_ =
      std::max(State.LeaseExpiryWall_, SentWall[Majority - 1] + Duration);
}

PeerMessage makeMessage(const StepContext &Context, MessageKind Kind,
                        const std::string &Target) {
  const NodeState &State = Context.State_;
  return PeerMessage{Kind,         State.Id_,     State.Writer_, Target,
                     Context.Now_, Context.Wall_, State.List_};
}

} // namespace

Millis claimMargin(const ProtocolConfig &Config) {
  return Config.Faults_.SkipClockMargin_ ? Millis{} : Config.ClaimMargin_;
}

Millis restartWait(const ProtocolConfig &Config) {
  return std::max(Config.PromiseDuration_, Config.ConsentDuration_) +
         claimMargin(Config);
}

bool isListed(const ZoneList &List, const std::string &Node) {
  return std::find(List.Nodes_.begin(), List.Nodes_.end(), Node) !=
         List.Nodes_.end();
}

bool isInactive(const StepContext &Context, const std::string &Node) {
  const NodeState &State = Context.State_;
  const auto Found = State.Nodes_.find(Node);
  if (Found == State.Nodes_.end())
    return false;
  const ObservedNode &Observed = Found->second;
  // A process that joined after this read gives no promises for at least a
  // consent duration.
  if (Context.Now_ >= Observed.LastSeen_ + Context.Config_.ConsentDuration_)
    return false;
  const Millis Age = Context.Now_ - Observed.FirstSeen_;
  if (Observed.Row_.State_ == NodeRowState::Released)
    return Age >= restartWait(Context.Config_);
  // Only a row unchanged since the VM list dropped the node belongs to the dead
  // process. A new process with the same id may own shards before the VM list
  // includes it.
  const auto Absent = State.VmAbsentSince_.find(Node);
  return Absent != State.VmAbsentSince_.end() &&
         State.VmListReadAt_ >= std::max(Absent->second, Observed.FirstSeen_) +
                                    Context.Config_.VmListLag_;
}

void adoptList(StepContext &Context, const ZoneList &List) {
  NodeState &State = Context.State_;
  if (List.Version_ <= State.List_.Version_ || List.Zone_ != State.Zone_)
    return;
  State.List_ = List;
  State.MinListVersion_ = std::max(State.MinListVersion_, List.Version_);
  State.PromisesReceived_.clear();
  State.ClaimConsents_.clear();
  State.ListConsents_.clear();
  for (auto It = State.VmAbsentSince_.begin();
       It != State.VmAbsentSince_.end();)
    It = isListed(List, It->first) ? std::next(It)
                                   : State.VmAbsentSince_.erase(It);
}

void extendLeaseByRenewal(StepContext &Context, const PendingWrite &Write) {
  NodeState &State = Context.State_;
  const Millis Duration =
      Context.Config_.LeaseDuration_ - clockError(Context.Config_);
  State.RenewalSent_ = std::max(State.RenewalSent_, Write.Sent_);
  State.LeaseExpiry_ = std::max(State.LeaseExpiry_, Write.Sent_ + Duration);
  State.LeaseExpiryWall_ =
      std::max(State.LeaseExpiryWall_, Write.SentWall_ + Duration);
}

void sendToPeer(StepContext &Context, const std::string &Node,
                PeerMessage Message) {
  const auto Found = Context.State_.Nodes_.find(Node);
  if (Found == Context.State_.Nodes_.end() || Node == Context.State_.Id_)
    return;
  Context.Actions_.push_back(
      SendMessage{Node, Found->second.Row_.Address_, std::move(Message)});
}

void requestPromises(StepContext &Context) {
  NodeState &State = Context.State_;
  const ProtocolConfig &Config = Context.Config_;
  // Waits half an interval beyond the renewal, so that promises are not
  // requested in normal operation.
  const Millis OverdueAt = State.RenewalSent_ + Config.RenewInterval_ * 3 / 2;
  if (State.Phase_ != Phase::Member || Context.Now_ < OverdueAt ||
      Context.Now_ < State.PromisesRequestedAt_ + Config.RequestInterval_ ||
      State.List_.Version_ == 0)
    return;
  if (!hasValidLease(State, Context.Wall_, Context.Now_) &&
      !Config.Faults_.ResumeExpiredLease_)
    return;
  State.PromisesRequestedAt_ = Context.Now_;
  const PeerMessage Request = makeMessage(Context, MessageKind::Promise, "");
  for (const std::string &Node : State.List_.Nodes_)
    sendToPeer(Context, Node, Request);
  if (mayPromise(Context) && isCurrentList(State, State.List_)) {
    State.PromisesReceived_[State.Id_] = Request;
    extendLeaseByPromises(Context);
  }
}

void handleRequest(StepContext &Context, const PeerMessage &Request) {
  adoptList(Context, Request.List_);
  bool Granted = false;
  switch (Request.Kind_) {
  case MessageKind::Promise:
    Granted = grantPromise(Context, Request);
    break;
  case MessageKind::Consent:
    Granted = grantConsent(Context, Request.Target_, Request.List_);
    break;
  case MessageKind::ListConsent:
    Granted = grantListConsent(Context, Request.List_);
    break;
  case MessageKind::RowsChanged:
    Context.State_.ReadDue_ = true;
    break;
  }
  Context.Actions_.push_back(SendAnswer{
      PeerAnswer{Request, Context.State_.Id_, Granted, Context.State_.List_}});
}

void handleAnswer(StepContext &Context, const PeerAnswer &Answer) {
  NodeState &State = Context.State_;
  const PeerMessage &Request = Answer.Request_;
  adoptList(Context, Answer.List_);
  // Ignores answers to requests of an earlier process or under an earlier list.
  if (!Answer.Granted_ || Request.Writer_ != State.Writer_ ||
      Request.List_.Version_ != State.List_.Version_)
    return;
  if (Request.Kind_ == MessageKind::Promise &&
      isListed(State.List_, Answer.From_)) {
    PeerMessage &Latest = State.PromisesReceived_[Answer.From_];
    if (Latest.Sent_ < Request.Sent_)
      Latest = Request;
    extendLeaseByPromises(Context);
  } else if (Request.Kind_ == MessageKind::Consent) {
    Millis &Latest = State.ClaimConsents_[Request.Target_][Answer.From_];
    Latest = std::max(Latest, Request.Sent_);
  } else if (Request.Kind_ == MessageKind::ListConsent) {
    State.ListConsents_.insert(Answer.From_);
  }
}

void requestConsents(StepContext &Context, const std::string &Target) {
  NodeState &State = Context.State_;
  Millis &RequestedAt = State.ConsentsRequestedAt_[Target];
  if (State.List_.Version_ == 0 ||
      (RequestedAt != Millis{} &&
       Context.Now_ < RequestedAt + Context.Config_.RequestInterval_))
    return;
  RequestedAt = Context.Now_;
  for (const std::string &Node : State.List_.Nodes_)
    sendToPeer(Context, Node,
               makeMessage(Context, MessageKind::Consent, Target));
  if (grantConsent(Context, Target, State.List_))
    State.ClaimConsents_[Target][State.Id_] = Context.Now_;
}

bool hasConsents(const StepContext &Context, const std::string &Target) {
  const NodeState &State = Context.State_;
  if (Context.Config_.Faults_.SkipConsent_)
    return true;
  if (State.List_.Version_ == 0)
    return false;
  const auto Found = State.ClaimConsents_.find(Target);
  std::size_t Count = 0;
  for (const std::string &Node : State.List_.Nodes_) {
    bool Consents = Node != State.Id_ && isInactive(Context, Node);
    if (Found != State.ClaimConsents_.end() && !Consents) {
      const auto Sent = Found->second.find(Node);
      Consents = Sent != Found->second.end() &&
                 Context.Now_ < Sent->second + Context.Config_.ConsentDuration_;
    }
    Count += Consents ? 1 : 0;
  }
  return Count >= majorityOf(State.List_);
}

void requestListConsents(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.ListConsentsRequestedAt_ != Millis{} &&
      Context.Now_ <
          State.ListConsentsRequestedAt_ + Context.Config_.RequestInterval_)
    return;
  State.ListConsentsRequestedAt_ = Context.Now_;
  for (const std::string &Node : State.List_.Nodes_)
    sendToPeer(Context, Node,
               makeMessage(Context, MessageKind::ListConsent, ""));
  if (grantListConsent(Context, State.List_))
    State.ListConsents_.insert(State.Id_);
}

bool hasListConsents(const StepContext &Context) {
  const NodeState &State = Context.State_;
  const auto Count =
      std::count_if(State.List_.Nodes_.begin(), State.List_.Nodes_.end(),
                    [&](const std::string &Node) {
                      return State.ListConsents_.count(Node) != 0 ||
                             isInactive(Context, Node);
                    });
  return static_cast<std::size_t>(Count) >= majorityOf(State.List_);
}

} // namespace damaskglade::ownership
