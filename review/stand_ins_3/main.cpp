// The stand-ins of a review, and its cases.

#include "review/stand_ins_3/cases.h"
#include "review/stand_ins_3/store.h"
#include "review/stand_ins_3/worker.h"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

using namespace damaskglade;

namespace {

int run(drivers::EventLoop &Loop, const Status &Listening) {
  if (!Listening) {
    std::fprintf(stderr, "%s\n", describe(Listening.error()).c_str());
    return EXIT_FAILURE;
  }
  Loop.run();
  return EXIT_SUCCESS;
}

int runStore(const std::vector<std::string> &Arguments) {
  drivers::EventLoop Loop;
  review::Store Store(Loop, review::Record(Arguments[0], "store"));
  return run(Loop, Store.listen(Arguments[1]));
}

int runWorker(const std::vector<std::string> &Arguments) {
  drivers::EventLoop Loop;
  const review::WorkerSettings Settings{Arguments[1], Arguments[2],
                                        Arguments[3], Arguments[4]};
  review::Worker Worker(Loop, Settings,
                        review::Record(Arguments[0], Settings.Id_));
  return run(Loop, Worker.listen());
}

int runCase(const std::string &Program,
            const std::vector<std::string> &Arguments) {
  static const std::map<std::string, review::Case> Cases = {
      {"many-steps", review::manySteps},
      {"large-job", review::largeJob},
      {"hopeless-gang", review::hopelessGang},
      {"spread-job", review::spreadJob},
      {"late-request", review::lateRequest},
      {"three-crashes", review::threeCrashes}};
  constexpr int Workers = 8;
  const auto Chosen = Cases.find(Arguments[0]);
  if (Chosen == Cases.end())
    return static_cast<int>(review::Verdict::CouldNotRun);
  const char *Wanted = std::getenv("TROUBLE");
  const bool Trouble = !Wanted || std::string(Wanted) != "0";
  review::Bed Deployment(Arguments[1], Program);
  if (!Deployment.start(Workers))
    return static_cast<int>(review::Verdict::CouldNotRun);
  const review::Verdict Result = Chosen->second(Deployment, Trouble);
  Deployment.log().write("verdict " + std::to_string(static_cast<int>(Result)));
  return static_cast<int>(Result);
}

} // namespace

int main(int Count, char **Values) {
  const std::vector<std::string> All(Values, Values + Count);
  constexpr std::size_t StoreArguments = 2;
  constexpr std::size_t WorkerArguments = 5;
  constexpr std::size_t CaseArguments = 2;
  const std::vector<std::string> Arguments(
      All.begin() + std::min<std::ptrdiff_t>(2, Count), All.end());
  if (Count > 1 && All[1] == "store" && Arguments.size() == StoreArguments)
    return runStore(Arguments);
  if (Count > 1 && All[1] == "worker" && Arguments.size() == WorkerArguments)
    return runWorker(Arguments);
  if (Count > 1 && All[1] == "case" && Arguments.size() == CaseArguments)
    return runCase(All[0], Arguments);
  std::fprintf(stderr, "usage: bed store|worker|case ARGUMENTS\n");
  return static_cast<int>(review::Verdict::CouldNotRun);
}
