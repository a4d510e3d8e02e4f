#ifndef GENTIANLUG_OBSERVE_METRICS_H
#define GENTIANLUG_OBSERVE_METRICS_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace gentianlug::observe {

/// Counters, gauges and latency histograms of one task.
///
/// Owned by one task; another task receives the rendered text in a message.
class metric_set {
public:
  metric_set();
  ~metric_set();
  metric_set(metric_set &&) noexcept;
  metric_set &operator=(metric_set &&) noexcept;

  /// Adds \p Amount to the counter \p Name.
  ///
  /// \param Name Prometheus name, with labels: `calls_total{outcome="ok"}`.
  void count(const std::string &Name, std::uint64_t Amount = 1);

  /// Sets the gauge \p Name.
  void gauge(const std::string &Name, double Value);

  /// Adds one observation to the histogram \p Name, kept in seconds.
  void observe(const std::string &Name, std::chrono::nanoseconds Latency);

  /// Renders the Prometheus text form. Complexity: linear in the metrics.
  std::string render() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_METRICS_H
