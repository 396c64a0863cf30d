#include "main/cli_config.h"

#include "config/folder.h"
#include "config/registry.h"
#include "main/cli_output.h"

namespace damaskglade::cli {

namespace {

ExitCode printProblems(const Context &Ctx,
                       const std::vector<config::Problem> &Problems) {
  for (const config::Problem &Each : Problems)
    Ctx.Err_ << describe(Each) << "\n";
  if (Ctx.Format_ != OutputFormat::Json)
    return ExitCode::Failed;
  Json::Value Out;
  Out["ok"] = false;
  for (const config::Problem &Each : Problems) {
    Json::Value Entry;
    Entry["file"] = Each.File_;
    Entry["line"] = Each.Line_;
    Entry["message"] = Each.Message_;
    Out["problems"].append(Entry);
  }
  printValue(Ctx, Out);
  return ExitCode::Failed;
}

} // namespace

ExitCode checkConfig(const Context &Ctx, const std::string &Folder) {
  const config::CheckedCell Checked = config::checkFolder(Folder);
  if (!Checked.Settings_)
    return printProblems(Ctx, Checked.Problems_);
  Json::Value Out;
  Out["ok"] = true;
  Out["hash"] = Checked.Hash_;
  printValue(Ctx, Out);
  return ExitCode::Ok;
}

ExitCode pushConfig(const Context &Ctx, const std::string &Folder,
                    std::int64_t BasedOn) {
  const config::CheckedCell Checked = config::checkFolder(Folder);
  if (!Checked.Settings_)
    return printProblems(Ctx, Checked.Problems_);
  const ExitCode Code = printReply(
      Ctx,
      Ctx.Api_.send("PUT", "/v1/config?based_on=" + std::to_string(BasedOn),
                    Checked.Canonical_, "text/plain", Ctx.Timeout_));
  if (Code == ExitCode::OutcomeUnknown)
    Ctx.Err_ << "damaskglade: \"config show\" tells whether hash "
             << Checked.Hash_ << " is in force\n";
  return Code;
}

ExitCode showConfig(const Context &Ctx) {
  return printReply(Ctx, Ctx.Api_.get("/v1/config", Ctx.Timeout_));
}

ExitCode showConfigHistory(const Context &Ctx) {
  return printReply(Ctx, Ctx.Api_.get("/v1/config/history", Ctx.Timeout_));
}

ExitCode printSettings(const Context &Ctx) {
  Ctx.Out_ << config::settingsMarkdown();
  return ExitCode::Ok;
}

} // namespace damaskglade::cli
