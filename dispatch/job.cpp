#include "dispatch/job.h"

#include "core/codec.h"

#include <algorithm>
#include <charconv>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace damaskglade::dispatch {

Size largest(const Size &A, const Size &B) {
  return Size{std::max(A.MilliCpus_, B.MilliCpus_),
              std::max(A.MemoryMib_, B.MemoryMib_),
              std::max(A.Accelerators_, B.Accelerators_)};
}

std::string_view jobStateName(JobState Value) {
  switch (Value) {
  case JobState::Queued:
    return "queued";
  case JobState::Active:
    return "active";
  case JobState::Complete:
    return "complete";
  case JobState::Failed:
    return "failed";
  case JobState::Canceled:
    return "canceled";
  }
  return "queued";
}

bool isTerminal(JobState Value) {
  return Value == JobState::Complete || Value == JobState::Failed ||
         Value == JobState::Canceled;
}

namespace {

// Steps are stored as JSON arrays without field names, because the store bills
// by size and there are many rows. Stored rows depend on the order of the
// elements, so it must not change.
Json::Value encodeStep(const StepSpec &Step) {
  Json::Value Row(Json::arrayValue);
  Row.append(Step.Count_);
  Row.append(Json::Int64(Step.Size_.MilliCpus_));
  Row.append(Json::Int64(Step.Size_.MemoryMib_));
  Row.append(Json::Int64(Step.Size_.Accelerators_));
  Row.append(Json::Int64(Step.Estimate_.Value_));
  Json::Value Dependencies(Json::arrayValue);
  for (const int Dependency : Step.Dependencies_)
    Dependencies.append(Dependency);
  Row.append(Dependencies);
  const bool Flags[] = {Step.Checkpointing_, Step.Gang_,        Step.SameRack_,
                        Step.Speculative_,   Step.LongRunning_, Step.Filler_};
  int Bits = 0;
  int Mask = 1;
  for (const bool Flag : Flags) {
    Bits |= Flag ? Mask : 0;
    Mask *= 2;
  }
  Row.append(Bits);
  Row.append(Step.Label_);
  Row.append(Step.Rack_);
  Row.append(Step.MaxPerWorker_);
  Row.append(Step.Image_);
  Row.append(Json::Int64(Step.TargetLatency_.Value_));
  Row.append(Step.MaxUnavailable_);
  return Row;
}

StepSpec decodeStep(const Json::Value &Row) {
  StepSpec Step;
  Json::ArrayIndex Column = 0;
  Step.Count_ = Row[Column++].asInt();
  Step.Size_.MilliCpus_ = Row[Column++].asInt64();
  Step.Size_.MemoryMib_ = Row[Column++].asInt64();
  Step.Size_.Accelerators_ = Row[Column++].asInt64();
  Step.Estimate_ = Millis{Row[Column++].asInt64()};
  for (const Json::Value &Dependency : Row[Column++])
    Step.Dependencies_.push_back(Dependency.asInt());
  const int Bits = Row[Column++].asInt();
  bool *const Flags[] = {&Step.Checkpointing_, &Step.Gang_,
                         &Step.SameRack_,      &Step.Speculative_,
                         &Step.LongRunning_,   &Step.Filler_};
  int Mask = 1;
  for (bool *Flag : Flags) {
    *Flag = (Bits & Mask) != 0;
    Mask *= 2;
  }
  Step.Label_ = Row[Column++].asString();
  Step.Rack_ = Row[Column++].asString();
  Step.MaxPerWorker_ = Row[Column++].asInt();
  Step.Image_ = Row[Column++].asString();
  Step.TargetLatency_ = Millis{Row[Column++].asInt64()};
  Step.MaxUnavailable_ = Row[Column++].asInt();
  return Step;
}

Status checkStep(const JobSpec &Spec, std::size_t StepIndex) {
  const StepSpec &Step = Spec.Steps_[StepIndex];
  constexpr int MaxTasks = 10000;
  constexpr const char *Operation = "check job";
  if (Step.Count_ < 1 || Step.Count_ > MaxTasks)
    return invalidField(Operation, "count", "must be 1 to 10000");
  if (Step.Size_.MilliCpus_ < 0 || Step.Size_.MemoryMib_ < 0 ||
      Step.Size_.Accelerators_ < 0 || Step.Estimate_ < Millis{})
    return invalidField(Operation, "size", "must not be negative");
  // Sums over many tasks have to fit into 64 bits.
  constexpr std::int64_t MaxSize = 1000000000;
  if (Step.Size_.MilliCpus_ > MaxSize || Step.Size_.MemoryMib_ > MaxSize ||
      Step.Size_.Accelerators_ > MaxSize || Step.Estimate_ > MaxEstimate)
    return invalidField(Operation, "size", "is too large");
  const bool NamesEarlierSteps =
      std::all_of(Step.Dependencies_.begin(), Step.Dependencies_.end(),
                  [&](int Dependency) {
                    return Dependency >= 0 &&
                           static_cast<std::size_t>(Dependency) < StepIndex;
                  });
  if (!NamesEarlierSteps)
    return invalidField(Operation, "after", "must name earlier steps");
  return success();
}

} // namespace

namespace {

Json::Value encodePolicy(const QueuePolicy &Policy) {
  Json::Value Row(Json::arrayValue);
  Row.append(Policy.Service_);
  Row.append(Policy.Priority_);
  Row.append(Policy.MaxAttempts_);
  Row.append(Policy.SlackFactor_);
  Row.append(Json::Int64(Policy.Target_.Value_));
  Row.append(Policy.NeedsAdvice_);
  Row.append(Json::Int64(Policy.AdviceBase_.Value_));
  Row.append(Policy.AdvicePerWorker_);
  Row.append(Json::Int64(Policy.TicketValid_.Value_));
  return Row;
}

QueuePolicy decodePolicy(const Json::Value &Row) {
  QueuePolicy Policy;
  Json::ArrayIndex Column = 0;
  Policy.Service_ = Row[Column++].asString();
  Policy.Priority_ = Row[Column++].asInt();
  Policy.MaxAttempts_ = Row[Column++].asInt();
  Policy.SlackFactor_ = Row[Column++].asDouble();
  Policy.Target_ = Millis{Row[Column++].asInt64()};
  Policy.NeedsAdvice_ = Row[Column++].asBool();
  Policy.AdviceBase_ = Millis{Row[Column++].asInt64()};
  Policy.AdvicePerWorker_ = Row[Column++].asDouble();
  Policy.TicketValid_ = Millis{Row[Column].asInt64()};
  return Policy;
}

} // namespace

std::string encodeSpec(const JobSpec &Spec) {
  Json::Value Body;
  Body["q"] = Spec.Queue_;
  Body["p"] = Spec.Payload_;
  Body["t"] = Json::Int64(Spec.Accepted_.Value_);
  if (!Spec.Workspace_.empty())
    Body["w"] = Spec.Workspace_;
  if (Spec.Policy_)
    Body["o"] = encodePolicy(*Spec.Policy_);
  Body["s"] = Json::arrayValue;
  for (const StepSpec &Step : Spec.Steps_)
    Body["s"].append(encodeStep(Step));
  return writeJson(Body);
}

Result<JobSpec> decodeSpec(const std::string &Id, const std::string &Body) {
  BOOST_OUTCOME_TRY(Row, parseJson(Body, "decode job row"));
  try {
    JobSpec Spec;
    Spec.Id_ = Id;
    Spec.Queue_ = Row["q"].asString();
    Spec.Payload_ = Row["p"].asString();
    Spec.Accepted_ = Millis{Row["t"].asInt64()};
    Spec.Workspace_ = Row.get("w", "").asString();
    if (Row.isMember("o"))
      Spec.Policy_ = decodePolicy(Row["o"]);
    for (const Json::Value &StepRow : Row["s"])
      Spec.Steps_.push_back(decodeStep(StepRow));
    return Spec;
  } catch (const Json::Exception &Failure) {
    return invalidField("decode job row", Id, Failure.what());
  }
}

namespace {

using AttemptsByTask = std::map<std::pair<int, int>, std::vector<std::int64_t>>;

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// Beyond this number, done tasks are encoded as bits, which earlier releases
// cannot read; their rows of so many tasks exceed what the store takes.
constexpr std::size_t MaxListedTasks = 8000;
constexpr unsigned BitsPerDigit = 4;
constexpr std::string_view Digits = "0123456789abcdef";

void encodeDoneTasks(const std::vector<int> &Indexes, bool AsBits,
                     JsonWriter &Out) {
  if (!AsBits) {
    Out.StartArray();
    for (const int Index : Indexes)
      Out.Int(Index);
    Out.EndArray();
    return;
  }
  std::string Text;
  for (const int Index : Indexes) {
    const auto Digit = static_cast<unsigned>(Index) / BitsPerDigit;
    if (Text.size() <= Digit)
      Text.resize(Digit + 1, '0');
    const auto Bits = Digits.find(Text[Digit]);
    Text[Digit] =
        Digits[Bits | (1U << (static_cast<unsigned>(Index) % BitsPerDigit))];
  }
  Out.String(Text.data(), static_cast<rapidjson::SizeType>(Text.size()));
}

std::vector<int> decodeDoneTasks(const Json::Value &Row) {
  std::vector<int> Indexes;
  if (!Row.isString()) {
    for (const Json::Value &Index : Row)
      Indexes.push_back(Index.asInt());
    return Indexes;
  }
  int Index = 0;
  for (const char Digit : Row.asString()) {
    const auto Bits = Digits.find(Digit);
    if (Bits == std::string_view::npos)
      throw Json::RuntimeError("done tasks are no hexadecimal digits");
    for (unsigned Bit = 0; Bit < BitsPerDigit; ++Bit, ++Index)
      if ((Bits & (std::size_t{1} << Bit)) != 0)
        Indexes.push_back(Index);
  }
  return Indexes;
}

// Attempts that do not fit into the row are left out. The next leader then
// allows their tasks further attempts.
void encodeAttempts(const AttemptsByTask &Tasks, const char *Field,
                    const rapidjson::StringBuffer &Text, JsonWriter &Out) {
  constexpr std::size_t MaxEntryBytes = 1024;
  if (Tasks.empty())
    return;
  Out.Key(Field);
  Out.StartArray();
  for (const auto &[Task, Attempts] : Tasks) {
    if (Text.GetSize() + MaxEntryBytes > MaxRowBytes)
      break;
    Out.StartArray();
    Out.Int(Task.first);
    Out.Int(Task.second);
    for (const std::int64_t Attempt : Attempts)
      Out.Int64(Attempt);
    Out.EndArray();
  }
  Out.EndArray();
}

AttemptsByTask decodeAttempts(const Json::Value &Rows) {
  constexpr Json::ArrayIndex FirstAttempt = 2;
  AttemptsByTask Decoded;
  for (const Json::Value &Entry : Rows) {
    auto &Attempts = Decoded[{Entry[0].asInt(), Entry[1].asInt()}];
    for (Json::ArrayIndex Column = FirstAttempt; Column < Entry.size();
         ++Column)
      Attempts.push_back(Entry[Column].asInt64());
  }
  return Decoded;
}

} // namespace

// Written without a tree of values, since a leader writes a thousand rows a
// second.
std::string encodeProgress(const JobProgress &Progress) {
  rapidjson::StringBuffer Text;
  JsonWriter Out(Text);
  Out.StartObject();
  Out.Key("s");
  Out.Int(static_cast<int>(Progress.State_));
  if (!isTerminal(Progress.State_)) {
    std::size_t DoneCount = 0;
    for (const auto &Step : Progress.Done_)
      DoneCount += Step.size();
    Out.Key("d");
    Out.StartArray();
    for (const auto &Step : Progress.Done_)
      encodeDoneTasks(Step, DoneCount > MaxListedTasks, Out);
    Out.EndArray();
  }
  encodeAttempts(Progress.CrashedAttempts_, "c", Text, Out);
  encodeAttempts(Progress.FailedAttempts_, "f", Text, Out);
  Out.EndObject();
  return std::string(Text.GetString(), Text.GetSize());
}

Result<JobProgress> decodeProgress(const std::string &Body) {
  constexpr const char *Operation = "decode progress row";
  BOOST_OUTCOME_TRY(Row, parseJson(Body, Operation));
  try {
    JobProgress Progress;
    const int State = Row["s"].asInt();
    if (State < 0 || State > static_cast<int>(JobState::Canceled))
      return invalidField(Operation, "s", "is not a job state");
    Progress.State_ = static_cast<JobState>(State);
    for (const Json::Value &Step : Row["d"])
      Progress.Done_.push_back(decodeDoneTasks(Step));
    Progress.FailedAttempts_ = decodeAttempts(Row["f"]);
    Progress.CrashedAttempts_ = decodeAttempts(Row["c"]);
    return Progress;
  } catch (const Json::Exception &Failure) {
    return invalidField(Operation, "", Failure.what());
  }
}

bool isJobId(const std::string &Text) {
  constexpr std::size_t Digits = 16;
  return Text.size() == Digits &&
         Text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

Status checkSpec(const JobSpec &Spec) {
  constexpr std::size_t MaxPayload = 4000;
  constexpr std::size_t MaxSteps = 100;
  constexpr const char *Operation = "check job";
  if (!isJobId(Spec.Id_))
    return invalidField(Operation, "id", "must be 16 hexadecimal digits");
  if (Spec.Payload_.size() > MaxPayload)
    return invalidField(Operation, "payload", "is longer than 4000 bytes");
  if (Spec.Steps_.empty() || Spec.Steps_.size() > MaxSteps)
    return invalidField(Operation, "steps", "must be 1 to 100");
  std::int64_t Tasks = 0;
  for (std::size_t StepIndex = 0; StepIndex < Spec.Steps_.size(); ++StepIndex) {
    if (auto Checked = checkStep(Spec, StepIndex); !Checked)
      return Checked;
    Tasks += Spec.Steps_[StepIndex].Count_;
  }
  if (Tasks > MaxTasksOfJob)
    return invalidField(Operation, "count",
                        "adds up to more than " +
                            std::to_string(MaxTasksOfJob) + " tasks");
  return success();
}

Status checkSpecSize(const std::string &Encoded) {
  if (Encoded.size() <= MaxSpecBytes)
    return success();
  return Error{Reason::BodyTooLarge, Effect::None, "check job", "",
               "the job takes " + std::to_string(Encoded.size()) +
                   " bytes, at most " + std::to_string(MaxSpecBytes) +
                   " can be stored"};
}

std::string taskName(const TaskRef &Task) {
  std::string Name = stepName(Task.Job_, Task.Step_);
  Name += '.';
  Name += std::to_string(Task.Index_);
  return Name;
}

std::string stepName(const std::string &Job, int Step) {
  // Room for the numbers of the step and of one of its tasks.
  constexpr std::size_t NumberBytes = 16;
  std::string Name;
  Name.reserve(Job.size() + NumberBytes);
  Name += Job;
  Name += ".0.";
  Name += std::to_string(Step);
  return Name;
}

Result<TaskRef> parseTaskName(const std::string &Name) {
  TaskRef Task;
  int Occurrence = 0;
  const auto FirstDot = Name.find('.');
  Task.Job_ = Name.substr(0, FirstDot);
  const char *Position =
      Name.data() + (FirstDot == std::string::npos ? 0 : FirstDot);
  const char *const End = Name.data() + Name.size();
  for (int *Part : {&Occurrence, &Task.Step_, &Task.Index_}) {
    if (Position == End || *Position != '.')
      return invalidField("parse task name", Name, "has too few parts");
    const auto Parsed = std::from_chars(Position + 1, End, *Part);
    if (Parsed.ec != std::errc() || *Part < 0)
      return invalidField("parse task name", Name,
                          "has a part that is not a non-negative number");
    Position = Parsed.ptr;
  }
  if (Position != End || Occurrence != 0)
    return invalidField("parse task name", Name, "is not a task of this cell");
  return Task;
}

Millis criticalPathEstimate(const JobSpec &Spec) {
  std::vector<Millis> EndTimes;
  Millis LongestPath{};
  for (const StepSpec &Step : Spec.Steps_) {
    Millis Start{};
    for (const int Dependency : Step.Dependencies_)
      Start = std::max(Start, EndTimes[static_cast<std::size_t>(Dependency)]);
    EndTimes.push_back(Start + Step.Estimate_);
    LongestPath = std::max(LongestPath, EndTimes.back());
  }
  return LongestPath;
}

Millis followingPath(const JobSpec &Spec, int Step) {
  // Time from the end of the step to the end of each later one; below zero for
  // those that do not depend on it.
  std::vector<Millis> EndTimes(Spec.Steps_.size(), Millis{-1});
  EndTimes[static_cast<std::size_t>(Step)] = Millis{};
  Millis LongestPath{};
  for (auto Later = static_cast<std::size_t>(Step) + 1;
       Later < Spec.Steps_.size(); ++Later) {
    for (const int Dependency : Spec.Steps_[Later].Dependencies_) {
      const Millis Start = EndTimes[static_cast<std::size_t>(Dependency)];
      if (Start >= Millis{})
        EndTimes[Later] =
            std::max(EndTimes[Later], Start + Spec.Steps_[Later].Estimate_);
    }
    LongestPath = std::max(LongestPath, EndTimes[Later]);
  }
  return LongestPath;
}

double estimatedWork(const JobSpec &Spec) {
  constexpr double MilliCpusPerCpu = 1000.0;
  double Work = 0;
  for (const StepSpec &Step : Spec.Steps_)
    Work += static_cast<double>(Step.Size_.MilliCpus_) / MilliCpusPerCpu *
            static_cast<double>(Step.Estimate_.Value_) * Step.Count_;
  return Work;
}

} // namespace damaskglade::dispatch
