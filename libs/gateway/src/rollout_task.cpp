#include "gentianlug/gateway/rollout_task.h"

#include "gentianlug/core/weak_callback.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/rollout/cumulative_evidence.h"
#include "gentianlug/wire/rollout_values.h"

#include <algorithm>

namespace gentianlug::gateway {

using observe::event;

/// Delay per rank before a node takes over as controller.
static constexpr std::chrono::milliseconds TakeoverDelayPerRank{400};
/// Time without a response of the controller after which another node takes
/// over.
static constexpr std::chrono::milliseconds ControllerTimeout{1200};
/// Minimum number of errors for a node to quarantine its own server.
static constexpr std::uint64_t MinQuarantineErrors = 6;
/// Minimum share of errors among the calls, required in addition.
static constexpr double MinQuarantineErrorShare = 0.25;
static constexpr std::chrono::milliseconds EvidenceConnectTimeout{300};
/// Time after which a controller that has accepted evidence counts as silent.
static constexpr std::chrono::milliseconds EvidenceTimeout{1000};
static constexpr std::chrono::milliseconds EvidenceMaxIdle{5000};

namespace {

/// A rollout that this node observes, and controls if the record names it.
///
/// Dropped when the server leaves, when the rollout ends and when its target
/// changes. Answers of the store that arrive later have no effect.
struct observed_rollout {
  observed_rollout(const mesh::rollout_record &Record,
                   const version_name &OldVersion,
                   std::vector<route_name> Routes,
                   const mesh::mesh_bounds &Bounds, steady_time Now)
      : Controller(Record, OldVersion, std::move(Routes), Bounds, Now) {}

  void onEvidence(const rollout::server_evidence &Report) {
    if (auto Increment = Reports.advance(Report))
      Controller.onEvidence(*Increment);
  }

  mesh::rollout_controller Controller;
  rollout::cumulative_evidence Reports;
  bool WritePending = false;
  /// The target is stored as the base version.
  bool TargetStoredAsBase = false;
};

std::uint64_t reportedCalls(const rollout::server_evidence &Evidence) {
  std::uint64_t Calls = 0;
  for (const rollout::route_evidence &Route : Evidence.Routes)
    Calls += Route.Calls;
  return Calls;
}

} // namespace

struct rollout_task::impl : std::enable_shared_from_this<rollout_task::impl> {
  task_context Context;
  node_id Node;
  address NodeAddress;
  mesh_store &Store;
  serving_task &Serving;
  mesh::mesh_bounds Bounds;
  std::shared_ptr<const mesh::mesh_configuration> Configuration;
  std::vector<mesh::server_record> Servers;
  mesh::version_policy Versions;
  std::optional<local_server> Server;
  std::shared_ptr<observed_rollout> Rollout;
  http1::client_pool Peers;
  net::timer EvaluationTimer;
  bool Evaluating = false;
  std::optional<http1::client_pool::ticket> ActiveEvidence;
  /// Number of calls in the report that is being sent.
  std::uint64_t UnansweredCalls = 0;
  net::timer EvidenceTimeoutTimer;
  bool Quarantined = false;
  std::function<void()> QuarantineHandler;
  std::uint64_t LocalCalls = 0;
  std::uint64_t LocalErrors = 0;
  /// Tells the reports of this process from those of an earlier one.
  incarnation_number EvidenceIncarnation;
  /// Time of the last response of the controller.
  steady_time LastControllerContact{};
  version_name TrackedTarget;

  impl(task_context Context, node_id Node, address NodeAddress,
       mesh_store &Store, serving_task &Serving)
      : Context(Context), Node(std::move(Node)),
        NodeAddress(std::move(NodeAddress)), Store(Store), Serving(Serving),
        Peers(Context.Loop, {}, {}, &Context.Memory),
        EvaluationTimer(Context.Loop, [this] { evaluate(); }),
        EvidenceTimeoutTimer(Context.Loop, [this] { onEvidenceTimeout(); }),
        EvidenceIncarnation(Context.Gen() & UINT32_MAX) {}

  const mesh::rollout_record *activeRollout() const {
    if (!Server)
      return nullptr;
    const mesh::rollout_record *Record = Versions.rollout(Server->Service);
    return Record && !mesh::isFinished(*Record) ? Record : nullptr;
  }

  void trackRollout() {
    const mesh::rollout_record *Record = activeRollout();
    if (!Record) {
      Rollout.reset();
      TrackedTarget = {};
      if (Evaluating)
        EvaluationTimer.cancel();
      Evaluating = false;
      setQuarantined(false);
      return;
    }
    if (TrackedTarget != Record->TargetVersion) {
      TrackedTarget = Record->TargetVersion;
      Rollout.reset();
      LocalCalls = LocalErrors = 0;
      setQuarantined(false);
      // The calls before this rollout are no evidence for it.
      Serving.resetEvidence();
    }
    auto Now = Context.Clock.steadyNow();
    if (Rollout) {
      if (Record->Controller != Rollout->Controller.record().Controller)
        onControllerChanged(Now);
      Rollout->Controller.onRecord(*Record, Now);
    } else if (const version_name *Base =
                   Versions.baseVersion(Server->Service)) {
      Rollout = std::make_shared<observed_rollout>(
          *Record, *Base, serviceRoutes(), Bounds, Now);
      LastControllerContact = Now;
    }
    if (!Evaluating) {
      Evaluating = true;
      EvaluationTimer.startEvery(rollout::EvaluationPeriod);
    }
  }

  /// Gives the new controller its time to respond before another node takes
  /// over, and lets the next report go to it.
  void onControllerChanged(steady_time Now) {
    LastControllerContact = Now;
    EvidenceTimeoutTimer.cancel();
    if (auto Ticket = std::exchange(ActiveEvidence, std::nullopt))
      Peers.cancel(*Ticket);
  }

  std::vector<route_name> serviceRoutes() const {
    std::vector<route_name> Names;
    if (!Configuration)
      return Names;
    for (const mesh::route &Route : Configuration->Routes)
      for (const mesh::weighted_service &Each : Route.Services)
        if (Each.Service == Server->Service && Each.Weight > 0)
          Names.push_back(Route.Name);
    return Names;
  }

  std::chrono::milliseconds maxCallTimeout() const {
    std::chrono::milliseconds Longest{0};
    if (!Configuration)
      return Longest;
    for (const mesh::route &Route : Configuration->Routes)
      for (const mesh::weighted_service &Each : Route.Services)
        if (Each.Service == Server->Service)
          Longest = std::max(Longest, Route.Timeout);
    return Longest;
  }

  /// Returns the rank of this node among the candidates for the controller:
  /// nodes with a ready server of the service, those of the new version first.
  std::size_t controllerRank(const version_name &Target) const {
    std::size_t Rank = 0;
    bool OwnIsNew = Server->Version == Target;
    for (const mesh::server_record &Each : Servers) {
      if (Each.Service != Server->Service || Each.Node == Node ||
          Each.State != mesh::server_state::Ready)
        continue;
      bool IsNew = Each.Version == Target;
      if ((IsNew && !OwnIsNew) || (IsNew == OwnIsNew && Each.Node < Node))
        ++Rank;
    }
    return Rank;
  }

  void evaluate() {
    const mesh::rollout_record *Record = activeRollout();
    if (!Record || !Rollout)
      return;
    rollout::server_evidence Evidence = Serving.evidence();
    Evidence.Node = Node;
    Evidence.ServerIncarnation = EvidenceIncarnation;
    evaluateLocalServer(Evidence, *Record);
    Evidence.Quarantined = Quarantined;
    if (Record->Controller == Node) {
      Rollout->onEvidence(Evidence);
      Rollout->Controller.evaluate();
      return advanceRollout();
    }
    if (!Record->Controller.empty())
      sendEvidence(Evidence, Record->ControllerAddress);
    auto Now = Context.Clock.steadyNow();
    auto TakeoverDelay =
        TakeoverDelayPerRank * int(controllerRank(Record->TargetVersion));
    if (!Record->Controller.empty())
      TakeoverDelay += ControllerTimeout;
    if (Now - LastControllerContact > TakeoverDelay)
      advanceRollout();
  }

  /// Quarantines the local server on strong evidence, without waiting for the
  /// controller.
  void evaluateLocalServer(const rollout::server_evidence &Evidence,
                           const mesh::rollout_record &Record) {
    if (!Server || Server->Version != Record.TargetVersion)
      return;
    LocalCalls = LocalErrors = 0;
    for (const rollout::route_evidence &Row : Evidence.Routes) {
      LocalCalls += Row.Calls;
      LocalErrors += Row.Errors;
    }
    if (LocalErrors >= MinQuarantineErrors &&
        double(LocalErrors) >= MinQuarantineErrorShare * double(LocalCalls))
      setQuarantined(true);
  }

  void setQuarantined(bool Next) {
    if (Quarantined == Next)
      return;
    Quarantined = Next;
    Context.Log.write(event::VersionCutHere,
                      {{"service", Server ? Server->Service.str() : ""},
                       {"version", Server ? Server->Version.str() : ""},
                       {"cut", Quarantined ? 1 : 0},
                       {"errors", std::int64_t(LocalErrors)},
                       {"calls", std::int64_t(LocalCalls)}});
    if (QuarantineHandler)
      QuarantineHandler();
  }

  void sendEvidence(const rollout::server_evidence &Evidence,
                    const address &To) {
    // The next report contains the calls of this one.
    if (ActiveEvidence)
      return;
    http1::request Request;
    Request.Method = "POST";
    Request.Target = EvidencePath;
    Request.Headers.add("Host", To.str());
    Request.Body = wire::encode(Evidence);
    EvidenceTimeoutTimer.startOnce(EvidenceTimeout);
    UnansweredCalls = reportedCalls(Evidence);
    ActiveEvidence = Peers.send(
        To, std::move(Request), {EvidenceConnectTimeout, EvidenceMaxIdle, ""},
        [this](http1::send_result Result) {
          ActiveEvidence.reset();
          EvidenceTimeoutTimer.cancel();
          constexpr int Ok = 200;
          if (Result.Outcome == http1::send_outcome::Responded &&
              Result.Response.Status == Ok)
            LastControllerContact = Context.Clock.steadyNow();
          else
            logLostEvidence("not delivered", UnansweredCalls);
        });
  }

  void onEvidenceTimeout() {
    if (auto Ticket = std::exchange(ActiveEvidence, std::nullopt))
      Peers.cancel(*Ticket);
    logLostEvidence("no answer in time", UnansweredCalls);
  }

  void logLostEvidence(const char *Reason, std::uint64_t Calls) {
    Context.Log.write(event::EvidenceLost, {{"version", TrackedTarget.str()},
                                            {"reason", Reason},
                                            {"calls", std::int64_t(Calls)}});
  }

  void advanceRollout() {
    if (Rollout->WritePending)
      return;
    const mesh::rollout_controller &Controller = Rollout->Controller;
    std::size_t NewServers = 0;
    for (const mesh::server_record &Each : Servers)
      if (Each.Service == Server->Service &&
          Each.Version == Controller.record().TargetVersion &&
          Each.State == mesh::server_state::Ready)
        ++NewServers;
    auto Now = Context.Clock.steadyNow();
    auto Next = Controller.nextRecord({NewServers, maxCallTimeout()}, Now);
    bool TakeOver = !Controller.record().Controller.empty() &&
                    Controller.record().Controller != Node;
    // What the store has lost in a restore is stored again before the rollout
    // goes on. A rollback needs no earlier stage.
    bool IsLost = Versions.isStoredRolloutOutdated(Server->Service);
    bool RollsBack = Next && Next->Stage == mesh::rollout_stage::RolledBack;
    if ((!Next && TakeOver) || (IsLost && !RollsBack))
      Next = Controller.record();
    const mesh::rollout_record *Stored =
        Versions.storedRollout(Server->Service);
    if (!Next || !Stored)
      return;
    Next->Revision = Stored->Revision;
    Next->Controller = Node;
    Next->ControllerAddress = NodeAddress;
    Rollout->WritePending = true;
    if (Next->Stage == mesh::rollout_stage::Completed &&
        !Rollout->TargetStoredAsBase)
      return storeTargetAsBase(*Next);
    writeRecord(*Next);
  }

  /// Stores the target as the base version before the rollout is completed, so
  /// that it is there when the operator removes the completed record. The
  /// record alone decides: it names the old version until then and after a
  /// rollback.
  void storeTargetAsBase(const mesh::rollout_record &Record) {
    const mesh::base_version *Stored =
        Versions.storedBaseVersion(Record.Service);
    mesh::base_version Next{Record.TargetVersion,
                            Stored ? Stored->Revision : store_revision{}};
    // The evidence may change before the store answers, so the next step is
    // decided again.
    Store.publishBaseVersion(
        Record.Service, Next,
        bindWeakly(Rollout, [this](observed_rollout &Observed, bool IsStored) {
          Observed.WritePending = false;
          Observed.TargetStoredAsBase = IsStored;
          if (IsStored)
            advanceRollout();
        }));
  }

  void writeRecord(const mesh::rollout_record &Record) {
    mesh::version_counts Old = Rollout->Controller.oldCounts();
    mesh::version_counts New = Rollout->Controller.newCounts();
    double SlowRatio = Rollout->Controller.logSlowRatio();
    const char *Verdict = rollout::describe(Rollout->Controller.verdict().Kind);
    // The step is logged also if the write has ended the observation.
    auto OnWritten = [Record, Old, New, Verdict, SlowRatio,
                      Observed = std::weak_ptr(Rollout)](impl &Self,
                                                         bool Written) {
      if (auto Current = Observed.lock())
        Current->WritePending = false;
      Self.Context.Log.write(
          event::RolloutStep,
          {{"service", Record.Service.str()},
           {"version", Record.TargetVersion.str()},
           {"stage", std::int64_t(Record.Stage)},
           {"share_percent", std::int64_t(Record.TrafficShare * 100)},
           {"elapsed_ms", Record.Elapsed},
           {"reason", Record.Reason},
           {"old_calls", std::int64_t(Old.Calls)},
           {"old_errors", std::int64_t(Old.Errors)},
           {"old_timed", std::int64_t(Old.Timed)},
           {"new_calls", std::int64_t(New.Calls)},
           {"new_errors", std::int64_t(New.Errors)},
           {"new_timed", std::int64_t(New.Timed)},
           {"verdict", Verdict},
           {"log_slow_ratio_percent", std::int64_t(SlowRatio * 100)},
           {"written", Written ? 1 : 0}});
    };
    Store.writeRollout(Record, bindWeakly(shared_from_this(), OnWritten));
  }
};

rollout_task::rollout_task(task_context Context, node_id Node,
                           address NodeAddress, mesh_store &Store,
                           serving_task &Serving)
    : Impl(std::make_shared<impl>(Context, std::move(Node),
                                  std::move(NodeAddress), Store, Serving)) {}

rollout_task::~rollout_task() = default;

void rollout_task::onBounds(const mesh::mesh_bounds &Bounds) {
  Impl->Bounds = Bounds;
}

void rollout_task::onConfiguration(
    std::shared_ptr<const mesh::mesh_configuration> Next) {
  Impl->Configuration = std::move(Next);
}

void rollout_task::onServers(const std::vector<mesh::server_record> &Servers) {
  Impl->Servers = Servers;
}

void rollout_task::onVersions(const mesh::version_policy &Versions) {
  Impl->Versions = Versions;
  Impl->trackRollout();
}

void rollout_task::onServer(const std::optional<local_server> &Server) {
  Impl->Server = Server;
  Impl->trackRollout();
}

void rollout_task::onEvidence(const rollout::server_evidence &Evidence) {
  if (Impl->Rollout)
    Impl->Rollout->onEvidence(Evidence);
}

bool rollout_task::isQuarantined() const { return Impl->Quarantined; }

void rollout_task::setQuarantineHandler(std::function<void()> Handler) {
  Impl->QuarantineHandler = std::move(Handler);
}

} // namespace gentianlug::gateway
