#include "drivers/metrics/metrics.h"

#include "core/thread.h"

#include <cmath>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace damaskglade::drivers {

namespace {

using Buckets = prometheus::Histogram::BucketBoundaries;

Buckets waitBuckets() {
  return {0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 2, 5, 6.7, 10, 30, 60, 300};
}

Buckets decisionBuckets() {
  return {1e-6, 5e-6, 1e-5, 5e-5, 1e-4, 5e-4, 1e-3, 5e-3};
}

// Powers of two from about a millisecond, in seconds, to a thousand.
Buckets wideBuckets() {
  constexpr int FirstExponent = -10;
  constexpr int LastExponent = 10;
  Buckets Bounds;
  for (int Exponent = FirstExponent; Exponent <= LastExponent; ++Exponent)
    Bounds.push_back(std::ldexp(1.0, Exponent));
  return Bounds;
}

std::vector<prometheus::Counter *>
makeReasonCounters(prometheus::Registry &Registry, const std::string &Name,
                   const std::string &Help, const prometheus::Labels &Common) {
  auto &Family =
      prometheus::BuildCounter().Name(Name).Help(Help).Labels(Common).Register(
          Registry);
  // Every reason is exported from the start, so that a rate over a counter
  // that has not moved yet is zero and not missing.
  std::vector<prometheus::Counter *> Counters{nullptr};
  for (const Reason Why : allReasons())
    Counters.push_back(&Family.Add({{"reason", std::string(reasonName(Why))}}));
  return Counters;
}

} // namespace

struct PrometheusMetrics::State {
  explicit State(prometheus::Labels Common)
      : Common_(std::move(Common)),
        Refusals_(makeReasonCounters(Registry_, "damaskglade_refusals_total",
                                     "Requests refused, by reason.", Common_)),
        Retries_(makeReasonCounters(Registry_, "damaskglade_retries_total",
                                    "Operations retried, by reason.",
                                    Common_)) {
    auto &Waits = prometheus::BuildHistogram()
                      .Name("damaskglade_wait_seconds")
                      .Help("Time from submission to start, by class.")
                      .Labels(Common_)
                      .Register(Registry_);
    for (std::size_t Class = 0; Class < TaskClassCount; ++Class)
      Waits_.push_back(&Waits.Add(
          {{"class",
            std::string(taskClassName(static_cast<TaskClass>(Class)))}},
          waitBuckets()));
    Decisions_ = &prometheus::BuildHistogram()
                      .Name("damaskglade_decision_seconds")
                      .Help("Time to decide one placement.")
                      .Labels(Common_)
                      .Register(Registry_)
                      .Add({}, decisionBuckets());
  }

  prometheus::Labels Common_;
  prometheus::Registry Registry_;
  std::vector<prometheus::Counter *> Refusals_;
  std::vector<prometheus::Counter *> Retries_;
  std::vector<prometheus::Histogram *> Waits_;
  prometheus::Histogram *Decisions_ = nullptr;
  Mutex Mutex_;
  std::map<std::string, prometheus::Counter *> Counters_;
  std::map<std::string, std::vector<prometheus::Counter *>> ReasonCounters_;
  std::map<std::string, prometheus::Gauge *> Gauges_;
  std::map<std::string, prometheus::Histogram *> Histograms_;
};

PrometheusMetrics::PrometheusMetrics(const std::string &Node,
                                     const std::string &Zone)
    : State_(new State({{"node", Node}, {"zone", Zone}})) {}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::countRefusal(Reason Why) {
  if (Why == Reason::None)
    return;
  State_->Refusals_.at(static_cast<std::size_t>(Why))->Increment();
}

void PrometheusMetrics::countRetry(Reason Why) {
  if (Why == Reason::None)
    return;
  State_->Retries_.at(static_cast<std::size_t>(Why))->Increment();
}

void PrometheusMetrics::countReason(const std::string &Name, Reason Why) {
  if (Why == Reason::None)
    return;
  const MutexLock Lock(State_->Mutex_);
  std::vector<prometheus::Counter *> &Counters = State_->ReasonCounters_[Name];
  if (Counters.empty())
    Counters =
        makeReasonCounters(State_->Registry_, "damaskglade_" + Name + "_total",
                           "By reason.", State_->Common_);
  Counters.at(static_cast<std::size_t>(Why))->Increment();
}

void PrometheusMetrics::count(const std::string &Name, double Amount) {
  const MutexLock Lock(State_->Mutex_);
  prometheus::Counter *&Counter = State_->Counters_[Name];
  if (Counter == nullptr)
    Counter = &prometheus::BuildCounter()
                   .Name("damaskglade_" + Name + "_total")
                   .Labels(State_->Common_)
                   .Register(State_->Registry_)
                   .Add({});
  Counter->Increment(Amount);
}

void PrometheusMetrics::gauge(const std::string &Name, double Value) {
  const MutexLock Lock(State_->Mutex_);
  prometheus::Gauge *&Gauge = State_->Gauges_[Name];
  if (Gauge == nullptr)
    Gauge = &prometheus::BuildGauge()
                 .Name("damaskglade_" + Name)
                 .Labels(State_->Common_)
                 .Register(State_->Registry_)
                 .Add({});
  Gauge->Set(Value);
}

void PrometheusMetrics::observe(const std::string &Name, double Value) {
  const MutexLock Lock(State_->Mutex_);
  prometheus::Histogram *&Histogram = State_->Histograms_[Name];
  if (Histogram == nullptr)
    Histogram = &prometheus::BuildHistogram()
                     .Name("damaskglade_" + Name)
                     .Labels(State_->Common_)
                     .Register(State_->Registry_)
                     .Add({}, wideBuckets());
  Histogram->Observe(Value);
}

void PrometheusMetrics::observeWait(TaskClass Class, Millis Waited) {
  constexpr double MillisPerSecond = 1000.0;
  State_->Waits_.at(static_cast<std::size_t>(Class))
      ->Observe(static_cast<double>(Waited.Value_) / MillisPerSecond);
}

void PrometheusMetrics::observeDecision(double Microseconds) {
  constexpr double MicrosPerSecond = 1e6;
  State_->Decisions_->Observe(Microseconds / MicrosPerSecond);
}

std::string PrometheusMetrics::render() const {
  return prometheus::TextSerializer().Serialize(State_->Registry_.Collect());
}

} // namespace damaskglade::drivers
