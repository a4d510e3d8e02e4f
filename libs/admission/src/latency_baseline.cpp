#include "gentianlug/admission/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::admission {

using std::chrono::microseconds;

/// A latency is a jump from this ratio on, if it also exceeds the usual one by
/// `NoiseFloor`. A stall of the scheduler of a few milliseconds is no jump.
static constexpr double JumpRatio = 2;
static constexpr microseconds NoiseFloor{10000};
/// Weights of a new sample. The usual latency moves slowly, and more slowly
/// still toward latencies that are jumps.
static constexpr double UsualWeight = 0.02;
static constexpr double JumpWeight = 0.002;
static constexpr double RecentWeight = 0.1;
/// First samples of a route, of which the plain mean is taken.
static constexpr std::uint32_t LearningSamples = 8;
/// Mean deviations above the mean that cover nearly all calls.
static constexpr double CoveringDeviations = 4;

latency_baseline::comparison latency_baseline::add(const route_name &Route,
                                                   microseconds Latency,
                                                   bool Warm) {
  bool Own = Routes.count(Route) || Routes.size() < MaxBaselineRoutes;
  route_latency &Entry = Routes[Own ? Route : route_name()];
  auto Time = double(Latency.count());
  if (Entry.Samples == 0) {
    Entry.Usual = Entry.Recent = Time;
    Entry.Deviation = Time / 2;
  }
  comparison Result;
  Result.Ratio = Time / std::max(1.0, Entry.Usual);
  Result.Jump = Result.Ratio >= JumpRatio &&
                Time - Entry.Usual >= double(NoiseFloor.count());
  double Weight = Result.Jump ? JumpWeight : UsualWeight;
  if (Entry.Samples < LearningSamples)
    Weight = 1.0 / ++Entry.Samples;
  if (Warm || Time < Entry.Usual)
    Entry.Usual += Weight * (Time - Entry.Usual);
  Entry.Deviation +=
      RecentWeight * (std::abs(Time - Entry.Recent) - Entry.Deviation);
  Entry.Recent += RecentWeight * (Time - Entry.Recent);
  RecentOfAll += (RecentOfAll == 0 ? 1 : RecentWeight) * (Time - RecentOfAll);
  return Result;
}

microseconds latency_baseline::needed(const route_name &Route) const {
  auto Entry = Routes.find(Route);
  if (Entry == Routes.end())
    return microseconds(0);
  return microseconds(std::int64_t(
      Entry->second.Recent + CoveringDeviations * Entry->second.Deviation));
}

microseconds latency_baseline::mean() const {
  return microseconds(std::int64_t(RecentOfAll));
}

} // namespace gentianlug::admission
