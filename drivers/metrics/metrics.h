#ifndef DAMASKGLADE_DRIVERS_METRICS_METRICS_H
#define DAMASKGLADE_DRIVERS_METRICS_METRICS_H

#include "ports/metrics_sink.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Metrics of one node in a prometheus-cpp registry.
class PrometheusMetrics : public MetricsSink {
public:
  PrometheusMetrics(const std::string &Node, const std::string &Zone);
  ~PrometheusMetrics() override;

  void countRefusal(Reason Why) override;
  void countRetry(Reason Why) override;
  void countReason(const std::string &Name, Reason Why) override;
  void count(const std::string &Name, double Amount) override;
  void gauge(const std::string &Name, double Value) override;
  void observe(const std::string &Name, double Value) override;
  void observeWait(TaskClass Class, Millis Waited) override;
  void observeDecision(double Microseconds) override;

  /// All metrics in the Prometheus text format.
  std::string render() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace damaskglade::drivers

#endif
