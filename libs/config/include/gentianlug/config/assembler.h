#ifndef GENTIANLUG_CONFIG_ASSEMBLER_H
#define GENTIANLUG_CONFIG_ASSEMBLER_H

#include "gentianlug/config/parts.h"

#include <map>
#include <memory>
#include <string>

namespace gentianlug::config {

/// Puts successive versions of one site together and reads only the parts that
/// differ from the version before.
///
/// At design size a version changes every 0.5 s in the measured worst case, and
/// reading all 1,800 services each time takes more than the processor share of
/// a node.
class assembler {
public:
  /// Does the same as `config::assemble`, with the same errors.
  ///
  /// Complexity: linear in the size of the configuration, with a small factor
  /// for parts that were read before.
  result<site_configuration> assemble(const part_map &Parts,
                                      const std::string &RootHash);

private:
  using read_part = std::shared_ptr<const site_configuration>;

  /// Contents of the parts of the last version that was assembled, by hash.
  std::map<std::string, read_part> Known;
};

} // namespace gentianlug::config

#endif // GENTIANLUG_CONFIG_ASSEMBLER_H
