#ifndef GENTIANLUG_STORE_CONFIG_HEAD_H
#define GENTIANLUG_STORE_CONFIG_HEAD_H

#include "gentianlug/config/parts.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <string>
#include <vector>

namespace gentianlug::store {

/// An accepted version: its content, and who accepted it and why.
struct accepted_version {
  config_version Version = 0;
  std::string ManifestHash;
  std::string Author;
  std::string Reason;
  wall_time AcceptedAt;
  std::string WriteId;

  bool operator==(const accepted_version &) const = default;
};

/// Value of `live/config`: the newest accepted version.
struct config_head {
  config_version Version = 0;
  std::string ManifestHash;
  std::string Author;
  std::string Reason;
  wall_time AcceptedAt;
  std::string WriteId;
  /// Previously accepted versions, newest first; see `MaxRetainedVersions`.
  std::vector<accepted_version> EarlierVersions = {};

  bool operator==(const config_head &) const = default;
};

/// Configuration parts of one site in a version.
struct site_manifest {
  std::string RootHash;
  config::part_hashes Parts;
};

/// Value of the object that `config_head::ManifestHash` refers to: the
/// configuration parts of every site.
struct config_manifest {
  std::map<site_name, site_manifest> Sites;
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_CONFIG_HEAD_H
