#include "relay_slots.h"

#include "gentianlug/store/keys.h"
#include "gentianlug/wire/lease_values.h"

#include <cstdlib>
#include <string_view>

namespace gentianlug::node {

std::vector<distribution::relay_slot>
readRelaySlots(const store::object_list &List) {
  std::vector<distribution::relay_slot> Slots;
  std::string_view Prefix = store::RelayLeasePrefix;
  for (const store::object &Object : List.Objects) {
    std::size_t Slash = Object.Key.rfind('/');
    auto Lease = wire::decodeLeaseValue(Object.Value);
    if (!Lease || Slash == std::string::npos || Slash <= Prefix.size())
      continue;
    distribution::relay_slot Slot;
    Slot.Zone =
        zone_name(Object.Key.substr(Prefix.size(), Slash - Prefix.size()));
    Slot.Slot = std::uint32_t(
        std::strtoul(Object.Key.c_str() + Slash + 1, nullptr, 10));
    Slot.Holder = Lease->Holder;
    Slot.ControlAddress = Lease->ControlAddress;
    Slot.Revision = Object.Revision;
    Slots.push_back(std::move(Slot));
  }
  return Slots;
}

} // namespace gentianlug::node
