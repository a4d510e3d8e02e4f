#include "gentianlug/gateway/gateway_node.h"
#include "task_fixture.h"

using namespace gentianlug;
using namespace gentianlug::gateway;
using namespace std::chrono_literals;
using http1::freePort;
using http1::runUntil;

namespace {

/// Store that records the writes of a node and answers none of them.
class recording_store final : public mesh_store {
public:
  void start(mesh_watcher &) override {}
  void readServers() override {}
  void setWatching(bool) override {}
  void probe(std::function<void(bool)>) override {}
  void setHealthCheck(const std::optional<store_health_check> &) override {}
  void
  setConfirmationPeriod(std::optional<std::chrono::milliseconds>) override {}
  void
  publishServer(const mesh::server_record &Record,
                std::function<void(const mesh::server_record &)>) override {
    Published.push_back(Record);
  }
  bool hasPendingPublish() const override { return false; }
  void publishBaseVersion(const service_name &, const mesh::base_version &Next,
                          std::function<void(bool)> Done) override {
    BaseVersions.push_back(Next);
    BaseVersionStored = std::move(Done);
  }
  void writeRollout(const mesh::rollout_record &Record,
                    std::function<void(bool)> Done) override {
    Rollouts.push_back(Record);
    RolloutWritten = std::move(Done);
  }

  std::vector<mesh::server_record> Published;
  std::vector<mesh::base_version> BaseVersions;
  std::function<void(bool)> BaseVersionStored;
  std::vector<mesh::rollout_record> Rollouts;
  std::function<void(bool)> RolloutWritten;
};

} // namespace

TEST_GROUP(GatewayNode) {
  task_environment Environment;
  recording_store Store;
  const service_name Service{"s"};
  const address ServerAddress{"127.0.0.1", freePort()};
  address NodeListener;
  address CallerListener;
  std::unique_ptr<gateway_node> Node;

  void setup() override { startNode(std::vector<mesh::server_record>()); }
  /// \param Stored first list of servers; empty if the store does not answer.
  void startNode(std::optional<std::vector<mesh::server_record>> Stored) {
    gateway_settings Settings;
    Settings.Location.Node = node_id("n1");
    Settings.Location.Zone = zone_name("z");
    Settings.LocalService = Service;
    Settings.ServerAddress = ServerAddress;
    CallerListener = {"127.0.0.1", freePort()};
    Settings.CallerListener = CallerListener;
    NodeListener = {"127.0.0.1", freePort()};
    Settings.NodeListener = NodeListener;
    Node =
        std::make_unique<gateway_node>(Environment.context(), Settings, Store);
    CHECK(bool(Node->start()));
    if (Stored)
      Node->onServers(std::move(*Stored));
  }
  mesh::server_announcement announcement(incarnation_number Incarnation) const {
    mesh::server_announcement Next;
    Next.Instance = "i-1";
    Next.Address = ServerAddress;
    Next.Service = Service;
    Next.Version = version_name("v1");
    Next.Zone = zone_name("z");
    Next.Incarnation = Incarnation;
    Next.Sequence = 1;
    return Next;
  }
  mesh::server_record ownRecord(mesh::server_state State) const {
    mesh::server_record Record;
    Record.Node = node_id("n1");
    Record.NodeAddress = NodeListener;
    Record.Instance = "i-1";
    Record.Service = Service;
    Record.Version = version_name("v1");
    Record.Zone = zone_name("z");
    Record.State = State;
    Record.Incarnation = 1;
    return Record;
  }
  /// Gives the node what it needs to send calls of /a to \p Server.
  void serveFrom(const mesh::server_record &Server) const {
    mesh::route Route;
    Route.Name = route_name("r");
    Route.Host = "h";
    Route.PathPrefix = "/a/";
    Route.Kind = mesh::call_kind::Idempotent;
    Route.Timeout = 10s;
    Route.TargetLatency = 10s;
    Route.Services = {{Service, 1}};
    auto Configuration = std::make_shared<mesh::mesh_configuration>();
    Configuration->Version = 1;
    Configuration->Routes = {Route};
    Node->onConfiguration(Configuration);
    Node->onBaseVersions({{Service, {Server.Version, {store_era(1), 1}}}});
    Node->onRollouts({});
    Node->onZonesOutOfService({});
    Node->onServers({Server});
  }
  announcement_status announce(const mesh::server_announcement &Next) const {
    std::optional<announcement_status> Status;
    Node->announce(Next, [&](announcement_status Result) { Status = Result; });
    CHECK(Status.has_value());
    return *Status;
  }
  mesh::rollout_record rolledBack() const {
    mesh::rollout_record Record;
    Record.Service = Service;
    Record.TargetVersion = version_name("v2");
    Record.BaseVersion = version_name("v1");
    Record.Stage = mesh::rollout_stage::RolledBack;
    Record.Revision = {store_era(1), 12};
    return Record;
  }
};

// Guards against a stored base version that stays at a version that was rolled
// back, and that a node would use once the operator removes the rollout.
TEST(GatewayNode, CorrectsTheStoredBaseVersionAfterARollback) {
  announce(announcement(1));
  CHECK_EQUAL(1, Store.Published.size());
  Node->onServers(Store.Published);
  Node->onBaseVersions({{Service, {version_name("v2"), {store_era(1), 9}}}});
  Node->onRollouts({rolledBack()});
  Node->onSyncState(true);
  runUntil(Environment.Loop, [&] { return Store.BaseVersions.size() == 1; });
  mesh::base_version Corrected{version_name("v1"), {store_era(1), 9}};
  CHECK(Store.BaseVersions.back() == Corrected);
  // The write fails and is repeated.
  Store.BaseVersionStored(false);
  runUntil(Environment.Loop, [&] { return Store.BaseVersions.size() == 2; });
  CHECK(Store.BaseVersions.back() == Corrected);
  Node->onBaseVersions({{Service, {version_name("v1"), {store_era(1), 13}}}});
  Store.BaseVersionStored(true);
  CHECK_EQUAL(2, Store.BaseVersions.size());
}

// Guards against an outage of a service with ready servers that only shows in
// the rejections of single calls.
TEST(GatewayNode, ReportsServicesWithoutAServerOfTheVersionInUse) {
  announce(announcement(1));
  Node->onServers(Store.Published);
  Node->onRollouts({});
  Node->onBaseVersions({{Service, {version_name("v2"), {store_era(1), 9}}}});
  CHECK(Node->metricsText().find("services_unreachable 1") !=
        std::string::npos);
  Node->onRollouts({rolledBack()});
  CHECK(Node->metricsText().find("services_unreachable 0") !=
        std::string::npos);
}

// Guards against an announcement of another writer that replaces the server of
// the VM, whose own announcements then count as old.
TEST(GatewayNode, RefusesAnnouncementsOfOtherServers) {
  CHECK(announce(announcement(1)) == announcement_status::Acknowledged);
  mesh::server_announcement Foreign = announcement(5);
  Foreign.Instance = "i-2";
  Foreign.Service = service_name("t");
  CHECK(announce(Foreign) == announcement_status::Refused);
  Foreign.Service = Service;
  Foreign.Address.Port = 1;
  CHECK(announce(Foreign) == announcement_status::Refused);
  CHECK_EQUAL(1, Store.Published.size());
  mesh::server_announcement Next = announcement(1);
  Next.Sequence = 2;
  Next.Slots = 7;
  CHECK(announce(Next) == announcement_status::Acknowledged);
  CHECK_EQUAL(2, Store.Published.size());
  CHECK_EQUAL(7, Store.Published.back().Slots);
}

// Guards against an entry of another writer under the name of this node, whose
// start is taken for an earlier start of the server and lies after it.
TEST(GatewayNode, ReplacesForeignRecordsUnderItsName) {
  mesh::server_record Foreign;
  Foreign.Node = node_id("n1");
  Foreign.Zone = zone_name("z");
  Foreign.Service = service_name("t");
  Foreign.Incarnation = 1000;
  startNode({{Foreign}});
  CHECK(announce(announcement(1)) == announcement_status::Acknowledged);
  CHECK_EQUAL(1, Store.Published.size());
  Environment.Clock.advance(3s);
  Node->onServers({Foreign});
  CHECK_EQUAL(2, Store.Published.size());
  CHECK(Store.Published.back().Service == Service);
}

// Guards against a server that has left and is used again after its node was
// killed: the first list of the new process is stale, and late announcements
// arrive before and after the list that holds the leaving.
TEST(GatewayNode, LeavingInALaterListEndsTheUseOfTheServer) {
  startNode({{ownRecord(mesh::server_state::Ready)}});
  CHECK(announce(announcement(1)) == announcement_status::Acknowledged);
  CHECK(Store.Published.back().State == mesh::server_state::Ready);
  Node->onServers({ownRecord(mesh::server_state::Gone)});
  mesh::server_announcement Late = announcement(1);
  Late.Sequence = 2;
  announce(Late);
  CHECK(Store.Published.back().State == mesh::server_state::Gone);
}

// Guards against a late announcement of an earlier run that replaces the record
// of the later one.
TEST(GatewayNode, RecordOfALaterRunIsNotReplaced) {
  announce(announcement(1));
  std::size_t Before = Store.Published.size();
  mesh::server_record Later = ownRecord(mesh::server_state::Ready);
  Later.Incarnation = 2;
  Node->onServers({Later});
  mesh::server_announcement Late = announcement(1);
  Late.Sequence = 2;
  Late.Slots = 7;
  announce(Late);
  CHECK_EQUAL(Before, Store.Published.size());
}

// Guards against a restarted node that acknowledges the leaving of its server
// before the server has announced itself, and stores nothing: late
// announcements bring the server back.
TEST(GatewayNode, LeavingBeforeTheFirstAnnouncementIsStored) {
  startNode({{ownRecord(mesh::server_state::Ready)}});
  bool Acked = false;
  Node->deregister("i-1", 1, [&] { Acked = true; });
  CHECK_EQUAL(1, Store.Published.size());
  CHECK(Store.Published.back() == ownRecord(mesh::server_state::Gone));
  CHECK_FALSE(Acked);
  announce(announcement(1));
  CHECK_EQUAL(1, Store.Published.size());
}

// Guards against an acknowledgement before the node has read the record that
// has to be replaced, while the store is there.
TEST(GatewayNode, LeavingIsAcknowledgedAfterTheFirstList) {
  startNode(std::nullopt);
  bool Acked = false;
  Node->deregister("i-1", 1, [&] { Acked = true; });
  CHECK_FALSE(Acked);
  Node->onServers({ownRecord(mesh::server_state::Ready)});
  CHECK_EQUAL(1, Store.Published.size());
  CHECK(Store.Published.back().State == mesh::server_state::Gone);
  CHECK_FALSE(Acked);
}

// Guards against an acknowledgement that waits for a store that is away.
TEST(GatewayNode, LeavingIsAcknowledgedWithoutTheStore) {
  startNode(std::nullopt);
  bool Acked = false;
  Node->deregister("i-1", 1, [&] { Acked = true; });
  runUntil(Environment.Loop, [&] { return Acked; });
}

// Guards against a stopping node that ends with responses in hand, because they
// wait behind a call of their connection whose server is still at work
// (review/11).
TEST(GatewayNode, ResponsesBehindAnOpenCallAreSentBeforeTheEnd) {
  std::vector<std::shared_ptr<http1::exchange>> Calls;
  http1::server Peer(Environment.Loop, {},
                     [&](std::shared_ptr<http1::exchange> Call) {
                       Calls.push_back(std::move(Call));
                     });
  mesh::server_record Server = ownRecord(mesh::server_state::Ready);
  Server.Node = node_id("n2");
  Server.NodeAddress = {"127.0.0.1", freePort()};
  CHECK(bool(Peer.listen(Server.NodeAddress, {})));
  serveFrom(Server);
  http1::byte_client Caller(CallerListener);
  Caller.send("GET /a/long HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /a/short HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil(Environment.Loop, [&] { return Calls.size() == 2; });
  bool Ended = false;
  Node->stop([&] { Ended = true; });
  for (const auto &Call : Calls)
    if (Call->receivedRequest().Target == "/a/short")
      Call->respond(encodeServingResult({serving_outcome::Answered,
                                         http1::makeStatusResponse(200),
                                         "",
                                         false,
                                         {}}));
  Environment.Clock.advance(mesh::mesh_bounds{}.ShutdownGracePeriod - 500ms);
  runUntil(Environment.Loop, [&] { return Ended; });
  Caller.receive();
  // The first call may have run, so its status promises nothing.
  CHECK(Caller.Received.starts_with("HTTP/1.1 502 "));
  CHECK(Caller.Received.find("HTTP/1.1 200 ") != std::string::npos);
}

// Guards against a decision that lives on in the memory of the nodes only,
// after the store has come back from an older copy.
TEST(GatewayNode, FinishedRolloutIsStoredAgainAfterARestore) {
  announce(announcement(1));
  Node->onServers(Store.Published);
  Node->onBaseVersions({{Service, {version_name("v1"), {store_era(1), 9}}}});
  mesh::rollout_record Known = rolledBack();
  Known.Duration = 100s;
  Node->onRollouts({Known});
  Node->onSyncState(true);
  mesh::rollout_record Copy = Known;
  Copy.Stage = mesh::rollout_stage::Running;
  Copy.Revision = {store_era(2), 10};
  Node->onRollouts({Copy});
  runUntil(Environment.Loop, [&] { return Store.Rollouts.size() == 1; });
  CHECK(Store.Rollouts.back().Stage == mesh::rollout_stage::RolledBack);
  CHECK(Store.Rollouts.back().Revision == Copy.Revision);
  // Another writer was faster, and the write is repeated on its revision.
  Copy.Revision = {store_era(2), 11};
  Node->onRollouts({Copy});
  Store.RolloutWritten(false);
  runUntil(Environment.Loop, [&] { return Store.Rollouts.size() == 2; });
  CHECK(Store.Rollouts.back().Revision == Copy.Revision);
}

// Guards against a leaving that a restored store has lost and nobody stores
// again: the next process of the node would take the server for a ready one.
TEST(GatewayNode, LeavingIsStoredAgainAfterARestore) {
  announce(announcement(1));
  mesh::server_record Ready = Store.Published.back();
  Node->onServers({Ready});
  Node->deregister("i-1", 1, [] {});
  mesh::server_record Gone = Store.Published.back();
  CHECK(Gone.State == mesh::server_state::Gone);
  Node->onServers({Gone});
  Environment.Clock.advance(3s);
  std::size_t Before = Store.Published.size();
  Node->onServers({Gone});
  CHECK_EQUAL(Before, Store.Published.size());
  Node->onServers({Ready});
  CHECK_EQUAL(Before + 1, Store.Published.size());
  CHECK(Store.Published.back() == Gone);
}
