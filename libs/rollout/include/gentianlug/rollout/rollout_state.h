#ifndef GENTIANLUG_ROLLOUT_ROLLOUT_STATE_H
#define GENTIANLUG_ROLLOUT_ROLLOUT_STATE_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <cstdint>
#include <string>

namespace gentianlug::rollout {

/// Progress of a rollout.
enum class rollout_phase : std::uint8_t {
  /// No backend server of the new version has announced itself.
  Waiting,
  Progressing,
  Paused,
  Completed,
  RolledBack,
};

/// State of a rollout, stored as the object `live/rollout/SERVICE`.
struct rollout_state {
  /// See `config::rollout::id`.
  std::string Id;
  service_name Service;
  version_name Version;
  rollout_phase Phase = rollout_phase::Waiting;
  /// Share of idempotent calls that go to the new version, 0 to 1.
  double Share = 0;
  /// Share of non-idempotent calls that go to the new version, 0 to 1.
  double NonIdempotentShare = 0;
  wall_time FinishBy;
  /// Fencing token of the controller that wrote the state.
  std::uint64_t Epoch = 0;
  /// Control listener of the controller, which receives evidence.
  address ControllerAddress;
  /// Number of controllers that this rollout has had so far. Each starts its
  /// own evaluation with a fraction of the false alarm rate.
  std::uint32_t ControllerCount = 0;
  /// Version of the configuration that the controller used.
  config_version ConfigVersion = 0;
  std::string Reason;
  std::string WriteId;

  bool operator==(const rollout_state &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_ROLLOUT_STATE_H
