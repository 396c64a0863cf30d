#ifndef DAMASKGLADE_TESTS_PROCESS_LAUNCHER_H
#define DAMASKGLADE_TESTS_PROCESS_LAUNCHER_H

#include "core/clock.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace damaskglade::process_tests {

/// A child process. Only this process is ever signalled; it is killed and
/// reaped on destruction, and the kernel kills it if the test ends first.
class Process {
public:
  /// Starts a program. Its output goes to the end of LogFile. Ends the test
  /// program if it can't be started.
  Process(const std::string &Program, const std::vector<std::string> &Arguments,
          const std::string &LogFile);
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  pid_t id() const { return Id_; }
  /// False once the process has ended.
  bool isRunning();
  void signal(int Number);
  /// Kills with SIGKILL and waits for the end.
  void kill();
  /// Waits for the end of the process. Returns false on a timeout.
  bool waitForEnd(Millis Timeout);
  /// Valid after the end: exit status, or 128 and the number of the signal.
  int exitCode() const { return ExitCode_; }

private:
  void reap(int Options);

  pid_t Id_ = -1; ///< -1 once reaped.
  int ExitCode_ = -1;
};

/// First of Count consecutive ports of 127.0.0.1, below 200, that are free now
/// and that no other test program gets while this one runs.
int findFreePorts(int Count);

/// A new directory below the system's temporary directory.
std::string makeTemporaryFolder();

} // namespace damaskglade::process_tests

#endif
