#ifndef GENTIANLUG_ROLLOUT_CONTROLLER_NOTICE_H
#define GENTIANLUG_ROLLOUT_CONTROLLER_NOTICE_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace gentianlug::rollout {

/// Interval at which a controller sends notices.
inline constexpr std::chrono::milliseconds NoticePeriod{500};

/// Periodic message of a controller to the nodes beside the backend servers of
/// its service. It announces the controller and orders the quarantine of new
/// servers. Unlike the rollout state, it does not depend on the platform.
struct controller_notice {
  std::string RolloutId;
  service_name Service;
  std::uint64_t Epoch = 0;
  /// Control listener of the controller, which receives evidence.
  address ControllerAddress;
  /// Whether the controller currently holds the lease.
  bool LeaseHeld = false;
  /// See `version_evaluator::oldErrorRate`. Used by the
  /// `consecutive_error_detector` of each node.
  double OldErrorRate = 1;
  /// Why servers of the new version are quarantined; "" when they are not.
  std::string QuarantineReason;

  bool operator==(const controller_notice &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CONTROLLER_NOTICE_H
