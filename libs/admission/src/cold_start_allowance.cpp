#include "gentianlug/admission/cold_start_allowance.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::admission {

using std::chrono::milliseconds;

/// A call counts as near the allowance from this part of it on.
static constexpr double NearAllowance = 0.75;
/// Answers of a warm server that are bad one after the other, over at least
/// this time, count as a restart. One stall of the machine hits all calls in
/// flight at once, so the time must be longer than such a stall.
static constexpr std::uint32_t RestartRun = 8;
static constexpr milliseconds RestartSpan{250};
/// Time without trouble after which a server counts as warm even if its load
/// was too low to test the full allowance.
static constexpr milliseconds QuietTime{3000};

void cold_start_allowance::reset(std::uint32_t NewSlots, steady_time Now) {
  Slots = std::max(1U, NewSlots);
  Allowance = 1;
  Cold = true;
  LastTrouble = Now;
  BadRun = 0;
}

void cold_start_allowance::onAnswer(const answer_sample &Sample) {
  bool Bad = Sample.Failed || Sample.LatencyJump;
  if (Cold)
    onColdAnswer(Sample, Bad);
  else
    onWarmAnswer(Sample, Bad);
}

void cold_start_allowance::onColdAnswer(const answer_sample &Sample, bool Bad) {
  // Calls that started before the restart or the halving met another load.
  if (Sample.Started < LastTrouble)
    return;
  if (Bad) {
    Allowance = std::max(1.0, Allowance / 2);
    LastTrouble = Sample.Finished;
    return;
  }
  if (double(Sample.InFlight) < NearAllowance * std::floor(Allowance))
    return;
  Allowance = std::min(Slots, Allowance + 1 / Allowance);
  if (Allowance >= Slots)
    Cold = false;
}

void cold_start_allowance::onWarmAnswer(const answer_sample &Sample, bool Bad) {
  if (!Bad) {
    BadRun = 0;
    return;
  }
  if (BadRun++ == 0)
    BadRunStart = Sample.Finished;
  if (BadRun >= RestartRun && Sample.Finished - BadRunStart >= RestartSpan)
    reset(std::uint32_t(Slots), Sample.Finished);
}

bool cold_start_allowance::warm(steady_time Now) const {
  return !Cold || Now - LastTrouble >= QuietTime;
}

} // namespace gentianlug::admission
