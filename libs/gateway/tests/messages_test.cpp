#include "gentianlug/gateway/event_log.h"
#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/gateway/peer_call.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <unistd.h>

using namespace gentianlug;
using namespace gentianlug::gateway;
using namespace std::chrono_literals;

TEST_GROUP(PeerCall){};

static peer_call exampleCall() {
  peer_call Call;
  Call.Instance = "i-1";
  Call.Route = route_name("r");
  Call.CallerService = service_name("caller");
  Call.CallId = "abc";
  Call.RemainingTime = 1500ms;
  Call.MaxWait = 120ms;
  Call.Rank = 3;
  Call.Idempotent = true;
  Call.InheritedRetry = true;
  return Call;
}

TEST(PeerCall, TravelsInOneField) {
  http1::request Request;
  writePeerCall(Request, exampleCall());
  UNSIGNED_LONGS_EQUAL(1, Request.Headers.size());
  auto Taken = extractPeerCall(Request);
  CHECK(Taken && *Taken == exampleCall());
  UNSIGNED_LONGS_EQUAL(0, Request.Headers.size());
}

// Guards against ids and names of others that break the field apart, or add
// fields of their own.
TEST(PeerCall, NamesMayHoldAnyBytes) {
  peer_call Call = exampleCall();
  Call.CallId = "a;b%3b";
  Call.Route = route_name("r\r\nX: y");
  Call.CallerService = service_name("ž \x01");
  http1::request Request;
  writePeerCall(Request, Call);
  const std::string *Field = Request.Headers.find("gl-call");
  CHECK(Field && Field->find('\n') == std::string::npos);
  auto Taken = extractPeerCall(Request);
  CHECK(Taken && *Taken == Call);
}

// Guards against requests with two lengths: one from the node before, one that
// is written anew.
TEST(PeerCall, FieldsOfTheConnectionBetweenNodesEndThere) {
  http1::request Request;
  Request.Headers.add("Content-Length", "0");
  Request.Headers.add("Connection", "close");
  writePeerCall(Request, exampleCall());
  CHECK(extractPeerCall(Request).has_value());
  UNSIGNED_LONGS_EQUAL(0, Request.Headers.size());
}

// Guards against a caller that passes for a node.
TEST(PeerCall, MalformedFieldsAreRefused) {
  for (const char *Value :
       {"", "a;b", "i;r;s;c;x;1;1;1;1;1", "i;r;s;c;1;1;1;1;1;1;1"}) {
    http1::request Request;
    Request.Headers.add("gl-call", Value);
    CHECK_FALSE(extractPeerCall(Request).has_value());
  }
  http1::header_list Headers;
  Headers.add("GL-Call", "x");
  Headers.add("gl-serving", "x");
  removePeerHeaders(Headers);
  UNSIGNED_LONGS_EQUAL(0, Headers.size());
}

TEST(PeerCall, ResultsKeepTheAnswerOfTheServer) {
  serving_result Result;
  Result.Outcome = serving_outcome::Answered;
  Result.Report = mesh::load_report{3, 1, 9, 40ms};
  Result.Response = http1::statusAnswer(201);
  Result.Response.Body = "body";
  Result.Response.Headers.add("Kept", "1");
  auto Read = decodeServingResult(encodeServingResult(Result));
  CHECK(Read.Outcome == serving_outcome::Answered);
  CHECK(Read.Report == Result.Report);
  LONGS_EQUAL(201, Read.Response.Status);
  STRCMP_EQUAL("body", Read.Response.Body.c_str());
  UNSIGNED_LONGS_EQUAL(1, Read.Response.Headers.size());
}

// Guards against an answer without a known end being taken for "not run".
TEST(PeerCall, AnswersOfStrangersAreUnknown) {
  CHECK(decodeServingResult(http1::statusAnswer(503)).Outcome ==
        serving_outcome::Unknown);
  for (serving_outcome End :
       {serving_outcome::Refused, serving_outcome::Shed}) {
    serving_result Result;
    Result.Outcome = End;
    Result.Reason = "busy";
    auto Read = decodeServingResult(encodeServingResult(Result));
    CHECK(Read.Outcome == End);
    STRCMP_EQUAL("busy", Read.Reason.c_str());
  }
}

TEST_GROUP(Feed) {
  feed_state State{"life"};

  static std::shared_ptr<const mesh::mesh_configuration> version(
      config_version Version, std::vector<std::string> Routes) {
    auto Next = std::make_shared<mesh::mesh_configuration>();
    Next->Version = Version;
    for (const std::string &Name : Routes) {
      mesh::route Route;
      Route.Name = route_name(Name.substr(0, 1));
      Route.PathPrefix = Name;
      Route.Services = {{service_name("s"), 1}};
      Next->Routes.push_back(Route);
    }
    return Next;
  }
  static mesh::server_record server(const std::string &Node,
                                    std::uint64_t Sequence = 1) {
    mesh::server_record Record;
    Record.Node = node_id(Node);
    Record.NodeAddress = {"10.0.0.1", 80};
    Record.Sequence = Sequence;
    return Record;
  }
  /// Sends what a follower at \p At lacks over the wire.
  feed_update updateFor(const feed_cursor &At) {
    auto Update = State.changesSince(*decodeCursor(encodeCursor(At)));
    CHECK(Update.has_value());
    auto Read = decodeUpdate(encodeUpdate(*Update));
    CHECK_TEXT(bool(Read), Read ? "" : Read.failure().message().c_str());
    return *Read;
  }
};

// Guards against changes of the configuration that travel as a whole: hundreds
// of routes, five times a second, over narrow links.
TEST(Feed, SendsOnlyTheRoutesThatChanged) {
  auto First = version(1, {"a", "b", "c"});
  auto Second = version(2, {"a", "bb", "d"});
  State.setConfiguration(First);
  State.setConfiguration(Second);
  feed_cursor At;
  At.ConfigVersion = 1;
  auto Update = updateFor(At);
  CHECK(Update.Config.has_value());
  UNSIGNED_LONGS_EQUAL(2, Update.Config->Routes.size());
  UNSIGNED_LONGS_EQUAL(1, Update.Config->RemovedRoutes.size());
  auto Next = applyConfigChange(First.get(), *Update.Config);
  UNSIGNED_LONGS_EQUAL(2, Next->Version);
  UNSIGNED_LONGS_EQUAL(3, Next->Routes.size());
  CHECK(applyConfigChange(Second.get(), *Update.Config) == nullptr);
}

TEST(Feed, SendsTheWholeToWhoIsTooFarBehind) {
  for (config_version Each = 1; Each < 40; ++Each)
    State.setConfiguration(version(Each, {"a"}));
  feed_cursor At;
  At.ConfigVersion = 2;
  auto Update = updateFor(At);
  UNSIGNED_LONGS_EQUAL(0, Update.Config->BaseVersion);
  UNSIGNED_LONGS_EQUAL(1, Update.Config->Routes.size());
}

TEST(Feed, SendsServersThatChangedOrWent) {
  State.setServers({server("n1"), server("n2"), server("n3")});
  feed_cursor At = updateFor({}).Cursor;
  CHECK_FALSE(State.changesSince(At).has_value());
  State.setServers({server("n1"), server("n2", 5)});
  auto Update = updateFor(At);
  CHECK_FALSE(Update.FullServerList);
  UNSIGNED_LONGS_EQUAL(1, Update.Servers.size());
  UNSIGNED_LONGS_EQUAL(5, Update.Servers[0].Sequence);
  UNSIGNED_LONGS_EQUAL(1, Update.RemovedServers.size());
  CHECK_FALSE(State.changesSince(Update.Cursor).has_value());
}

// Guards against numbers of one relay life being taken for those of another.
TEST(Feed, AnotherLifeGetsTheWhole) {
  State.setServers({server("n1")});
  feed_cursor At = updateFor({}).Cursor;
  At.Epoch = "another";
  CHECK(updateFor(At).FullServerList);
}

TEST(Feed, SendsOrders) {
  control_state Orders;
  Orders.BaseVersions[service_name("s")] = version_name("v1");
  Orders.ZonesOutOfService.insert(zone_name("z"));
  mesh::rollout_record Record;
  Record.Service = service_name("s");
  Record.TargetVersion = version_name("v2");
  Record.Stage = mesh::rollout_stage::Running;
  Record.TrafficShare = 0.15;
  Record.Duration = 16s;
  Orders.Rollouts.push_back(Record);
  State.setControlState(Orders);
  auto Update = updateFor({});
  CHECK(Update.ControlState.has_value());
  CHECK(Update.ControlState->BaseVersions == Orders.BaseVersions);
  CHECK(Update.ControlState->Rollouts == Orders.Rollouts);
  CHECK(Update.ControlState->ZonesOutOfService == Orders.ZonesOutOfService);
}

TEST(Feed, MalformedMessagesAreRefused) {
  for (const char *Text : {"", "{", "[]", "{\"cursor\":1}", "[1,2]"}) {
    CHECK_FALSE(bool(decodeUpdate(Text)));
    CHECK_FALSE(bool(decodeCursor(Text)));
  }
}

TEST_GROUP(DecisionLog) {
  int Pipe[2] = {-1, -1};

  void setup() override { CHECK(pipe(Pipe) == 0); }
  void teardown() override {
    close(Pipe[0]);
    close(Pipe[1]);
  }
  std::string read() const {
    char Bytes[8192];
    ssize_t Count = ::read(Pipe[0], Bytes, sizeof Bytes);
    return {Bytes, std::size_t(std::max<ssize_t>(Count, 0))};
  }
};

TEST(DecisionLog, WritesOneObjectALine) {
  event_log Log(Pipe[1], "n1");
  Log.write(observe::event::CallRefused,
            {{"call", "a\"b\n"}, {"age_ms", 5ms}, {"tries", std::int64_t(2)}});
  Log.flush();
  std::string Line = read();
  CHECK(Line.find("\"node\":\"n1\",\"event\":\"GL4002\",\"name\":\"CallRefused"
                  "\",\"call\":\"a\\\"b?\",\"age_ms\":5,\"tries\":2}\n") !=
        std::string::npos);
}

// Guards against a node that waits for a reader of its log that has stopped.
TEST(DecisionLog, FullPipeNeverBlocks) {
  event_log Log(Pipe[1], "n1");
  std::string Long(10000, 'x');
  for (int Line = 0; Line < 2000; ++Line)
    Log.write(observe::event(Line % 2 ? int(observe::event::CallRefused)
                                      : int(observe::event::CallFailed)),
              {{"text", Long}});
  Log.flush();
  CHECK(Log.droppedLines() > 0);
}

// Guards against a log that grows with the load.
TEST(DecisionLog, LinesOfOneEventAreBounded) {
  event_log Log(Pipe[1], "n1");
  for (int Line = 0; Line < 1000; ++Line)
    Log.write(observe::event::CallRefused, {});
  Log.flush();
  std::string Text;
  for (std::string Part = read(); !Part.empty();
       Part = Part.size() < 8192 ? std::string() : read())
    Text += Part;
  CHECK(std::count(Text.begin(), Text.end(), '\n') <= 200);
}
