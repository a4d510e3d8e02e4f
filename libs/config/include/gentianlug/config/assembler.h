#ifndef GENTIANLUG_CONFIG_ASSEMBLER_H
#define GENTIANLUG_CONFIG_ASSEMBLER_H

#include "gentianlug/config/parts.h"

#include <map>
#include <memory>
#include <string>

namespace gentianlug::config {

/// Assembles successive configuration versions of one site and parses only the
/// parts that changed since the previous version.
///
/// At the design scale a new version arrives up to every 0.5 s, and parsing all
/// 1,800 services each time would exceed the CPU budget of a node.
class assembler {
public:
  /// Gives the same configuration as `config::assemble` for parts that
  /// `splitIntoParts` made. Errors can differ: a missing "site" part is
  /// reported as `config_errc::MissingPart`.
  ///
  /// Complexity: linear in the size of the configuration, with a small constant
  /// factor for parts that are already parsed.
  result<site_configuration> assemble(const part_map &Parts,
                                      const std::string &RootHash);

private:
  using parsed_part = std::shared_ptr<const site_configuration>;

  /// Parsed parts of the last successfully assembled version, by content hash.
  std::map<std::string, parsed_part> ParsedParts;
};

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_ASSEMBLER_H
