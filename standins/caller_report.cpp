#include "caller_report.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace gentianlug::standins {

namespace histogram = boost::histogram;
using std::chrono::microseconds;

// Logarithmic buckets of about 1% width from 10 us to 100 s.
static constexpr double MinBucketMillis = 0.01;
static constexpr double MaxBucketMillis = 100000;
static constexpr unsigned BucketCount = 1620;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

static auto makeHistogram() {
  return histogram::make_histogram(
      log_axis(BucketCount, MinBucketMillis, MaxBucketMillis));
}

struct caller_report::latency_histogram {
  decltype(makeHistogram()) Buckets = makeHistogram();
  std::uint64_t Count = 0;
  double SumMillis = 0;
  double MaxMillis = 0;

  void add(microseconds Latency) {
    double Millis = std::chrono::duration<double, std::milli>(Latency).count();
    Buckets(Millis);
    ++Count;
    SumMillis += Millis;
    MaxMillis = std::max(MaxMillis, Millis);
  }

  /// Returns the upper bound of the bucket that contains the quantile.
  double quantile(double Fraction) const {
    double TargetCount = Fraction * double(Count);
    double CumulativeCount = Buckets.at(-1);
    const auto &Axis = Buckets.axis(0);
    for (int Index = 0; Index < Axis.size(); ++Index) {
      CumulativeCount += Buckets.at(Index);
      if (CumulativeCount >= TargetCount && CumulativeCount > 0)
        return std::min(Axis.bin(Index).upper(), MaxMillis);
    }
    return MaxMillis;
  }
};

caller_report::caller_report(const std::string &CallsPath)
    : Latencies(std::make_unique<latency_histogram>()) {
  if (!CallsPath.empty())
    CallsFile.open(CallsPath);
}

caller_report::~caller_report() = default;

void caller_report::add(const completed_call &Call) {
  ++Calls;
  Attempts += Call.Attempts;
  ++Outcomes[Call.Outcome];
  if (Call.Outcome == "answered")
    Latencies->add(Call.Latency);
  if (!CallsFile.is_open())
    return;
  nlohmann::json Line{{"order", Call.Order},
                      {"path", Call.Path},
                      {"target", Call.Target},
                      {"outcome", Call.Outcome},
                      {"status", Call.Status},
                      {"tries", Call.Attempts},
                      {"due_us", Call.DueOffset.count()},
                      {"latency_us", Call.Latency.count()}};
  CallsFile << Line.dump() << '\n';
}

nlohmann::json caller_report::toJson(microseconds Duration) const {
  nlohmann::json Json{
      {"calls", Calls}, {"tries", Attempts}, {"unsent", Unsent}};
  for (const char *Outcome : {"answered", "wrong", "error", "not_run",
                              "unknown", "cut", "timeout", "refused"}) {
    auto Entry = Outcomes.find(Outcome);
    Json[Outcome] = Entry == Outcomes.end() ? 0 : Entry->second;
  }
  double Seconds = std::chrono::duration<double>(Duration).count();
  Json["answered_per_s"] =
      Seconds > 0 ? double(Latencies->Count) / Seconds : 0.0;
  Json["mean_ms"] = Latencies->Count > 0
                        ? Latencies->SumMillis / double(Latencies->Count)
                        : 0.0;
  Json["p50_ms"] = Latencies->quantile(0.5);
  Json["p90_ms"] = Latencies->quantile(0.9);
  Json["p99_ms"] = Latencies->quantile(0.99);
  Json["p999_ms"] = Latencies->quantile(0.999);
  Json["max_ms"] = Latencies->MaxMillis;
  return Json;
}

} // namespace gentianlug::standins
