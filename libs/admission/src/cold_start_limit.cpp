#include "gentianlug/admission/cold_start_limit.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::admission {

using std::chrono::milliseconds;

/// A successful call raises the limit only if at least this fraction of the
/// limit was in flight when the call started.
static constexpr double NearLimitFraction = 0.75;
/// A warm server is taken to have restarted after this many consecutive failed
/// or slow calls within at least this time. A stall of the VM affects all calls
/// in flight at once, so the time must be longer than such a stall.
static constexpr std::uint32_t RestartMinBadCalls = 8;
static constexpr milliseconds RestartMinDuration{250};
/// A server counts as warm after this time without a reduction of the limit,
/// even if its load was too low for the limit to reach the slots.
static constexpr milliseconds StableTimeUntilWarm{3000};

void cold_start_limit::reset(std::uint32_t NewSlots, steady_time Now) {
  Slots = std::max(1U, NewSlots);
  Limit = 1;
  IsCold = true;
  LastReduction = Now;
  ConsecutiveBadCalls = 0;
}

void cold_start_limit::addSample(const call_sample &Sample) {
  bool Bad = Sample.Failed || Sample.LatencySpike;
  if (IsCold)
    addColdSample(Sample, Bad);
  else
    addWarmSample(Sample, Bad);
}

void cold_start_limit::addColdSample(const call_sample &Sample, bool Bad) {
  // Calls that started before the last reset or reduction ran under a
  // different limit.
  if (Sample.Started < LastReduction)
    return;
  if (Bad) {
    Limit = std::max(1.0, Limit / 2);
    LastReduction = Sample.Finished;
    return;
  }
  if (double(Sample.InFlight) < NearLimitFraction * std::floor(Limit))
    return;
  Limit = std::min(Slots, Limit + 1 / Limit);
  if (Limit >= Slots)
    IsCold = false;
}

void cold_start_limit::addWarmSample(const call_sample &Sample, bool Bad) {
  if (!Bad) {
    ConsecutiveBadCalls = 0;
    return;
  }
  if (ConsecutiveBadCalls++ == 0)
    FirstBadCallTime = Sample.Finished;
  if (ConsecutiveBadCalls >= RestartMinBadCalls &&
      Sample.Finished - FirstBadCallTime >= RestartMinDuration)
    reset(std::uint32_t(Slots), Sample.Finished);
}

bool cold_start_limit::isWarm(steady_time Now) const {
  return !IsCold || Now - LastReduction >= StableTimeUntilWarm;
}

} // namespace gentianlug::admission
