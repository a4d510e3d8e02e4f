#include "gentianlug/store/lease.h"

namespace gentianlug::store {

lease_contender::lease_contender(node_id Self, address Control,
                                 lease_times Times)
    : Self(std::move(Self)), Control(std::move(Control)), Times(Times) {}

lease_action lease_contender::next(steady_time Now, generator &Gen) {
  if (Busy || Now < NextOperation)
    return {};
  if (MustRead) {
    Busy = true;
    return {lease_operation::Read, {}, 0};
  }
  if (Holding) {
    if (!Releasing && Now - HeldFrom < Times.RenewalPeriod)
      return {};
    return write(Now, Gen, Current.Value.Epoch);
  }
  if (Releasing)
    return {};
  if (mayTake(Now))
    return write(Now, Gen, Current.Value.Epoch + 1);
  Busy = true;
  return {lease_operation::Read, {}, 0};
}

bool lease_contender::mayTake(steady_time Now) const {
  if (!Exists || Current.Value.Holder.empty() || Current.Value.Holder == Self)
    return true;
  return Now - CurrentSince >= Times.Expiry;
}

lease_action lease_contender::write(steady_time Now, generator &Gen,
                                    std::uint64_t Epoch) {
  lease_value Value{Releasing ? node_id() : Self, Control, Epoch,
                    drawHexId(Gen)};
  Busy = true;
  PendingStart = Now;
  Pending = Value;
  return {lease_operation::Write, Value, Exists ? Current.Revision : 0};
}

void lease_contender::setCurrent(steady_time Now,
                                 const std::optional<observed_lease> &Lease) {
  bool Same = Exists && Lease && Lease->Revision == Current.Revision;
  // A revision counts as seen from the arrival of its answer, so that a slow
  // answer never makes a lease look older than it is.
  if (!Same)
    CurrentSince = Now;
  Exists = Lease.has_value();
  Current = Lease.value_or(observed_lease{});
}

void lease_contender::onRead(steady_time Now,
                             const std::optional<observed_lease> &Lease) {
  Busy = false;
  MustRead = false;
  setCurrent(Now, Lease);
  // The answer to an earlier write was lost; its write id tells its outcome.
  bool OwnWrite = Pending && Lease && Lease->Value.WriteId == Pending->WriteId;
  if (OwnWrite) {
    Holding = !Lease->Value.Holder.empty();
    HeldFrom = PendingStart;
  } else if (!Lease || Lease->Value.WriteId != LastWriteId) {
    Holding = false;
  }
  if (OwnWrite)
    LastWriteId = Pending->WriteId;
  Pending.reset();
  bool Waits = !Holding && !mayTake(Now);
  NextOperation = Waits ? Now + Times.ReadPeriod : Now;
}

void lease_contender::onWritten(steady_time Now, object_revision Revision) {
  Busy = false;
  setCurrent(Now, observed_lease{*Pending, Revision});
  Holding = !Pending->Holder.empty();
  HeldFrom = PendingStart;
  LastWriteId = Pending->WriteId;
  Pending.reset();
  NextOperation = Now;
}

void lease_contender::onConflict(steady_time Now) {
  Busy = false;
  MustRead = true;
  NextOperation = Now;
}

void lease_contender::onNoAnswer(steady_time Now) {
  Busy = false;
  MustRead = true;
  NextOperation = Now + Times.RetryDelay;
}

void lease_contender::release() { Releasing = true; }

bool lease_contender::holds(steady_time Now) const {
  return Holding && !Releasing && Now - HeldFrom < Times.HoldingTime;
}

std::optional<observed_lease> lease_contender::observed() const {
  if (!Exists)
    return std::nullopt;
  return Current;
}

} // namespace gentianlug::store
