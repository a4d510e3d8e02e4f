#ifndef GENTIANLUG_DISTRIBUTION_RELAY_DIRECTORY_H
#define GENTIANLUG_DISTRIBUTION_RELAY_DIRECTORY_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/distribution/sync_messages.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace gentianlug::distribution {

/// Number of relay slots per zone. With two relays, a zone remains served while
/// the lease of one expires; a zone of more than 544 nodes needs a third.
inline constexpr std::uint32_t RelaySlotsPerZone = 2;

/// Time without a renewal after which a listed lease is considered expired.
inline constexpr std::chrono::milliseconds SlotExpiry{6000};

/// A relay slot as found in a listing of the leases.
struct relay_slot {
  zone_name Zone;
  std::uint32_t Slot = 0;
  /// Empty if the slot was released.
  node_id Holder;
  address ControlAddress;
  object_revision Revision = 0;
};

/// Tracks the relay leases of all zones through repeated listings.
class relay_directory {
public:
  /// Records a complete listing.
  void onListing(const std::vector<relay_slot> &Slots, steady_time Now);

  /// Returns the holders of leases that have not expired.
  std::vector<relay_entry> relays(steady_time Now) const;

  /// Returns a random free or expired slot of \p Zone, or `std::nullopt` if
  /// there is none.
  std::optional<std::uint32_t> freeSlot(const zone_name &Zone, steady_time Now,
                                        generator &Gen) const;

  /// Returns whether \p Node holds the lowest live slot of \p Zone; its holder
  /// writes the status of the zone.
  bool holdsLowestSlot(const node_id &Node, const zone_name &Zone,
                       steady_time Now) const;

private:
  struct observed_slot {
    relay_slot Slot;
    /// Time since which the revision has been unchanged.
    steady_time RevisionSince{};
  };
  using slot_key = std::pair<zone_name, std::uint32_t>;

  static bool isLive(const observed_slot &Observed, steady_time Now) {
    return !Observed.Slot.Holder.empty() &&
           Now - Observed.RevisionSince < SlotExpiry;
  }

  std::map<slot_key, observed_slot> Slots;
  /// Leases expire only while listings arrive: without the platform, no relay
  /// can renew its lease and no other can take it over.
  steady_time LastListing{};
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_RELAY_DIRECTORY_H
