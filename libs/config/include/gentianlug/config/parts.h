#ifndef GENTIANLUG_CONFIG_PARTS_H
#define GENTIANLUG_CONFIG_PARTS_H

#include "gentianlug/config/check.h"
#include "gentianlug/config/model.h"
#include "gentianlug/core/result.h"

#include <map>
#include <string>

namespace gentianlug::config {

/// Shards that the services of one site are cut into.
inline constexpr std::size_t ServiceShards = 64;

/// Largest text of a part, in bytes. The platform holds values up to 1 MiB; the
/// rest is room for the message around the value.
inline constexpr std::size_t MaxPartBytes = 1000000;

/// A content-addressed piece of a configuration, as canonical JSON text.
struct part {
  std::string Hash;
  std::string Text;
};

/// Parts by name: "site" (zones, customers), "services/NN" (services with
/// their routes and rollouts). A shard larger than `MaxPartBytes` is cut into
/// "services/NN", "services/NN.1", "services/NN.2" and so on.
using part_map = std::map<std::string, part>;

/// Part names and their hashes, without the texts.
using part_hashes = std::map<std::string, std::string>;

/// Cuts a configuration into parts. Equal configurations give equal parts.
///
/// Complexity: linear in the size of the configuration.
part_map cutIntoParts(const site_configuration &Configuration);

/// Returns the parts that no cut makes small enough for the platform.
std::vector<config_fault> checkSizes(const site_configuration &Configuration);

/// Returns the hash over names and hashes of all parts.
std::string rootHash(const part_hashes &Hashes);

/// Returns the hashes of \p Parts.
part_hashes hashesOf(const part_map &Parts);

/// Puts a configuration together and checks it as a whole.
///
/// \param RootHash the hash that the accepted version names.
/// \returns the configuration, or `config_errc::HashMismatch`, `MalformedPart`
/// or `InvalidConfiguration`.
result<site_configuration> assemble(const part_map &Parts,
                                    const std::string &RootHash);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_PARTS_H
