#include "tests/process/launcher.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace damaskglade::process_tests {

namespace {

constexpr int SignalBase = 128;
constexpr Millis PollInterval{5};
// Below the kernel's range of ephemeral ports, so that no outgoing connection
// takes a port between the check and its use. All have five digits, which the
// relay's rewrites depend on.
constexpr int FirstPort = 12000;
constexpr int LastPort = 31000;

/// A socket that is bound to the port, -1 if the port is in use. Connections
/// of an earlier test in TIME_WAIT count as use, since the daemon can't listen
/// on their port either.
int bindTo(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

bool isFree(int Port) {
  const int Socket = bindTo(Port);
  if (Socket >= 0)
    close(Socket);
  return Socket >= 0;
}

[[noreturn]] void runChild(const std::string &Program,
                           const std::vector<char *> &Arguments, int Log,
                           pid_t Parent) {
  // Only calls that are safe after fork() in a process with threads.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(EXIT_FAILURE);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Program.c_str(), Arguments.data());
  _exit(EXIT_FAILURE);
}

} // namespace

Process::Process(const std::string &Program,
                 const std::vector<std::string> &Arguments,
                 const std::string &LogFile) {
  std::vector<std::string> Owned = Arguments;
  std::string Name = Program;
  std::vector<char *> Pointers{Name.data()};
  for (std::string &Argument : Owned)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  const int Log =
      open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t Parent = getpid();
  Id_ = fork();
  if (Id_ == 0)
    runChild(Program, Pointers, Log, Parent);
  close(Log);
  if (Id_ < 0) {
    std::perror("fork");
    std::abort();
  }
}

Process::~Process() { kill(); }

Process::Process(Process &&Other) noexcept
    : Id_(std::exchange(Other.Id_, -1)), ExitCode_(Other.ExitCode_) {}

Process &Process::operator=(Process &&Other) noexcept {
  if (this == &Other)
    return *this;
  kill();
  Id_ = std::exchange(Other.Id_, -1);
  ExitCode_ = Other.ExitCode_;
  return *this;
}

void Process::reap(int Options) {
  int Status = 0;
  if (Id_ < 0 || waitpid(Id_, &Status, Options) != Id_)
    return;
  Id_ = -1;
  ExitCode_ =
      WIFEXITED(Status) ? WEXITSTATUS(Status) : SignalBase + WTERMSIG(Status);
}

bool Process::isRunning() {
  reap(WNOHANG);
  return Id_ >= 0;
}

void Process::signal(int Number) {
  if (isRunning())
    ::kill(Id_, Number);
}

void Process::kill() {
  signal(SIGKILL);
  reap(0);
}

bool Process::waitForEnd(Millis Timeout) {
  const SystemClock Clock;
  const Millis End = Clock.monotonic() + Timeout;
  while (isRunning()) {
    if (Clock.monotonic() >= End)
      return false;
    sleepFor(PollInterval);
  }
  return true;
}

int findFreePorts(int Count) {
  // Test programs that run at the same time take different blocks: each holds
  // a listening socket on the first port of its block until it ends.
  constexpr int BlockSize = 200;
  constexpr int BlockCount = (LastPort - FirstPort) / BlockSize;
  const int Offset = static_cast<int>(getpid() % BlockCount);
  for (int Tried = 0; Tried < BlockCount && Count < BlockSize; ++Tried) {
    const int Block = FirstPort + (Offset + Tried) % BlockCount * BlockSize;
    const int Guard = bindTo(Block);
    if (Guard < 0)
      continue;
    bool Free = listen(Guard, 1) == 0;
    for (int Index = 1; Index <= Count && Free; ++Index)
      Free = isFree(Block + Index);
    if (Free)
      return Block + 1;
    close(Guard);
  }
  std::fprintf(stderr, "no %d consecutive free ports\n", Count);
  std::abort();
}

std::string makeTemporaryFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "damaskglade_XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr) {
    std::perror("mkdtemp");
    std::abort();
  }
  return Name;
}

} // namespace damaskglade::process_tests
