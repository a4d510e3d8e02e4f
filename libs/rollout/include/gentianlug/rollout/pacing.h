#ifndef GENTIANLUG_ROLLOUT_PACING_H
#define GENTIANLUG_ROLLOUT_PACING_H

#include "gentianlug/rollout/version_evaluator.h"

#include <chrono>
#include <optional>

namespace gentianlug::rollout {

/// Largest share before `done`. The rest stays with the old version, so that
/// both versions can be compared over the same time until the end.
inline constexpr double MaxShareBeforeCompletion = 0.9;

/// Up to this share of calls non-idempotent ones get half of it.
inline constexpr double ReducedNonIdempotentLimit = 0.2;

/// Part of the configured largest share before the verdict that is used. The
/// split draws at random; the margin keeps the drawn share below the bound.
inline constexpr double InitialShareMargin = 0.9;

/// Shortest time at one share: evidence of it arrives within 250 ms, the share
/// reaches all nodes within about 1 s.
inline constexpr std::chrono::milliseconds MinStepDuration{2000};
/// Longest time at one share, however much time is left.
inline constexpr std::chrono::minutes MaxStepDuration{10};

/// Part of the time left that the remaining steps may use.
inline constexpr double PlannedTimeFraction = 0.6;

/// New calls that a step must have seen.
inline constexpr std::uint64_t MinCallsPerStep = 10;

/// New servers must bear their share this many times over.
inline constexpr double CapacityHeadroom = 1.25;

/// From this share on the allowances no longer hold a step back: they have
/// carried most of the load, and calls that find no free slot at the new
/// servers go to the old version. Otherwise an allowance that noise halves now
/// and then keeps a good version from being done.
inline constexpr double MaxCapacityLimitedShare = 0.6;

/// What the next share depends on.
struct step_input {
  double Share = 0;
  /// Share before the verdict, 0 to 0.05.
  double InitialShare = 0;
  std::chrono::milliseconds TimeSinceStep{0};
  /// Until `done` must have been written.
  std::chrono::milliseconds TimeLeft{0};
  verdict_kind Verdict = verdict_kind::Undecided;
  /// Calls to the new version since the last step.
  std::uint64_t CallsSinceStep = 0;
  /// Calls that the new servers may run at a time.
  std::uint32_t ConcurrencyLimit = 0;
  /// Calls of the service that run at a time, see `concurrency_estimator`.
  double ConcurrentCalls = 0;
  /// Set for the baseline of the experiments: steps of a fixed length.
  std::optional<std::chrono::milliseconds> FixedStepDuration;
};

enum class step_kind : std::uint8_t { Hold, Increase, Complete };

struct rollout_step {
  step_kind Kind = step_kind::Hold;
  /// Share after `Increase`.
  double Share = 0;

  bool operator==(const rollout_step &) const = default;
};

/// Returns the next step of a rollout that has servers and is not paused.
///
/// The share doubles from step to step, never beyond what the new servers
/// bear. Complexity: constant.
rollout_step nextStep(const step_input &Input);

/// Returns the share of non-idempotent calls that goes with \p Share.
double nonIdempotentShare(double Share);

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_PACING_H
