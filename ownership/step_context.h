#ifndef DAMASKGLADE_OWNERSHIP_STEP_CONTEXT_H
#define DAMASKGLADE_OWNERSHIP_STEP_CONTEXT_H

#include "ownership/protocol.h"

#include <string>
#include <vector>

// Parts of the step function. Not for use outside this package.
namespace damaskglade::ownership {

/// The state under construction during one step.
struct StepContext {
  NodeState &State_;
  Millis Now_; ///< Monotonic.
  Millis Wall_;
  const ProtocolConfig &Config_;
  std::vector<Action> &Actions_;
};

// Peers and rights (right.cpp).

Millis claimMargin(const ProtocolConfig &Config);

/// Time that a restarted node waits before it promises or consents.
Millis restartWait(const ProtocolConfig &Config);

bool isListed(const ZoneList &List, const std::string &Node);

/// True if the listed node neither promises nor owns anything, so that its
/// consent is not needed.
bool isGone(const StepContext &Context, const std::string &Node);

void adoptList(StepContext &Context, const ZoneList &List);
void extendByTable(StepContext &Context, const PendingWrite &Write);
void askPromises(StepContext &Context);
void answerPeer(StepContext &Context, const PeerMessage &Request);
void handleAnswer(StepContext &Context, const PeerAnswer &Answer);

/// Sends the message to a peer of the zone whose address is known.
void sendTo(StepContext &Context, const std::string &Node, PeerMessage Message);
/// Asks the listed nodes, this one included, to consent to a claim.
void askConsents(StepContext &Context, const std::string &Target);
bool hasConsents(const StepContext &Context, const std::string &Target);
/// Asks the listed nodes, this one included, to consent to a list change.
void askListConsents(StepContext &Context);
bool hasListConsents(const StepContext &Context);

// Table (table.cpp).

void handleRows(StepContext &Context, const RowsRead &Read);
void handleCommit(StepContext &Context, const CommitDone &Done);
void scheduleRead(StepContext &Context);
/// Sends the own row and the changes as one transaction. Shards that it gives
/// away are dropped at once.
void sendWrite(StepContext &Context, NodeRowState State,
               std::vector<RowWrite> Changes);
void loseShard(StepContext &Context, const std::string &Shard);

// Claims (claim.cpp).

/// Starts the next transaction if one is due.
void planWrite(StepContext &Context);

} // namespace damaskglade::ownership

#endif
