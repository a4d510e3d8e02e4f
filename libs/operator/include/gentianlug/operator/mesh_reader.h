#ifndef GENTIANLUG_OPERATOR_MESH_READER_H
#define GENTIANLUG_OPERATOR_MESH_READER_H

#include "gentianlug/config/parts.h"
#include "gentianlug/operator/sync_store.h"
#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/store/acceptance.h"
#include "gentianlug/store/zone_state.h"
#include "gentianlug/store/zone_status.h"

#include <set>

namespace gentianlug::operator_cli {

// Functions that read and decode objects of the platform's store. All return
// `operator_errc::PlatformDown` when the platform does not respond, and
// `operator_errc::Refused` when a required object is missing or malformed.

/// Reads `live/config`; version and revision are 0 before the first version is
/// accepted.
result<store::observed_head> readHead(sync_store &Store);

result<store::config_manifest> readManifest(sync_store &Store,
                                            const std::string &Hash);

/// Reads one site of a version.
///
/// \param Known parts that are used instead of reading them, for example those
/// of a compiled configuration to compare with.
result<config::site_configuration> readSite(sync_store &Store,
                                            const store::site_manifest &Site,
                                            const config::part_map &Known);

/// Reads all sites of a version.
///
/// \param Known parts that are used instead of reading them; see `readSite`.
result<std::vector<config::site_configuration>>
readSites(sync_store &Store, const std::string &ManifestHash,
          const config::part_map &Known);

/// Reads the names of the zones in all sites of the active version.
result<std::set<zone_name>> readZoneNames(sync_store &Store,
                                          const store::config_head &Head);

/// Reports of the nodes, by zone, about their active configuration.
struct status_view {
  std::vector<store::zone_status> Zones;
  /// Keys of objects with malformed values.
  std::vector<std::string> MalformedKeys;
  object_revision Revision = 0;
};
result<status_view> readStatus(sync_store &Store);

/// States of all rollouts.
struct rollouts_view {
  std::vector<rollout::rollout_state> Rollouts;
  /// Keys of objects with malformed values.
  std::vector<std::string> MalformedKeys;
};
result<rollouts_view> readRollouts(sync_store &Store);

/// Reads `live/zones`; without this object all zones are in service.
result<store::zone_state> readZoneState(sync_store &Store);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_MESH_READER_H
