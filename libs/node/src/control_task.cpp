#include "gentianlug/node/control_task.h"

#include "gentianlug/config/config_errc.h"
#include "gentianlug/net/platform_client.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/node/config_fetcher.h"
#include "gentianlug/observe/log.h"
#include "gentianlug/observe/metrics.h"
#include "gentianlug/platform/keys.h"
#include "gentianlug/platform/platform_errc.h"
#include "gentianlug/platform/zone_status.h"
#include "gentianlug/wire/platform_values.h"

#include <nlohmann/json.hpp>

namespace gentianlug::node {

using observe::event;
using observe::logEvent;
using platform::platform_errc;
using std::chrono::milliseconds;

static constexpr milliseconds WatchWait{10000};
static constexpr milliseconds PlatformRetryDelay{500};

struct control_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  net::mailbox<server_announced> Announcements;
  net::mailbox<stop_request> Stops;
  net::platform_client Platform;
  config_fetcher Fetcher;
  net::timer Retry;
  system_clock Clock;
  observe::metric_set Metrics;
  routing_snapshot Snapshot;
  object_revision WatchedRevision = 0;
  std::vector<platform::config_refusal> Refusals;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Announcements(Loop, [this](server_announced M) { onAnnounced(M); }),
        Stops(Loop, [this](stop_request) { this->Loop.stop(); }),
        Platform(Loop, Settings.Platform), Fetcher(Platform, Settings.Site),
        Retry(Loop, [this] { readAll(); }) {
    Snapshot.Members =
        std::make_shared<const std::vector<membership::member_record>>();
  }

  void publish() {
    Outputs.Routing(std::make_shared<const routing_snapshot>(Snapshot));
    report();
  }

  config_version versionInForce() const {
    return Snapshot.Configuration ? Snapshot.Configuration->Version : 0;
  }

  void report() {
    task_report Report;
    Report.Task = "control";
    Metrics.gauge("gentianlug_config_version", double(versionInForce()));
    Report.Metrics = Metrics.render();
    Report.StatusJson = nlohmann::json{
        {"node", Settings.Node.str()},
        {"availability_zone", Settings.Zone.str()},
        {"config_version",
         versionInForce()}}.dump();
    Report.Sentences.push_back(
        versionInForce() == 0
            ? "No configuration is in force on this node yet."
            : "Configuration version " + std::to_string(versionInForce()) +
                  " is in force on this node.");
    Outputs.Report(std::move(Report));
  }

  membership::member_record
  ownRecord(const wire::server_announcement &Announcement) const {
    membership::member_record Record;
    Record.Node = Settings.Node;
    Record.Zone = Settings.Zone;
    Record.PeerAddress = Settings.PeerListen;
    Record.ControlAddress = Settings.ControlListen;
    Record.Service = Announcement.Service;
    Record.Version = Announcement.Version;
    Record.Slots = Announcement.Slots;
    Record.ServerIncarnation = Announcement.Incarnation;
    Record.State = Announcement.Draining ? membership::member_state::Draining
                                         : membership::member_state::Serving;
    return Record;
  }

  void onAnnounced(const server_announced &Message) {
    if (Snapshot.Server == Message.Announcement)
      return;
    Snapshot.Server = Message.Announcement;
    Snapshot.Members =
        std::make_shared<const std::vector<membership::member_record>>(
            1, ownRecord(Message.Announcement));
    logEvent(event::ServerAnnounced, Message.Announcement.Service.str() + " " +
                                         Message.Announcement.Version.str() +
                                         " at " +
                                         Message.Announcement.Address.str());
    publish();
  }

  void retryLater(const error &Failure) {
    logEvent(event::PlatformUnreachable, Failure.message());
    Metrics.count("gentianlug_platform_failures_total");
    Retry.startOnce(PlatformRetryDelay);
  }

  void readAll() {
    Platform.list(platform::LivePrefix,
                  [this](result<platform::object_list> List) {
                    if (!List)
                      return retryLater(List.failure());
                    for (const platform::object &Object : List->Objects)
                      onValue(Object.Key, Object.Value);
                    WatchedRevision = List->Revision;
                    watch();
                  });
  }

  void watch() {
    Platform.watch(platform::LivePrefix, WatchedRevision, WatchWait,
                   [this](result<platform::change_batch> Batch) {
                     if (!Batch)
                       return retryLater(Batch.failure());
                     for (const platform::object_change &Change :
                          Batch->Changes)
                       if (Change.Value)
                         onValue(Change.Key, *Change.Value);
                     WatchedRevision = Batch->Revision;
                     watch();
                   });
  }

  void onValue(const std::string &Key, const std::string &Value) {
    if (Key != platform::ConfigHeadKey)
      return;
    auto Head = wire::decodeConfigHead(Value);
    if (!Head)
      return refuse(0, Head.failure());
    if (Head->Version <= versionInForce())
      return;
    Fetcher.fetch(*Head, [this, Version = Head->Version](
                             result<fetched_configuration> Fetched) {
      if (Fetched)
        putInForce(std::move(*Fetched));
      else
        refuse(Version, Fetched.failure());
    });
  }

  void putInForce(fetched_configuration Fetched) {
    Snapshot.Configuration = std::move(Fetched.Configuration);
    logEvent(event::ConfigInForce,
             "version " + std::to_string(versionInForce()));
    publish();
    writeStatus();
  }

  void refuse(config_version Version, const error &Reason) {
    logEvent(event::ConfigRefused,
             "version " + std::to_string(Version) + ": " + Reason.message());
    if (Refusals.size() < platform::MaxListedRefusals)
      Refusals.push_back({Settings.Node, Version, Reason.message()});
    writeStatus();
  }

  void writeStatus() {
    platform::zone_status Status;
    Status.Zone = Settings.Zone;
    Status.Site = Settings.Site;
    Status.NodesByVersion[versionInForce()] = 1;
    Status.Refusals = Refusals;
    Status.UpdatedAt = Clock.wallNow();
    Platform.put(platform::statusKey(Settings.Zone), wire::encode(Status),
                 std::nullopt, [](result<object_revision>) {});
  }
};

control_task::control_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

control_task::~control_task() { join(); }

net::mailbox<server_announced> &control_task::announcements() {
  return Impl->Announcements;
}

net::mailbox<stop_request> &control_task::stops() { return Impl->Stops; }

void control_task::onStart() {
  Impl->report();
  Impl->readAll();
}

void control_task::onStop() {}

} // namespace gentianlug::node
