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

/// The part of a node that talks to the platform: contends for a relay lease
/// and, as its holder, watches `liveValues/`, lists the leases, and writes the
/// status of the zone.
class relay_role {
public:
  struct outputs {
    /// This node became a root relay.
    std::function<void()> LeaseAcquired;
    /// Another node took the lease over.
    std::function<void()> LeaseLost;
    /// The platform reported something new.
    std::function<void(const distribution::update_outcome &)> Changed;
    /// A relay slot of the own zone is free.
    std::function<void(std::uint32_t Slot)> SlotFree;
    /// The relay leases were listed.
    std::function<void()> Listed;
    /// The first complete reading of the platform has ended.
    std::function<void()> InitialReadDone;
    /// What the zone's status shall say.
    std::function<distribution::subtree_report()> Report;
  };

  relay_role(control_context &Context, outputs Outputs);

  /// Lists the relay leases once; the callback gets the live relays. A zone
  /// without a live relay makes this node contend for a slot.
  void findRelays(
      const std::function<void(result<std::vector<distribution::relay_entry>>)>
          &Done);

  /// Starts to contend for a slot, unless a contention is under way.
  void contend(std::uint32_t Slot);

  /// Contends for a slot whose holder does not answer.
  void contendForAny();

  bool isRoot() const { return Root; }

  /// Returns whether the last reading or watch of the platform failed.
  bool isPlatformUnreachable() const { return PlatformUnreachable; }

  /// Returns the live relays of the last listing.
  std::vector<distribution::relay_entry> relays() const {
    return Directory.relays(Context.now());
  }

  /// Notes that the zone's status may have changed.
  void onReportChanged();

  /// Frees the lease, for a planned stop.
  void release();

private:
  void stepLease();
  void readLease(const std::string &Key);
  void writeLease(const std::string &Key, const store::lease_action &Action);
  void onLeaseOutcome();
  void endContention();
  void becomeRoot();
  void loseRoot();
  void listLeases();
  void readLive();
  void watchLive();
  void onLive(const std::string &Key, const std::optional<std::string> &Value,
              object_revision Revision);
  void onHead(const std::string &Value);
  void fetch(const store::config_head &Head);
  void onFetched(const store::config_head &Head,
                 const result<fetched_configuration> &Fetched);
  void refuse(config_version Version, const error &Reason);
  void writeStatus();
  void platformFailed(const error &Failure);

  control_context &Context;
  outputs Outputs;
  config_fetcher Fetcher;
  distribution::relay_directory Directory;
  std::optional<store::lease_contender> Contender;
  std::uint32_t Slot = 0;
  steady_time ContentionStart{};
  /// First revision that the contention saw.
  std::optional<object_revision> ContentionRevision;
  bool Root = false;
  /// Answers to operations of an earlier term as root are ignored.
  std::uint64_t Term = 0;
  net::timer LeaseTimer;
  net::timer ListTimer;
  net::timer WatchRetry;
  net::timer FetchRetry;
  net::timer StatusTimer;
  bool StatusPending = false;
  std::optional<store::zone_status> LastStatus;
  steady_time LastStatusWrite{};
  object_revision Watched = 0;
  bool FirstReading = true;
  bool PlatformUnreachable = false;
  std::optional<store::config_head> Fetching;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_RELAY_ROLE_H
