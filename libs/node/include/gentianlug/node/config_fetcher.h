#ifndef GENTIANLUG_NODE_CONFIG_FETCHER_H
#define GENTIANLUG_NODE_CONFIG_FETCHER_H

#include "gentianlug/config/model.h"
#include "gentianlug/config/parts.h"
#include "gentianlug/store/config_head.h"
#include "gentianlug/store/object_store.h"

#include <functional>
#include <memory>

namespace gentianlug::node {

/// A version with the parts that it was assembled from.
struct fetched_configuration {
  std::shared_ptr<const config::versioned_configuration> Configuration;
  config::part_map Parts;
};

/// Reads accepted versions of one site from the platform.
///
/// Parts already known by hash are not read again.
class config_fetcher {
public:
  using callback = std::function<void(result<fetched_configuration>)>;

  config_fetcher(store::object_store &Store, site_name Site);
  ~config_fetcher();

  /// Reads, assembles and checks the version that \p Head names. A fetch still
  /// under way is abandoned and its callback does not run.
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
