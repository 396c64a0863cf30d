#ifndef DAMASKGLADE_DRIVERS_BEAST_MESSAGE_PARTS_H
#define DAMASKGLADE_DRIVERS_BEAST_MESSAGE_PARTS_H

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace damaskglade::drivers {

// Beast reads at most this much at a time.
inline constexpr std::size_t MaxPartBytes = std::size_t{64} * 1024;

/// Makes room for the rest of a message whose header has been read. Without it
/// Beast reads 512 bytes at a time, and each part waits until the event loop
/// has run everything else that is ready.
template <typename Parser>
void reserveForBody(boost::beast::flat_buffer &Buffer, const Parser &Message) {
  if (!Message.is_header_done() || Message.is_done())
    return;
  const auto Remaining = Message.content_length_remaining();
  Buffer.reserve(Remaining ? static_cast<std::size_t>(std::min<std::uint64_t>(
                                 *Remaining, MaxPartBytes))
                           : MaxPartBytes);
}

/// Releases that room, since most connections are idle.
inline void releaseBuffer(boost::beast::flat_buffer &Buffer) {
  constexpr std::size_t KeptBytes = 4096;
  if (Buffer.capacity() > KeptBytes)
    Buffer.shrink_to_fit();
}

} // namespace damaskglade::drivers

#endif
