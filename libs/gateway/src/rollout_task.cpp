#include "gentianlug/gateway/rollout_task.h"

#include "gentianlug/http1/client_pool.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/wire/rollout_values.h"

#include <algorithm>

namespace gentianlug::gateway {

using observe::event;

/// A node of lower rank waits this long for each node before it.
static constexpr std::chrono::milliseconds RankDelay{400};
/// Silence of the steering node after which another one takes over.
static constexpr std::chrono::milliseconds ControllerSilence{1200};
/// A node cuts its own server off from this many errors on ...
static constexpr std::uint64_t ErrorsToCut = 6;
/// ... if they are this share of the calls.
static constexpr double ErrorShareToCut = 0.25;
static constexpr std::chrono::milliseconds EvidenceConnectTimeout{300};

struct rollout_task::impl {
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
  std::unique_ptr<mesh::rollout_conductor> Conductor;
  http1::client_pool Peers;
  net::timer Ticker;
  bool Ticking = false;
  bool Writing = false;
  bool Sending = false;
  bool Cut = false;
  std::function<void()> CutChanged;
  std::uint64_t OwnCalls = 0;
  std::uint64_t OwnErrors = 0;
  /// Last sign of life of the steering node.
  steady_time ControllerSeen{};
  version_name FollowedTarget;

  impl(task_context Context, node_id Node, address NodeAddress,
       mesh_store &Store, serving_task &Serving)
      : Context(Context), Node(std::move(Node)),
        NodeAddress(std::move(NodeAddress)), Store(Store), Serving(Serving),
        Peers(Context.Loop, {}, {}), Ticker(Context.Loop, [this] { tick(); }) {}

  const mesh::rollout_record *activeRollout() const {
    if (!Server)
      return nullptr;
    const mesh::rollout_record *Record = Versions.rollout(Server->Service);
    if (!Record || Record->Stage == mesh::rollout_stage::Completed ||
        Record->Stage == mesh::rollout_stage::RolledBack)
      return nullptr;
    return Record;
  }

  void follow() {
    const mesh::rollout_record *Record = activeRollout();
    if (!Record) {
      Conductor.reset();
      FollowedTarget = {};
      if (Ticking)
        Ticker.cancel();
      Ticking = false;
      setCut(false);
      return;
    }
    if (FollowedTarget != Record->Target) {
      FollowedTarget = Record->Target;
      Conductor.reset();
      OwnCalls = OwnErrors = 0;
      setCut(false);
      // Counts of the time before say nothing about this rollout.
      (void)Serving.takeEvidence();
    }
    auto Now = Context.Clock.steadyNow();
    if (Conductor) {
      Conductor->onRecord(*Record, Now);
    } else if (const version_name *Base = Versions.base(Server->Service)) {
      Conductor = std::make_unique<mesh::rollout_conductor>(
          *Record, *Base, routesOfService(), Bounds, Now);
      ControllerSeen = Now;
    }
    if (!Ticking) {
      Ticking = true;
      Ticker.startEvery(rollout::JudgementPeriod);
    }
  }

  std::vector<route_name> routesOfService() const {
    std::vector<route_name> Names;
    if (!Configuration)
      return Names;
    for (const mesh::route &Route : Configuration->Routes)
      for (const mesh::weighted_service &Each : Route.Services)
        if (Each.Service == Server->Service && Each.Weight > 0)
          Names.push_back(Route.Name);
    return Names;
  }

  std::chrono::milliseconds longestCall() const {
    std::chrono::milliseconds Longest{0};
    if (!Configuration)
      return Longest;
    for (const mesh::route &Route : Configuration->Routes)
      for (const mesh::weighted_service &Each : Route.Services)
        if (Each.Service == Server->Service)
          Longest = std::max(Longest, Route.Timeout);
    return Longest;
  }

  /// Place of this node among those that may steer: nodes beside servers of
  /// the service, those of the new version first.
  std::size_t rank(const version_name &Target) const {
    std::size_t Before = 0;
    bool OwnIsNew = Server->Version == Target;
    for (const mesh::server_record &Each : Servers) {
      if (Each.Service != Server->Service || Each.Node == Node ||
          Each.State != mesh::server_state::Ready)
        continue;
      bool IsNew = Each.Version == Target;
      if ((IsNew && !OwnIsNew) || (IsNew == OwnIsNew && Each.Node < Node))
        ++Before;
    }
    return Before;
  }

  void tick() {
    const mesh::rollout_record *Record = activeRollout();
    if (!Record || !Conductor)
      return;
    rollout::server_evidence Evidence = Serving.takeEvidence();
    Evidence.Node = Node;
    judgeOwn(Evidence, *Record);
    if (Record->Controller == Node) {
      Conductor->onEvidence(Evidence);
      Conductor->judge();
      return steer();
    }
    if (!Record->Controller.empty())
      report(Evidence, Record->ControllerAddress);
    auto Now = Context.Clock.steadyNow();
    auto Patience = RankDelay * int(rank(Record->Target));
    if (!Record->Controller.empty())
      Patience += ControllerSilence;
    if (Now - ControllerSeen > Patience)
      steer();
  }

  /// Cuts the own server off when its faults are plain, without waiting for
  /// anybody.
  void judgeOwn(const rollout::server_evidence &Evidence,
                const mesh::rollout_record &Record) {
    if (!Server || Server->Version != Record.Target)
      return;
    for (const rollout::route_evidence &Row : Evidence.Routes) {
      OwnCalls += Row.Calls;
      OwnErrors += Row.Errors;
    }
    if (OwnErrors >= ErrorsToCut &&
        double(OwnErrors) >= ErrorShareToCut * double(OwnCalls))
      setCut(true);
  }

  void setCut(bool Next) {
    if (Cut == Next)
      return;
    Cut = Next;
    Context.Log.write(event::VersionCutHere,
                      {{"service", Server ? Server->Service.str() : ""},
                       {"version", Server ? Server->Version.str() : ""},
                       {"cut", Cut ? 1 : 0},
                       {"errors", std::int64_t(OwnErrors)},
                       {"calls", std::int64_t(OwnCalls)}});
    if (CutChanged)
      CutChanged();
  }

  void report(const rollout::server_evidence &Evidence, const address &To) {
    if (Sending)
      return;
    Sending = true;
    http1::request Request;
    Request.Method = "POST";
    Request.Target = EvidencePath;
    Request.Headers.add("Host", To.str());
    Request.Body = wire::encode(Evidence);
    Peers.send(To, std::move(Request),
               {EvidenceConnectTimeout, std::chrono::seconds(5), ""},
               [this](http1::send_result Result) {
                 Sending = false;
                 constexpr int Ok = 200;
                 if (Result.End == http1::send_end::Answered &&
                     Result.Answer.Status == Ok)
                   ControllerSeen = Context.Clock.steadyNow();
                 else
                   Context.Log.write(event::EvidenceLost,
                                     {{"service", FollowedTarget.str()}});
               });
  }

  void steer() {
    if (Writing)
      return;
    std::size_t NewServers = 0;
    for (const mesh::server_record &Each : Servers)
      if (Each.Service == Server->Service &&
          Each.Version == Conductor->record().Target &&
          Each.State == mesh::server_state::Ready)
        ++NewServers;
    auto Now = Context.Clock.steadyNow();
    auto Next = Conductor->next({NewServers, longestCall()}, Now);
    bool TakeOver = !Conductor->record().Controller.empty() &&
                    Conductor->record().Controller != Node;
    if (!Next && TakeOver)
      Next = Conductor->record();
    if (!Next)
      return;
    Next->Controller = Node;
    Next->ControllerAddress = NodeAddress;
    Writing = true;
    if (Next->Stage != mesh::rollout_stage::Completed)
      return write(*Next);
    // The base moves first, so that no node ever knows neither version.
    Store.publishBaseVersion(Next->Service, Next->Target, true,
                             [this, Record = *Next](bool Stored) {
                               if (Stored)
                                 return write(Record);
                               Writing = false;
                             });
  }

  void write(const mesh::rollout_record &Record) {
    mesh::side_counts Old = Conductor->oldCounts();
    mesh::side_counts New = Conductor->newCounts();
    Store.writeRollout(Record, [this, Record, Old, New](bool Written) {
      Writing = false;
      Context.Log.write(event::RolloutStep,
                        {{"service", Record.Service.str()},
                         {"version", Record.Target.str()},
                         {"stage", std::int64_t(Record.Stage)},
                         {"share_percent", std::int64_t(Record.Share * 100)},
                         {"elapsed_ms", Record.Elapsed},
                         {"reason", Record.Reason},
                         {"old_calls", std::int64_t(Old.Calls)},
                         {"old_errors", std::int64_t(Old.Errors)},
                         {"new_calls", std::int64_t(New.Calls)},
                         {"new_errors", std::int64_t(New.Errors)},
                         {"written", Written ? 1 : 0}});
    });
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
  Impl->follow();
}

void rollout_task::onServer(const std::optional<local_server> &Server) {
  Impl->Server = Server;
  Impl->follow();
}

void rollout_task::onEvidence(const rollout::server_evidence &Evidence) {
  if (Impl->Conductor)
    Impl->Conductor->onEvidence(Evidence);
}

bool rollout_task::cut() const { return Impl->Cut; }

void rollout_task::onCutChanged(std::function<void()> Action) {
  Impl->CutChanged = std::move(Action);
}

} // namespace gentianlug::gateway
