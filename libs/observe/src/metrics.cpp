#include "gentianlug/observe/metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <sstream>

namespace gentianlug::observe {

namespace histogram = boost::histogram;

// Logarithmic buckets from 50 us to 25.6 s; each limit is twice the one before.
static constexpr double LowestBucketSeconds = 50e-6;
static constexpr double HighestBucketSeconds = 25.6;
static constexpr unsigned BucketCount = 19;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

static auto makeLatencyHistogram() {
  return histogram::make_histogram(
      log_axis(BucketCount, LowestBucketSeconds, HighestBucketSeconds));
}

using latency_histogram = decltype(makeLatencyHistogram());

namespace {

/// A histogram with the sum and count that the Prometheus text format requires.
struct latency_metric {
  latency_histogram Buckets = makeLatencyHistogram();
  double SumSeconds = 0;
  std::uint64_t Count = 0;
};

} // namespace

struct metric_set::impl {
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, latency_metric> Latencies;
};

metric_set::metric_set() : Impl(std::make_unique<impl>()) {}
metric_set::~metric_set() = default;
metric_set::metric_set(metric_set &&) noexcept = default;
metric_set &metric_set::operator=(metric_set &&) noexcept = default;

void metric_set::count(const std::string &Name, std::uint64_t Amount) {
  Impl->Counters[Name] += Amount;
}

void metric_set::gauge(const std::string &Name, double Value) {
  Impl->Gauges[Name] = Value;
}

void metric_set::observe(const std::string &Name,
                         std::chrono::nanoseconds Latency) {
  double Seconds = std::chrono::duration<double>(Latency).count();
  latency_metric &Metric = Impl->Latencies[Name];
  Metric.Buckets(Seconds);
  Metric.SumSeconds += Seconds;
  ++Metric.Count;
}

static void renderLatency(std::ostream &Out, const std::string &Name,
                          const latency_metric &Metric) {
  const auto &Axis = Metric.Buckets.axis(0);
  double Cumulative = Metric.Buckets.at(-1);
  for (int Index = 0; Index < Axis.size(); ++Index) {
    Cumulative += Metric.Buckets.at(Index);
    Out << Name << "_bucket{le=\"" << Axis.bin(Index).upper() << "\"} "
        << std::uint64_t(Cumulative) << '\n';
  }
  Out << Name << "_bucket{le=\"+Inf\"} " << Metric.Count << '\n'
      << Name << "_sum " << Metric.SumSeconds << '\n'
      << Name << "_count " << Metric.Count << '\n';
}

std::string metric_set::render() const {
  std::ostringstream Out;
  for (const auto &[Name, Value] : Impl->Counters)
    Out << Name << ' ' << Value << '\n';
  for (const auto &[Name, Value] : Impl->Gauges)
    Out << Name << ' ' << Value << '\n';
  for (const auto &[Name, Metric] : Impl->Latencies)
    renderLatency(Out, Name, Metric);
  return Out.str();
}

} // namespace gentianlug::observe
