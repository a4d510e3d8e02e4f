#include "gentianlug/gateway/serving_task.h"
#include "gentianlug/http1/client_pool.h"
#include "task_fixture.h"

using namespace gentianlug;
using namespace gentianlug::gateway;
using namespace std::chrono_literals;
using http1::freePort;
using http1::runUntil;

TEST_GROUP(ServingTask) {
  task_environment Environment;
  net::event_loop &Loop = Environment.Loop;
  http1::link_pacer Pacer{Loop, 0};
  serving_task Serving{Environment.context(), 0, Pacer};
  std::vector<std::shared_ptr<http1::exchange>> ServerCalls;
  http1::server Server{Loop, {}, [this](std::shared_ptr<http1::exchange> Call) {
                         ServerCalls.push_back(std::move(Call));
                       }};
  std::optional<serving_result> Result;
  local_server Local;

  void setup() override {
    Local.Address = {"127.0.0.1", freePort()};
    Local.Service = service_name("s");
    Local.Version = version_name("v1");
    Local.Admission.Instance = "i";
    Local.Admission.Slots = 5;
    Local.HealthPath = "/health";
    CHECK(bool(Server.listen(Local.Address, {})));
    Serving.onRetryBounds({}, 1);
    Serving.onServer(Local);
    Environment.Dialect.Health = {true, "i", 0ms};
    Serving.onServerAnnounced(0ms);
    awaitHealthCheck();
    answerHealthCheck();
    runUntil(Loop, [&] { return Serving.isServerConfirmed(); });
    ServerCalls.clear();
  }
  void teardown() override { ServerCalls.clear(); }
  void awaitHealthCheck() {
    std::size_t Before = ServerCalls.size();
    runUntil(Loop, [&] { return ServerCalls.size() > Before; });
  }
  void answerHealthCheck() {
    ServerCalls.back()->respond(http1::makeStatusResponse(200));
  }
  /// Replaces the server by another one, which has announced itself once.
  void restartServer() {
    Local.Admission.Instance = "j";
    Local.Admission.Incarnation = 2;
    Serving.onServer(Local);
    Serving.onServerAnnounced(0ms);
    awaitHealthCheck();
  }
  call_transport::ticket startCall(const std::string &Id,
                                   bool IsRetry = false) {
    peer_call Call;
    Call.Instance = "i";
    Call.Route = route_name("r");
    Call.CallId = Id;
    Call.RemainingTime = 5s;
    Call.IsRetry = IsRetry;
    std::size_t Before = ServerCalls.size();
    http1::request Request;
    Request.Method = "GET";
    Request.Target = "/";
    Request.Headers.add("Host", "h");
    auto Ticket = Serving.send({}, Call, Request, [&](serving_result Next) {
      Result = std::move(Next);
    });
    runUntil(Loop, [&] { return ServerCalls.size() > Before; });
    return Ticket;
  }
  void respond(int Status) {
    ServerCalls.back()->respond(http1::makeStatusResponse(Status));
    runUntil(Loop, [&] { return Result.has_value(); });
  }
};

// Guards against a sound server that is taken out of use, or whose version is
// rolled back, because the node has no memory for its responses.
TEST(ServingTask, MissingMemoryIsNoFaultOfTheServer) {
  std::optional<http1::memory_holding> Filled;
  Filled.emplace(&Environment.Memory, memory::holder_kind::Delivery);
  Filled->resize(Environment.Memory.budget().totalBytes());
  for (int Count = 0; Count < 10; ++Count) {
    Result.reset();
    startCall("0123456789");
    respond(200);
    CHECK(Result->Outcome == serving_outcome::Unknown);
    STRCMP_EQUAL("no-memory", Result->Reason.c_str());
  }
  CHECK(Serving.evidence().Routes.empty());
  Filled.reset();
  Result.reset();
  startCall("0123456789");
  respond(200);
  CHECK(Result->Outcome == serving_outcome::Answered);
}

// Guards against a call that counts as one that may have run, although its node
// had no memory for it and the call can be sent to another one.
TEST(ServingTask, CallsWithoutMemoryAreRefusedToOtherNodes) {
  http1::memory_guard Small(64UL << 10);
  task_context Context{Loop,
                       Environment.Clock,
                       Environment.Dialect,
                       Environment.Log,
                       Environment.Metrics,
                       Environment.Gen,
                       Small};
  serving_task Limited(Context, 0, Pacer);
  address Listener{"127.0.0.1", freePort()};
  CHECK(bool(Limited.listen(Listener, 10)));
  http1::client_pool Node(Loop, {}, {});
  http1::request Request;
  Request.Method = "POST";
  Request.Target = "/";
  Request.Headers.add("Host", "h");
  Request.Body = std::string(100000, 'x');
  peer_call Call;
  Call.Instance = "i";
  writePeerCall(Request, Call);
  Node.send(Listener, Request, {}, [&](http1::send_result Sent) {
    Result = decodeServingResult(std::move(Sent.Response));
  });
  runUntil(Loop, [&] { return Result.has_value(); });
  CHECK(Result->Outcome == serving_outcome::Refused);
  STRCMP_EQUAL("node-out-of-memory", Result->Reason.c_str());
  CHECK(ServerCalls.empty());
}

// Guards against late announcements of a server that is leaving, which bring it
// back although its health check says otherwise.
TEST(ServingTask, AnnouncementsDoNotOverruleTheHealthCheck) {
  Environment.Dialect.Health = {false, "j", 0ms};
  restartServer();
  answerHealthCheck();
  awaitHealthCheck();
  Serving.onServerAnnounced(0ms);
  CHECK_FALSE(Serving.isServerConfirmed());
  Environment.Dialect.Health.Healthy = true;
  answerHealthCheck();
  runUntil(Loop, [&] { return Serving.isServerConfirmed(); });
}

// Guards against two late announcements that arrive before the health check is
// answered.
TEST(ServingTask, AnnouncementsDoNotOvertakeTheHealthCheck) {
  Environment.Dialect.Health = {true, "j", 0ms};
  restartServer();
  Serving.onServerAnnounced(0ms);
  CHECK_FALSE(Serving.isServerConfirmed());
  answerHealthCheck();
  runUntil(Loop, [&] { return Serving.isServerConfirmed(); });
}

// Guards against a sound server that stays out of use, because it has no room
// for a health check.
TEST(ServingTask, AnnouncementsConfirmAServerWithoutRoomForTheHealthCheck) {
  Environment.Dialect.Health = {false, "j", 0ms};
  Environment.Dialect.Class = response_class::NotRun;
  restartServer();
  answerHealthCheck();
  awaitHealthCheck();
  Serving.onServerAnnounced(0ms);
  CHECK(Serving.isServerConfirmed());
}

// Guards against calls of callers that are taken for nested ones: all calls
// then had the highest priority.
TEST(ServingTask, NestedCallsAreRecognizedByTheRunningCall) {
  CHECK_FALSE(Serving.findEnclosingCall("0123456789.ab").has_value());
  startCall("0123456789");
  auto Enclosing = Serving.findEnclosingCall("0123456789.ab");
  CHECK(Enclosing.has_value());
  STRCMP_EQUAL("0123456789", Enclosing->CallId.c_str());
  CHECK_FALSE(Enclosing->IsRetry);
  CHECK_FALSE(Serving.findEnclosingCall("0123456789").has_value());
  CHECK_FALSE(Serving.findEnclosingCall("9876543210.ab").has_value());
  respond(200);
  CHECK_FALSE(Serving.findEnclosingCall("0123456789.ab").has_value());
}

// Guards against retries of nested calls that do not count as such.
TEST(ServingTask, NestedCallsOfRetriesAreRecognized) {
  startCall("0123456789", true);
  CHECK(Serving.findEnclosingCall("0123456789.ab")->IsRetry);
}

// Guards against callers with short or empty IDs that promote other calls.
TEST(ServingTask, ShortIdsEncloseNoCall) {
  startCall("1");
  startCall("");
  CHECK_FALSE(Serving.findEnclosingCall("123456789").has_value());
}

// Guards against retries of calls whose server failed because the mesh had
// rejected its own calls: they used up the retry budget of the service that
// rejected, so that nearly none of its calls were retried directly.
TEST(ServingTask, ErrorAfterRejectedNestedCallIsMarked) {
  startCall("0123456789");
  Serving.onNestedCallRejected("0123456789");
  respond(500);
  CHECK(Result->NestedCallRejected);
  Result.reset();
  startCall("0123456789");
  respond(500);
  CHECK_FALSE(Result->NestedCallRejected);
}

TEST(ServingTask, SuccessAfterRejectedNestedCallIsASuccess) {
  startCall("0123456789");
  Serving.onNestedCallRejected("0123456789");
  respond(200);
  CHECK_FALSE(Result->NestedCallRejected);
}

// Guards against slow calls that are no evidence because they still run or were
// canceled after a second attempt had responded.
TEST(ServingTask, RunningAndCanceledCallsAreEvidence) {
  Environment.Clock.stop();
  auto Ticket = startCall("0123456789");
  Environment.Clock.advance(300ms);
  std::size_t Bucket = rollout::latencyBucket(300ms);
  rollout::server_evidence Evidence = Serving.evidence();
  CHECK_EQUAL(1, Evidence.Starts);
  CHECK_EQUAL(1, Evidence.Routes.at(0).Running[Bucket]);
  Serving.cancel(Ticket);
  Evidence = Serving.evidence();
  CHECK_EQUAL(0, Evidence.Routes.at(0).Running[Bucket]);
  CHECK_EQUAL(1, Evidence.Routes.at(0).Canceled[Bucket]);
  CHECK_EQUAL(0, Evidence.Routes.at(0).Calls);
}

// Guards against evidence that is lost with each configuration.
TEST(ServingTask, EvidenceOutlivesAChangeOfTheServersSettings) {
  startCall("0123456789");
  respond(200);
  Local.Admission.ColdCallsPerSecond = 5;
  Serving.onServer(Local);
  CHECK_EQUAL(1, Serving.evidence().Routes.at(0).Calls);
  Local.Version = version_name("v2");
  Serving.onServer(Local);
  CHECK_EQUAL(0, Serving.evidence().Routes.size());
}

// Guards against the notice of an earlier server that drains or limits the one
// which has taken its place.
TEST(ServingTask, NoticeOfAnEarlierServerIsIgnored) {
  std::string Leaving;
  Serving.setLeavingHandler(
      [&](const std::string &Instance) { Leaving = Instance; });
  startCall("0123456789");
  local_server Next = Local;
  Next.Admission.Instance = "i2";
  Serving.onServer(Next);
  Environment.Dialect.Notice.Leaving = true;
  Environment.Dialect.Notice.Limit = server_notice::limit::Named;
  respond(200);
  STRCMP_EQUAL("", Leaving.c_str());
  Serving.onServer(std::nullopt);
}

TEST(ServingTask, LeavingServerIsReported) {
  std::string Leaving;
  Serving.setLeavingHandler(
      [&](const std::string &Instance) { Leaving = Instance; });
  startCall("0123456789");
  Environment.Dialect.Notice.Leaving = true;
  respond(200);
  runUntil(Loop, [&] { return !Leaving.empty(); });
  STRCMP_EQUAL("i", Leaving.c_str());
}

// Guards against a stopping node that leaves the calls of other nodes open
// until it ends, so that they learn late that they need another server.
TEST(ServingTask, OpenCallsAreAnsweredBeforeTheEnd) {
  startCall("0123456789");
  Serving.answerOpenCalls();
  runUntil(Loop, [&] { return Result.has_value(); });
  // The server has the call.
  CHECK(Result->Outcome == serving_outcome::Unknown);
  LONGS_EQUAL(0, Serving.callsInFlight());
}

// Guards against a status that promises nothing for a call that still waits for
// a slot when its node ends.
TEST(ServingTask, QueuedCallsAreRefusedBeforeTheEnd) {
  peer_call Call;
  Call.Instance = "i";
  Call.RemainingTime = Call.MaxQueueTime = 5s;
  Serving.send({}, Call, {},
               [&](serving_result Next) { Result = std::move(Next); });
  // The call is not passed to the server before the next loop iteration.
  Serving.answerOpenCalls();
  runUntil(Loop, [&] { return Result.has_value(); });
  CHECK(Result->Outcome == serving_outcome::Refused);
  CHECK(ServerCalls.empty());
}
