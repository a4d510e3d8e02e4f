#include "gentianlug/node/node.h"

#include "gentianlug/net/signal_watch.h"
#include "gentianlug/node/admin_task.h"
#include "gentianlug/node/control_task.h"
#include "gentianlug/node/proxy_task.h"
#include "gentianlug/node/rollout_task.h"
#include "gentianlug/observe/log.h"

#include <csignal>

namespace gentianlug::node {

using observe::event;
using observe::logEvent;

namespace {

/// The tasks of one node and the routing of messages between them. Messages may
/// be posted to a task before it starts; its mailbox queues them.
struct node_tasks {
  admin_task Admin;
  proxy_task Proxy;
  control_task Control;
  rollout_task Rollouts;

  explicit node_tasks(const settings::node_settings &Settings)
      : Admin(Settings, {[this](server_announced Message) {
                Proxy.announcements().post(Message);
                Control.announcements().post(std::move(Message));
              }}),
        Proxy(Settings, {[this](task_report Report) {
                           Admin.reports().post(std::move(Report));
                         },
                         [this](evidence_ready Message) {
                           Rollouts.localEvidence().post(std::move(Message));
                         },
                         [this] { Control.stopRequests().post({}); }}),
        Control(Settings,
                {[this](std::shared_ptr<const routing_snapshot> Snapshot) {
                   Rollouts.snapshots().post(Snapshot);
                   Proxy.snapshots().post(std::move(Snapshot));
                 },
                 [this](task_report Report) {
                   Admin.reports().post(std::move(Report));
                 },
                 [this](rollout::server_evidence Evidence) {
                   Rollouts.remoteEvidence().post(std::move(Evidence));
                 },
                 [this] { Proxy.stopRequests().post({}); },
                 [this](rollout::controller_notice Notice) {
                   Rollouts.controllerNotices().post(std::move(Notice));
                 }}),
        Rollouts(Settings, {[this](const version_quarantine &Message) {
                              Proxy.quarantines().post(Message);
                            },
                            [this](task_report Report) {
                              Admin.reports().post(std::move(Report));
                            }}) {}

  result<void> listen() {
    if (auto Listening = Proxy.listen(); !Listening)
      return Listening;
    if (auto Listening = Control.listen(); !Listening)
      return Listening;
    return Admin.listen();
  }

  void start() {
    Admin.start();
    Proxy.start();
    Control.start();
    Rollouts.start();
  }

  void join() {
    Proxy.join();
    Rollouts.stopRequests().post({});
    Rollouts.join();
    Control.join();
    Admin.stopRequests().post({});
    Admin.join();
  }
};

} // namespace

result<void> runNode(const settings::node_settings &Settings) {
  std::signal(SIGPIPE, SIG_IGN);
  node_tasks Tasks(Settings);
  if (auto Listening = Tasks.listen(); !Listening) {
    logEvent(event::ListenFailed, Listening.failure().message());
    return Listening;
  }
  Tasks.start();
  logEvent(event::NodeStarted, Settings.Node.str() + " in " +
                                   Settings.Zone.str() + ", callers at " +
                                   Settings.CallerListen.str());
  net::event_loop Signals;
  net::signal_watch Watch(Signals, {SIGTERM, SIGINT}, [&](int) {
    Tasks.Control.drainRequests().post({});
    Signals.stop();
  });
  Signals.run();
  Tasks.join();
  logEvent(event::NodeStopped, Settings.Node.str());
  return {};
}

} // namespace gentianlug::node
