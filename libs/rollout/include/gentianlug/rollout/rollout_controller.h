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

/// `Done` is written at least this long before the finish time, so that it is
/// in force everywhere when the nodes decide by themselves.
inline constexpr std::chrono::milliseconds CompletionMargin{5000};
/// A write takes effect within this time, or its answer is given up.
inline constexpr std::chrono::milliseconds MaxWriteDuration{2000};

/// Up to this share new servers are cut off at once after a bad verdict: the
/// retry budget of the entry nodes (10%) covers the refused calls. A larger
/// share is left to the state, which reaches the entry nodes within about 1 s;
/// the cut follows after `QuarantineDelay`, so that it also works without
/// platform.
inline constexpr double MaxImmediateQuarantineShare = 0.1;
inline constexpr std::chrono::milliseconds QuarantineDelay{750};

/// Both times of one moment.
struct clock_reading {
  steady_time Steady;
  wall_time Wall;
};

/// What a controller steers.
struct controller_parameters {
  config::rollout Rollout;
  /// Configured version of the service.
  version_name OldVersion;
  std::vector<route_name> Routes;
  config_version ConfigVersion = 0;
  /// Control listener of this node.
  address ControlAddress;
  /// See `step_input`.
  std::optional<std::chrono::milliseconds> FixedStepDuration;
};

/// A state as it was read, with the revision of its object.
struct versioned_state {
  rollout_state State;
  object_revision Revision = 0;
};

enum class controller_operation : std::uint8_t { Wait, Read, Write };

/// What the owner of a controller does next with `liveValues/rollout/SERVICE`.
struct controller_action {
  controller_operation Operation = controller_operation::Wait;
  /// State and expected revision of a write; revision 0 creates the object.
  rollout_state State;
  object_revision ExpectedRevision = 0;
};

/// Steers one rollout: collects evidence, judges, sets the share, and ends the
/// rollout by its time.
///
/// Everything that must outlive the controller is in the state on the
/// platform. The owner calls `next` from a timer, performs the action, and
/// reports its outcome by exactly one of the `on` functions before the next
/// action. It writes only while the lease is held and only on top of a
/// revision that it read or wrote under its own epoch, which a fencing write
/// sets first. Without the platform it raises nothing, but still judges, so
/// that the owner can tell the nodes beside the new servers to cut them off.
class rollout_controller {
public:
  rollout_controller(controller_parameters Task,
                     std::unique_ptr<version_evaluator> Verdict);
  ~rollout_controller();

  /// Tells whether this node holds the lease, and under which epoch.
  void onLeaseChanged(bool Held, std::uint64_t Epoch);

  /// Tells that a newer configuration has the same rollout.
  void onConfigurationChanged(config_version Version);

  /// Adds evidence of one server. Repeated and late evidence is ignored.
  void onEvidence(steady_time Now, const server_evidence &Evidence);

  /// Tells the state that the configuration tree delivered. A state that this
  /// controller does not know was written by somebody else and leads to a
  /// read.
  void onStateDelivered(const rollout_state &State);

  /// Judges the evidence; call it once each `EvaluationPeriod`.
  void evaluate(clock_reading Now);

  /// Returns the next operation; `Wait` while one is under way.
  controller_action nextAction(clock_reading Now, generator &Gen);

  /// The state was read; nothing when it does not exist.
  void onStateRead(clock_reading Now,
                   const std::optional<versioned_state> &Observed);

  /// The write took effect.
  void onWriteSucceeded(clock_reading Now, object_revision Revision);

  /// The write failed because the revision differed.
  void onWriteConflict(clock_reading Now);

  /// No answer to a read or a write; a write may have taken effect.
  void onNoResponse(clock_reading Now);

  /// Returns whether the rollout is done or taken back on the platform.
  bool isFinished() const;

  /// Returns why the new servers shall be cut off now, or "".
  std::string quarantineReason(steady_time Now) const;

  /// See `version_evaluator`.
  double oldErrorRate() const;

  /// Returns the state as last read or written; null before that.
  const rollout_state *state() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_ROLLOUT_CONTROLLER_H
