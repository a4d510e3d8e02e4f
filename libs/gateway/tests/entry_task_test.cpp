#include "gentianlug/gateway/entry_task.h"
#include "gentianlug/http1/client_pool.h"
#include "task_fixture.h"

using namespace gentianlug;
using namespace gentianlug::gateway;
using namespace std::chrono_literals;
using http1::freePort;
using http1::runUntil;

namespace {

/// Stand-in for the node beside a server; holds calls until the test responds.
struct fake_peer {
  mesh::server_record Record;
  std::vector<std::shared_ptr<http1::exchange>> Calls;
  http1::server Listener;

  fake_peer(net::event_loop &Loop, const std::string &Name)
      : Listener(Loop, {}, [this](std::shared_ptr<http1::exchange> Exchange) {
          Calls.push_back(std::move(Exchange));
        }) {
    Record.Node = node_id(Name);
    Record.NodeAddress = {"127.0.0.1", freePort()};
    Record.Instance = Name;
    Record.Service = service_name("s");
    Record.Version = version_name("v1");
    Record.Zone = zone_name("z");
    Record.Slots = 5;
    CHECK(bool(Listener.listen(Record.NodeAddress, {})));
  }
  void reject(const char *Reason) {
    serving_result Result;
    Result.Outcome = serving_outcome::Refused;
    Result.Reason = Reason;
    respond(std::move(Result));
  }
  void respond(serving_result Result) {
    auto Exchange = std::move(Calls.back());
    Calls.pop_back();
    Exchange->respond(encodeServingResult(std::move(Result)));
  }
};

} // namespace

TEST_GROUP(EntryTask) {
  task_environment Environment;
  net::event_loop &Loop = Environment.Loop;
  http1::link_pacer Pacer{Loop, 0};
  serving_task Serving{Environment.context(), 0, Pacer};
  std::unique_ptr<entry_task> Entry;
  http1::client_pool Client{Loop, {}, {}};
  address Address{"127.0.0.1", freePort()};
  std::vector<std::unique_ptr<fake_peer>> Peers;
  int Status = 0;

  void setup() override {
    node_location Location;
    Location.Node = node_id("entry");
    Location.Zone = zone_name("z");
    Entry = std::make_unique<entry_task>(Environment.context(), Location,
                                         divideDescriptors({}), Serving, Pacer);
    CHECK(bool(Entry->listen(Address)));
    mesh::route Route;
    Route.Name = route_name("r");
    Route.Host = "h";
    Route.PathPrefix = "/";
    Route.Kind = mesh::call_kind::Idempotent;
    Route.Timeout = 2s;
    Route.TargetLatency = 1s;
    Route.Services = {{service_name("s"), 1}};
    Route.MaxAttempts = 3;
    auto Configuration = std::make_shared<mesh::mesh_configuration>();
    Configuration->Version = 1;
    Configuration->Routes = {Route};
    Entry->onConfiguration(Configuration);
    mesh::version_policy Versions;
    Versions.setBaseVersions(
        {{service_name("s"), {version_name("v1"), {store_era(1), 1}}}});
    Entry->onVersions(Versions);
  }
  void addPeers(int Count) {
    std::vector<mesh::server_record> Records;
    for (int Index = 0; Index < Count; ++Index) {
      Peers.push_back(
          std::make_unique<fake_peer>(Loop, "p" + std::to_string(Index)));
      Records.push_back(Peers.back()->Record);
    }
    Entry->onServers(Records);
  }
  void call() {
    http1::request Request;
    Request.Method = "GET";
    Request.Target = "/";
    Request.Headers.add("Host", "h");
    Client.send(Address, std::move(Request), {},
                [&](http1::send_result Result) {
                  Status = Result.Outcome == http1::send_outcome::Responded
                               ? Result.Response.Status
                               : -1;
                });
  }
  std::size_t heldCalls() const {
    std::size_t Count = 0;
    for (const auto &Each : Peers)
      Count += Each->Calls.size();
    return Count;
  }
  /// Returns the peer that holds a call, other than \p Not.
  fake_peer &holder(const fake_peer *Not = nullptr) {
    for (const auto &Each : Peers)
      if (!Each->Calls.empty() && Each.get() != Not)
        return *Each;
    FAIL("no peer holds a call");
    return *Peers.front();
  }
};

// Guards against a status that promises nothing although no attempt has reached
// a server: callers must not repeat a call after it. The hedged attempt counted
// the first one as executed.
TEST(EntryTask, HedgedCallThatNoServerReceivedIsRejected) {
  for (bool HedgeFirst : {true, false}) {
    Peers.clear();
    addPeers(2);
    Status = 0;
    call();
    runUntil(Loop, [&] { return heldCalls() == 1; });
    fake_peer &First = holder();
    runUntil(Loop, [&] { return heldCalls() == 2; });
    fake_peer &Hedge = holder(&First);
    (HedgeFirst ? Hedge : First).reject(HedgeFirst ? "repeats-spent" : "busy");
    runUntil(Loop, [&] { return heldCalls() == 1; });
    (HedgeFirst ? First : Hedge).reject(HedgeFirst ? "busy" : "repeats-spent");
    runUntil(Loop, [&] { return Status != 0; });
    LONGS_EQUAL(503, Status);
  }
}

// Guards against a promise that a call has not run while its fate is unknown.
TEST(EntryTask, HedgedCallWithLostResponseFails) {
  addPeers(2);
  call();
  runUntil(Loop, [&] { return heldCalls() == 1; });
  fake_peer &First = holder();
  runUntil(Loop, [&] { return heldCalls() == 2; });
  fake_peer &Hedge = holder(&First);
  serving_result Lost;
  Lost.Outcome = serving_outcome::Unknown;
  Lost.Reason = "answer-lost";
  First.respond(std::move(Lost));
  runUntil(Loop, [&] { return heldCalls() == 1; });
  Hedge.reject("repeats-spent");
  runUntil(Loop, [&] { return Status != 0; });
  LONGS_EQUAL(502, Status);
}

// Guards against retries of calls that failed because the mesh had rejected a
// call of their server.
TEST(EntryTask, ErrorAfterRejectedNestedCallIsForwarded) {
  addPeers(2);
  call();
  runUntil(Loop, [&] { return heldCalls() == 1; });
  serving_result Result;
  Result.Outcome = serving_outcome::Answered;
  Result.Response = http1::makeStatusResponse(500);
  Result.NestedCallRejected = true;
  holder().respond(std::move(Result));
  runUntil(Loop, [&] { return Status != 0; });
  LONGS_EQUAL(500, Status);
  UNSIGNED_LONGS_EQUAL(0, heldCalls());
}

TEST(EntryTask, ServerErrorIsRetriedElsewhere) {
  addPeers(2);
  call();
  runUntil(Loop, [&] { return heldCalls() == 1; });
  fake_peer &First = holder();
  serving_result Error;
  Error.Outcome = serving_outcome::Answered;
  Error.Response = http1::makeStatusResponse(500);
  First.respond(std::move(Error));
  runUntil(Loop, [&] { return heldCalls() == 1; });
  CHECK(&holder() != &First);
  serving_result Result;
  Result.Outcome = serving_outcome::Answered;
  Result.Response = http1::makeStatusResponse(200);
  holder().respond(std::move(Result));
  runUntil(Loop, [&] { return Status != 0; });
  LONGS_EQUAL(200, Status);
}

// Guards against a stopping node that answers a call in its second attempt with
// a status that says it has not run, or drops the error of the first server.
TEST(EntryTask, OpenCallsGetATrueStatusBeforeTheEnd) {
  addPeers(2);
  call();
  runUntil(Loop, [&] { return heldCalls() == 1; });
  serving_result Failed;
  Failed.Outcome = serving_outcome::Answered;
  Failed.Response = http1::makeStatusResponse(500);
  fake_peer &First = holder();
  First.respond(std::move(Failed));
  runUntil(Loop, [&] { return heldCalls() == 1 && First.Calls.empty(); });
  Entry->answerOpenCalls();
  runUntil(Loop, [&] { return Status != 0; });
  LONGS_EQUAL(500, Status);
}
