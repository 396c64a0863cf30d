#ifndef DAMASKGLADE_OWNERSHIP_MESSAGE_H
#define DAMASKGLADE_OWNERSHIP_MESSAGE_H

#include "core/error.h"
#include "ownership/rows.h"

#include <string>

namespace damaskglade::ownership {

enum class MessageKind {
  Promise,     ///< Asks not to claim the sender's shards for promise time.
  Consent,     ///< Asks to consent to a claim on the target's row.
  ListConsent, ///< Asks to consent to a change of the list in the message.
  Changed,     ///< Says that rows changed and should be read soon.
};

/// A request to a peer of the same zone.
struct PeerMessage {
  MessageKind Kind_ = MessageKind::Promise;
  std::string From_;
  std::string Writer_; ///< Of the sender's process.
  std::string Target_; ///< Node whose row is claimed (Consent).
  Millis Sent_{};      ///< Sender's monotonic time.
  Millis SentWall_{};  ///< Sender's wall time.
  ZoneList List_;      ///< Sender's list, read from the table by some node.

  friend bool operator==(const PeerMessage &, const PeerMessage &) = default;
};

/// Answer to a PeerMessage, which it repeats.
struct PeerAnswer {
  PeerMessage Request_;
  std::string From_;
  bool Granted_ = false;
  ZoneList List_; ///< The answering node's list.

  friend bool operator==(const PeerAnswer &, const PeerAnswer &) = default;
};

std::string encodeMessage(const PeerMessage &Message);
Result<PeerMessage> decodeMessage(const std::string &Text);

/// The request is left out of the text; the sender adds it on receipt.
std::string encodePeerAnswer(const PeerAnswer &Answer);
Result<PeerAnswer> decodePeerAnswer(const PeerMessage &Request,
                                    const std::string &Text);

} // namespace damaskglade::ownership

#endif
