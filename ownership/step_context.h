#ifndef DAMASKGLADE_OWNERSHIP_STEP_CONTEXT_H
#define DAMASKGLADE_OWNERSHIP_STEP_CONTEXT_H

#include "ownership/protocol.h"

#include <string>
#include <vector>

// Parts of the step function. Internal to this package.
namespace damaskglade::ownership {

/// State and actions under construction during one step.
struct StepContext {
  NodeState &State_;
  Millis Now_; ///< Monotonic.
  Millis Wall_;
  const ProtocolConfig &Config_;
  std::vector<Action> &Actions_;
};

// Lease, promises and consents (lease.cpp).

Millis claimMargin(const ProtocolConfig &Config);

/// Minimum time after a start before a node gives promises or consents.
Millis restartWait(const ProtocolConfig &Config);

bool isListed(const ZoneList &List, const std::string &Node);

/// True if the listed node neither has a lease nor gives promises, so that its
/// consent is not needed.
bool isInactive(const StepContext &Context, const std::string &Node);

void adoptList(StepContext &Context, const ZoneList &List);
void extendLeaseByRenewal(StepContext &Context, const PendingWrite &Write);
void requestPromises(StepContext &Context);
void handleRequest(StepContext &Context, const PeerMessage &Request);
void handleAnswer(StepContext &Context, const PeerAnswer &Answer);

/// Sends the message to a peer if its address is known.
void sendToPeer(StepContext &Context, const std::string &Node,
                PeerMessage Message);
/// Requests consent to a claim from the listed nodes, this one included.
void requestConsents(StepContext &Context, const std::string &Target);
bool hasConsents(const StepContext &Context, const std::string &Target);
/// Requests consent to a list change from the listed nodes, this one included.
void requestListConsents(StepContext &Context);
bool hasListConsents(const StepContext &Context);

// Table (table.cpp).

void handleRows(StepContext &Context, const RowsRead &Read);
void handleCommit(StepContext &Context, const CommitDone &Done);
void scheduleRead(StepContext &Context);
/// Sends the own row and the changes as one transaction. Ownership of all
/// shards in it ends at once; those assigned to this node return when it is
/// applied.
void sendWrite(StepContext &Context, NodeRowState State,
               std::vector<RowWrite> Changes);
void removeOwnedShard(StepContext &Context, const std::string &Shard);

// Claims (claim.cpp).

/// Starts the next transaction if one is due.
void planWrite(StepContext &Context);

} // namespace damaskglade::ownership

#endif
