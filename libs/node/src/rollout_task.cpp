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

/// Evidence and notices are worthless when they are late.
static constexpr milliseconds MessageTimeout{1000};
/// Messages under way to other nodes; further ones are dropped.
static constexpr int MaxMessagesUnderWay = 1024;
/// Longest time at a stop for giving the lease up.
static constexpr milliseconds LongestRelease{1000};
/// Length of the steps of the baseline; its six steps fit into the windows of
/// the experiment.
static constexpr milliseconds FixedStep{6000};

/// Write ids must differ between nodes with one configured seed, and between
/// the lives of a node.
static std::uint64_t seedOf(const settings::node_settings &Settings) {
  if (Settings.Seed == 0)
    return std::random_device{}();
  auto Life = system_clock().wallNow().time_since_epoch().count();
  return Settings.Seed ^ hash64(Settings.Node.str()) ^ std::uint64_t(Life);
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
  net::mailbox<stop_request> Stops;
  /// Runs only while the local server's service has a rollout.
  net::timer Tick;
  net::timer StopTimer;
  std::shared_ptr<const routing_snapshot> Snapshot;
  /// Last known local server. A node whose server is gone keeps its part, so
  /// that a rollout is not without a controller for that.
  std::optional<wire::server_announcement> Server;
  std::unique_ptr<rollout_participation> Part;
  std::string LastReport;
  int MessagesUnderWay = 0;
  bool Stopping = false;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Gen(seedOf(Settings)), Platform(Loop, Settings.Platform), Client(Loop),
        Snapshots(Loop,
                  [this](std::shared_ptr<const routing_snapshot> Next) {
                    onSnapshot(std::move(Next));
                  }),
        LocalEvidence(Loop,
                      [this](evidence_ready Message) {
                        onLocalEvidence(std::move(Message.Evidence));
                      }),
        RemoteEvidence(Loop,
                       [this](const rollout::server_evidence &Evidence) {
                         if (Part)
                           Part->onRemoteEvidence(Evidence);
                       }),
        Notices(Loop,
                [this](const rollout::controller_notice &Notice) {
                  if (Part)
                    Part->onNotice(Notice);
                }),
        Stops(Loop, [this](stop_request) { stop(); }),
        Tick(Loop, [this] { tick(); }),
        StopTimer(Loop, [this] { this->Loop.stop(); }) {}

  void onSnapshot(std::shared_ptr<const routing_snapshot> Next) {
    Snapshot = std::move(Next);
    if (Snapshot->Server)
      Server = Snapshot->Server;
    auto Task = currentTask();
    if (!Task) {
      Part.reset();
      Tick.cancel();
      return report();
    }
    if (!Part || !Part->matches(*Task, *Server))
      takePart(std::move(*Task));
    Part->onServer(Snapshot->Server && !Snapshot->Server->Draining);
    Part->onConfiguration(Snapshot->Configuration->Version);
    auto State = Snapshot->Rollouts.find(Part->task().Rollout.Service);
    if (State != Snapshot->Rollouts.end())
      Part->onDelivered(State->second);
    report();
  }

  /// Returns what to steer; nothing when the service of the local server does
  /// not move.
  std::optional<rollout::controller_parameters> currentTask() const {
    if (!Snapshot->Configuration || !Server)
      return std::nullopt;
    const config::site_configuration &Configuration =
        Snapshot->Configuration->Configuration;
    const service_name &Name = Server->Service;
    const config::service *Service = config::findService(Configuration, Name);
    const config::rollout *Rollout = config::findRollout(Configuration, Name);
    if (!Service || !Rollout)
      return std::nullopt;
    rollout::controller_parameters Task;
    Task.Rollout = *Rollout;
    Task.OldVersion = Service->Version;
    for (const config::route &Route : Configuration.Routes)
      if (Route.Service == Name)
        Task.Routes.push_back(Route.Name);
    Task.ConfigVersion = Snapshot->Configuration->Version;
    Task.ControlAddress = Settings.ControlListen;
    if (Settings.RolloutVerdict == settings::rollout_verdict::Fixed)
      Task.FixedStepDuration = FixedStep;
    return Task;
  }

  std::unique_ptr<rollout::version_evaluator> makeVerdict() const {
    if (Settings.RolloutVerdict == settings::rollout_verdict::Fixed)
      return std::make_unique<rollout::fixed_threshold_evaluator>();
    return std::make_unique<rollout::sequential_evaluator>();
  }

  void takePart(rollout::controller_parameters Task) {
    rollout_session::context Context{Platform, Clock, Gen, Settings.Node};
    Part.reset();
    Part = std::make_unique<rollout_participation>(
        Context, std::move(Task), *Server, makeVerdict(),
        rollout_participation::outputs{
            Outputs.Quarantine,
            [this](const address &Controller,
                   const rollout::server_evidence &Evidence) {
              send(Controller, "/v1/evidence", wire::encode(Evidence));
            },
            [this](const rollout::controller_notice &Notice) {
              sendNotice(Notice);
            }});
    Tick.startEvery(rollout::EvaluationPeriod);
  }

  void onLocalEvidence(rollout::server_evidence Evidence) {
    if (Part)
      Part->onLocalEvidence(std::move(Evidence));
  }

  void send(const address &Peer, const std::string &Target, std::string Body) {
    if (MessagesUnderWay >= MaxMessagesUnderWay)
      return;
    ++MessagesUnderWay;
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = Target;
    Request.Body = std::move(Body);
    Client.send(Peer, Request, MessageTimeout,
                [this, Peer](const result<net::http_response> &Answer) {
                  --MessagesUnderWay;
                  if (Answer)
                    return;
                  Metrics.count("gentianlug_rollout_messages_lost_total");
                  logEvent(event::EvidenceLost,
                           Peer.str() + ": " + Answer.failure().message());
                });
  }

  void tick() {
    if (!Part)
      return;
    Part->tick();
    report();
    if (Stopping && !Part->release())
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
    if (!Part || !Part->release())
      return Loop.stop();
    StopTimer.startOnce(LongestRelease);
  }

  void report() {
    task_report Report;
    Report.Task = "rollout";
    Metrics.gauge("gentianlug_rollouts_steered", Part && Part->isController());
    Report.Metrics = Metrics.render();
    Report.StatusJson = "{}";
    const rollout::rollout_state *State = Part ? Part->state() : nullptr;
    if (State) {
      Report.StatusJson = statusJson(*State);
      Report.StatusLines.push_back(sentence(*State));
    }
    // Ticks are frequent; only changes are worth a message.
    if (Report.StatusJson == LastReport)
      return;
    LastReport = Report.StatusJson;
    Outputs.Report(std::move(Report));
  }

  std::string statusJson(const rollout::rollout_state &State) const {
    return nlohmann::json{{"rollout", State.Id},
                          {"state", nlohmann::json::parse(wire::encode(State))},
                          {"steers", Part->isController()},
                          {"cut", Part->quarantineReason()}}
        .dump();
  }

  static std::string sentence(const rollout::rollout_state &State) {
    std::string Start = "The move of " + State.Service.str() + " to version " +
                        State.Version.str();
    auto Percent = std::to_string(std::lround(100 * State.Share)) + "%";
    switch (State.Phase) {
    case rollout_phase::Waiting:
      return Start + " waits for servers of that version.";
    case rollout_phase::Progressing:
      return Start + " is under way; it gets " + Percent + " of the calls.";
    case rollout_phase::Paused:
      return Start + " is paused at " + Percent + " of the calls.";
    case rollout_phase::Completed:
      return Start + " is done.";
    case rollout_phase::RolledBack:
      return Start + " was taken back: " + State.Reason + ".";
    }
    return Start;
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

net::mailbox<stop_request> &rollout_task::stopRequests() { return Impl->Stops; }

void rollout_task::onStart() {}

} // namespace gentianlug::node
