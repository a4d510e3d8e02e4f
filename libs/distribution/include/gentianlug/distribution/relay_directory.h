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

/// Relay slots of a zone. Two relays keep a zone served while one lease
/// expires; a zone of more than 544 nodes needs a third.
inline constexpr std::uint32_t RelaySlotsPerZone = 2;

/// A lease that a listing showed for this long without renewal is expired.
inline constexpr std::chrono::milliseconds SlotExpiry{6000};

/// One relay slot as a listing of the leases shows it.
struct relay_slot {
  zone_name Zone;
  std::uint32_t Slot = 0;
  /// Empty when the slot was given up.
  node_id Holder;
  address ControlAddress;
  object_revision Revision = 0;
};

/// The relay leases of all zones as seen in repeated listings.
class relay_directory {
public:
  /// Notes a complete listing.
  void onListing(const std::vector<relay_slot> &Slots, steady_time Now);

  /// Returns the holders of leases that have not expired.
  std::vector<relay_entry> relays(steady_time Now) const;

  /// Returns a free or expired slot of \p Zone, drawn among several.
  std::optional<std::uint32_t> freeSlot(const zone_name &Zone, steady_time Now,
                                        generator &Gen) const;

  /// Returns whether \p Node holds the lowest live slot of \p Zone, which
  /// makes it the writer of the zone's status.
  bool holdsLowestSlot(const node_id &Node, const zone_name &Zone,
                       steady_time Now) const;

private:
  struct observed_slot {
    relay_slot Slot;
    /// Since when the revision has been the same.
    steady_time RevisionSince{};
  };
  using slot_key = std::pair<zone_name, std::uint32_t>;

  static bool isLive(const observed_slot &Seen, steady_time Now) {
    return !Seen.Slot.Holder.empty() && Now - Seen.RevisionSince < SlotExpiry;
  }

  std::map<slot_key, observed_slot> Slots;
  /// Expiry is judged only while listings arrive: without the platform nobody
  /// renews and nobody can take over.
  steady_time LastListing{};
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_RELAY_DIRECTORY_H
