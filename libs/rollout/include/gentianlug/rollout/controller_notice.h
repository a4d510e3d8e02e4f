#ifndef GENTIANLUG_ROLLOUT_CONTROLLER_NOTICE_H
#define GENTIANLUG_ROLLOUT_CONTROLLER_NOTICE_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace gentianlug::rollout {

/// Time between two notices of a controller.
inline constexpr std::chrono::milliseconds NoticePeriod{500};

/// What a controller tells the nodes beside the servers of its service: that
/// it steers, and whether new servers shall be cut off. Unlike the state it
/// needs no platform.
struct controller_notice {
  std::string RolloutId;
  service_name Service;
  std::uint64_t Epoch = 0;
  /// Control listener of the controller, the receiver of evidence.
  address ControllerAddress;
  /// Whether the controller holds its lease now.
  bool LeaseHeld = false;
  /// See `version_evaluator::oldErrorRate`; for the local guards.
  double OldErrorRate = 1;
  /// Why servers of the new version get no more calls; "" lets them have some.
  std::string QuarantineReason;

  bool operator==(const controller_notice &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_CONTROLLER_NOTICE_H
