#include "config/registry.h"

#include "config/values.h"

namespace damaskglade::config {

namespace {

constexpr std::int64_t Minute = 60000;
constexpr std::int64_t Hour = 60 * Minute;
constexpr std::int64_t Day = 24 * Hour;
constexpr std::int64_t MaxCount = 1000000;
constexpr std::int64_t MaxWeight = 1000;

std::vector<CellSetting> ownershipSettings() {
  const std::string Section = "ownership";
  return {
      // Lease time plus 2 s of takeover has to stay within the 6.7 s in which
      // urgent work starts.
      {Section, "lease_ms", "ms", 1000, 4700,
       "Time that a node's ownership lease lasts after a renewal.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.Lease_.Value_;
       }},
      {Section, "renew_ms", "ms", 100, 2000,
       "Interval between renewals of the ownership lease.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.Renew_.Value_;
       }},
      {Section, "claim_margin_ms", "ms", 50, 5000,
       "Time beyond the lease that a claimant waits on its own clock.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.ClaimMargin_.Value_;
       }},
      {Section, "clock_bound_ms", "ms", 1, 5000,
       "Largest clock error between VMs.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.ClockBound_.Value_;
       }},
      {Section, "promise_ms", "ms", 500, 10000,
       "Time for which a node promises not to claim an owner's shards.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.Promise_.Value_;
       }},
      {Section, "consent_ms", "ms", 500, 10000,
       "Time for which a node's consent to a claim is valid.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.Consent_.Value_;
       }},
      {Section, "vm_list_lag_ms", "ms", 1000, 10 * Minute,
       "Largest lag of the VM list.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.VmListLag_.Value_;
       }},
      {Section, "max_hold_ms", "ms", 10000, Day,
       "Longest time that a cut-off zone keeps ownership by promises.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Ownership_.MaxHold_.Value_;
       }},
  };
}

std::vector<CellSetting> generalSettings() {
  return {
      {"tasks", "run_lease_ms", "ms", 5000, Hour,
       "Time that a running task's lease lasts after a renewal.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Tasks_.RunLease_.Value_;
       }},
      {"tasks", "gang_hold_ms", "ms", 100, 30000,
       "Time that a gang's reservation on a shard is held.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Tasks_.GangHold_.Value_;
       }},
      {"retry", "delay_min_ms", "ms", 1, 10000, "Shortest delay of a retry.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Retry_.DelayMin_.Value_;
       }},
      {"retry", "delay_max_ms", "ms", 1, 60000, "Longest delay of a retry.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Retry_.DelayMax_.Value_;
       }},
      {"retry", "budget_percent", "percent", 0, 100,
       "Retries allowed for each 100 first tries.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Retry_.BudgetPercent_;
       }},
      {"quarantine", "cap_percent", "percent", 0, 100,
       "Largest part of a zone's workers in quarantine.",
       [](CellSettings &S) -> std::int64_t & {
         return S.QuarantineCapPercent_;
       }},
      {"preemption", "budget_percent", "percent", 0, 100,
       "Largest part of the running tasks preempted in a minute.",
       [](CellSettings &S) -> std::int64_t & {
         return S.PreemptionBudgetPercent_;
       }},
      {"table", "writes_per_second", "per_second", 1, 100000,
       "Transactions that all nodes together send to the table service.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Table_.WritesPerSecond_;
       }},
      {"table", "reads_per_second", "per_second", 1, 100000,
       "Reads that all nodes together send to the table service.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Table_.ReadsPerSecond_;
       }},
      {"records", "max_pending", "", 1, MaxCount,
       "Changes of job rows that wait on a node to be written.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Records_.MaxPending_;
       }},
      {"records", "retention_ms", "ms", Minute, 90 * Day,
       "Time that the row of a finished job is kept.",
       [](CellSettings &S) -> std::int64_t & {
         return S.Records_.Retention_.Value_;
       }},
  };
}

template <TaskClass Class> void addClass(std::vector<CellSetting> &All) {
  constexpr auto Index = static_cast<std::size_t>(Class);
  const std::string Name(taskClassName(Class));
  const std::string Section = "class " + Name;
  All.push_back({Section, "max_queued", "", 0, MaxCount,
                 "Jobs of class " + Name + " that wait on one node.",
                 [](CellSettings &S) -> std::int64_t & {
                   return S.Classes_[Index].MaxQueued_;
                 }});
  All.push_back({Section, "weight", "", 1, MaxWeight,
                 "Weight of class " + Name + " in the fair shares.",
                 [](CellSettings &S) -> std::int64_t & {
                   return S.Classes_[Index].Weight_;
                 }});
  All.push_back({Section, "min_share_percent", "percent", 0, 100,
                 "Part of the fleet guaranteed to class " + Name + ".",
                 [](CellSettings &S) -> std::int64_t & {
                   return S.Classes_[Index].MinSharePercent_;
                 }});
}

std::vector<CellSetting> listCellSettings() {
  std::vector<CellSetting> All = ownershipSettings();
  for (CellSetting &Each : generalSettings())
    All.push_back(std::move(Each));
  addClass<TaskClass::Lookup>(All);
  addClass<TaskClass::Request>(All);
  addClass<TaskClass::Batch>(All);
  addClass<TaskClass::Gang>(All);
  addClass<TaskClass::Service>(All);
  return All;
}

std::string markdownRow(const std::string &Section, const std::string &Key,
                        std::string_view Type, const std::string &Unit,
                        const std::string &Range, const std::string &Default,
                        const std::string &Description) {
  std::string Row = "| `[" + Section + "]` | `" + Key + "` | ";
  Row += Type;
  return Row + " | " + Unit + " | " + Range + " | " + Default + " | " +
         Description + " |\n";
}

std::string rangeText(std::int64_t Min, std::int64_t Max) {
  return std::to_string(Min) + " to " + std::to_string(Max);
}

constexpr const char *TableHead =
    "| section | key | type | unit | range | default | meaning |\n"
    "|---|---|---|---|---|---|---|\n";

} // namespace

std::string_view valueTypeName(ValueType Value) {
  switch (Value) {
  case ValueType::WholeNumber:
    return "whole number";
  case ValueType::Name:
    return "name";
  case ValueType::Address:
    return "ip:port";
  case ValueType::AddressList:
    return "comma list of ip:port";
  case ValueType::Url:
    return "URL";
  case ValueType::LogLevelName:
    return "debug, info, warning or error";
  }
  return "";
}

const std::vector<CellSetting> &cellSettings() {
  static const std::vector<CellSetting> All = listCellSettings();
  return All;
}

const std::vector<TeamSetting> &teamSettings() {
  static const std::vector<TeamSetting> All = {
      {"quota_milli_cpus", "milli_cpus", 0, 1000000000,
       "Thousandths of a core that the team's tasks may hold.",
       [](TeamSettings &S) -> std::int64_t & { return S.QuotaMilliCpus_; }},
      {"quota_accelerators", "accelerators", 0, MaxCount,
       "Accelerators that the team's tasks may hold.",
       [](TeamSettings &S) -> std::int64_t & { return S.QuotaAccelerators_; }},
      {"weight", "", 1, MaxWeight, "Weight of the team in the fair shares.",
       [](TeamSettings &S) -> std::int64_t & { return S.Weight_; }},
  };
  return All;
}

const std::vector<ProcessSetting> &processSettings() {
  using Text = std::string;
  static const std::vector<ProcessSetting> All = {
      {"node", "id", ValueType::Name, std::nullopt, "Unique id of this node.",
       [](ProcessSettings &S, const Text &V) { S.NodeId_ = V; }},
      {"node", "zone", ValueType::Name, std::nullopt,
       "Availability zone of this node.",
       [](ProcessSettings &S, const Text &V) { S.Zone_ = V; }},
      {"node", "region", ValueType::Name, std::nullopt, "Region of this node.",
       [](ProcessSettings &S, const Text &V) { S.Region_ = V; }},
      {"node", "listen", ValueType::Address, std::nullopt,
       "Address at which callers, peers and workers reach this node.",
       [](ProcessSettings &S, const Text &V) {
         S.Listen_ = parseEndpoint(V).value_or(Endpoint{});
       }},
      {"platform", "table_url", ValueType::Url, std::nullopt, "Table service.",
       [](ProcessSettings &S, const Text &V) { S.TableUrl_ = V; }},
      {"platform", "objects_url", ValueType::Url, std::nullopt,
       "Object store, with the bucket as path.",
       [](ProcessSettings &S, const Text &V) { S.ObjectsUrl_ = V; }},
      {"platform", "vm_list_url", ValueType::Url, std::nullopt, "VM list.",
       [](ProcessSettings &S, const Text &V) { S.VmListUrl_ = V; }},
      {"log", "level", ValueType::LogLevelName, "info",
       "Least severe level that is logged.",
       [](ProcessSettings &S, const Text &V) {
         S.LogLevel_ = logLevelFromName(V).value_or(LogLevel::Info);
       }},
      {"seeds", "peers", ValueType::AddressList, "",
       "Nodes to contact first; further ones are learned from them and from "
       "the table.",
       [](ProcessSettings &S, const Text &V) {
         S.Seeds_.clear();
         for (const std::string &Part : splitList(V))
           S.Seeds_.push_back(parseEndpoint(Part).value_or(Endpoint{}));
       }},
  };
  return All;
}

std::int64_t defaultOf(const CellSetting &Setting) {
  CellSettings Defaults;
  return Setting.Field_(Defaults);
}

std::int64_t defaultOf(const TeamSetting &Setting) {
  TeamSettings Defaults;
  return Setting.Field_(Defaults);
}

std::string settingsMarkdown() {
  const std::string Number(valueTypeName(ValueType::WholeNumber));
  std::string Out = "## Process settings\n\n";
  Out += TableHead;
  for (const ProcessSetting &Each : processSettings()) {
    std::string Default = "required";
    if (Each.Default_)
      Default = Each.Default_->empty() ? "empty" : *Each.Default_;
    Out += markdownRow(Each.Section_, Each.Key_, valueTypeName(Each.Type_), "",
                       "", Default, Each.Description_);
  }
  Out += "\n## Cell settings\n\n";
  Out += TableHead;
  for (const CellSetting &Each : cellSettings())
    Out += markdownRow(Each.Section_, Each.Key_, Number, Each.Unit_,
                       rangeText(Each.Min_, Each.Max_),
                       std::to_string(defaultOf(Each)), Each.Description_);
  for (const TeamSetting &Each : teamSettings())
    Out += markdownRow(TeamDefaultSection, Each.Key_, Number, Each.Unit_,
                       rangeText(Each.Min_, Each.Max_),
                       std::to_string(defaultOf(Each)), Each.Description_);
  for (const TeamSetting &Each : teamSettings())
    Out += markdownRow("team NAME", Each.Key_, Number, Each.Unit_,
                       rangeText(Each.Min_, Each.Max_), "as `[team_default]`",
                       Each.Description_);
  return Out;
}

} // namespace damaskglade::config
