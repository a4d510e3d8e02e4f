#include "relay_role.h"

#include "gentianlug/config/config_errc.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/store/store_errc.h"
#include "gentianlug/wire/lease_values.h"
#include "gentianlug/wire/platform_values.h"
#include "relay_slots.h"

namespace gentianlug::node {

using namespace distribution;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;
using store::lease_operation;
using store::store_errc;

static constexpr milliseconds LeaseStepPeriod{100};

/// Root relays list the leases of all zones with this period to find the relays
/// to poll and free slots.
static constexpr milliseconds ListPeriod{5000};

static constexpr milliseconds WatchTimeout{10000};
static constexpr milliseconds PlatformRetryDelay{500};

/// Minimum time between two writes of the zone's status.
static constexpr milliseconds StatusPeriod{1000};

/// Report changes within this time are combined into one write.
static constexpr milliseconds StatusDelay{100};

/// A contention without success ends after this time. A lease expires after 6 s
/// without a renewal, so a holder that still renews it by then is alive.
static constexpr milliseconds ContentionTimeout{15000};

static bool hasCode(const error &Failure, store_errc Code) {
  return Failure.Code == make_error_code(Code);
}

relay_role::relay_role(control_context &Context, outputs Outputs)
    : Context(Context), Outputs(std::move(Outputs)),
      Fetcher(Context.Platform, Context.Settings.Site),
      LeaseTimer(Context.Loop, [this] { stepLease(); }),
      ListTimer(Context.Loop, [this] { listLeases(); }),
      WatchRetryTimer(Context.Loop, [this] { readLiveValues(); }),
      FetchRetryTimer(Context.Loop,
                      [this] {
                        if (PendingHead)
                          fetchConfiguration(*PendingHead);
                      }),
      StatusTimer(Context.Loop, [this] { writeStatus(); }) {}

void relay_role::onPlatformFailure(const error &Failure) {
  logEvent(event::PlatformUnreachable, Failure.message());
  Context.Metrics.count("gentianlug_platform_failures_total");
}

void relay_role::findRelays(
    const std::function<void(result<std::vector<relay_entry>>)> &Done) {
  Context.Platform.list(
      store::RelayLeasePrefix, [this, Done](result<store::object_list> List) {
        if (!List) {
          onPlatformFailure(List.failure());
          return Done(List.failure());
        }
        Directory.onListing(readRelaySlots(*List), Context.now());
        std::vector<relay_entry> Relays = relays();
        bool HasOwnZoneRelay =
            std::any_of(Relays.begin(), Relays.end(), [&](const auto &Relay) {
              return Relay.Zone == Context.Settings.Zone;
            });
        if (!HasOwnZoneRelay)
          contendForAnySlot();
        Done(std::move(Relays));
      });
}

void relay_role::contendForAnySlot() {
  auto FreeSlot =
      Directory.freeSlot(Context.Settings.Zone, Context.now(), Context.Gen);
  contendForSlot(
      FreeSlot ? *FreeSlot
               : std::uint32_t(drawIndex(Context.Gen, RelaySlotsPerZone)));
}

void relay_role::contendForSlot(std::uint32_t WantedSlot) {
  if (Contender)
    return;
  Slot = WantedSlot;
  ContentionStart = Context.now();
  Contender.emplace(Context.Settings.Node, Context.Settings.ControlListen);
  stepLease();
}

void relay_role::stepLease() {
  if (!Contender)
    return;
  LeaseTimer.startOnce(LeaseStepPeriod);
  store::lease_action Action = Contender->next(Context.now(), Context.Gen);
  std::string Key = store::relayLeaseKey(Context.Settings.Zone, Slot);
  if (Action.Operation == lease_operation::Read)
    readLease(Key);
  else if (Action.Operation == lease_operation::Write)
    writeLease(Key, Action);
}

void relay_role::readLease(const std::string &Key) {
  Context.Platform.get(Key, [this](const result<store::object> &Object) {
    if (!Contender)
      return;
    steady_time Now = Context.now();
    if (!Object && hasCode(Object.failure(), store_errc::NotFound)) {
      Contender->onRead(Now, std::nullopt);
    } else if (!Object) {
      onPlatformFailure(Object.failure());
      Contender->onNoResponse(Now);
    } else {
      // A malformed lease is replaced like an expired one.
      auto Lease = wire::decodeLeaseValue(Object->Value);
      Contender->onRead(
          Now, store::observed_lease{Lease ? *Lease : store::lease_value{},
                                     Object->Revision});
    }
    onLeaseOutcome();
  });
}

void relay_role::writeLease(const std::string &Key,
                            const store::lease_action &Action) {
  Context.Platform.put(
      Key, wire::encode(Action.Value), Action.ExpectedRevision,
      [this](const result<object_revision> &Written) {
        if (!Contender)
          return;
        steady_time Now = Context.now();
        if (Written)
          Contender->onWritten(Now, *Written);
        else if (hasCode(Written.failure(), store_errc::Conflict))
          Contender->onConflict(Now);
        else {
          onPlatformFailure(Written.failure());
          Contender->onNoResponse(Now);
        }
        onLeaseOutcome();
      });
}

void relay_role::onLeaseOutcome() {
  bool IsHolder = Contender->isLastKnownHolder();
  if (IsHolder && !IsRoot)
    return onLeaseAcquired();
  if (!IsHolder && IsRoot)
    return onLeaseLost();
  if (IsRoot)
    return;
  // A contender gives up when another node holds the slot and has written the
  // lease since the first read.
  steady_time Now = Context.now();
  auto Lease = Contender->observedLease();
  bool HeldByOther = Lease && !Lease->Value.Holder.empty() &&
                     Lease->Value.Holder != Context.Settings.Node;
  bool RenewedByOther = HeldByOther && InitialLeaseRevision &&
                        *InitialLeaseRevision != Lease->Revision;
  if (Lease && !InitialLeaseRevision)
    InitialLeaseRevision = Lease->Revision;
  if (RenewedByOther || Now - ContentionStart >= ContentionTimeout)
    endContention();
}

void relay_role::endContention() {
  Contender.reset();
  InitialLeaseRevision.reset();
  LeaseTimer.cancel();
}

void relay_role::onLeaseAcquired() {
  IsRoot = true;
  ++Term;
  logEvent(event::RelayGained, Context.Settings.Zone.str() + " slot " +
                                   std::to_string(Slot) + ", epoch " +
                                   std::to_string(Contender->epoch()));
  Outputs.LeaseAcquired();
  listLeases();
  readLiveValues();
}

void relay_role::onLeaseLost() {
  IsRoot = false;
  ++Term;
  endContention();
  ListTimer.cancel();
  WatchRetryTimer.cancel();
  FetchRetryTimer.cancel();
  StatusTimer.cancel();
  StatusPending = false;
  PendingHead.reset();
  logEvent(event::RelayLost,
           Context.Settings.Zone.str() + " slot " + std::to_string(Slot));
  Outputs.LeaseLost();
}

void relay_role::release() {
  if (Contender)
    Contender->release();
  stepLease();
}

void relay_role::listLeases() {
  if (!IsRoot)
    return;
  ListTimer.startOnce(ListPeriod);
  Context.Platform.list(
      store::RelayLeasePrefix, [this](result<store::object_list> List) {
        if (!List)
          return onPlatformFailure(List.failure());
        steady_time Now = Context.now();
        Directory.onListing(readRelaySlots(*List), Now);
        Outputs.LeasesListed();
        if (auto FreeSlot =
                Directory.freeSlot(Context.Settings.Zone, Now, Context.Gen);
            FreeSlot && IsRoot)
          Outputs.SlotFree(*FreeSlot);
      });
}

void relay_role::readLiveValues() {
  Context.Platform.list(
      store::LivePrefix,
      [this, StartTerm = Term](result<store::object_list> List) {
        if (StartTerm != Term || !IsRoot)
          return;
        if (!List) {
          onPlatformFailure(List.failure());
          PlatformUnreachable = true;
          return WatchRetryTimer.startOnce(PlatformRetryDelay);
        }
        PlatformUnreachable = false;
        WatchedRevision = List->Revision;
        for (const store::object &Object : List->Objects)
          onLiveValue(Object.Key, Object.Value, Object.Revision);
        if (!PendingHead && std::exchange(InitialReadPending, false))
          Outputs.InitialReadDone();
        watchLiveValues();
      });
}

void relay_role::watchLiveValues() {
  Context.Platform.watch(
      store::LivePrefix, WatchedRevision, WatchTimeout,
      [this, StartTerm = Term](result<store::change_batch> Batch) {
        if (StartTerm != Term || !IsRoot)
          return;
        if (!Batch) {
          onPlatformFailure(Batch.failure());
          PlatformUnreachable = true;
          return WatchRetryTimer.startOnce(PlatformRetryDelay);
        }
        PlatformUnreachable = false;
        WatchedRevision = Batch->Revision;
        for (const store::object_change &Change : Batch->Changes)
          onLiveValue(Change.Key, Change.Value, Change.Revision);
        watchLiveValues();
      });
}

void relay_role::onLiveValue(const std::string &Key,
                             const std::optional<std::string> &Value,
                             object_revision Revision) {
  if (Key == store::ConfigHeadKey) {
    if (Value)
      onConfigHead(*Value);
    return;
  }
  update_outcome Outcome;
  // Every root relay watches the platform, so the value need not be sent to the
  // other root relays.
  Outcome.LiveValuesChanged = Context.State.applyLiveValues(
      {{Key, Revision, Value}}, update_source::Upstream);
  if (Outcome.LiveValuesChanged)
    Outputs.Changed(Outcome);
}

void relay_role::onConfigHead(const std::string &Value) {
  auto Head = wire::decodeConfigHead(Value);
  if (!Head)
    return refuseVersion(0, Head.failure());
  if (Head->Version <=
      std::max(Context.State.configVersion(), Context.State.refusedVersion()))
    return;
  if (!PendingHead || PendingHead->Version < Head->Version)
    fetchConfiguration(*Head);
}

void relay_role::fetchConfiguration(const store::config_head &Head) {
  PendingHead = Head;
  Fetcher.fetch(Head, [this, StartTerm = Term,
                       Head](const result<fetched_configuration> &Fetched) {
    if (StartTerm == Term)
      onFetched(Head, Fetched);
  });
}

/// Returns whether a failure is caused by the version itself. Other failures
/// are temporary, and the fetch is retried.
static bool isVersionError(const error &Failure) {
  return Failure.Code.category() ==
         make_error_code(config::config_errc::UnknownSite).category();
}

void relay_role::onFetched(const store::config_head &Head,
                           const result<fetched_configuration> &Fetched) {
  if (!Fetched && !isVersionError(Fetched.failure())) {
    onPlatformFailure(Fetched.failure());
    return FetchRetryTimer.startOnce(PlatformRetryDelay);
  }
  PendingHead.reset();
  if (Fetched) {
    update_outcome Outcome;
    Outcome.ConfigChanged = Context.State.activate(
        {Head.Version, Fetched->Configuration->RootHash, Fetched->Parts},
        Fetched->Configuration);
    if (Outcome.ConfigChanged)
      Outputs.Changed(Outcome);
  } else {
    refuseVersion(Head.Version, Fetched.failure());
  }
  if (std::exchange(InitialReadPending, false))
    Outputs.InitialReadDone();
}

void relay_role::refuseVersion(config_version Version, const error &Reason) {
  Context.State.refuseVersion(Version);
  update_outcome Outcome;
  Outcome.Refusal =
      refusal_report{Context.Settings.Node, Version, Reason.message()};
  Outputs.Changed(Outcome);
}

void relay_role::onReportChanged() {
  if (!IsRoot || std::exchange(StatusPending, true))
    return;
  auto SinceLastWrite =
      std::chrono::duration_cast<milliseconds>(Context.now() - LastStatusWrite);
  StatusTimer.startOnce(std::max(StatusDelay, StatusPeriod - SinceLastWrite));
}

void relay_role::writeStatus() {
  StatusPending = false;
  steady_time Now = Context.now();
  bool IsStatusWriter = IsRoot && Contender->holds(Now) &&
                        Directory.holdsLowestSlot(Context.Settings.Node,
                                                  Context.Settings.Zone, Now);
  if (!IsStatusWriter)
    return;
  subtree_report Report = Outputs.Report();
  store::zone_status Status;
  Status.Zone = Context.Settings.Zone;
  Status.Site = Context.Settings.Site;
  Status.NodesByVersion = Report.NodesByVersion;
  for (const refusal_report &Refusal : Report.Refusals)
    if (Status.Refusals.size() < store::MaxListedRefusals)
      Status.Refusals.push_back(
          {Refusal.Node, Refusal.Version, Refusal.Reason});
  if (LastStatus && LastStatus->NodesByVersion == Status.NodesByVersion &&
      LastStatus->Refusals == Status.Refusals)
    return;
  LastStatusWrite = Now;
  Status.UpdatedAt = Context.Clock.wallNow();
  Context.Platform.put(store::statusKey(Status.Zone), wire::encode(Status),
                       std::nullopt,
                       [this, Status](const result<object_revision> &Written) {
                         if (Written)
                           LastStatus = Status;
                         else
                           onReportChanged();
                       });
}

} // namespace gentianlug::node
