#include "gentianlug/admission/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::admission {

using std::chrono::microseconds;

/// A latency is a spike if it is at least this multiple of the baseline and
/// exceeds it by at least `MinSpikeExcess`. The second condition excludes
/// scheduling delays of a few milliseconds.
static constexpr double SpikeRatio = 2;
static constexpr microseconds MinSpikeExcess{10000};
/// Weights of a new sample in the moving averages. The baseline changes slowly,
/// and even more slowly in response to spikes.
static constexpr double BaselineWeight = 0.02;
static constexpr double SpikeWeight = 0.002;
static constexpr double RecentWeight = 0.1;
/// The baseline is the arithmetic mean of the samples of a route up to this
/// number, and a moving average after that.
static constexpr std::uint32_t InitialSamples = 8;
/// Distance of the tail latency from the recent mean, in mean deviations.
static constexpr double TailDeviations = 4;

latency_baseline::comparison
latency_baseline::addSample(const route_name &Route, microseconds Latency,
                            bool MayRise) {
  bool HasOwnEntry = Routes.count(Route) || Routes.size() < MaxBaselineRoutes;
  route_latency &Entry = Routes[HasOwnEntry ? Route : route_name()];
  auto Time = double(Latency.count());
  if (Entry.Samples == 0) {
    Entry.Baseline = Entry.RecentMean = Time;
    Entry.MeanDeviation = Time / 2;
  }
  comparison Result;
  Result.Ratio = Time / std::max(1.0, Entry.Baseline);
  Result.IsSpike = Result.Ratio >= SpikeRatio &&
                   Time - Entry.Baseline >= double(MinSpikeExcess.count());
  double Weight = Result.IsSpike ? SpikeWeight : BaselineWeight;
  if (Entry.Samples < InitialSamples)
    Weight = 1.0 / ++Entry.Samples;
  if (MayRise || Time < Entry.Baseline)
    Entry.Baseline += Weight * (Time - Entry.Baseline);
  Entry.MeanDeviation +=
      RecentWeight * (std::abs(Time - Entry.RecentMean) - Entry.MeanDeviation);
  Entry.RecentMean += RecentWeight * (Time - Entry.RecentMean);
  OverallRecentMean +=
      (OverallRecentMean == 0 ? 1 : RecentWeight) * (Time - OverallRecentMean);
  return Result;
}

microseconds latency_baseline::tailLatency(const route_name &Route) const {
  auto Entry = Routes.find(Route);
  if (Entry == Routes.end())
    return microseconds(0);
  return microseconds(std::int64_t(
      Entry->second.RecentMean + TailDeviations * Entry->second.MeanDeviation));
}

microseconds latency_baseline::recentMean() const {
  return microseconds(std::int64_t(OverallRecentMean));
}

} // namespace gentianlug::admission
