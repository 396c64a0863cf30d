#include "drivers/beast/transfer_progress.h"

namespace damaskglade::drivers {

bool keepsMoving(const TransferProgress &Before, const TransferProgress &Now) {
  if (Now.ReceivedBytes_ > 0)
    return (Now.ReceivedBytes_ - Before.ReceivedBytes_) * MaxTransferTimeouts >=
           Now.ReplyBytes_;
  // A small request is written at once, and then the peer is silent.
  if (Now.WrittenBytes_ == 0 || Now.WrittenBytes_ >= Now.RequestBytes_)
    return false;
  return (Now.WrittenBytes_ - Before.WrittenBytes_) * MaxTransferTimeouts >=
         Now.RequestBytes_;
}

} // namespace damaskglade::drivers
