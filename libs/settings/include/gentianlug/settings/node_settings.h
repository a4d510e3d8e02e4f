#ifndef GENTIANLUG_SETTINGS_NODE_SETTINGS_H
#define GENTIANLUG_SETTINGS_NODE_SETTINGS_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"
#include "gentianlug/core/result.h"

#include <string>
#include <vector>

namespace gentianlug::settings {

/// Maximum number of seed peers.
inline constexpr std::size_t MaxSeedPeers = 16;

/// Method for evaluating a new version during a rollout. `Fixed` uses fixed
/// thresholds and serves as the baseline in experiments.
enum class evaluator_kind : std::uint8_t { Sequential, FixedThreshold };

/// Settings of a node process; see docs/settings.md for a description of each
/// key.
struct node_settings {
  node_id Node;
  site_name Site;
  region_name Region;
  zone_name Zone;
  address CallerListen;
  address PeerListen;
  /// Address at which other nodes reach the peer listener. Differs from
  /// `PeerListen` only if connections pass through a relay.
  address PeerAddress;
  address ControlListen;
  address AdminListen;
  address Platform;
  std::vector<address> SeedPeers;
  std::uint64_t Seed = 0;
  evaluator_kind EvaluatorKind = evaluator_kind::Sequential;
};

/// Parses and validates the settings of a node.
///
/// \param Text JSON with comments.
/// \param File name of the source, used in error messages only.
/// \returns the settings, or an error that lists all invalid fields.
result<node_settings> parseNodeSettings(std::string_view Text,
                                        const std::string &File);

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_NODE_SETTINGS_H
