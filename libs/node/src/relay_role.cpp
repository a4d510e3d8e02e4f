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

static constexpr milliseconds LeaseStep{100};

/// Root relays look at the leases of all zones this often, for the relays to
/// exchange with and for free slots.
static constexpr milliseconds ListPeriod{5000};

static constexpr milliseconds WatchWait{10000};
static constexpr milliseconds PlatformRetryDelay{500};

/// Least time between two writes of the zone's status.
static constexpr milliseconds StatusPeriod{1000};

/// Reports within this time travel in one write.
static constexpr milliseconds StatusDelay{100};

/// A contention without success ends after this time: a lease expires after
/// 6 s, and whoever still renews it then is alive.
static constexpr milliseconds ContentionLimit{15000};

static bool hasCode(const error &Failure, store_errc Code) {
  return Failure.Code == make_error_code(Code);
}

relay_role::relay_role(control_context &Context, outputs Outputs)
    : Context(Context), Outputs(std::move(Outputs)),
      Fetcher(Context.Platform, Context.Settings.Site),
      LeaseTimer(Context.Loop, [this] { stepLease(); }),
      ListTimer(Context.Loop, [this] { listLeases(); }),
      WatchRetry(Context.Loop, [this] { readLive(); }),
      FetchRetry(Context.Loop,
                 [this] {
                   if (Fetching)
                     fetch(*Fetching);
                 }),
      StatusTimer(Context.Loop, [this] { writeStatus(); }) {}

void relay_role::platformFailed(const error &Failure) {
  logEvent(event::PlatformUnreachable, Failure.message());
  Context.Metrics.count("gentianlug_platform_failures_total");
}

void relay_role::findRelays(
    const std::function<void(result<std::vector<relay_entry>>)> &Done) {
  Context.Platform.list(
      store::RelayLeasePrefix, [this, Done](result<store::object_list> List) {
        if (!List) {
          platformFailed(List.failure());
          return Done(List.failure());
        }
        Directory.onListing(readRelaySlots(*List), Context.now());
        std::vector<relay_entry> Relays = relays();
        bool OwnZone =
            std::any_of(Relays.begin(), Relays.end(), [&](const auto &Relay) {
              return Relay.Zone == Context.Settings.Zone;
            });
        if (!OwnZone)
          contendForAny();
        Done(std::move(Relays));
      });
}

void relay_role::contendForAny() {
  auto Free =
      Directory.freeSlot(Context.Settings.Zone, Context.now(), Context.Gen);
  contend(Free ? *Free
               : std::uint32_t(drawIndex(Context.Gen, RelaySlotsPerZone)));
}

void relay_role::contend(std::uint32_t Wanted) {
  if (Contender)
    return;
  Slot = Wanted;
  ContentionStart = Context.now();
  Contender.emplace(Context.Settings.Node, Context.Settings.ControlListen);
  stepLease();
}

void relay_role::stepLease() {
  if (!Contender)
    return;
  LeaseTimer.startOnce(LeaseStep);
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
      platformFailed(Object.failure());
      Contender->onNoAnswer(Now);
    } else {
      // An unreadable lease is replaced like an expired one.
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
          platformFailed(Written.failure());
          Contender->onNoAnswer(Now);
        }
        onLeaseOutcome();
      });
}

void relay_role::onLeaseOutcome() {
  bool Holds = Contender->isLastKnownHolder();
  if (Holds && !Root)
    return becomeRoot();
  if (!Holds && Root)
    return loseRoot();
  if (Root)
    return;
  // A contender gives up once the slot has another holder that renews.
  steady_time Now = Context.now();
  auto Lease = Contender->observedLease();
  bool Taken = Lease && !Lease->Value.Holder.empty() &&
               Lease->Value.Holder != Context.Settings.Node;
  bool TakenAnew =
      Taken && ContentionRevision && *ContentionRevision != Lease->Revision;
  if (Lease && !ContentionRevision)
    ContentionRevision = Lease->Revision;
  if (TakenAnew || Now - ContentionStart >= ContentionLimit)
    endContention();
}

void relay_role::endContention() {
  Contender.reset();
  ContentionRevision.reset();
  LeaseTimer.cancel();
}

void relay_role::becomeRoot() {
  Root = true;
  ++Term;
  logEvent(event::RelayGained, Context.Settings.Zone.str() + " slot " +
                                   std::to_string(Slot) + ", epoch " +
                                   std::to_string(Contender->epoch()));
  Outputs.LeaseAcquired();
  listLeases();
  readLive();
}

void relay_role::loseRoot() {
  Root = false;
  ++Term;
  endContention();
  ListTimer.cancel();
  WatchRetry.cancel();
  FetchRetry.cancel();
  StatusTimer.cancel();
  StatusPending = false;
  Fetching.reset();
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
  if (!Root)
    return;
  ListTimer.startOnce(ListPeriod);
  Context.Platform.list(
      store::RelayLeasePrefix, [this](result<store::object_list> List) {
        if (!List)
          return platformFailed(List.failure());
        steady_time Now = Context.now();
        Directory.onListing(readRelaySlots(*List), Now);
        Outputs.Listed();
        if (auto Free =
                Directory.freeSlot(Context.Settings.Zone, Now, Context.Gen);
            Free && Root)
          Outputs.SlotFree(*Free);
      });
}

void relay_role::readLive() {
  Context.Platform.list(
      store::LivePrefix,
      [this, Expected = Term](result<store::object_list> List) {
        if (Expected != Term || !Root)
          return;
        if (!List) {
          platformFailed(List.failure());
          PlatformUnreachable = true;
          return WatchRetry.startOnce(PlatformRetryDelay);
        }
        PlatformUnreachable = false;
        Watched = List->Revision;
        for (const store::object &Object : List->Objects)
          onLive(Object.Key, Object.Value, Object.Revision);
        if (!Fetching && std::exchange(FirstReading, false))
          Outputs.InitialReadDone();
        watchLive();
      });
}

void relay_role::watchLive() {
  Context.Platform.watch(
      store::LivePrefix, Watched, WatchWait,
      [this, Expected = Term](result<store::change_batch> Batch) {
        if (Expected != Term || !Root)
          return;
        if (!Batch) {
          platformFailed(Batch.failure());
          PlatformUnreachable = true;
          return WatchRetry.startOnce(PlatformRetryDelay);
        }
        PlatformUnreachable = false;
        Watched = Batch->Revision;
        for (const store::object_change &Change : Batch->Changes)
          onLive(Change.Key, Change.Value, Change.Revision);
        watchLive();
      });
}

void relay_role::onLive(const std::string &Key,
                        const std::optional<std::string> &Value,
                        object_revision Revision) {
  if (Key == store::ConfigHeadKey) {
    if (Value)
      onHead(*Value);
    return;
  }
  update_outcome Outcome;
  // Every root relay watches by itself, so the value is no news for them.
  Outcome.LiveChanged = Context.State.applyLiveValues({{Key, Revision, Value}},
                                                      update_source::Upstream);
  if (Outcome.LiveChanged)
    Outputs.Changed(Outcome);
}

void relay_role::onHead(const std::string &Value) {
  auto Head = wire::decodeConfigHead(Value);
  if (!Head)
    return refuse(0, Head.failure());
  if (Head->Version <=
      std::max(Context.State.configVersion(), Context.State.refusedVersion()))
    return;
  if (!Fetching || Fetching->Version < Head->Version)
    fetch(*Head);
}

void relay_role::fetch(const store::config_head &Head) {
  Fetching = Head;
  Fetcher.fetch(Head, [this, Expected = Term,
                       Head](const result<fetched_configuration> &Fetched) {
    if (Expected == Term)
      onFetched(Head, Fetched);
  });
}

/// Returns whether a failure is a fault of the version, not of the moment.
static bool isFaultOfVersion(const error &Failure) {
  return Failure.Code.category() ==
         make_error_code(config::config_errc::UnknownSite).category();
}

void relay_role::onFetched(const store::config_head &Head,
                           const result<fetched_configuration> &Fetched) {
  if (!Fetched && !isFaultOfVersion(Fetched.failure())) {
    platformFailed(Fetched.failure());
    return FetchRetry.startOnce(PlatformRetryDelay);
  }
  Fetching.reset();
  if (Fetched) {
    update_outcome Outcome;
    Outcome.ConfigChanged = Context.State.activate(
        {Head.Version, Fetched->Configuration->RootHash, Fetched->Parts},
        Fetched->Configuration);
    if (Outcome.ConfigChanged)
      Outputs.Changed(Outcome);
  } else {
    refuse(Head.Version, Fetched.failure());
  }
  if (std::exchange(FirstReading, false))
    Outputs.InitialReadDone();
}

void relay_role::refuse(config_version Version, const error &Reason) {
  Context.State.refuseVersion(Version);
  update_outcome Outcome;
  Outcome.Refusal =
      refusal_report{Context.Settings.Node, Version, Reason.message()};
  Outputs.Changed(Outcome);
}

void relay_role::onReportChanged() {
  if (!Root || std::exchange(StatusPending, true))
    return;
  auto SinceWrite =
      std::chrono::duration_cast<milliseconds>(Context.now() - LastStatusWrite);
  StatusTimer.startOnce(std::max(StatusDelay, StatusPeriod - SinceWrite));
}

void relay_role::writeStatus() {
  StatusPending = false;
  steady_time Now = Context.now();
  bool Writer = Root && Contender->holds(Now) &&
                Directory.holdsLowestSlot(Context.Settings.Node,
                                          Context.Settings.Zone, Now);
  if (!Writer)
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
