#include "gentianlug/distribution/relay_directory.h"

namespace gentianlug::distribution {

/// Listings come every few seconds; after a longer pause the times of the
/// slots start again, because renewals may have been missed.
static constexpr std::chrono::milliseconds MaxListingGap{10000};

void relay_directory::onListing(const std::vector<relay_slot> &Listed,
                                steady_time Now) {
  bool Gap = Now - LastListing >= MaxListingGap;
  std::map<slot_key, observed_slot> Next;
  for (const relay_slot &Slot : Listed) {
    slot_key Key{Slot.Zone, Slot.Slot};
    auto Known = Slots.find(Key);
    bool Same = !Gap && Known != Slots.end() &&
                Known->second.Slot.Revision == Slot.Revision;
    Next[Key] = {Slot, Same ? Known->second.RevisionSince : Now};
  }
  Slots = std::move(Next);
  LastListing = Now;
}

std::vector<relay_entry> relay_directory::relays(steady_time Now) const {
  // While no listing arrives, the last known holders keep their role.
  steady_time Judged = std::min(Now, LastListing);
  std::vector<relay_entry> Relays;
  for (const auto &[Key, Seen] : Slots)
    if (isLive(Seen, Judged))
      Relays.push_back(
          {Seen.Slot.Holder, Seen.Slot.Zone, Seen.Slot.ControlAddress});
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
  for (const auto &[Key, Seen] : Slots)
    if (Key.first == Zone && isLive(Seen, std::min(Now, LastListing)))
      return Seen.Slot.Holder == Node;
  return false;
}

} // namespace gentianlug::distribution
