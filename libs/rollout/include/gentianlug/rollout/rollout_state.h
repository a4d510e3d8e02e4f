#ifndef GENTIANLUG_ROLLOUT_ROLLOUT_STATE_H
#define GENTIANLUG_ROLLOUT_ROLLOUT_STATE_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <cstdint>
#include <string>

namespace gentianlug::rollout {

/// Where a rollout stands.
enum class rollout_phase : std::uint8_t {
  /// No backend server of the new version has announced itself.
  Waiting,
  Progressing,
  Paused,
  Completed,
  RolledBack,
};

/// Value of `liveValues/rollout/SERVICE`.
struct rollout_state {
  /// See `config::rollout::id`.
  std::string Id;
  service_name Service;
  version_name Version;
  rollout_phase Phase = rollout_phase::Waiting;
  /// Share of calls that the new version gets, 0 to 1.
  double Share = 0;
  /// Share of non-idempotent calls, 0 to 1.
  double NonIdempotentShare = 0;
  wall_time FinishBy;
  /// Fencing token of the controller that wrote the state.
  std::uint64_t Epoch = 0;
  /// Control listener of the controller, the receiver of evidence.
  address ControllerAddress;
  /// Controllers that have steered this rollout so far. Each starts a verdict
  /// of its own with a part of the false alarm rate.
  std::uint32_t ControllerCount = 0;
  /// Version of the configuration that the controller acted on.
  config_version ConfigVersion = 0;
  std::string Reason;
  std::string WriteId;

  bool operator==(const rollout_state &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_ROLLOUT_STATE_H
