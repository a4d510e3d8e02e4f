#ifndef GENTIANLUG_MESH_MODEL_H
#define GENTIANLUG_MESH_MODEL_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::mesh {

/// What may be repeated.
enum class call_kind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs once at most.
  AtMostOnce,
};

/// One destination of a route.
struct weighted_service {
  service_name Service;
  /// Relative to the other destinations of the route; at least 0.
  double Weight = 1;
};

/// A route in force.
struct route {
  route_name Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  call_kind Kind = call_kind::AtMostOnce;
  /// Longest time that a caller is kept waiting.
  std::chrono::milliseconds Timeout{0};
  /// Time within which an answer has its full value.
  std::chrono::milliseconds TargetLatency{0};
  /// 0 is the highest.
  std::uint32_t Priority = 0;
  std::vector<weighted_service> Services;
  /// Servers to which one call may be sent.
  std::uint32_t MaxAttempts = 1;
};

/// A service in force.
struct service {
  service_name Name;
  std::string HealthPath;
  /// Calls a second that a cold server bears.
  double ColdCallsPerSecond = 0;
};

/// What callers may send.
struct caller_limits {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 64UL << 20;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// A complete configuration.
struct mesh_configuration {
  config_version Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  caller_limits Limits;

  /// Returns the service, or null. Complexity: linear.
  const service *findService(const service_name &Name) const;
};

enum class server_state : std::uint8_t {
  Ready,
  /// Leaves; stays so for the rest of its life.
  Draining,
  Gone,
  /// Gets no calls for now: its node stops, or the server does not answer.
  Paused,
};

/// A backend server with the node beside it, as that node published it.
struct server_record {
  node_id Node;
  /// Where the node takes calls of other nodes.
  address NodeAddress;
  /// Id of this start of the server.
  std::string Instance;
  service_name Service;
  version_name Version;
  zone_name Zone;
  std::uint32_t Slots = 1;
  server_state State = server_state::Ready;
  /// Start of the server; orders its lives, unit of the platform.
  incarnation_number Incarnation = 0;
  /// Number of the announcement that the record is based on.
  std::uint64_t Sequence = 0;
  /// Bandwidth of the node's link.
  std::uint32_t LinkMbps = 0;

  friend bool operator==(const server_record &,
                         const server_record &) = default;
};

/// What a backend server says of itself.
struct server_announcement {
  std::string Instance;
  address Address;
  service_name Service;
  version_name Version;
  zone_name Zone;
  std::uint32_t Slots = 1;
  server_state State = server_state::Ready;
  incarnation_number Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// How much longer the server stays cold.
  std::chrono::milliseconds RemainingColdTime{0};
};

/// Bounds that hold over all nodes, from the settings.
struct mesh_bounds {
  /// Repeats per call, and repeats beside them.
  double RetryBudgetRatio = 0.2;
  double RetryBudgetSlack = 60;
  /// Share of the calls of a service that a new version may get before it is
  /// known to be good.
  double MaxExposedShare = 0.1;
  /// Time from the first signal to stop to the end of the process.
  std::chrono::milliseconds ShutdownGracePeriod{6000};
  /// Time from the acknowledgement of a configuration to its use.
  std::chrono::milliseconds ConfigPropagationTime{2000};
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_MODEL_H
