#ifndef GENTIANLUG_ROLLOUT_PACING_H
#define GENTIANLUG_ROLLOUT_PACING_H

#include "gentianlug/rollout/version_evaluator.h"

#include <chrono>
#include <optional>

namespace gentianlug::rollout {

/// Largest share before the rollout is completed. The old version keeps the
/// rest, so that both versions can be compared over the same time until then.
inline constexpr double MaxShareBeforeCompletion = 0.9;

/// Below this share of calls, non-idempotent ones get half the share.
inline constexpr double ReducedNonIdempotentLimit = 0.2;

/// Fraction of the configured largest share before the verdict that is used.
/// Calls are assigned at random, so that the actual share varies; the margin
/// keeps it below the configured bound.
inline constexpr double InitialShareMargin = 0.9;

/// Shortest time at one share. A share reaches all nodes within about 1 s, and
/// evidence arrives within 250 ms.
inline constexpr std::chrono::milliseconds MinStepDuration{2000};
/// Longest time at one share, regardless of the time left.
inline constexpr std::chrono::minutes MaxStepDuration{10};

/// Fraction of the time left over which the remaining steps are planned.
inline constexpr double PlannedTimeFraction = 0.6;

/// Calls to the new version that are required before the next step.
inline constexpr std::uint64_t MinCallsPerStep = 10;

/// Ratio of the concurrency limit of the new servers to the load that their
/// share may bring.
inline constexpr double CapacityHeadroom = 1.25;

/// From this share on, the concurrency limit of the new servers no longer
/// delays a step: they already handle most of the load, and calls that find no
/// free slot there go to the old version. Otherwise a limit that noise halves
/// occasionally would keep a good version from being completed.
inline constexpr double MaxCapacityLimitedShare = 0.6;

/// Values from which the next step is computed.
struct step_input {
  double Share = 0;
  /// Share before the verdict, 0 to 0.05.
  double InitialShare = 0;
  std::chrono::milliseconds TimeSinceStep{0};
  /// Time until the completion must have been written.
  std::chrono::milliseconds TimeLeft{0};
  verdict_kind Verdict = verdict_kind::Undecided;
  /// Calls to the new version since the last step.
  std::uint64_t CallsSinceStep = 0;
  /// Calls that the new servers may run concurrently.
  std::uint32_t ConcurrencyLimit = 0;
  /// Concurrent calls of the service, see `concurrency_estimator`.
  double ConcurrentCalls = 0;
  /// Fixed duration of each step, set only for the baseline of the experiments.
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
/// The share doubles from step to step, limited by the capacity of the new
/// servers. Complexity: constant.
rollout_step nextStep(const step_input &Input);

/// Returns the share of non-idempotent calls for \p Share of other calls.
double nonIdempotentShare(double Share);

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_PACING_H
