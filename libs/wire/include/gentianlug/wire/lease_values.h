#ifndef GENTIANLUG_WIRE_LEASE_VALUES_H
#define GENTIANLUG_WIRE_LEASE_VALUES_H

#include "gentianlug/core/result.h"
#include "gentianlug/store/lease.h"

#include <string>
#include <string_view>

namespace gentianlug::wire {

/// Decodes the value of a lease object. Returns `wire_errc::MalformedMessage`
/// on error.
result<store::lease_value> decodeLeaseValue(std::string_view Text);
std::string encode(const store::lease_value &Lease);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_LEASE_VALUES_H
