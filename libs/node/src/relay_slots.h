#ifndef GENTIANLUG_NODE_RELAY_SLOTS_H
#define GENTIANLUG_NODE_RELAY_SLOTS_H

#include "gentianlug/distribution/relay_directory.h"
#include "gentianlug/store/object_store.h"

namespace gentianlug::node {

/// Decodes the relay leases in a listing. Malformed leases are skipped.
std::vector<distribution::relay_slot>
readRelaySlots(const store::object_list &List);

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RELAY_SLOTS_H
