#ifndef GENTIANLUG_OBSERVE_METRICS_H
#define GENTIANLUG_OBSERVE_METRICS_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace gentianlug::observe {

/// Counters, gauges and latency histograms of one task.
///
/// Not thread-safe: owned by one task, which sends the rendered text to other
/// tasks in a message.
class metric_set {
public:
  metric_set();
  ~metric_set();
  metric_set(metric_set &&) noexcept;
  metric_set &operator=(metric_set &&) noexcept;

  /// Adds \p Amount to the counter \p Name.
  ///
  /// \param Name Prometheus name with labels, such as
  /// `calls_total{outcome="ok"}`.
  void count(const std::string &Name, std::uint64_t Amount = 1);

  void gauge(const std::string &Name, double Value);

  /// Adds \p Latency to the histogram \p Name, which is rendered in seconds.
  void observe(const std::string &Name, std::chrono::nanoseconds Latency);

  /// Renders the Prometheus text format. Complexity: linear in the number of
  /// metrics.
  std::string render() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::observe

#endif // GENTIANLUG_OBSERVE_METRICS_H
