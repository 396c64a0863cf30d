#ifndef DAMASKGLADE_MAIN_CLI_JOBS_H
#define DAMASKGLADE_MAIN_CLI_JOBS_H

#include "core/job.h"
#include "main/cli_context.h"

namespace damaskglade::cli {

/// Submits a job; waits for its end if Wait is set.
ExitCode submitJob(const Context &Ctx, const JobSpec &Spec, bool Wait);
ExitCode showJob(const Context &Ctx, const std::string &JobId);

/// Waits for the end of a job, at most for the timeout. The exit code is that
/// of the work: Failed if it did not run, was canceled or its answer says so,
/// OutcomeUnknown if that is its outcome or it has not ended.
ExitCode waitForJob(const Context &Ctx, const std::string &JobId);
ExitCode cancelJob(const Context &Ctx, const std::string &JobId);

} // namespace damaskglade::cli

#endif
