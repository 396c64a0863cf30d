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

bool anyAfter(const std::map<std::string, Millis> &Ends, Millis Now) {
  return std::any_of(Ends.begin(), Ends.end(),
                     [Now](const auto &Entry) { return Entry.second > Now; });
}

bool isAfter(const std::map<std::string, Millis> &Ends, const std::string &Node,
             Millis Now) {
  const auto Found = Ends.find(Node);
  return Found != Ends.end() && Found->second > Now;
}

bool acceptsList(const NodeState &State, const ZoneList &List) {
  return List.Version_ > 0 && List.Version_ == State.List_.Version_ &&
         List.Version_ >= State.MinListVersion_ && isListed(List, State.Id_);
}

// Old promises are forgotten in a restart, so nothing may be said that
// contradicts one of them before they must have run out.
bool mayConsent(const StepContext &Context) {
  const NodeState &State = Context.State_;
  if (State.Phase_ == Phase::Stopped || State.ListRead_ == Millis{})
    return false;
  return Context.Config_.Faults_.SkipRestartWait_ ||
         Context.Now_ >= State.Started_ + restartWait(Context.Config_);
}

// A claimant may count a listed node as gone because the VM list no longer
// names it, while a VM of the same id has just started and the list lags. The
// new process therefore promises only after its join has stood in the table
// for a consent time, and under a list that was read after the join.
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

bool isKnownDead(const NodeState &State, const PeerMessage &Request) {
  const auto Found = State.Nodes_.find(Request.From_);
  return Found != State.Nodes_.end() &&
         Found->second.Row_.State_ != NodeRowState::Live &&
         Found->second.Row_.Writer_ == Request.Writer_;
}

bool grantPromise(StepContext &Context, const PeerMessage &Request) {
  NodeState &State = Context.State_;
  if (!mayPromise(Context) || !acceptsList(State, Request.List_) ||
      isKnownDead(State, Request) ||
      isAfter(State.ConsentsGiven_, Request.From_, Context.Now_))
    return false;
  // The margin covers an owner whose monotonic clock runs more slowly.
  State.PromisesGiven_[Request.From_] = Context.Now_ +
                                        Context.Config_.PromiseTime_ +
                                        claimMargin(Context.Config_);
  return true;
}

bool grantConsent(StepContext &Context, const std::string &Target,
                  const ZoneList &List) {
  NodeState &State = Context.State_;
  if (!mayConsent(Context) || !acceptsList(State, List))
    return false;
  // Workers whose clocks are behind accept starts for a while after the right
  // has ended, so the owner's own promise outlasts it like those of others.
  const Millis After =
      clockError(Context.Config_) + claimMargin(Context.Config_);
  if (Target == State.Id_ &&
      hasRight(State, Context.Wall_ - After, Context.Now_ - After))
    return false;
  if (isAfter(State.PromisesGiven_, Target, Context.Now_) &&
      !Context.Config_.Faults_.ConsentDespitePromise_)
    return false;
  State.ConsentsGiven_[Target] = Context.Now_ + Context.Config_.ConsentTime_ +
                                 claimMargin(Context.Config_);
  return true;
}

bool holdsBeyondLease(const StepContext &Context) {
  const NodeState &State = Context.State_;
  return hasRight(State, Context.Wall_, Context.Now_) &&
         State.RightEnd_ > State.TableSent_ + Context.Config_.Lease_ -
                               clockError(Context.Config_);
}

// A node that consents has no promise or claim consent outstanding and gives
// none under the old list afterwards. When the change takes effect, no hold
// and no claim under the old list can be under way.
bool grantListConsent(StepContext &Context, const ZoneList &List) {
  NodeState &State = Context.State_;
  if (!mayConsent(Context) || List.Version_ != State.List_.Version_ ||
      !isListed(List, State.Id_) || holdsBeyondLease(Context) ||
      anyAfter(State.PromisesGiven_, Context.Now_) ||
      anyAfter(State.ConsentsGiven_, Context.Now_))
    return false;
  if (State.MinListVersion_ <= List.Version_) {
    State.MinListVersion_ = List.Version_ + 1;
    State.ListFrozen_ = Context.Now_;
  }
  return true;
}

// The right lasts until the first of a majority of promises runs out, counted
// from the sending of the request.
void extendByPromises(StepContext &Context) {
  NodeState &State = Context.State_;
  const std::size_t Majority = majorityOf(State.List_);
  if (State.List_.Version_ == 0 || State.PromisedToMe_.size() < Majority)
    return;
  // An expired right may have been claimed, so promises don't restore it.
  if (!hasRight(State, Context.Wall_, Context.Now_) &&
      !Context.Config_.Faults_.ResumeExpiredRight_)
    return;
  std::vector<Millis> Sent;
  std::vector<Millis> SentWall;
  for (const auto &[Peer, Request] : State.PromisedToMe_) {
    Sent.push_back(Request.Sent_);
    SentWall.push_back(Request.SentWall_);
  }
  std::sort(Sent.rbegin(), Sent.rend());
  std::sort(SentWall.rbegin(), SentWall.rend());
  const Millis Time =
      Context.Config_.PromiseTime_ - clockError(Context.Config_);
  const Millis Limit = State.TableSent_ + Context.Config_.MaxHold_;
  State.RightEnd_ =
      std::max(State.RightEnd_, std::min(Sent[Majority - 1] + Time, Limit));
  State.RightEndWall_ =
      std::max(State.RightEndWall_, SentWall[Majority - 1] + Time);
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
  return std::max(Config.PromiseTime_, Config.ConsentTime_) +
         claimMargin(Config);
}

bool isListed(const ZoneList &List, const std::string &Node) {
  return std::find(List.Nodes_.begin(), List.Nodes_.end(), Node) !=
         List.Nodes_.end();
}

bool isGone(const StepContext &Context, const std::string &Node) {
  const NodeState &State = Context.State_;
  const auto Found = State.Nodes_.find(Node);
  if (Found == State.Nodes_.end())
    return false;
  const SeenNode &Seen = Found->second;
  // A process that joined after this read promises nothing for a consent time.
  if (Context.Now_ >= Seen.LastSeen_ + Context.Config_.ConsentTime_)
    return false;
  const Millis Age = Context.Now_ - Seen.FirstSeen_;
  if (Seen.Row_.State_ == NodeRowState::Released)
    return Age >= restartWait(Context.Config_);
  const auto Absent = State.VmAbsent_.find(Node);
  return Absent != State.VmAbsent_.end() &&
         Context.Now_ >= Absent->second + Context.Config_.VmLag_ &&
         Age >= Context.Config_.Lease_ + claimMargin(Context.Config_);
}

void adoptList(StepContext &Context, const ZoneList &List) {
  NodeState &State = Context.State_;
  if (List.Version_ <= State.List_.Version_ || List.Zone_ != State.Zone_)
    return;
  State.List_ = List;
  State.MinListVersion_ = std::max(State.MinListVersion_, List.Version_);
  State.PromisedToMe_.clear();
  State.ClaimConsents_.clear();
  State.ListConsents_.clear();
  for (auto It = State.VmAbsent_.begin(); It != State.VmAbsent_.end();)
    It = isListed(List, It->first) ? std::next(It) : State.VmAbsent_.erase(It);
}

void extendByTable(StepContext &Context, const PendingWrite &Write) {
  NodeState &State = Context.State_;
  const Millis Time = Context.Config_.Lease_ - clockError(Context.Config_);
  State.TableSent_ = std::max(State.TableSent_, Write.Sent_);
  State.RightEnd_ = std::max(State.RightEnd_, Write.Sent_ + Time);
  State.RightEndWall_ = std::max(State.RightEndWall_, Write.SentWall_ + Time);
}

void sendTo(StepContext &Context, const std::string &Node,
            PeerMessage Message) {
  const auto Found = Context.State_.Nodes_.find(Node);
  if (Found == Context.State_.Nodes_.end() || Node == Context.State_.Id_)
    return;
  Context.Actions_.push_back(
      SendMessage{Node, Found->second.Row_.Address_, std::move(Message)});
}

void askPromises(StepContext &Context) {
  NodeState &State = Context.State_;
  const ProtocolConfig &Config = Context.Config_;
  // Half an interval of patience keeps promises out of normal operation.
  const Millis Overdue = State.TableSent_ + Config.RenewInterval_ * 3 / 2;
  if (State.Phase_ != Phase::Member || Context.Now_ < Overdue ||
      Context.Now_ < State.PromiseAsked_ + Config.AskInterval_ ||
      State.List_.Version_ == 0)
    return;
  if (!hasRight(State, Context.Wall_, Context.Now_) &&
      !Config.Faults_.ResumeExpiredRight_)
    return;
  State.PromiseAsked_ = Context.Now_;
  const PeerMessage Request = makeMessage(Context, MessageKind::Promise, "");
  for (const std::string &Node : State.List_.Nodes_)
    sendTo(Context, Node, Request);
  if (mayPromise(Context) && acceptsList(State, State.List_)) {
    State.PromisedToMe_[State.Id_] = Request;
    extendByPromises(Context);
  }
}

void answerPeer(StepContext &Context, const PeerMessage &Request) {
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
  case MessageKind::Changed:
    Context.State_.ReadNow_ = true;
    break;
  }
  Context.Actions_.push_back(SendAnswer{
      PeerAnswer{Request, Context.State_.Id_, Granted, Context.State_.List_}});
}

void handleAnswer(StepContext &Context, const PeerAnswer &Answer) {
  NodeState &State = Context.State_;
  const PeerMessage &Request = Answer.Request_;
  adoptList(Context, Answer.List_);
  // Answers to an earlier process or about an earlier list don't count.
  if (!Answer.Granted_ || Request.Writer_ != State.Writer_ ||
      Request.List_.Version_ != State.List_.Version_)
    return;
  if (Request.Kind_ == MessageKind::Promise &&
      isListed(State.List_, Answer.From_)) {
    PeerMessage &Latest = State.PromisedToMe_[Answer.From_];
    if (Latest.Sent_ < Request.Sent_)
      Latest = Request;
    extendByPromises(Context);
  } else if (Request.Kind_ == MessageKind::Consent) {
    Millis &Latest = State.ClaimConsents_[Request.Target_][Answer.From_];
    Latest = std::max(Latest, Request.Sent_);
  } else if (Request.Kind_ == MessageKind::ListConsent) {
    State.ListConsents_.insert(Answer.From_);
  }
}

void askConsents(StepContext &Context, const std::string &Target) {
  NodeState &State = Context.State_;
  Millis &Asked = State.ClaimAsked_[Target];
  if (State.List_.Version_ == 0 ||
      (Asked != Millis{} &&
       Context.Now_ < Asked + Context.Config_.AskInterval_))
    return;
  Asked = Context.Now_;
  for (const std::string &Node : State.List_.Nodes_)
    sendTo(Context, Node, makeMessage(Context, MessageKind::Consent, Target));
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
    bool Consents = Node != State.Id_ && isGone(Context, Node);
    if (Found != State.ClaimConsents_.end() && !Consents) {
      const auto Sent = Found->second.find(Node);
      Consents = Sent != Found->second.end() &&
                 Context.Now_ < Sent->second + Context.Config_.ConsentTime_;
    }
    Count += Consents ? 1 : 0;
  }
  return Count >= majorityOf(State.List_);
}

void askListConsents(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.ListAsked_ != Millis{} &&
      Context.Now_ < State.ListAsked_ + Context.Config_.AskInterval_)
    return;
  State.ListAsked_ = Context.Now_;
  for (const std::string &Node : State.List_.Nodes_)
    sendTo(Context, Node, makeMessage(Context, MessageKind::ListConsent, ""));
  if (grantListConsent(Context, State.List_))
    State.ListConsents_.insert(State.Id_);
}

bool hasListConsents(const StepContext &Context) {
  const NodeState &State = Context.State_;
  const auto Count = std::count_if(
      State.List_.Nodes_.begin(), State.List_.Nodes_.end(),
      [&](const std::string &Node) {
        return State.ListConsents_.count(Node) != 0 || isGone(Context, Node);
      });
  return static_cast<std::size_t>(Count) >= majorityOf(State.List_);
}

} // namespace damaskglade::ownership
