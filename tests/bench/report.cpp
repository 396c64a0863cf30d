#include "tests/bench/report.h"

#include "core/codec.h"

#include <cstdio>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace damaskglade::bench {

namespace {

std::string format(double Value) {
  std::ostringstream Text;
  Text << std::setprecision(4) << Value;
  return Text.str();
}

bool isMet(const Measure &Result) {
  const Target &Bound = *Result.Target_;
  return Bound.AtLeast_ ? Result.Value_ >= Bound.Bound_
                        : Result.Value_ <= Bound.Bound_;
}

} // namespace

void report(const Measure &Result) {
  Json::Value Line;
  Line["measure"] = Result.Measure_;
  Line["workload"] = Result.Workload_;
  Line["value"] = Result.Value_;
  Line["unit"] = Result.Unit_;
  Line["baseline"] =
      Result.Baseline_ ? Json::Value(*Result.Baseline_) : Json::Value();
  Line["target"] = Json::Value();
  Line["met"] = Json::Value();
  Line["seed"] = Json::Value::UInt64{Result.Seed_};
  std::string TargetText = "-";
  std::string Met = "-";
  if (Result.Target_) {
    TargetText = (Result.Target_->AtLeast_ ? ">= " : "<= ") +
                 format(Result.Target_->Bound_);
    Line["target"] = TargetText;
    Line["met"] = isMet(Result);
    Met = isMet(Result) ? "yes" : "MISSED";
  }
  std::cout << writeJson(Line) << std::endl;
  std::fprintf(stderr, "%-34s %-22s %12s %-10s %12s %14s %s\n",
               Result.Measure_.c_str(), Result.Workload_.c_str(),
               format(Result.Value_).c_str(), Result.Unit_.c_str(),
               Result.Baseline_ ? format(*Result.Baseline_).c_str() : "-",
               TargetText.c_str(), Met.c_str());
}

} // namespace damaskglade::bench
