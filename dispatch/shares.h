#ifndef DAMASKGLADE_DISPATCH_SHARES_H
#define DAMASKGLADE_DISPATCH_SHARES_H

#include "dispatch/job.h"

namespace damaskglade::dispatch {

/// Token bucket of a workspace: one token for each job within its share. It
/// starts full.
struct ShareBucket {
  bool Started_ = false; ///< A job has arrived, so the other values are set.
  double Tokens_ = 0;
  Millis FilledAt_{};

  friend bool operator==(const ShareBucket &, const ShareBucket &) = default;
};

/// Whether a submitted job may be accepted.
enum class ShareVerdict {
  InShare,
  OverShare, ///< Accepted; ranked behind jobs in share.
  Rejected,  ///< Over share while the fleet is full.
};

struct ShareDecision {
  ShareVerdict Verdict_ = ShareVerdict::InShare;
  Millis RetryAfter_{}; ///< When the next token is due; only if rejected.

  friend bool operator==(const ShareDecision &,
                         const ShareDecision &) = default;
};

/// Most tokens that a bucket with so many a second holds.
double shareBurst(double Weight);

/// Decides on a job that arrives now and takes a token if there is one. A
/// workspace without a weight is always in share.
ShareDecision decideShare(ShareBucket &Bucket, double Weight, bool FleetIsFull,
                          Millis Now);

/// The largest of the shares of processors, memory and accelerators that Used
/// is of Capacity.
double dominantShare(const Size &Used, const Size &Capacity);

/// How far a workspace is beyond its part of the fleet, which is its part of
/// all weights: 0 within it, 1 up to twice as much, 2 above. A few levels, so
/// that the order by work decides between workspaces that use about as much.
int shareLevel(double DominantShare, double Weight, double SumOfWeights);

} // namespace damaskglade::dispatch

#endif
