#ifndef GENTIANLUG_GATEWAY_MESH_FEED_H
#define GENTIANLUG_GATEWAY_MESH_FEED_H

#include "gentianlug/core/result.h"
#include "gentianlug/gateway/mesh_store.h"

#include <deque>
#include <string>
#include <string_view>

namespace gentianlug::gateway {

/// Errors of the feed protocol between a relay and its followers.
enum class feed_errc {
  MalformedFeed = 1101,
};

std::error_code make_error_code(feed_errc Code);

/// State that a follower has already received from its relay.
struct feed_cursor {
  /// Random id of the relay process. The revisions are only comparable within
  /// one epoch; the configuration version is the same at every relay.
  std::string Epoch;
  config_version ConfigVersion = 0;
  std::uint64_t ServersRevision = 0;
  std::uint64_t ControlRevision = 0;

  friend bool operator==(const feed_cursor &, const feed_cursor &) = default;
};

/// Base versions of the services, rollouts, and zones out of service.
///
/// The data is small, so it is always sent as a whole.
struct control_state {
  std::map<service_name, mesh::base_version> BaseVersions;
  std::vector<mesh::rollout_record> Rollouts;
  std::set<zone_name> ZonesOutOfService;
};

/// Difference between two versions of the configuration.
struct config_change {
  config_version Version = 0;
  /// Version that the change applies to; 0 if `Routes` holds all routes.
  config_version BaseVersion = 0;
  std::vector<mesh::route> Routes;
  std::vector<route_name> RemovedRoutes;
  std::vector<mesh::service> Services;
  mesh::caller_limits Limits;
  bool RequiresApiKeys = false;
  /// Changed accounts, sorted by name; all accounts if `BaseVersion` is 0.
  mesh::account_list Accounts;
  /// Sorted by name.
  std::vector<account_name> RemovedAccounts;
};

/// Response of a relay to a poll: everything that changed since the cursor of
/// the follower.
struct feed_update {
  feed_cursor Cursor;
  std::optional<config_change> Config;
  /// Whether `Servers` holds all servers instead of only the changed ones.
  bool FullServerList = false;
  std::vector<mesh::server_record> Servers;
  std::vector<node_id> RemovedServers;
  std::optional<control_state> ControlState;
};

// Codecs of the feed protocol. The decoders return
// `feed_errc::MalformedFeed` with the reason.
std::string encodeCursor(const feed_cursor &Cursor);
result<feed_cursor> decodeCursor(std::string_view Text);
std::string encodeUpdate(const feed_update &Update);
result<feed_update> decodeUpdate(std::string_view Text);

/// Returns the difference between \p From and \p To, or all of \p To if
/// \p From is null.
config_change makeConfigChange(const mesh::mesh_configuration *From,
                               const mesh::mesh_configuration &To);
/// Applies \p Change to \p From.
///
/// \returns null if \p Change is based on a version other than \p From.
std::shared_ptr<const mesh::mesh_configuration>
applyConfigChange(const mesh::mesh_configuration *From,
                  const config_change &Change);

/// Current state of a node with a bounded change history, from which a relay
/// computes the updates for its followers.
///
/// The history holds `MaxRemovals` removed servers and `MaxConfigurations`
/// configurations; followers with an older cursor receive the full state.
class feed_state {
public:
  explicit feed_state(std::string Epoch) : Epoch(std::move(Epoch)) {}

  void setConfiguration(std::shared_ptr<const mesh::mesh_configuration> Next);
  void setServers(const std::vector<mesh::server_record> &Next);
  void setControlState(control_state Next);

  /// Returns the changes since \p Cursor, or nothing if there are none.
  std::optional<feed_update> changesSince(const feed_cursor &Cursor) const;

private:
  static constexpr std::size_t MaxConfigurations = 16;
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
  std::deque<std::shared_ptr<const mesh::mesh_configuration>> Configurations;
  std::map<node_id, versioned_record> Servers;
  std::deque<removal> Removals;
  /// Followers below this revision may miss a removal that is no longer in
  /// the history, so they receive the full list.
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
