#ifndef GENTIANLUG_CONFIG_MODEL_H
#define GENTIANLUG_CONFIG_MODEL_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianlug::config {

/// An availability zone of the site.
struct availability_zone {
  zone_name Name;
  region_name Region;

  bool operator==(const availability_zone &) const = default;
};

/// A customer and its weight in fair scheduling under load.
struct customer {
  customer_name Name;
  /// Weight relative to other customers, 1 to 1000.
  std::uint32_t Share = 1;

  bool operator==(const customer &) const = default;
};

/// Capacity limits and request costs of one backend server of a service.
struct server_limits {
  std::uint32_t Slots = 10;
  std::uint32_t Connections = 100;
  std::uint32_t QueueLength = 20;
  std::chrono::microseconds ConnectCost{1000};
  std::chrono::microseconds ProbeCost{1000};

  bool operator==(const server_limits &) const = default;
};

/// Limits on retries of calls that are idempotent or were not executed.
struct retry_policy {
  /// Maximum attempts per call, including the first, 1 to 5.
  std::uint32_t MaxAttempts = 3;
  /// Maximum ratio of retries to first attempts, 0 to 0.5.
  double BudgetRatio = 0.1;

  bool operator==(const retry_policy &) const = default;
};

/// A service and the version that serves it outside of rollouts.
struct service {
  service_name Name;
  version_name Version;
  server_limits Limits;
  retry_policy RetryPolicy;
  /// Services that this service calls; used to detect call cycles.
  std::vector<service_name> Calls = {};

  bool operator==(const service &) const = default;
};

/// Load-shedding priority of a call; low-priority calls are shed first.
enum class call_priority : std::uint8_t { Low, Normal, High };

/// Maps requests with a path prefix to a service.
struct route {
  route_name Name;
  std::string PathPrefix;
  service_name Service;
  /// Whether calls on this route may safely be executed more than once. GET and
  /// HEAD calls are treated as idempotent on every route.
  bool Idempotent = false;
  std::chrono::milliseconds Deadline{2000};
  call_priority Priority = call_priority::Normal;
  std::uint64_t MaxBodyBytes = 1 << 20;

  bool operator==(const route &) const = default;
};

/// A gradual switch of a service to a new version by a given time.
struct rollout {
  service_name Service;
  version_name Version;
  wall_time FinishBy;
  /// Maximum share of calls that the new version receives before the verdict,
  /// 0.001 to 0.05.
  double MaxShareBeforeVerdict = 0.05;

  /// Returns "SERVICE@VERSION@FINISH", with the finish time in seconds since
  /// the Unix epoch. Changing the version or the finish time creates a new
  /// rollout.
  std::string id() const;

  bool operator==(const rollout &) const = default;
};

/// The complete configuration of one site.
struct site_configuration {
  site_name Site;
  /// Round-trip time between two zones of a region.
  std::chrono::microseconds ZoneRoundTrip{1000};
  std::vector<availability_zone> Zones;
  std::vector<customer> Customers;
  /// Sorted by name.
  std::vector<service> Services;
  /// Sorted by path prefix, longest first.
  std::vector<route> Routes;
  /// At most one per service.
  std::vector<rollout> Rollouts;

  bool operator==(const site_configuration &) const = default;
};

/// An accepted configuration of one site and its version.
struct versioned_configuration {
  config_version Version = 0;
  /// Hash over all parts; see `rootHash`.
  std::string RootHash;
  site_configuration Configuration;
};

/// Returns the service named \p Name, or null.
///
/// Complexity: logarithmic in the number of services.
const service *findService(const site_configuration &Configuration,
                           const service_name &Name);

/// Returns the route with the longest prefix of \p Path, or null.
///
/// Prefixes match whole path segments: "/order" matches "/order/1" but not
/// "/orders".
///
/// Complexity: linear in the number of routes.
const route *matchRoute(const site_configuration &Configuration,
                        std::string_view Path);

/// Returns the rollout of \p Service, or null.
const rollout *findRollout(const site_configuration &Configuration,
                           const service_name &Service);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_MODEL_H
