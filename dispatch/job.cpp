#include "dispatch/job.h"

#include "core/codec.h"

#include <algorithm>
#include <charconv>

namespace damaskglade::dispatch {

Size operator+(const Size &A, const Size &B) {
  return Size{A.MilliCpus_ + B.MilliCpus_, A.MemoryMib_ + B.MemoryMib_,
              A.Accelerators_ + B.Accelerators_};
}

Size operator-(const Size &A, const Size &B) {
  return Size{A.MilliCpus_ - B.MilliCpus_, A.MemoryMib_ - B.MemoryMib_,
              A.Accelerators_ - B.Accelerators_};
}

bool fits(const Size &Need, const Size &Free) {
  return Need.MilliCpus_ <= Free.MilliCpus_ &&
         Need.MemoryMib_ <= Free.MemoryMib_ &&
         Need.Accelerators_ <= Free.Accelerators_;
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

// Steps are arrays in a fixed order: rows are many, and their bytes are paid
// for. The order must not change while old rows exist.
Json::Value encodeStep(const StepSpec &Step) {
  Json::Value Out(Json::arrayValue);
  Out.append(Step.Count_);
  Out.append(Json::Int64(Step.Size_.MilliCpus_));
  Out.append(Json::Int64(Step.Size_.MemoryMib_));
  Out.append(Json::Int64(Step.Size_.Accelerators_));
  Out.append(Json::Int64(Step.Estimate_.Value_));
  Json::Value After(Json::arrayValue);
  for (const int Each : Step.After_)
    After.append(Each);
  Out.append(After);
  const bool Flags[] = {Step.Checkpointing_, Step.Gang_,        Step.SameRack_,
                        Step.Speculative_,   Step.LongRunning_, Step.Filler_};
  int Bits = 0;
  int Bit = 1;
  for (const bool Each : Flags) {
    Bits |= Each ? Bit : 0;
    Bit *= 2;
  }
  Out.append(Bits);
  Out.append(Step.Label_);
  Out.append(Step.Rack_);
  Out.append(Step.MaxPerWorker_);
  Out.append(Step.Image_);
  Out.append(Json::Int64(Step.TargetLatency_.Value_));
  Out.append(Step.MaxUnavailable_);
  return Out;
}

StepSpec decodeStep(const Json::Value &Value) {
  StepSpec Step;
  Json::ArrayIndex At = 0;
  Step.Count_ = Value[At++].asInt();
  Step.Size_.MilliCpus_ = Value[At++].asInt64();
  Step.Size_.MemoryMib_ = Value[At++].asInt64();
  Step.Size_.Accelerators_ = Value[At++].asInt64();
  Step.Estimate_ = Millis{Value[At++].asInt64()};
  for (const Json::Value &Each : Value[At++])
    Step.After_.push_back(Each.asInt());
  const int Bits = Value[At++].asInt();
  bool *const Flags[] = {&Step.Checkpointing_, &Step.Gang_,
                         &Step.SameRack_,      &Step.Speculative_,
                         &Step.LongRunning_,   &Step.Filler_};
  int Bit = 1;
  for (bool *Each : Flags) {
    *Each = (Bits & Bit) != 0;
    Bit *= 2;
  }
  Step.Label_ = Value[At++].asString();
  Step.Rack_ = Value[At++].asString();
  Step.MaxPerWorker_ = Value[At++].asInt();
  Step.Image_ = Value[At++].asString();
  Step.TargetLatency_ = Millis{Value[At++].asInt64()};
  Step.MaxUnavailable_ = Value[At++].asInt();
  return Step;
}

Status checkStep(const JobSpec &Spec, std::size_t Number) {
  const StepSpec &Step = Spec.Steps_[Number];
  constexpr int MaxTasks = 10000;
  constexpr const char *What = "check job";
  if (Step.Count_ < 1 || Step.Count_ > MaxTasks)
    return invalidField(What, "count", "must be 1 to 10000");
  if (Step.Size_.MilliCpus_ < 0 || Step.Size_.MemoryMib_ < 0 ||
      Step.Size_.Accelerators_ < 0 || Step.Estimate_ < Millis{})
    return invalidField(What, "size", "must not be negative");
  const bool Ordered =
      std::all_of(Step.After_.begin(), Step.After_.end(), [&](int Each) {
        return Each >= 0 && static_cast<std::size_t>(Each) < Number;
      });
  if (!Ordered)
    return invalidField(What, "after", "must name earlier steps");
  return success();
}

} // namespace

std::string encodeSpec(const JobSpec &Spec) {
  Json::Value Out;
  Out["q"] = Spec.Queue_;
  Out["p"] = Spec.Payload_;
  Out["t"] = Json::Int64(Spec.Accepted_.Value_);
  Out["s"] = Json::arrayValue;
  for (const StepSpec &Each : Spec.Steps_)
    Out["s"].append(encodeStep(Each));
  return writeJson(Out);
}

Result<JobSpec> decodeSpec(const std::string &Id, const std::string &Body) {
  BOOST_OUTCOME_TRY(Value, parseJson(Body, "decode job row"));
  try {
    JobSpec Spec;
    Spec.Id_ = Id;
    Spec.Queue_ = Value["q"].asString();
    Spec.Payload_ = Value["p"].asString();
    Spec.Accepted_ = Millis{Value["t"].asInt64()};
    for (const Json::Value &Each : Value["s"])
      Spec.Steps_.push_back(decodeStep(Each));
    return Spec;
  } catch (const Json::Exception &Failure) {
    return invalidField("decode job row", Id, Failure.what());
  }
}

std::string encodeProgress(const JobProgress &Progress) {
  Json::Value Out;
  Out["s"] = static_cast<int>(Progress.State_);
  if (!isTerminal(Progress.State_)) {
    Out["d"] = Json::arrayValue;
    for (const auto &Step : Progress.Done_) {
      Json::Value Indexes(Json::arrayValue);
      for (const int Each : Step)
        Indexes.append(Each);
      Out["d"].append(Indexes);
    }
  }
  for (const auto &[Task, Attempts] : Progress.FailedAttempts_) {
    Json::Value Entry(Json::arrayValue);
    Entry.append(Task.first);
    Entry.append(Task.second);
    for (const std::int64_t Each : Attempts)
      Entry.append(Json::Int64(Each));
    Out["f"].append(Entry);
  }
  return writeJson(Out);
}

Result<JobProgress> decodeProgress(const std::string &Body) {
  constexpr const char *What = "decode progress row";
  BOOST_OUTCOME_TRY(Value, parseJson(Body, What));
  try {
    JobProgress Progress;
    const int State = Value["s"].asInt();
    if (State < 0 || State > static_cast<int>(JobState::Canceled))
      return invalidField(What, "s", "is no state");
    Progress.State_ = static_cast<JobState>(State);
    for (const Json::Value &Step : Value["d"]) {
      auto &Indexes = Progress.Done_.emplace_back();
      for (const Json::Value &Each : Step)
        Indexes.push_back(Each.asInt());
    }
    constexpr Json::ArrayIndex FirstAttempt = 2;
    for (const Json::Value &Entry : Value["f"]) {
      auto &Attempts =
          Progress.FailedAttempts_[{Entry[0].asInt(), Entry[1].asInt()}];
      for (Json::ArrayIndex At = FirstAttempt; At < Entry.size(); ++At)
        Attempts.push_back(Entry[At].asInt64());
    }
    return Progress;
  } catch (const Json::Exception &Failure) {
    return invalidField(What, "", Failure.what());
  }
}

Status checkSpec(const JobSpec &Spec) {
  constexpr std::size_t IdDigits = 16;
  constexpr std::size_t MaxPayload = 4000;
  constexpr std::size_t MaxSteps = 100;
  constexpr const char *What = "check job";
  if (Spec.Id_.size() != IdDigits ||
      Spec.Id_.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    return invalidField(What, "id", "must be 16 hexadecimal digits");
  if (Spec.Payload_.size() > MaxPayload)
    return invalidField(What, "payload", "is longer than 4000 bytes");
  if (Spec.Steps_.empty() || Spec.Steps_.size() > MaxSteps)
    return invalidField(What, "steps", "must be 1 to 100");
  for (std::size_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    if (auto Checked = checkStep(Spec, Number); !Checked)
      return Checked;
  }
  return success();
}

std::string taskName(const TaskRef &Task) {
  return stepName(Task.Job_, Task.Step_) + '.' + std::to_string(Task.Index_);
}

std::string stepName(const std::string &Job, int Step) {
  return Job + ".0." + std::to_string(Step);
}

Result<TaskRef> parseTaskName(const std::string &Name) {
  TaskRef Task;
  int Occurrence = 0;
  const auto First = Name.find('.');
  Task.Job_ = Name.substr(0, First);
  const char *At = Name.data() + (First == std::string::npos ? 0 : First);
  const char *const End = Name.data() + Name.size();
  for (int *Each : {&Occurrence, &Task.Step_, &Task.Index_}) {
    if (At == End || *At != '.')
      return invalidField("parse task name", Name, "has too few parts");
    const auto Parsed = std::from_chars(At + 1, End, *Each);
    if (Parsed.ec != std::errc() || *Each < 0)
      return invalidField("parse task name", Name,
                          "has a part that is no number");
    At = Parsed.ptr;
  }
  if (At != End || Occurrence != 0)
    return invalidField("parse task name", Name, "is not a task of this cell");
  return Task;
}

Millis chainEstimate(const JobSpec &Spec) {
  std::vector<Millis> Ends;
  Millis Longest{};
  for (const StepSpec &Step : Spec.Steps_) {
    Millis Begin{};
    for (const int Each : Step.After_)
      Begin = std::max(Begin, Ends[static_cast<std::size_t>(Each)]);
    Ends.push_back(Begin + Step.Estimate_);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

double estimatedWork(const JobSpec &Spec) {
  constexpr double MillisPerCpu = 1000.0;
  double Work = 0;
  for (const StepSpec &Step : Spec.Steps_)
    Work += static_cast<double>(Step.Size_.MilliCpus_) / MillisPerCpu *
            static_cast<double>(Step.Estimate_.Value_) * Step.Count_;
  return Work;
}

} // namespace damaskglade::dispatch
