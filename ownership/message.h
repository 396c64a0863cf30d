#ifndef DAMASKGLADE_OWNERSHIP_MESSAGE_H
#define DAMASKGLADE_OWNERSHIP_MESSAGE_H

#include "core/error.h"
#include "ownership/rows.h"

#include <string>

namespace damaskglade::ownership {

enum class MessageKind {
  Promise,     ///< Requests a promise to refuse claims on the sender for
               ///< PromiseDuration_.
  Consent,     ///< Requests consent to a claim on the target's row.
  ListConsent, ///< Requests consent to a change of the list in the message.
  RowsChanged, ///< Notifies the peer that rows changed and should be read.
};

/// A request to a peer of the same zone.
struct PeerMessage {
  MessageKind Kind_ = MessageKind::Promise;
  std::string From_;
  std::string Writer_; ///< Identifies the sender's process.
  std::string Target_; ///< Node whose row is claimed (Consent only).
  Millis Sent_{};      ///< Sender's monotonic time.
  Millis SentWall_{};  ///< Sender's wall time.
  ZoneList List_;      ///< Newest list known to the sender.

  friend bool operator==(const PeerMessage &, const PeerMessage &) = default;
};

/// Answer to a PeerMessage, with a copy of the request.
struct PeerAnswer {
  PeerMessage Request_;
  std::string From_;
  bool Granted_ = false;
  ZoneList List_; ///< Newest list known to the answering node.

  friend bool operator==(const PeerAnswer &, const PeerAnswer &) = default;
};

std::string encodeMessage(const PeerMessage &Message);
Result<PeerMessage> decodeMessage(const std::string &Text);

/// The text does not contain the request; the requesting node adds it when it
/// decodes the answer.
std::string encodePeerAnswer(const PeerAnswer &Answer);
Result<PeerAnswer> decodePeerAnswer(const PeerMessage &Request,
                                    const std::string &Text);

} // namespace damaskglade::ownership

#endif
