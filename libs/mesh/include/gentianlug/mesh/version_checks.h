#ifndef GENTIANLUG_MESH_VERSION_CHECKS_H
#define GENTIANLUG_MESH_VERSION_CHECKS_H

#include "gentianlug/mesh/version_policy.h"

#include <set>

namespace gentianlug::mesh {

/// Returns the node that corrects the stored base version of \p Service: the
/// first one by name beside a ready server of \p Version. Empty if none exists.
node_id selectBaseVersionWriter(const std::vector<server_record> &Servers,
                                const service_name &Service,
                                const version_name &Version);

/// Returns the services that have ready servers, none of them of a version that
/// may serve. Services without a known base version are left out.
std::set<service_name>
findUnreachableServices(const std::vector<server_record> &Servers,
                        const version_policy &Versions);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_VERSION_CHECKS_H
