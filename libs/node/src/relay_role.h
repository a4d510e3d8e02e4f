#ifndef GENTIANLUG_NODE_RELAY_ROLE_H
#define GENTIANLUG_NODE_RELAY_ROLE_H

#include "control_context.h"
#include "gentianlug/distribution/relay_directory.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/node/config_fetcher.h"
#include "gentianlug/store/lease.h"
#include "gentianlug/store/zone_status.h"

#include <functional>
#include <memory>
#include <optional>

namespace gentianlug::node {

/// Contends for a relay lease on the platform. While this node holds a lease
/// and thus is a root relay, it watches `live/` on the platform, lists the
/// relay leases, and writes the status of its zone.
class relay_role {
public:
  struct outputs {
    /// This node became a root relay.
    std::function<void()> LeaseAcquired;
    /// Another node acquired the lease.
    std::function<void()> LeaseLost;
    /// The platform provided a new configuration or live value, or a
    /// configuration version was refused.
    std::function<void(const distribution::update_outcome &)> Changed;
    /// A relay slot of the own zone is free.
    std::function<void(std::uint32_t Slot)> SlotFree;
    /// A listing of the relay leases completed.
    std::function<void()> LeasesListed;
    /// The first complete read of `live/`, including the configuration, has
    /// finished.
    std::function<void()> InitialReadDone;
    /// Returns the report for the status of the zone.
    std::function<distribution::subtree_report()> Report;
  };

  relay_role(control_context &Context, outputs Outputs);

  /// Lists the relay leases once and passes the live relays to the callback. If
  /// the own zone has no live relay, this node contends for a slot.
  void findRelays(
      const std::function<void(result<std::vector<distribution::relay_entry>>)>
          &Done);

  /// Starts to contend for a slot, unless this node is already contending or
  /// holds a lease.
  void contendForSlot(std::uint32_t Slot);

  /// Contends for a free slot of the own zone, or for a random one if no slot
  /// is known to be free.
  void contendForAnySlot();

  bool isRoot() const { return IsRoot; }

  /// Returns whether the last read or watch of the platform failed.
  bool isPlatformUnreachable() const { return PlatformUnreachable; }

  /// Returns the live relays according to the last listing.
  std::vector<distribution::relay_entry> relays() const {
    return Directory.relays(Context.now());
  }

  /// Schedules a write of the zone's status after a change of the report.
  void onReportChanged();

  /// Releases the lease for a planned stop.
  void release();

private:
  void stepLease();
  void readLease(const std::string &Key);
  void writeLease(const std::string &Key, const store::lease_action &Action);
  void onLeaseOutcome();
  void endContention();
  void onLeaseAcquired();
  void onLeaseLost();
  void listLeases();
  void readLiveValues();
  void watchLiveValues();
  void onLiveValue(const std::string &Key,
                   const std::optional<std::string> &Value,
                   object_revision Revision);
  void onConfigHead(const std::string &Value);
  void fetchConfiguration(const store::config_head &Head);
  void onFetched(const store::config_head &Head,
                 const result<fetched_configuration> &Fetched);
  void refuseVersion(config_version Version, const error &Reason);
  void writeStatus();
  void onPlatformFailure(const error &Failure);

  control_context &Context;
  outputs Outputs;
  config_fetcher Fetcher;
  distribution::relay_directory Directory;
  std::optional<store::lease_contender> Contender;
  std::uint32_t Slot = 0;
  steady_time ContentionStart{};
  /// Revision of the lease at the first read in this contention.
  std::optional<object_revision> InitialLeaseRevision;
  bool IsRoot = false;
  /// Incremented when this node becomes or ceases to be a root relay; responses
  /// to operations of an earlier term are ignored.
  std::uint64_t Term = 0;
  net::timer LeaseTimer;
  net::timer ListTimer;
  net::timer WatchRetryTimer;
  net::timer FetchRetryTimer;
  net::timer StatusTimer;
  bool StatusPending = false;
  std::optional<store::zone_status> LastStatus;
  steady_time LastStatusWrite{};
  object_revision WatchedRevision = 0;
  bool InitialReadPending = true;
  bool PlatformUnreachable = false;
  std::optional<store::config_head> PendingHead;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RELAY_ROLE_H
