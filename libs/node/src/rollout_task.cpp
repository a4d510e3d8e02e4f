#include "gentianlug/node/rollout_task.h"

#include "gentianlug/core/hash.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/platform_client.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/observe/metrics.h"
#include "gentianlug/rollout/fixed_threshold_evaluator.h"
#include "gentianlug/rollout/sequential_evaluator.h"
#include "gentianlug/wire/rollout_values.h"
#include "rollout_participation.h"

#include <nlohmann/json.hpp>

namespace gentianlug::node {

using observe::event;
using observe::logEvent;
using rollout::rollout_phase;
using std::chrono::milliseconds;

/// Evidence and notices that arrive later than this are of no use.
static constexpr milliseconds MessageTimeout{1000};
/// Maximum number of messages in flight to other nodes; further messages are
/// dropped.
static constexpr int MaxMessagesInFlight = 1024;
/// Maximum time for releasing the lease when the node stops.
static constexpr milliseconds ReleaseTimeout{1000};
/// Step duration with the fixed-threshold evaluator, the baseline of the
/// experiments. Its six steps must fit into the time windows of an experiment.
static constexpr milliseconds BaselineStepDuration{6000};

/// Returns the seed of the random generator. Write ids must differ between
/// nodes that share a configured seed, and between incarnations of a node.
static std::uint64_t seedOf(const settings::node_settings &Settings) {
  if (Settings.Seed == 0)
    return std::random_device{}();
  auto StartTime = system_clock().wallNow().time_since_epoch().count();
  return Settings.Seed ^ hash64(Settings.Node.str()) ^ std::uint64_t(StartTime);
}

struct rollout_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  system_clock Clock;
  generator Gen;
  net::platform_client Platform;
  net::http_client Client;
  observe::metric_set Metrics;
  net::mailbox<std::shared_ptr<const routing_snapshot>> Snapshots;
  net::mailbox<evidence_ready> LocalEvidence;
  net::mailbox<rollout::server_evidence> RemoteEvidence;
  net::mailbox<rollout::controller_notice> Notices;
  net::mailbox<stop_request> StopRequests;
  /// Runs only while the local server's service has a rollout.
  net::timer EvaluationTimer;
  net::timer StopTimer;
  std::shared_ptr<const routing_snapshot> Snapshot;
  /// Last known local server. A node whose server has stopped still takes part
  /// in the rollout, so that the rollout does not lose its controller.
  std::optional<wire::server_announcement> Server;
  std::unique_ptr<rollout_participation> Participation;
  std::string LastStatusJson;
  int MessagesInFlight = 0;
  bool Stopping = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Gen(seedOf(Settings)), Platform(Loop, Settings.Platform), Client(Loop),
        Snapshots(Loop,
                  [this](std::shared_ptr<const routing_snapshot> NewSnapshot) {
                    onSnapshot(std::move(NewSnapshot));
                  }),
        LocalEvidence(Loop,
                      [this](evidence_ready Message) {
                        onLocalEvidence(std::move(Message.Evidence));
                      }),
        RemoteEvidence(Loop,
                       [this](const rollout::server_evidence &Evidence) {
                         if (Participation)
                           Participation->onRemoteEvidence(Evidence);
                       }),
        Notices(Loop,
                [this](const rollout::controller_notice &Notice) {
                  if (Participation)
                    Participation->onNotice(Notice);
                }),
        StopRequests(Loop, [this](stop_request) { stop(); }),
        EvaluationTimer(Loop, [this] { tick(); }),
        StopTimer(Loop, [this] { this->Loop.stop(); }) {}

  void onSnapshot(std::shared_ptr<const routing_snapshot> NewSnapshot) {
    Snapshot = std::move(NewSnapshot);
    if (Snapshot->Server)
      Server = Snapshot->Server;
    auto Parameters = currentParameters();
    if (!Parameters) {
      Participation.reset();
      EvaluationTimer.cancel();
      return report();
    }
    if (!Participation || !Participation->matches(*Parameters, *Server))
      startParticipation(std::move(*Parameters));
    Participation->setServerPresent(Snapshot->Server &&
                                    !Snapshot->Server->Draining);
    Participation->onConfigurationChanged(Snapshot->Configuration->Version);
    auto State =
        Snapshot->Rollouts.find(Participation->parameters().Rollout.Service);
    if (State != Snapshot->Rollouts.end())
      Participation->onStateDelivered(State->second);
    report();
  }

  /// Returns the parameters of the rollout of the local server's service, if
  /// there is one.
  std::optional<rollout::controller_parameters> currentParameters() const {
    if (!Snapshot->Configuration || !Server)
      return std::nullopt;
    const config::site_configuration &Configuration =
        Snapshot->Configuration->Configuration;
    const service_name &Name = Server->Service;
    const config::service *Service = config::findService(Configuration, Name);
    const config::rollout *Rollout = config::findRollout(Configuration, Name);
    if (!Service || !Rollout)
      return std::nullopt;
    rollout::controller_parameters Parameters;
    Parameters.Rollout = *Rollout;
    Parameters.OldVersion = Service->Version;
    for (const config::route &Route : Configuration.Routes)
      if (Route.Service == Name)
        Parameters.Routes.push_back(Route.Name);
    Parameters.ConfigVersion = Snapshot->Configuration->Version;
    Parameters.ControlAddress = Settings.ControlListen;
    if (Settings.EvaluatorKind == settings::evaluator_kind::FixedThreshold)
      Parameters.FixedStepDuration = BaselineStepDuration;
    return Parameters;
  }

  std::unique_ptr<rollout::version_evaluator> makeEvaluator() const {
    if (Settings.EvaluatorKind == settings::evaluator_kind::FixedThreshold)
      return std::make_unique<rollout::fixed_threshold_evaluator>();
    return std::make_unique<rollout::sequential_evaluator>();
  }

  void startParticipation(rollout::controller_parameters Parameters) {
    rollout_session::context Context{Platform, Clock, Gen, Settings.Node};
    Participation.reset();
    Participation = std::make_unique<rollout_participation>(
        Context, std::move(Parameters), *Server, makeEvaluator(),
        rollout_participation::outputs{
            Outputs.Quarantine,
            [this](const address &Controller,
                   const rollout::server_evidence &Evidence) {
              send(Controller, "/v1/evidence", wire::encode(Evidence));
            },
            [this](const rollout::controller_notice &Notice) {
              sendNotice(Notice);
            }});
    EvaluationTimer.startEvery(rollout::EvaluationPeriod);
  }

  void onLocalEvidence(rollout::server_evidence Evidence) {
    if (Participation)
      Participation->onLocalEvidence(std::move(Evidence));
  }

  void send(const address &Peer, const std::string &Target, std::string Body) {
    if (MessagesInFlight >= MaxMessagesInFlight)
      return;
    ++MessagesInFlight;
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = Target;
    Request.Body = std::move(Body);
    Client.send(Peer, Request, MessageTimeout,
                [this, Peer](const result<net::http_response> &Answer) {
                  --MessagesInFlight;
                  if (Answer)
                    return;
                  Metrics.count("gentianlug_rollout_messages_lost_total");
                  logEvent(event::EvidenceLost,
                           Peer.str() + ": " + Answer.failure().message());
                });
  }

  void tick() {
    if (!Participation)
      return;
    Participation->tick();
    report();
    if (Stopping && !Participation->release())
      Loop.stop();
  }

  void sendNotice(const rollout::controller_notice &Notice) {
    std::string Body = wire::encode(Notice);
    for (const membership::member_record &Member : *Snapshot->Members)
      if (Member.Service == Notice.Service && Member.Node != Settings.Node &&
          Member.ControlAddress.Port != 0 &&
          Member.State != membership::member_state::Left)
        send(Member.ControlAddress, "/v1/steering", Body);
  }

  void stop() {
    Stopping = true;
    if (!Participation || !Participation->release())
      return Loop.stop();
    StopTimer.startOnce(ReleaseTimeout);
  }

  void report() {
    task_report Report;
    Report.Task = "rollout";
    Metrics.gauge("gentianlug_rollouts_steered",
                  Participation && Participation->isController());
    Report.Metrics = Metrics.render();
    Report.StatusJson = "{}";
    const rollout::rollout_state *State =
        Participation ? Participation->state() : nullptr;
    if (State) {
      Report.StatusJson = statusJson(*State);
      Report.StatusLines.push_back(statusLine(*State));
    }
    // Ticks are frequent, so only changed reports are sent.
    if (Report.StatusJson == LastStatusJson)
      return;
    LastStatusJson = Report.StatusJson;
    Outputs.Report(std::move(Report));
  }

  std::string statusJson(const rollout::rollout_state &State) const {
    return nlohmann::json{{"rollout", State.Id},
                          {"state", nlohmann::json::parse(wire::encode(State))},
                          {"steers", Participation->isController()},
                          {"cut", Participation->quarantineReason()}}
        .dump();
  }

  static std::string statusLine(const rollout::rollout_state &State) {
    std::string Subject = "The move of " + State.Service.str() +
                          " to version " + State.Version.str();
    auto Percent = std::to_string(std::lround(100 * State.Share)) + "%";
    switch (State.Phase) {
    case rollout_phase::Waiting:
      return Subject + " waits for servers of that version.";
    case rollout_phase::Progressing:
      return Subject + " is under way; it gets " + Percent + " of the calls.";
    case rollout_phase::Paused:
      return Subject + " is paused at " + Percent + " of the calls.";
    case rollout_phase::Completed:
      return Subject + " is done.";
    case rollout_phase::RolledBack:
      return Subject + " was taken back: " + State.Reason + ".";
    }
    return Subject;
  }
};

rollout_task::rollout_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

rollout_task::~rollout_task() { join(); }

net::mailbox<std::shared_ptr<const routing_snapshot>> &
rollout_task::snapshots() {
  return Impl->Snapshots;
}

net::mailbox<evidence_ready> &rollout_task::localEvidence() {
  return Impl->LocalEvidence;
}

net::mailbox<rollout::server_evidence> &rollout_task::remoteEvidence() {
  return Impl->RemoteEvidence;
}

net::mailbox<rollout::controller_notice> &rollout_task::controllerNotices() {
  return Impl->Notices;
}

net::mailbox<stop_request> &rollout_task::stopRequests() {
  return Impl->StopRequests;
}

void rollout_task::onStart() {}

} // namespace gentianlug::node
