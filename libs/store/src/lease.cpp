#include "gentianlug/store/lease.h"

namespace gentianlug::store {

lease_contender::lease_contender(node_id Self, address ControlAddress,
                                 lease_times Times)
    : Self(std::move(Self)), ControlAddress(std::move(ControlAddress)),
      Times(Times) {}

lease_action lease_contender::next(steady_time Now, generator &Gen) {
  if (OperationInFlight || Now < NextOperation)
    return {};
  if (MustRead) {
    OperationInFlight = true;
    return {lease_operation::Read, {}, 0};
  }
  if (IsHolder) {
    if (!Releasing && !RenewalRequested &&
        Now - HeldSince < Times.RenewalPeriod)
      return {};
    return write(Now, Gen, ObservedLease.Value.Epoch);
  }
  if (Releasing)
    return {};
  if (canAcquire(Now))
    return write(Now, Gen, ObservedLease.Value.Epoch + 1);
  OperationInFlight = true;
  return {lease_operation::Read, {}, 0};
}

bool lease_contender::canAcquire(steady_time Now) const {
  if (!Exists || ObservedLease.Value.Holder.empty() ||
      ObservedLease.Value.Holder == Self)
    return true;
  return Now - ObservedSince >= Times.Expiry;
}

lease_action lease_contender::write(steady_time Now, generator &Gen,
                                    std::uint64_t Epoch) {
  lease_value Value{Releasing ? node_id() : Self, ControlAddress, Epoch,
                    drawHexId(Gen)};
  OperationInFlight = true;
  RenewalRequested = false;
  PendingWriteStart = Now;
  PendingWrite = Value;
  return {lease_operation::Write, Value, Exists ? ObservedLease.Revision : 0};
}

void lease_contender::setObservedLease(
    steady_time Now, const std::optional<observed_lease> &Lease) {
  bool Same = Exists && Lease && Lease->Revision == ObservedLease.Revision;
  // The time starts when the response arrives, so that a slow response never
  // makes a revision look older than it is.
  if (!Same)
    ObservedSince = Now;
  Exists = Lease.has_value();
  ObservedLease = Lease.value_or(observed_lease{});
}

void lease_contender::onRead(steady_time Now,
                             const std::optional<observed_lease> &Lease) {
  OperationInFlight = false;
  MustRead = false;
  setObservedLease(Now, Lease);
  // The response to an earlier write was lost; its write id shows the outcome.
  bool OwnWrite =
      PendingWrite && Lease && Lease->Value.WriteId == PendingWrite->WriteId;
  if (OwnWrite) {
    IsHolder = !Lease->Value.Holder.empty();
    HeldSince = PendingWriteStart;
  } else if (!Lease || Lease->Value.WriteId != LastWriteId) {
    IsHolder = false;
  }
  if (OwnWrite)
    LastWriteId = PendingWrite->WriteId;
  PendingWrite.reset();
  bool MustWait = !IsHolder && !canAcquire(Now);
  NextOperation = MustWait ? Now + Times.ReadPeriod : Now;
}

void lease_contender::onWritten(steady_time Now, object_revision Revision) {
  OperationInFlight = false;
  setObservedLease(Now, observed_lease{*PendingWrite, Revision});
  IsHolder = !PendingWrite->Holder.empty();
  HeldSince = PendingWriteStart;
  LastWriteId = PendingWrite->WriteId;
  PendingWrite.reset();
  NextOperation = Now;
}

void lease_contender::onConflict(steady_time Now) {
  OperationInFlight = false;
  MustRead = true;
  NextOperation = Now;
}

void lease_contender::onNoResponse(steady_time Now) {
  OperationInFlight = false;
  MustRead = true;
  NextOperation = Now + Times.RetryDelay;
}

void lease_contender::release() { Releasing = true; }

bool lease_contender::holds(steady_time Now) const {
  return IsHolder && !Releasing && Now - HeldSince < Times.HoldingTime;
}

std::optional<observed_lease> lease_contender::observedLease() const {
  if (!Exists)
    return std::nullopt;
  return ObservedLease;
}

} // namespace gentianlug::store
