#ifndef GENTIANLUG_GATEWAY_MESH_FEED_H
#define GENTIANLUG_GATEWAY_MESH_FEED_H

#include "gentianlug/core/result.h"
#include "gentianlug/gateway/mesh_store.h"

#include <deque>
#include <string>
#include <string_view>

namespace gentianlug::gateway {

/// Errors of messages between nodes.
enum class feed_errc {
  MalformedFeed = 1101,
};

std::error_code make_error_code(feed_errc Code);

/// How far a follower is. Numbers of one relay life only; `Life` tells them
/// apart from those of another.
struct feed_cursor {
  std::string Epoch;
  config_version ConfigVersion = 0;
  std::uint64_t ServersRevision = 0;
  std::uint64_t ControlRevision = 0;

  friend bool operator==(const feed_cursor &, const feed_cursor &) = default;
};

/// Versions of services, rollouts and zones out; they are few and travel
/// together.
struct control_state {
  std::map<service_name, version_name> BaseVersions;
  std::vector<mesh::rollout_record> Rollouts;
  std::set<zone_name> ZonesOutOfService;
};

/// A change of the configuration, against a version that the follower has.
struct config_change {
  config_version Version = 0;
  /// 0: `Routes` are all routes.
  config_version BaseVersion = 0;
  std::vector<mesh::route> Routes;
  std::vector<route_name> RemovedRoutes;
  std::vector<mesh::service> Services;
  mesh::caller_limits Limits;
};

/// What a relay tells a follower.
struct feed_update {
  feed_cursor Cursor;
  std::optional<config_change> Config;
  /// All servers, or those that changed since the cursor.
  bool FullServerList = false;
  std::vector<mesh::server_record> Servers;
  std::vector<node_id> RemovedServers;
  std::optional<control_state> ControlState;
};

// Codecs of the messages between a relay and its followers. Errors:
// `feed_errc::MalformedFeed` with the reason.
std::string encodeCursor(const feed_cursor &Cursor);
result<feed_cursor> decodeCursor(std::string_view Text);
std::string encodeUpdate(const feed_update &Update);
result<feed_update> decodeUpdate(std::string_view Text);

/// Returns the change from \p From to \p To; all routes when \p From is null.
config_change makeConfigChange(const mesh::mesh_configuration *From,
                               const mesh::mesh_configuration &To);
/// Returns the configuration after \p Change; null when it is based on another
/// version than \p From.
std::shared_ptr<const mesh::mesh_configuration>
applyConfigChange(const mesh::mesh_configuration *From,
                  const config_change &Change);

/// What a relay knows, and the changes that led there.
///
/// Changes are kept up to `MaxRemovals` removed servers and `MaxVersions`
/// configurations; a follower further behind gets the whole.
class feed_state {
public:
  explicit feed_state(std::string Life) : Epoch(std::move(Life)) {}

  void setConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next);
  void setServers(const std::vector<mesh::server_record> &Next);
  void setControlState(control_state Next);

  /// Returns what a follower at \p At lacks; nothing when it lacks nothing.
  std::optional<feed_update> changesSince(const feed_cursor &At) const;

private:
  static constexpr std::size_t MaxVersions = 16;
  static constexpr std::size_t MaxRemovals = 256;

  struct versioned_record {
    mesh::server_record Record;
    std::uint64_t Revision;
  };
  struct removal {
    node_id Node;
    std::uint64_t Revision;
  };

  std::string Epoch;
  std::deque<std::shared_ptr<const mesh::mesh_configuration>> Versions;
  std::map<node_id, versioned_record> Servers;
  std::deque<removal> Removals;
  /// Followers below it may lack a removal that is forgotten.
  std::uint64_t MinDeltaRevision = 0;
  std::uint64_t ServersRevision = 0;
  std::uint64_t ControlRevision = 0;
  control_state ControlState;
};

} // namespace gentianlug::gateway

template <>
struct std::is_error_code_enum<gentianlug::gateway::feed_errc>
    : std::true_type {};

#endif // GENTIANLUG_GATEWAY_MESH_FEED_H
