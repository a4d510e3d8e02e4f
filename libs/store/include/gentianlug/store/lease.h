#ifndef GENTIANLUG_STORE_LEASE_H
#define GENTIANLUG_STORE_LEASE_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"
#include "gentianlug/core/random.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace gentianlug::store {

/// Value of `lease/...`.
struct lease_value {
  /// Empty after a graceful release.
  node_id Holder;
  /// Control listener of the holder.
  address ControlAddress;
  /// Fencing token; increased by every takeover.
  std::uint64_t Epoch = 0;
  std::string WriteId;

  bool operator==(const lease_value &) const = default;
};

/// A lease and the object revision at which it was read or written.
struct observed_lease {
  lease_value Value;
  object_revision Revision = 0;
};

/// Timing parameters of a lease. A holder stops acting 2 s before a contender
/// may take over, which covers a slow renewal and different clock rates.
struct lease_times {
  /// A contender takes over if the revision has not changed for this long.
  std::chrono::milliseconds Expiry{6000};
  std::chrono::milliseconds RenewalPeriod{2000};
  /// How long a holder may act, from the start of its last successful renewal.
  std::chrono::milliseconds HoldingTime{4000};
  /// Time between two reads of a lease that another process holds.
  std::chrono::milliseconds ReadPeriod{2000};
  /// Delay after a failed operation other than a revision conflict.
  std::chrono::milliseconds RetryDelay{500};
};

enum class lease_operation : std::uint8_t { Wait, Read, Write };

/// Operation that the owner of a contender performs on the object store.
struct lease_action {
  lease_operation Operation = lease_operation::Wait;
  /// Value and expected revision of a write; revision 0 creates the object.
  lease_value Value;
  object_revision ExpectedRevision = 0;
};

/// Decides when a process reads, acquires, renews and releases one lease.
///
/// The owner calls `next` from a timer, performs the returned operation and
/// reports its outcome through exactly one of the `on...` functions.
class lease_contender {
public:
  lease_contender(node_id Self, address ControlAddress, lease_times Times = {});

  /// Returns the next operation; `Wait` while one is in progress.
  ///
  /// \param Gen source of write ids.
  lease_action next(steady_time Now, generator &Gen);

  /// The object was read; `std::nullopt` if it does not exist.
  void onRead(steady_time Now, const std::optional<observed_lease> &Lease);

  /// The write took effect.
  void onWritten(steady_time Now, object_revision Revision);

  /// The write failed because the object had another revision.
  void onConflict(steady_time Now);

  /// A read or a write received no response; a write may have taken effect.
  void onNoResponse(steady_time Now);

  /// Makes `next` renew the lease at once if this process holds it, for a
  /// holder that stores more with its lease.
  void requestRenewal() { RenewalRequested = true; }

  /// Makes `next` return a write that releases the lease if this process holds
  /// it. The contender does not acquire the lease again.
  void release();

  /// Returns whether this process may act under the lease.
  bool holds(steady_time Now) const;

  /// Returns whether this process is the last known holder. Unlike `holds`, it
  /// stays true while the platform is down and no process can take over.
  bool isLastKnownHolder() const { return IsHolder; }

  /// Returns the epoch under which this process holds the lease, or 0.
  std::uint64_t epoch() const {
    return IsHolder ? ObservedLease.Value.Epoch : 0;
  }

  /// Returns the lease as last read or written; `std::nullopt` before the first
  /// read or if the object does not exist.
  std::optional<observed_lease> observedLease() const;

private:
  lease_action write(steady_time Now, generator &Gen, std::uint64_t Epoch);
  bool canAcquire(steady_time Now) const;
  void setObservedLease(steady_time Now,
                        const std::optional<observed_lease> &Lease);

  node_id Self;
  address ControlAddress;
  lease_times Times;
  observed_lease ObservedLease;
  bool Exists = false;
  bool MustRead = true;
  bool OperationInFlight = false;
  bool IsHolder = false;
  bool Releasing = false;
  bool RenewalRequested = false;
  steady_time ObservedSince{};
  steady_time NextOperation{};
  steady_time HeldSince{};
  /// The write in progress, or the last one whose outcome is unknown.
  std::optional<lease_value> PendingWrite;
  steady_time PendingWriteStart{};
  /// Write id under which this process holds the lease.
  std::string LastWriteId;
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_LEASE_H
