#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_CALLER_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_CALLER_H

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace damaskglade::review {

/// What a requester gets: an HTTP status, or 0 if no complete answer came.
struct Answer {
  int Status_ = 0;
  std::string Body_;
};

/// An HTTP connection of a requester. It stays with its node and carries one
/// request at a time.
class Caller {
public:
  Caller(boost::asio::io_context &Loop, int Port);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  /// Sends a request and waits for its answer until the deadline, which the
  /// node is told.
  void send(const std::string &Method, const std::string &Target,
            const std::string &Body, Millis Deadline,
            std::function<void(Answer)> Done);

private:
  class Connection;

  std::shared_ptr<Connection> Connection_;
};

/// Host and path prefix of the queue that the stand-in operator has set up.
inline constexpr const char *QueueHost = "depot.example";
inline constexpr const char *QueuePrefix = "/tags/";

} // namespace damaskglade::review

#endif
