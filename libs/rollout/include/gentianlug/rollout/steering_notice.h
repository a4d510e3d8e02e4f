#ifndef GENTIANLUG_ROLLOUT_STEERING_NOTICE_H
#define GENTIANLUG_ROLLOUT_STEERING_NOTICE_H

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
struct steering_notice {
  std::string RolloutId;
  service_name Service;
  std::uint64_t Epoch = 0;
  /// Control listener of the controller, the receiver of evidence.
  address Controller;
  /// Whether the controller holds its lease now.
  bool Held = false;
  /// See `verdict_policy::oldErrorRate`; for the local guards.
  double OldErrorRate = 1;
  /// Why servers of the new version get no more calls; "" lets them have some.
  std::string CutReason;

  bool operator==(const steering_notice &) const = default;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_STEERING_NOTICE_H
