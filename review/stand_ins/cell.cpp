#include "review/stand_ins/cell.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr std::int64_t CallTimeoutMs = 3000;
constexpr std::int64_t RetryMs = 300;
constexpr const char *Host = "queue.example";
constexpr const char *Prefix = "/work/";

std::string makeConfig() {
  Json::Value Route;
  Route["name"] = "queue";
  Route["host"] = Host;
  Route["pathPrefix"] = Prefix;
  Route["service"] = "desk";
  Route["priority"] = 0;
  Route["maxAttempts"] = 4;
  Route["slackFactor"] = 1.5;
  Route["targetLatencyMs"] = 250;
  Json::Value Config;
  Config["version"] = 1;
  Config["routes"].append(Route);
  Config["services"]["desk"]["preconditions"] = false;
  return writeText(Config);
}

} // namespace

Cell::Cell(Record &Log, std::string Daemon, std::string Folder)
    : Log_(Log), Daemon_(std::move(Daemon)), Folder_(std::move(Folder)),
      Store_(Log), History_(Log) {
  Store_.put("op", "config", makeConfig());
}

void Cell::stopNodes() {
  for (const Node &Each : Nodes_) {
    kill(Each.Process_, SIGKILL);
    waitpid(Each.Process_, nullptr, 0);
  }
}

void Cell::addWorkers(const std::vector<std::string> &Labels) {
  for (const std::string &Label : Labels) {
    Workers_.push_back(std::make_unique<Worker>(
        Store_, History_, Log_, "w" + std::to_string(Workers_.size()), Label));
    Workers_.back()->join();
  }
}

// The settings as deploy/node.ini.template gives them, with the figures of the
// sites' pages.
void Cell::startNodes(int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    const auto FreeAddress = [] {
      return "127.0.0.1:" + std::to_string(findFreePort());
    };
    Node Added;
    Added.Name_ = "n" + std::to_string(Number);
    Added.CallerPort_ = findFreePort();
    Added.Peers_ = FreeAddress();
    Added.Settings_ = Folder_ + "/" + Added.Name_ + ".ini";
    std::ofstream(Added.Settings_)
        << "[node]\nname = " << Added.Name_
        << "\nzone = z0\ncallers = 127.0.0.1:" << Added.CallerPort_
        << "\nreadiness = " << FreeAddress() << "\npeers = " << Added.Peers_
        << "\nmetrics = " << FreeAddress()
        << "\n\n[services]\nstore = " << Store_.address()
        << "\nadvice = \n\n[limits]\ncpu_share = 0.25\ncpu_speed = 1\n"
           "max_lease_ms = 10000\ngang_wait_ms = 3000\nstatus_kept_s = 120\n"
           "stop_grace_s = 6\n";
    start(Added);
    Nodes_.push_back(Added);
  }
}

void Cell::start(Node &Started) {
  const std::string LogPath = Folder_ + "/" + Started.Name_ + ".log";
  setenv("DAMASKGLADE_CONFIG", Started.Settings_.c_str(), 1);
  Started.Process_ = fork();
  if (Started.Process_ != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  execl(Daemon_.c_str(), Daemon_.c_str(), "--cell", nullptr);
  _exit(EXIT_FAILURE);
}

bool Cell::nodesRun() {
  bool AllRun = true;
  for (const Node &Each : Nodes_)
    AllRun = AllRun && waitpid(Each.Process_, nullptr, WNOHANG) == 0;
  return AllRun;
}

HttpReply Cell::call(const std::string &Method, const std::string &Id,
                     const std::string &Body) {
  const Node &Asked = Nodes_[NextNode_++ % Nodes_.size()];
  HttpReply Reply = httpCall(Asked.CallerPort_, Method, Prefix + Id, Host, Body,
                             CallTimeoutMs);
  Log_.write(Method + " " + Id + " at " + Asked.Name_ + " -> " +
             std::to_string(Reply.Status_) + " " + Reply.Body_);
  return Reply;
}

bool Cell::submit(const std::string &Id, const std::string &Spec,
                  const std::string &Steps, std::int64_t TimeoutMs) {
  Json::Value Body;
  Body["spec"] = Spec;
  Body["phases"] = readText(Steps);
  const std::int64_t Until = nowMs() + TimeoutMs;
  while (nowMs() < Until) {
    if (call("POST", Id, writeText(Body)).Status_ == Ok)
      return true;
    sleepMs(RetryMs);
  }
  return false;
}

std::string Cell::state(const std::string &Id) {
  const HttpReply Reply = call("GET", Id, "");
  return Reply.Status_ == Ok ? readText(Reply.Body_)["state"].asString() : "";
}

bool Cell::waitComplete(const std::string &Id, std::int64_t TimeoutMs) {
  const std::int64_t Until = nowMs() + TimeoutMs;
  while (nowMs() < Until) {
    if (state(Id) == "complete")
      return true;
    sleepMs(RetryMs);
  }
  return false;
}

bool Cell::warmUp() {
  constexpr std::int64_t StartMs = 20000;
  constexpr std::int64_t EndMs = 10000;
  return submit("00000000000000aa", "100",
                R"([{"count":4,"cpu":100,"memMb":64,"estimateMs":100}])",
                StartMs) &&
         waitComplete("00000000000000aa", EndMs);
}

bool Cell::killLeader(std::int64_t DownMs) {
  const std::string Row = Store_.leaderRow();
  for (Node &Each : Nodes_) {
    if (Row.find(Each.Peers_) == std::string::npos)
      continue;
    Log_.write("kill the leader " + Each.Name_);
    kill(Each.Process_, SIGKILL);
    waitpid(Each.Process_, nullptr, 0);
    sleepMs(DownMs);
    Log_.write("start " + Each.Name_ + " again");
    start(Each);
    return true;
  }
  return false;
}

} // namespace damaskglade::review
