#ifndef GENTIANLUG_ROLLOUT_ROLLOUT_CONTROLLER_H
#define GENTIANLUG_ROLLOUT_ROLLOUT_CONTROLLER_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/address.h"
#include "gentianlug/core/random.h"
#include "gentianlug/rollout/evidence.h"
#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/rollout/version_evaluator.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::rollout {

/// `Completed` is written at least this long before the finish time, so that
/// all nodes have received it when they start to treat an unfinished rollout
/// as rolled back.
inline constexpr std::chrono::milliseconds CompletionMargin{5000};
/// Longest time until a write takes effect; after that, its response is no
/// longer awaited.
inline constexpr std::chrono::milliseconds MaxWriteDuration{2000};

/// Up to this share, new servers are quarantined immediately after a `Fail`
/// verdict: the retry budget of the entry nodes (10%) covers the refused calls.
/// At a larger share, the rollout state first moves the calls to the old
/// version, which takes about 1 s to reach the entry nodes. The quarantine
/// follows after `QuarantineDelay`, so that it also takes effect when the
/// platform is unreachable.
inline constexpr double MaxImmediateQuarantineShare = 0.1;
inline constexpr std::chrono::milliseconds QuarantineDelay{750};

/// Monotonic and wall-clock time, read together.
struct clock_reading {
  steady_time Steady;
  wall_time Wall;
};

/// The rollout of a controller and the settings for it.
struct controller_parameters {
  config::rollout Rollout;
  /// Configured version of the service.
  version_name OldVersion;
  std::vector<route_name> Routes;
  config_version ConfigVersion = 0;
  /// Control listener of this node, which receives evidence.
  address ControlAddress;
  /// See `step_input::FixedStepDuration`.
  std::optional<std::chrono::milliseconds> FixedStepDuration;
};

/// A rollout state with the revision of the object that holds it.
struct versioned_state {
  rollout_state State;
  object_revision Revision = 0;
};

enum class controller_operation : std::uint8_t { Wait, Read, Write };

/// The next operation on the object `live/rollout/SERVICE`, to be performed by
/// the owner of the controller.
struct controller_action {
  controller_operation Operation = controller_operation::Wait;
  /// State and expected revision of a write; revision 0 creates the object.
  rollout_state State;
  object_revision ExpectedRevision = 0;
};

/// Controls one rollout: collects evidence, evaluates the new version, sets its
/// share of the calls, and completes the rollout or rolls it back by its finish
/// time.
///
/// All persistent data is in the rollout state on the platform, so that another
/// node can take over. The owner calls `nextAction` from a timer, performs the
/// action, and reports its outcome by exactly one of `onStateRead`,
/// `onWriteSucceeded`, `onWriteConflict` and `onNoResponse` before it asks for
/// the next action.
///
/// The controller writes only while it holds the lease, and only over a
/// revision that it read or wrote in its own epoch. Its first write sets the
/// epoch and thereby fences off earlier controllers. While the platform is
/// unreachable, it does not increase the share, but still evaluates, so that
/// the owner can have the new servers quarantined.
class rollout_controller {
public:
  rollout_controller(controller_parameters Parameters,
                     std::unique_ptr<version_evaluator> Evaluator);
  ~rollout_controller();

  /// Sets whether this node holds the lease, and the epoch of the lease.
  void onLeaseChanged(bool LeaseHeld, std::uint64_t Epoch);

  /// Sets the version of a newer configuration with the same rollout.
  void onConfigurationChanged(config_version Version);

  /// Adds evidence of one server. Duplicate and out-of-order evidence is
  /// ignored.
  void onEvidence(steady_time Now, const server_evidence &Evidence);

  /// Handles a state that the configuration tree delivered. A state that this
  /// controller has neither read nor written comes from another writer and
  /// causes a read.
  void onStateDelivered(const rollout_state &State);

  /// Evaluates the evidence. Must be called once per `EvaluationPeriod`.
  void evaluate(clock_reading Now);

  /// Returns the next operation, or `Wait` while one is in progress.
  controller_action nextAction(clock_reading Now, generator &Gen);

  /// Reports the state that was read; empty when the object does not exist.
  void onStateRead(clock_reading Now,
                   const std::optional<versioned_state> &Observed);

  /// Reports that the write took effect.
  void onWriteSucceeded(clock_reading Now, object_revision Revision);

  /// Reports that the write failed because the revision differed.
  void onWriteConflict(clock_reading Now);

  /// Reports a read or write without a response. A write may have taken
  /// effect.
  void onNoResponse(clock_reading Now);

  /// Returns whether the state on the platform is completed or rolled back.
  bool isFinished() const;

  /// Returns the reason for which the new servers must be quarantined now, or
  /// "".
  std::string quarantineReason(steady_time Now) const;

  /// See `version_evaluator::oldErrorRate`.
  double oldErrorRate() const;

  /// Returns the state that was last read or written, or null.
  const rollout_state *state() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_ROLLOUT_CONTROLLER_H
