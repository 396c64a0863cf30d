#include "config/checks.h"

#include "config/registry.h"
#include "config/values.h"

#include <algorithm>
#include <array>
#include <optional>

namespace damaskglade::config {

namespace {

struct NumberRule {
  std::string Key_;
  std::string Unit_;
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
};

// Team of a section, or nothing if it is no team section.
std::optional<std::string> teamOf(const std::string &Section) {
  const std::string Prefix = TeamSectionPrefix;
  if (!Section.starts_with(Prefix))
    return std::nullopt;
  return Section.substr(Prefix.size());
}

std::vector<NumberRule> rulesOf(const std::string &Section) {
  std::vector<NumberRule> Rules;
  for (const CellSetting &Each : cellSettings())
    if (Each.Section_ == Section)
      Rules.push_back({Each.Key_, Each.Unit_, Each.Min_, Each.Max_});
  if (Section == TeamDefaultSection || teamOf(Section))
    for (const TeamSetting &Each : teamSettings())
      Rules.push_back({Each.Key_, Each.Unit_, Each.Min_, Each.Max_});
  return Rules;
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

// "lease" for key "lease_ms" with unit "ms".
std::string stemOf(const std::string &Key, const std::string &Unit) {
  return Unit.empty() ? Key : Key.substr(0, Key.size() - Unit.size() - 1);
}

std::string unknownKey(const Entry &Each,
                       const std::vector<NumberRule> &Rules) {
  constexpr std::array<std::string_view, 12> Units = {
      "ms",  "s",   "sec",     "seconds", "min",   "h",
      "mib", "gib", "percent", "pct",     "cores", "cpus"};
  for (const NumberRule &Rule : Rules) {
    const std::string Stem = stemOf(Rule.Key_, Rule.Unit_);
    const bool OtherUnit =
        Each.Key_ == Stem ||
        std::any_of(Units.begin(), Units.end(), [&](std::string_view Unit) {
          return Each.Key_ == Stem + "_" + std::string(Unit);
        });
    if (!Rule.Unit_.empty() && OtherUnit)
      return "wrong unit in key " + quoted(Each.Key_) + "; use " +
             quoted(Rule.Key_);
  }
  return "unknown key " + quoted(Each.Key_) + " in section [" + Each.Section_ +
         "]";
}

std::string numberProblem(const Entry &Each, const NumberRule &Rule) {
  const auto Value = parseWholeNumber(Each.Value_);
  if (!Value && Rule.Unit_.empty())
    return Each.Key_ + " = " + Each.Value_ + ": must be a whole number";
  if (!Value)
    return Each.Key_ + " = " + Each.Value_ +
           ": must be a whole number; its unit is " + Rule.Unit_;
  if (*Value < Rule.Min_ || *Value > Rule.Max_)
    return Each.Key_ + " = " + Each.Value_ + ": must be from " +
           std::to_string(Rule.Min_) + " to " + std::to_string(Rule.Max_);
  return "";
}

void addProblem(const Entry &Each, const std::string &Message,
                std::vector<Problem> &Problems) {
  if (!Message.empty())
    Problems.push_back({Each.File_, Each.Line_, Message});
}

std::optional<std::int64_t> numberAt(const EntryMap &Merged,
                                     const std::string &Section,
                                     const std::string &Key) {
  const auto Found = Merged.find({Section, Key});
  if (Found == Merged.end())
    return std::nullopt;
  return parseWholeNumber(Found->second.Value_);
}

void applyTeam(const EntryMap &Merged, const std::string &Section,
               TeamSettings &Settings) {
  for (const TeamSetting &Each : teamSettings())
    if (const auto Value = numberAt(Merged, Section, Each.Key_))
      Each.Field_(Settings) = *Value;
}

// Names the entry that sets one of the two values, so that the report has a
// file and line.
void relationProblem(const EntryMap &Merged, const std::string &Section,
                     const std::vector<std::string> &Keys,
                     const std::string &Message,
                     std::vector<Problem> &Problems) {
  for (const std::string &Key : Keys) {
    const auto Found = Merged.find({Section, Key});
    if (Found != Merged.end())
      return addProblem(Found->second, Message, Problems);
  }
  Problems.push_back({"", 0, Message});
}

} // namespace

std::string normalNumber(const std::string &Text) {
  const auto Value = parseWholeNumber(Text);
  return Value ? std::to_string(*Value) : Text;
}

void checkCellEntry(const Entry &Each, std::vector<Problem> &Problems) {
  if (const auto Team = teamOf(Each.Section_); Team && !isName(*Team))
    return addProblem(Each,
                      "section [" + Each.Section_ + "]: the team name " +
                          checkText(ValueType::Name, *Team),
                      Problems);
  const std::vector<NumberRule> Rules = rulesOf(Each.Section_);
  if (Rules.empty())
    return addProblem(Each, "unknown section [" + Each.Section_ + "]",
                      Problems);
  const auto Rule =
      std::find_if(Rules.begin(), Rules.end(), [&Each](const NumberRule &R) {
        return R.Key_ == Each.Key_;
      });
  addProblem(Each,
             Rule == Rules.end() ? unknownKey(Each, Rules)
                                 : numberProblem(Each, *Rule),
             Problems);
}

void checkProcessEntry(const Entry &Each, std::vector<Problem> &Problems) {
  bool KnownSection = false;
  for (const ProcessSetting &Setting : processSettings()) {
    if (Setting.Section_ != Each.Section_)
      continue;
    KnownSection = true;
    if (Setting.Key_ != Each.Key_)
      continue;
    const std::string Wrong = checkText(Setting.Type_, Each.Value_);
    if (!Wrong.empty())
      addProblem(Each, Each.Key_ + " = " + Each.Value_ + ": " + Wrong,
                 Problems);
    return;
  }
  addProblem(Each,
             KnownSection ? "unknown key " + quoted(Each.Key_) +
                                " in section [" + Each.Section_ + "]"
                          : "unknown section [" + Each.Section_ + "]",
             Problems);
}

CellSettings applyCell(const EntryMap &Merged) {
  CellSettings Settings;
  for (const CellSetting &Each : cellSettings())
    if (const auto Value = numberAt(Merged, Each.Section_, Each.Key_))
      Each.Field_(Settings) = *Value;
  applyTeam(Merged, TeamDefaultSection, Settings.TeamDefault_);
  for (const auto &[Key, Value] : Merged) {
    const auto Team = teamOf(Key.first);
    if (!Team || Settings.Teams_.contains(*Team))
      continue;
    TeamSettings Own = Settings.TeamDefault_;
    applyTeam(Merged, Key.first, Own);
    Settings.Teams_.emplace(*Team, Own);
  }
  return Settings;
}

void checkRelations(const CellSettings &Settings, const EntryMap &Merged,
                    std::vector<Problem> &Problems) {
  const OwnershipSettings &Own = Settings.Ownership_;
  // Two renewals have to fit into a lease, or one lost answer loses it.
  if (Own.Renew_ * 2 > Own.Lease_)
    relationProblem(Merged, "ownership", {"renew_ms", "lease_ms"},
                    "renew_ms must be at most half of lease_ms", Problems);
  if (Own.Promise_ < Own.Renew_ * 2)
    relationProblem(Merged, "ownership", {"promise_ms", "renew_ms"},
                    "promise_ms must be at least twice renew_ms", Problems);
  if (Settings.Retry_.DelayMin_ > Settings.Retry_.DelayMax_)
    relationProblem(Merged, "retry", {"delay_min_ms", "delay_max_ms"},
                    "delay_min_ms must not exceed delay_max_ms", Problems);
  std::int64_t Sum = 0;
  std::string Last;
  for (std::size_t Index = 0; Index < TaskClassCount; ++Index) {
    Sum += Settings.Classes_.at(Index).MinSharePercent_;
    const std::string Section =
        "class " + std::string(taskClassName(static_cast<TaskClass>(Index)));
    if (Merged.contains({Section, "min_share_percent"}))
      Last = Section;
  }
  if (Sum > 100)
    relationProblem(Merged, Last, {"min_share_percent"},
                    "min_share_percent of all classes together is " +
                        std::to_string(Sum) + "; it must not exceed 100",
                    Problems);
}

ProcessSettings applyProcess(const EntryMap &Merged, const std::string &File,
                             std::vector<Problem> &Problems) {
  ProcessSettings Settings;
  for (const ProcessSetting &Each : processSettings()) {
    const auto Found = Merged.find({Each.Section_, Each.Key_});
    if (Found != Merged.end())
      Each.Store_(Settings, Found->second.Value_);
    else if (Each.Default_)
      Each.Store_(Settings, *Each.Default_);
    else
      Problems.push_back({File, 0,
                          "missing key " + quoted(Each.Key_) + " in section [" +
                              Each.Section_ + "]"});
  }
  return Settings;
}

} // namespace damaskglade::config
