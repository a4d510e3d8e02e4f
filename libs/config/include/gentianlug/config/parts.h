#ifndef GENTIANLUG_CONFIG_PARTS_H
#define GENTIANLUG_CONFIG_PARTS_H

#include "gentianlug/config/check.h"
#include "gentianlug/config/model.h"
#include "gentianlug/core/result.h"

#include <map>
#include <string>

namespace gentianlug::config {

/// Number of shards that the services of one site are distributed over.
inline constexpr std::size_t ServiceShardCount = 64;

/// Maximum size of a part's text in bytes. The platform stores values of up to
/// 1 MiB; the remainder is reserved for the message that carries the value.
inline constexpr std::size_t MaxPartBytes = 1000000;

/// A content-addressed piece of a configuration, as canonical JSON text.
struct part {
  std::string Hash;
  std::string Text;
};

/// Parts by name: "site" (zones and customers) and "services/NN" (services with
/// their routes and rollouts). A shard larger than `MaxPartBytes` is split into
/// "services/NN", "services/NN.1", "services/NN.2" and so on.
using part_map = std::map<std::string, part>;

/// Part names and their hashes, without the texts.
using part_hashes = std::map<std::string, std::string>;

/// Splits a configuration into parts. The result is deterministic: equal
/// configurations give equal parts.
///
/// Complexity: linear in the size of the configuration.
part_map splitIntoParts(const site_configuration &Configuration);

/// Returns a fault for each part that exceeds `MaxPartBytes` and cannot be
/// split further.
std::vector<config_fault>
checkPartSizes(const site_configuration &Configuration);

/// Returns the hash over the names and hashes of all parts.
std::string rootHash(const part_hashes &Hashes);

/// Returns the hashes of \p Parts by part name.
part_hashes hashesOf(const part_map &Parts);

/// Assembles a configuration from its parts and validates it as a whole.
///
/// \param RootHash the root hash recorded for the accepted version.
/// \returns the configuration, or `config_errc::HashMismatch`, `MalformedPart`
/// or `InvalidConfiguration`.
result<site_configuration> assemble(const part_map &Parts,
                                    const std::string &RootHash);

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_PARTS_H
