#ifndef GENTIANLUG_SETTINGS_NODE_SETTINGS_H
#define GENTIANLUG_SETTINGS_NODE_SETTINGS_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"
#include "gentianlug/core/result.h"

#include <string>
#include <vector>

namespace gentianlug::settings {

/// Most seed peers that the settings may name.
inline constexpr std::size_t MaxSeedPeers = 16;

/// How the verdict on a new version is found. `Fixed` is the baseline of the
/// experiments.
enum class rollout_verdict : std::uint8_t { Sequential, Fixed };

/// Settings of one node process; `docs/settings.md` documents each key.
struct node_settings {
  node_id Node;
  site_name Site;
  region_name Region;
  zone_name Zone;
  address CallerListen;
  address PeerListen;
  /// Where other nodes reach the peer listener; the listener's own address
  /// unless something relays between them.
  address PeerAddress;
  address ControlListen;
  address AdminListen;
  address Platform;
  std::vector<address> SeedPeers;
  std::uint64_t Seed = 0;
  rollout_verdict RolloutVerdict = rollout_verdict::Sequential;
};

/// Parses and checks the settings of a node.
///
/// \param Text JSON with comments.
/// \param File name of the source, for error messages.
/// \returns the settings, or an error that names every faulty field.
result<node_settings> parseNodeSettings(std::string_view Text,
                                        const std::string &File);

} // namespace gentianlug::settings

#endif // GENTIANLUG_SETTINGS_NODE_SETTINGS_H
