#include "review/stand_ins_3/bed.h"

#include "core/codec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr int Gone = 410;
constexpr const char *Host = "desk.example";
constexpr int FirstVersion = 7;
constexpr const char *FirstRoute = "r-desk";
constexpr Millis CallTimeout{3000};

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  return Address;
}

// Ports that were free a moment ago, different from each other. They lie below
// the range from which the system takes the ports of clients.
std::string freeAddress() {
  static std::set<int> Given;
  // Cases that start at the same time have adjacent process ids.
  constexpr int FirstPort = 20000;
  constexpr int PortsPerCase = 50;
  constexpr int Blocks = 240;
  static int Next =
      FirstPort + static_cast<int>(getpid() % Blocks) * PortsPerCase;
  for (;; ++Next) {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in Address = loopback(Next);
    const bool IsFree =
        bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0;
    close(Socket);
    if (IsFree && Given.insert(Next).second)
      return "127.0.0.1:" + std::to_string(Next);
  }
}

std::string portOf(const std::string &Address) {
  return Address.substr(Address.find(':') + 1);
}

std::string replaceAll(std::string Text, const std::string &From,
                       const std::string &To) {
  for (auto At = Text.find(From); At != std::string::npos;
       At = Text.find(From, At + To.size()))
    Text.replace(At, From.size(), To);
  return Text;
}

bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Bytes =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Bytes <= 0)
      return false;
    Sent += static_cast<std::size_t>(Bytes);
  }
  return true;
}

// Reads one reply with a length.
Answer receive(int Socket) {
  constexpr std::size_t Chunk = 65536;
  std::string Text;
  std::string Buffer(Chunk, '\0');
  for (;;) {
    const auto HeaderEnd = Text.find("\r\n\r\n");
    if (HeaderEnd != std::string::npos) {
      std::string Header = Text.substr(0, HeaderEnd);
      std::transform(Header.begin(), Header.end(), Header.begin(),
                     [](unsigned char Letter) {
                       return static_cast<char>(std::tolower(Letter));
                     });
      const auto Length = Header.find("content-length:");
      const std::size_t Bytes =
          Length == std::string::npos
              ? 0
              : static_cast<std::size_t>(
                    std::atoll(Header.c_str() + Length +
                               std::string_view("content-length:").size()));
      const std::size_t BodyStart =
          HeaderEnd + std::string_view("\r\n\r\n").size();
      if (Text.size() >= BodyStart + Bytes)
        return Answer{
            std::atoi(Header.c_str() + std::string_view("http/1.1 ").size()),
            Text.substr(BodyStart, Bytes),
            {}};
    }
    const ssize_t Received = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Received <= 0)
      return Answer{};
    Text.append(Buffer.data(), static_cast<std::size_t>(Received));
  }
}

Answer transfer(const std::string &Address, const std::string &Request) {
  constexpr std::int64_t MillisPerSecond = 1000;
  const Millis Start = Bed::now();
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{};
  Limit.tv_sec = CallTimeout.Value_ / MillisPerSecond;
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Peer = loopback(std::stoi(portOf(Address)));
  Answer Result;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Peer),
              sizeof(Peer)) == 0 &&
      sendAll(Socket, Request))
    Result = receive(Socket);
  close(Socket);
  Result.Took_ = Bed::now() - Start;
  return Result;
}

} // namespace

Bed::Bed(const std::string &Folder, std::string Program)
    : Record_(Folder + "/record.txt"), Program_(std::move(Program)),
      Log_(Record_, "case") {
  std::filesystem::remove(Record_);
  std::string Name =
      (std::filesystem::temp_directory_path() / "damaskglade-XXXXXX").string();
  if (mkdtemp(Name.data()))
    Folder_ = Name;
}

Bed::~Bed() {
  std::vector<pid_t> Processes = {StoreProcess_};
  for (const Node &Each : Nodes_)
    Processes.push_back(Each.Process_);
  for (const auto &[Id, Each] : Workers_)
    Processes.push_back(Each.Process_);
  for (const pid_t Process : Processes)
    if (Process > 0) {
      kill(Process, SIGKILL);
      waitpid(Process, nullptr, 0);
    }
  if (std::getenv("KEEP_LOGS"))
    std::printf("logs are in %s\n", Folder_.c_str());
  else if (!Folder_.empty())
    std::filesystem::remove_all(Folder_);
}

void Bed::sleep(Millis Time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Time.Value_));
}

pid_t Bed::spawn(const std::vector<std::string> &Command,
                 const std::string &Output, const std::string &Settings) const {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Each : Command)
    Arguments.push_back(const_cast<char *>(Each.c_str()));
  Arguments.push_back(nullptr);
  constexpr int OwnerOnly = 0600;
  const pid_t Process = fork();
  if (Process != 0)
    return Process;
  // A case that is ended from outside leaves no process behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File =
      open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, OwnerOnly);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  setenv("DAMASKGLADE_CONFIG", Settings.c_str(), 1);
  execv(Arguments.front(), Arguments.data());
  _exit(1);
}

void Bed::startWorker(const std::string &Id) {
  WorkerProcess &Each = Workers_[Id];
  Each.Process_ = spawn(
      {Program_, "worker", Record_, Id, Each.Address_, Store_, Each.Zone_},
      Folder_ + "/" + Id + ".log", "");
}

// Renders the template of the deploy file with the values of the example in
// DEPLOY.md.
void Bed::writeSettings(int Number) {
  Node &Each = Nodes_[static_cast<std::size_t>(Number)];
  Each.Callers_ = freeAddress();
  Each.Readiness_ = freeAddress();
  Each.Settings_ = Folder_ + "/node-" + std::to_string(Number) + ".ini";
  Each.Output_ = Folder_ + "/node-" + std::to_string(Number) + ".log";
  std::ifstream In("deploy/node.ini.template");
  std::stringstream Template;
  Template << In.rdbuf();
  std::string Text = Template.str();
  const std::pair<const char *, std::string> Values[] = {
      {"nodeName", "edge-" + std::to_string(Number)},
      {"zone", "z" + std::to_string(Number)},
      {"listen.frontend", Each.Callers_},
      {"listen.readiness", Each.Readiness_},
      {"ip", "127.0.0.1"},
      {"portRange.0", portOf(freeAddress())},
      {"portRange.1", portOf(freeAddress())},
      {"platform.addr", Store_},
      {"hint", Store_},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"limits.memoryMb", "260"},
      {"limits.maxFds", "4100"},
      {"bounds.holdMaxMs", "10000"},
      {"bounds.gangTimeoutMs", "3000"},
      {"bounds.status_s", "120"},
      {"bounds.graceS", "6"},
      {"bounds.configApplyMs", "2000"},
      {"bounds.strictRevoke", ""},
      {"bounds.revokeMs", ""}};
  for (const auto &[Name, Value] : Values)
    Text = replaceAll(Text, "{{" + std::string(Name) + "}}", Value);
  std::ofstream(Each.Settings_) << Text;
}

void Bed::putRow(const std::string &Table, const std::string &Key,
                 const Json::Value &Value) {
  Json::Value Body;
  Body["table"] = Table;
  Body["key"] = Key;
  Body["value"] = Value;
  (void)post(Store_, "/stand-in/put", Body);
}

void Bed::writeConfig(int Version, const std::string &Name, int Priority) {
  constexpr int RouteTimeout = 3000;
  Json::Value Route;
  Route["name"] = Name;
  Route["host"] = Host;
  Route["pathPrefix"] = Desk;
  Route["kind"] = "non_idempotent";
  Route["timeoutMs"] = RouteTimeout;
  Route["targetLatencyMs"] = 1200;
  Route["priority"] = Priority;
  Route["service"] = "desk";
  Route["maxAttempts"] = 4;
  Route["slackFactor"] = 2.0;
  Route["hint"]["decisionMs"] = 21.0;
  Route["hint"]["intervalMs"] = 0.29;
  Route["hint"]["validMs"] = 2500;
  Json::Value Service;
  Service["name"] = "desk";
  Service["healthPath"] = "/healthz";
  Service["maxConns"] = 64;
  Service["protocol"] = "h1";
  Service["tls"] = false;
  Service["preconditions"] = false;
  Service["standby"] = false;
  Json::Value Config;
  Config["version"] = Version;
  Config["routes"].append(Route);
  Route["name"] = "r-middle";
  Route["pathPrefix"] = Middle;
  Route["priority"] = 1;
  Config["routes"].append(Route);
  Config["services"].append(Service);
  Config["limits"]["maxHeaderBytes"] = 16384;
  Config["limits"]["maxBodyBytes"] = 262144;
  Config["limits"]["headerTimeoutMs"] = RouteTimeout;
  Config["limits"]["idleTimeoutMs"] = 15000;
  putRow("op", "config", Config);
  Log_.write("the operator has written version " + std::to_string(Version) +
             ", its route is " + Name);
}

Answer Bed::post(const std::string &Address, const std::string &Path,
                 const Json::Value &Body) const {
  const std::string Text = writeJson(Body);
  return transfer(Address, "POST " + Path + " HTTP/1.1\r\nHost: " + Address +
                               "\r\nConnection: close\r\nContent-Type: "
                               "application/json\r\nContent-Length: " +
                               std::to_string(Text.size()) + "\r\n\r\n" + Text);
}

bool Bed::start(int Workers) {
  constexpr Millis Poll{100};
  constexpr Millis StartLimit{20000};
  Store_ = freeAddress();
  StoreProcess_ =
      spawn({Program_, "store", Record_, Store_}, Folder_ + "/store.log", "");
  const Millis Deadline = now() + StartLimit;
  const std::string Probe = "GET /api/rows-get?table=op&part= HTTP/1.1\r\n"
                            "Host: store\r\nConnection: close\r\n\r\n";
  while (transfer(Store_, Probe).Status_ != Ok) {
    if (now() > Deadline)
      return false;
    sleep(Poll);
  }
  writeConfig(FirstVersion, FirstRoute);
  for (int Number = 0; Number < Workers; ++Number) {
    const std::string Id = "w" + std::to_string(Number);
    Workers_[Id] = WorkerProcess{freeAddress(),
                                 "z" + std::to_string(Number % NodeCount), 0};
    startWorker(Id);
  }
  Nodes_.resize(NodeCount);
  for (int Number = 0; Number < NodeCount; ++Number) {
    writeSettings(Number);
    startNode(Number);
  }
  for (const Node &Each : Nodes_)
    while (transfer(Each.Readiness_,
                    "GET /api/readyz HTTP/1.1\r\nHost: node\r\nConnection: "
                    "close\r\n\r\n")
               .Status_ != Ok) {
      if (now() > Deadline)
        return false;
      sleep(Poll);
    }
  // The workers write to the registry, which the leader reads each second.
  constexpr Millis RegistryTime{2500};
  sleep(RegistryTime);
  Log_.write("ready, leader=" + std::to_string(leader()));
  return leader() >= 0;
}

void Bed::startNode(int Number) {
  Node &Each = Nodes_[static_cast<std::size_t>(Number)];
  Each.Process_ = spawn({"target/main/damaskgladed", "--cell"}, Each.Output_,
                        Each.Settings_);
}

void Bed::signalNode(int Node, int Number) {
  Log_.write("node " + std::to_string(Node) + " gets signal " +
             std::to_string(Number));
  kill(Nodes_[static_cast<std::size_t>(Node)].Process_, Number);
}

void Bed::crashWorker(const std::string &Id, Millis DownTime) {
  WorkerProcess &Each = Workers_[Id];
  kill(Each.Process_, SIGKILL);
  waitpid(Each.Process_, nullptr, 0);
  Log_.write("worker " + Id + " was killed");
  sleep(DownTime);
  startWorker(Id);
}

// The last election that ended with a leader, by epoch.
int Bed::leader() const {
  int Found = -1;
  long Highest = 0;
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number) {
    std::ifstream In(Nodes_[Number].Output_);
    for (std::string Line; std::getline(In, Line);) {
      const auto At = Line.find("step=lead event=epoch=");
      if (At == std::string::npos || Line.find(" loaded ") == std::string::npos)
        continue;
      const long Epoch =
          std::atol(Line.c_str() + At +
                    std::string_view("step=lead event=epoch=").size());
      if (Epoch >= Highest) {
        Highest = Epoch;
        Found = static_cast<int>(Number);
      }
    }
  }
  return Found;
}

Answer Bed::call(int Node, const std::string &Method, const std::string &Id,
                 const std::string &Body, const std::string &Prefix) {
  Log_.write("send " + Method + " " + Id + " to node " + std::to_string(Node) +
             ", body bytes=" + std::to_string(Body.size()));
  Answer Result =
      transfer(Nodes_[static_cast<std::size_t>(Node)].Callers_,
               Method + " " + Prefix + Id + " HTTP/1.1\r\nHost: " + Host +
                   "\r\nConnection: close\r\nDeadline-Ms: " +
                   std::to_string(CallTimeout.Value_) +
                   "\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(Body.size()) + "\r\n\r\n" + Body);
  Log_.write("answer to " + Method + " " + Id + ": " +
             std::to_string(Result.Status_) + " " + Result.Body_ +
             " after_ms=" + std::to_string(Result.Took_.Value_));
  return Result;
}

std::string Bed::stateOf(const std::string &Id) {
  for (int Node = 0; Node < NodeCount; ++Node) {
    const Answer Result = call(Node, "GET", Id);
    if (Result.Status_ == Gone)
      return "unknown";
    const auto Body = parseJson(Result.Body_, "state of a job");
    if (Result.Status_ == Ok && Body)
      return Body.value()["state"].asString();
  }
  return "";
}

std::vector<WorkerLine> Bed::workerLines() const {
  std::vector<WorkerLine> Lines;
  std::ifstream In(Record_);
  for (std::string Text; std::getline(In, Text);) {
    std::istringstream Words(Text);
    WorkerLine Line;
    std::string Writer;
    Words >> Line.At_.Value_ >> Writer;
    if (Workers_.count(Writer) == 0)
      continue;
    Line.Worker_ = Writer;
    Words >> Line.What_ >> Line.Task_;
    std::getline(Words, Line.Rest_);
    Lines.push_back(Line);
  }
  return Lines;
}

} // namespace damaskglade::review
