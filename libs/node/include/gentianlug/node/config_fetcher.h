#ifndef GENTIANLUG_NODE_CONFIG_FETCHER_H
#define GENTIANLUG_NODE_CONFIG_FETCHER_H

#include "gentianlug/config/model.h"
#include "gentianlug/config/parts.h"
#include "gentianlug/store/config_head.h"
#include "gentianlug/store/object_store.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// A configuration version with the parts from which it was assembled.
struct fetched_configuration {
  std::shared_ptr<const config::versioned_configuration> Configuration;
  config::part_map Parts;
};

/// Reads accepted configuration versions of one site from the platform.
///
/// Parts of the last complete version are cached by their hash and not read
/// again.
class config_fetcher {
public:
  using callback = std::function<void(result<fetched_configuration>)>;

  config_fetcher(store::object_store &Store, site_name Site);
  ~config_fetcher();

  /// Reads, assembles and validates the version that \p Head refers to. A fetch
  /// in progress is abandoned, and its callback is not called.
  ///
  /// Errors: `config_errc::UnknownSite`, `MissingPart`, `HashMismatch`,
  /// `InvalidConfiguration`, or an error of the platform.
  void fetch(const store::config_head &Head, callback Done);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONFIG_FETCHER_H
