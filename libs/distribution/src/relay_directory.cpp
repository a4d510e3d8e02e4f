#include "gentianlug/distribution/relay_directory.h"

namespace gentianlug::distribution {

/// Time between two listings after which the expiry times of all slots are
/// reset, because renewals may have been missed. The usual time is a few
/// seconds.
static constexpr std::chrono::milliseconds MaxListingGap{10000};

void relay_directory::onListing(const std::vector<relay_slot> &Listing,
                                steady_time Now) {
  bool ListingsMissed = Now - LastListing >= MaxListingGap;
  std::map<slot_key, observed_slot> Next;
  for (const relay_slot &Slot : Listing) {
    slot_key Key{Slot.Zone, Slot.Slot};
    auto Previous = Slots.find(Key);
    bool Same = !ListingsMissed && Previous != Slots.end() &&
                Previous->second.Slot.Revision == Slot.Revision;
    Next[Key] = {Slot, Same ? Previous->second.RevisionSince : Now};
  }
  Slots = std::move(Next);
  LastListing = Now;
}

std::vector<relay_entry> relay_directory::relays(steady_time Now) const {
  // While listings fail, the last known holders keep their role.
  steady_time ExpiryTime = std::min(Now, LastListing);
  std::vector<relay_entry> Relays;
  for (const auto &[Key, Observed] : Slots)
    if (isLive(Observed, ExpiryTime))
      Relays.push_back({Observed.Slot.Holder, Observed.Slot.Zone,
                        Observed.Slot.ControlAddress});
  return Relays;
}

std::optional<std::uint32_t> relay_directory::freeSlot(const zone_name &Zone,
                                                       steady_time Now,
                                                       generator &Gen) const {
  std::vector<std::uint32_t> Free;
  for (std::uint32_t Slot = 0; Slot < RelaySlotsPerZone; ++Slot) {
    auto Entry = Slots.find({Zone, Slot});
    if (Entry == Slots.end() ||
        !isLive(Entry->second, std::min(Now, LastListing)))
      Free.push_back(Slot);
  }
  if (Free.empty())
    return std::nullopt;
  return Free[drawIndex(Gen, Free.size())];
}

bool relay_directory::holdsLowestSlot(const node_id &Node,
                                      const zone_name &Zone,
                                      steady_time Now) const {
  for (const auto &[Key, Observed] : Slots)
    if (Key.first == Zone && isLive(Observed, std::min(Now, LastListing)))
      return Observed.Slot.Holder == Node;
  return false;
}

} // namespace gentianlug::distribution
