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
  /// Fencing token; a takeover raises it.
  std::uint64_t Epoch = 0;
  std::string WriteId;

  bool operator==(const lease_value &) const = default;
};

/// A lease as it was read, with the revision of its object.
struct observed_lease {
  lease_value Value;
  object_revision Revision = 0;
};

/// Times of a lease. A holder stops acting before a contender may take over,
/// with 2 s to spare for a slow renewal and a difference of clock rates.
struct lease_times {
  /// A contender takes over when it has seen one revision for this long.
  std::chrono::milliseconds Expiry{6000};
  std::chrono::milliseconds RenewalPeriod{2000};
  /// Counted from the start of the last successful renewal.
  std::chrono::milliseconds HoldingTime{4000};
  /// Between two reads of a lease that somebody else holds.
  std::chrono::milliseconds ReadPeriod{2000};
  /// Delay after an operation that failed or lost a race.
  std::chrono::milliseconds RetryDelay{500};
};

enum class lease_operation : std::uint8_t { Wait, Read, Write };

/// What the owner of a contender does next with the object store.
struct lease_action {
  lease_operation Operation = lease_operation::Wait;
  /// Value and expected revision of a write; revision 0 creates the object.
  lease_value Value;
  object_revision ExpectedRevision = 0;
};

/// Decides when one process reads, takes, renews and gives up one lease.
///
/// The owner calls `next` from a timer, performs the action, and reports its
/// outcome by exactly one of the `on` functions before the next action.
class lease_contender {
public:
  lease_contender(node_id Self, address Control, lease_times Times = {});

  /// Returns the next operation; `Wait` while one is under way.
  ///
  /// \param Gen source of write ids and of the jitter of reads.
  lease_action next(steady_time Now, generator &Gen);

  /// The object was read; nothing when it does not exist.
  void onRead(steady_time Now, const std::optional<observed_lease> &Lease);

  /// The write took effect.
  void onWritten(steady_time Now, object_revision Revision);

  /// The write failed because the revision differed.
  void onConflict(steady_time Now);

  /// No answer to a read or a write; a write may have taken effect.
  void onNoAnswer(steady_time Now);

  /// Makes `next` return a write that frees the lease, if this process holds
  /// it. The contender takes no lease after that.
  void release();

  /// Returns whether this process may act under the lease.
  bool holds(steady_time Now) const;

  /// Returns whether this process was the last known holder. Unlike `holds`
  /// it stays true while the platform is down and nobody can take over.
  bool isLastKnownHolder() const { return IsHolder; }

  /// Returns the epoch under which this process holds the lease.
  std::uint64_t epoch() const {
    return IsHolder ? ObservedLease.Value.Epoch : 0;
  }

  /// Returns the lease as last read or written; nothing before that, or when
  /// the object does not exist.
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
  steady_time ObservedSince{};
  steady_time NextOperation{};
  steady_time HeldSince{};
  /// The write under way, or the one whose answer was lost.
  std::optional<lease_value> PendingWrite;
  steady_time PendingWriteStart{};
  /// Write id under which this process holds the lease.
  std::string LastWriteId;
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_LEASE_H
