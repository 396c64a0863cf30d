#ifndef DAMASKGLADE_DRIVERS_BEAST_TRANSFER_PROGRESS_H
#define DAMASKGLADE_DRIVERS_BEAST_TRANSFER_PROGRESS_H

#include <cstddef>

namespace damaskglade::drivers {

/// How much of a call has been transferred.
struct TransferProgress {
  std::size_t RequestBytes_ = 0;
  std::size_t WrittenBytes_ = 0;
  std::size_t ReplyBytes_ = 0; ///< As far as known from its header.
  std::size_t ReceivedBytes_ = 0;

  friend bool operator==(const TransferProgress &,
                         const TransferProgress &) = default;
};

/// A message that takes more timeouts than this counts as stalled.
inline constexpr std::size_t MaxTransferTimeouts = 8;

/// Whether a message is partly transferred, and enough of it has moved since
/// Before, one timeout earlier, to be complete within MaxTransferTimeouts.
bool keepsMoving(const TransferProgress &Before, const TransferProgress &Now);

} // namespace damaskglade::drivers

#endif
