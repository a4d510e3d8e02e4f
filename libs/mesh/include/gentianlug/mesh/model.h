#ifndef GENTIANLUG_MESH_MODEL_H
#define GENTIANLUG_MESH_MODEL_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::mesh {

/// Whether a call may run more than once.
enum class call_kind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Must not run more than once.
  AtMostOnce,
};

/// A service that a route sends calls to.
struct weighted_service {
  service_name Service;
  /// Relative to the other services of the route; at least 0.
  double Weight = 1;
};

/// A route of the active configuration.
struct route {
  route_name Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  call_kind Kind = call_kind::AtMostOnce;
  /// Longest time that a caller waits for a response.
  std::chrono::milliseconds Timeout{0};
  /// Response time up to which a response has its full value.
  std::chrono::milliseconds TargetLatency{0};
  /// 0 is the highest.
  std::uint32_t Priority = 0;
  std::vector<weighted_service> Services;
  /// Maximum number of servers that one call may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Calls need no API key.
  bool IsPublic = false;
};

/// A service of the active configuration.
struct service {
  service_name Name;
  std::string HealthPath;
  /// Calls per second that a cold server can process.
  double ColdCallsPerSecond = 0;
};

/// A client account and the API keys that identify its calls.
struct client_account {
  account_name Name;
  std::vector<std::string> ApiKeys;
  /// Replaces the priority of the route; 0 is the highest.
  std::optional<std::uint32_t> Priority;

  friend bool operator==(const client_account &,
                         const client_account &) = default;
};

using account_list = std::vector<std::shared_ptr<const client_account>>;

/// Limits for requests and connections of callers.
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
  /// Whether calls need an API key of one of `Accounts`, except on public
  /// routes.
  bool RequiresApiKeys = false;
  /// Sorted by name. Versions of the configuration share accounts that are
  /// equal in both.
  account_list Accounts;

  /// Returns the service, or null. Complexity: linear.
  const service *findService(const service_name &Name) const;
};

enum class server_state : std::uint8_t {
  Ready,
  /// Shutting down; does not become ready again before a restart.
  Draining,
  Gone,
  /// Temporarily receives no calls, because its node is shutting down or the
  /// server does not respond.
  Paused,
};

/// A backend server and its node, as published by the node.
struct server_record {
  node_id Node;
  /// Address at which the node accepts calls from other nodes.
  address NodeAddress;
  /// Instance id of the server.
  std::string Instance;
  service_name Service;
  version_name Version;
  zone_name Zone;
  std::uint32_t Slots = 1;
  server_state State = server_state::Ready;
  /// Start time of the server in the unit of the platform; increases with each
  /// restart.
  incarnation_number Incarnation = 0;
  /// Sequence number of the announcement that the record is based on.
  std::uint64_t Sequence = 0;
  /// Bandwidth of the network link of the node.
  std::uint32_t LinkMbps = 0;

  friend bool operator==(const server_record &,
                         const server_record &) = default;
};

/// State that a backend server announces to its node.
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
  /// Time until the server is warm.
  std::chrono::milliseconds RemainingColdTime{0};
};

/// What the settings of a VM say about its backend server. An empty member
/// says nothing.
struct server_identity {
  service_name Service;
  zone_name Zone;
  address Address;
};

/// Limits from the settings that apply to all nodes together.
struct mesh_bounds {
  /// Allowed retries: a share of the calls, plus a fixed number.
  double RetryBudgetRatio = 0.2;
  double RetryBudgetSlack = 60;
  /// Share of the calls of a service that a new version may receive before it
  /// is known to be good.
  double MaxExposedShare = 0.1;
  /// Calls that it may receive in addition.
  double MaxExposedCalls = 50;
  /// Calls per second that a cold server may receive, as a multiple of the rate
  /// that it is declared to process.
  double ColdRateFactor = 1;
  /// Time from the first termination signal to the end of the process.
  std::chrono::milliseconds ShutdownGracePeriod{6000};
  /// Time within which an acknowledged configuration is active on all nodes.
  std::chrono::milliseconds ConfigPropagationTime{2000};
  /// Time within which all nodes reject a withdrawn API key, also those that
  /// receive no configuration; empty if that is not required.
  std::optional<std::chrono::milliseconds> KeyWithdrawalTime;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_MODEL_H
