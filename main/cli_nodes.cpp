#include "main/cli_nodes.h"

#include "main/cli_output.h"

namespace damaskglade::cli {

ExitCode listNodes(const Context &Ctx) {
  return printReply(Ctx, Ctx.Api_.get("/v1/nodes", Ctx.Timeout_));
}

ExitCode listWorkers(const Context &Ctx) {
  return printReply(Ctx, Ctx.Api_.get("/v1/workers", Ctx.Timeout_));
}

ExitCode controlWorker(const Context &Ctx, const std::string &Worker,
                       const std::string &Action) {
  return printReply(
      Ctx,
      Ctx.Api_.send("POST", "/v1/workers/" + encodePath(Worker) + "/" + Action,
                    "{}", "application/json", Ctx.Timeout_));
}

} // namespace damaskglade::cli
