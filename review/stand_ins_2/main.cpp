// Plays one case: main NAME RECORD_FILE. The variable TROUBLE=0 leaves out the
// disruption. Runs in the root of the repository.

#include "review/stand_ins_2/cases.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>

using damaskglade::review::CaseSettings;
using damaskglade::review::Outcome;

int main(int Count, char **Arguments) {
  namespace review = damaskglade::review;
  const std::map<std::string, std::function<Outcome(const CaseSettings &)>>
      Cases{{"power-loss", review::playPowerLoss},
            {"foreign-entry", review::playForeignEntry},
            {"freeze", review::playFreeze},
            {"large-job", review::playLargeJob},
            {"unhealthy-worker", review::playUnhealthyWorker},
            {"flaky-worker", review::playFlakyWorker},
            {"removed-route", review::playRemovedRoute},
            {"other-kind", review::playOtherKind}};
  constexpr int ExpectedCount = 3;
  const auto Chosen =
      Count == ExpectedCount ? Cases.find(Arguments[1]) : Cases.end();
  if (Chosen == Cases.end()) {
    std::fprintf(stderr, "usage: main NAME RECORD_FILE\n");
    return static_cast<int>(Outcome::NotRun);
  }
  const char *Trouble = std::getenv("TROUBLE");
  CaseSettings Settings;
  Settings.RecordFile_ = Arguments[2];
  Settings.Trouble_ = !Trouble || std::string(Trouble) != "0";
  try {
    return static_cast<int>(Chosen->second(Settings));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "the case could not run: %s\n", Failure.what());
    return static_cast<int>(Outcome::NotRun);
  }
}
