#ifndef GENTIANLUG_CORE_IDS_H
#define GENTIANLUG_CORE_IDS_H

#include "gentianlug/core/strong_id.h"

#include <cstdint>

namespace gentianlug {

using node_id = strong_id<struct node_id_tag>;
using zone_name = strong_id<struct zone_name_tag>;
using region_name = strong_id<struct region_name_tag>;
using site_name = strong_id<struct site_name_tag>;
using service_name = strong_id<struct service_name_tag>;
using version_name = strong_id<struct version_name_tag>;
using route_name = strong_id<struct route_name_tag>;
using customer_name = strong_id<struct customer_name_tag>;
using account_name = strong_id<struct account_name_tag>;
using call_id = strong_id<struct call_id_tag>;

/// Version of an accepted configuration; 0 means that none is known.
using config_version = std::uint64_t;

/// Revision of an object in the platform store; 0 means that it does not exist.
using object_revision = std::uint64_t;

/// Identifies one run of a process or server; increases with each restart.
using incarnation_number = std::uint64_t;

} // namespace gentianlug

#endif // GENTIANLUG_CORE_IDS_H
