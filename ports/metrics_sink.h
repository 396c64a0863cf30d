#ifndef DAMASKGLADE_PORTS_METRICS_SINK_H
#define DAMASKGLADE_PORTS_METRICS_SINK_H

#include "core/job.h"
#include "core/reason.h"

#include <string>

namespace damaskglade {

/// Counters, gauges and histograms. Thread-safe.
class MetricsSink {
public:
  virtual ~MetricsSink() = default;
  virtual void countRefusal(Reason Why) = 0;
  virtual void countRetry(Reason Why) = 0;
  /// Adds to the counter damaskglade_<Name>_total of the reason.
  virtual void countReason(const std::string &Name, Reason Why) = 0;
  /// Adds to the counter damaskglade_<Name>_total.
  virtual void count(const std::string &Name, double Amount = 1.0) = 0;
  /// Sets the gauge damaskglade_<Name>.
  virtual void gauge(const std::string &Name, double Value) = 0;
  /// Adds to the histogram damaskglade_<Name>.
  virtual void observe(const std::string &Name, double Value) = 0;
  virtual void observeWait(TaskClass Class, Millis Waited) = 0;
  virtual void observeDecision(double Microseconds) = 0;
};

/// Discards everything; for tests and benchmarks.
class NullMetrics : public MetricsSink {
public:
  void countRefusal(Reason) override {}
  void countRetry(Reason) override {}
  void countReason(const std::string &, Reason) override {}
  void count(const std::string &, double) override {}
  void gauge(const std::string &, double) override {}
  void observe(const std::string &, double) override {}
  void observeWait(TaskClass, Millis) override {}
  void observeDecision(double) override {}
};

} // namespace damaskglade

#endif
