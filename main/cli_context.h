#ifndef DAMASKGLADE_MAIN_CLI_CONTEXT_H
#define DAMASKGLADE_MAIN_CLI_CONTEXT_H

#include "core/error.h"

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace damaskglade::cli {

/// Exit codes of the command line.
enum class ExitCode {
  Ok = 0,
  Failed = 1, ///< Refused, or the work failed.
  Usage = 2,
  OutcomeUnknown = 3, ///< The request may have taken effect.
  NoNode = 4,         ///< No node could be reached.
};

struct ApiReply {
  int Status_ = 0; ///< HTTP status.
  std::string Body_;
};

/// HTTP API of the nodes. Errors: connect_failed with Effect::None if no node
/// could be reached; timeout or answer_lost with Effect::Unknown.
class NodeApi {
public:
  virtual ~NodeApi() = default;
  /// A request without effect; any failure leads to the next node.
  virtual Result<ApiReply> get(const std::string &Path, Millis Timeout) = 0;
  /// Method is "POST" or "PUT". Only a refused connection leads to the next
  /// node, since the request may have taken effect otherwise.
  virtual Result<ApiReply> send(const std::string &Method,
                                const std::string &Path,
                                const std::string &Body,
                                const std::string &ContentType,
                                Millis Timeout) = 0;
};

enum class OutputFormat { Table, Json };

/// What a command works with.
struct Context {
  NodeApi &Api_;
  std::ostream &Out_;
  std::ostream &Err_;
  OutputFormat Format_ = OutputFormat::Table;
  Millis Timeout_{10000};
};

} // namespace damaskglade::cli

#endif
