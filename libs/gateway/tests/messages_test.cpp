#include "gentianlug/gateway/event_log.h"
#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/gateway/peer_call.h"
#include "gentianlug/gateway/usage_messages.h"

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
  Call.MaxQueueTime = 120ms;
  Call.QueuePriority = 3;
  Call.Idempotent = true;
  Call.InheritedRetry = true;
  Call.Account = account_name("a%;b");
  return Call;
}

TEST(PeerCall, RoundTripsInOneHeader) {
  http1::request Request;
  writePeerCall(Request, exampleCall());
  UNSIGNED_LONGS_EQUAL(1, Request.Headers.size());
  auto Extracted = extractPeerCall(Request);
  CHECK(Extracted && *Extracted == exampleCall());
  UNSIGNED_LONGS_EQUAL(0, Request.Headers.size());
}

// Guards against IDs and names that break up the header or inject further
// headers.
TEST(PeerCall, EncodesArbitraryBytesInNames) {
  peer_call Call = exampleCall();
  Call.CallId = "a;b%3b";
  Call.Route = route_name("r\r\nX: y");
  Call.CallerService = service_name("ž \x01");
  http1::request Request;
  writePeerCall(Request, Call);
  const std::string *Header = Request.Headers.find("gl-call");
  CHECK(Header && Header->find('\n') == std::string::npos);
  auto Extracted = extractPeerCall(Request);
  CHECK(Extracted && *Extracted == Call);
}

// Guards against forwarded requests with two Content-Length headers: one from
// the previous node and a new one.
TEST(PeerCall, RemovesConnectionHeaders) {
  http1::request Request;
  Request.Headers.add("Content-Length", "0");
  Request.Headers.add("Connection", "close");
  writePeerCall(Request, exampleCall());
  CHECK(extractPeerCall(Request).has_value());
  UNSIGNED_LONGS_EQUAL(0, Request.Headers.size());
}

// Guards against callers that impersonate a node.
TEST(PeerCall, RejectsMalformedHeaders) {
  for (const char *Value : {"", "a;b", "i;r;s;c;x;1;1;1;1;1;a",
                            "i;r;s;c;1;1;1;1;1;1", "i;r;s;c;1;1;1;1;1;1;a;1"}) {
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

// Guards against a name of a route that cannot be encoded in the evidence of a
// rollout.
TEST(PeerCall, RejectsNamesThatAreNoText) {
  for (const char *Value :
       {"i;r%ff;s;c;1;1;1;1;1;1;a", "i%c0%80;r;s;c;1;1;1;1;1;1;a",
        "i;r;%ed%a0%80;c;1;1;1;1;1;1;a", "i;r;s;c;1;1;1;1;1;1;a%ff"}) {
    http1::request Request;
    Request.Headers.add("gl-call", Value);
    CHECK_FALSE(extractPeerCall(Request).has_value());
  }
}

// Guards against times of a peer that overflow the clock.
TEST(PeerCall, RejectsTimesOutOfRange) {
  for (const char *Value : {"i;r;s;c;9223372036854775807;1;1;1;1;1;a",
                            "i;r;s;c;1;-9223372036854775807;1;1;1;1;a"}) {
    http1::request Request;
    Request.Headers.add("gl-call", Value);
    CHECK_FALSE(extractPeerCall(Request).has_value());
  }
}

TEST(PeerCall, ResultsKeepServerResponse) {
  serving_result Result;
  Result.Outcome = serving_outcome::Answered;
  Result.Report = mesh::load_report{3, 1, 9, 40ms};
  Result.Response = http1::makeStatusResponse(201);
  Result.Response.Body = "body";
  Result.Response.Headers.add("Kept", "1");
  auto Read = decodeServingResult(encodeServingResult(Result));
  CHECK(Read.Outcome == serving_outcome::Answered);
  CHECK(Read.Report == Result.Report);
  LONGS_EQUAL(201, Read.Response.Status);
  STRCMP_EQUAL("body", Read.Response.Body.str().c_str());
  UNSIGNED_LONGS_EQUAL(1, Read.Response.Headers.size());
}

TEST(PeerCall, ResultsTellErrorsAfterRejectedNestedCalls) {
  serving_result Result;
  Result.Outcome = serving_outcome::Answered;
  Result.Response = http1::makeStatusResponse(500);
  Result.Reason = "server-error";
  CHECK_FALSE(
      decodeServingResult(encodeServingResult(Result)).NestedCallRejected);
  Result.NestedCallRejected = true;
  CHECK(decodeServingResult(encodeServingResult(Result)).NestedCallRejected);
}

// Guards against treating a response without a known outcome as "not run".
TEST(PeerCall, UnrecognizedResponsesAreUnknown) {
  CHECK(decodeServingResult(http1::makeStatusResponse(503)).Outcome ==
        serving_outcome::Unknown);
  for (serving_outcome Outcome :
       {serving_outcome::Refused, serving_outcome::Shed}) {
    serving_result Result;
    Result.Outcome = Outcome;
    Result.Reason = "busy";
    auto Read = decodeServingResult(encodeServingResult(Result));
    CHECK(Read.Outcome == Outcome);
    STRCMP_EQUAL("busy", Read.Reason.c_str());
  }
}

TEST_GROUP(UsageMessages){};

TEST(UsageMessages, RoundTrip) {
  mesh::node_usage Usage;
  Usage.Node = node_id("n");
  Usage.Process = UINT64_MAX;
  Usage.Window = 353445120;
  Usage.Revision = 9;
  Usage.IsFinal = true;
  Usage.MayLackCalls = true;
  Usage.Calls = {{account_name("a"), 412}, {account_name("ž"), 1}};
  auto Read = decodeUsage(encodeUsage({Usage, Usage}));
  CHECK(Read && *Read == std::vector<mesh::node_usage>({Usage, Usage}));
}

TEST(UsageMessages, RejectsMalformedMessages) {
  for (const char *Text :
       {"", "[1]", "[[\"n\"]]", "[[\"n\",1,2,3,true,false,{\"a\":\"x\"}]]",
        "[[\"n\",1,2,3,true,false,7]]"})
    CHECK_FALSE(bool(decodeUsage(Text)));
}

TEST_GROUP(Feed) {
  feed_state State{"epoch"};

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
  static std::shared_ptr<const mesh::mesh_configuration> withAccounts(
      config_version Version,
      const std::map<std::string, std::string> &KeysByName) {
    auto Next = std::make_shared<mesh::mesh_configuration>();
    Next->Version = Version;
    Next->RequiresApiKeys = true;
    Next->Routes.emplace_back().IsPublic = true;
    for (const auto &[Name, Key] : KeysByName)
      Next->Accounts.push_back(std::make_shared<const mesh::client_account>(
          mesh::client_account{account_name(Name), {Key}, 3}));
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
  /// Returns the update for a follower at \p At after encoding and decoding it.
  feed_update updateFor(const feed_cursor &At) {
    auto Update = State.changesSince(*decodeCursor(encodeCursor(At)));
    CHECK(Update.has_value());
    auto Read = decodeUpdate(encodeUpdate(*Update));
    CHECK_TEXT(bool(Read), Read ? "" : Read.failure().message().c_str());
    return *Read;
  }
};

// Guards against sending the full configuration for each change: hundreds of
// routes, five times per second, over narrow links.
TEST(Feed, SendsOnlyChangedRoutes) {
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

// Guards against sending all keys for each change, and against a withdrawn key
// or account that stays in the copy of a follower.
TEST(Feed, SendsOnlyChangedAccounts) {
  auto First = withAccounts(1, {{"a", "1"}, {"b", "2"}, {"d", "4"}});
  auto Second = withAccounts(2, {{"a", "1"}, {"b", "5"}, {"c", "3"}});
  State.setConfiguration(First);
  State.setConfiguration(Second);
  feed_cursor At;
  At.ConfigVersion = 1;
  auto Update = updateFor(At);
  UNSIGNED_LONGS_EQUAL(2, Update.Config->Accounts.size());
  UNSIGNED_LONGS_EQUAL(1, Update.Config->RemovedAccounts.size());
  auto Next = applyConfigChange(First.get(), *Update.Config);
  CHECK(Next->RequiresApiKeys);
  UNSIGNED_LONGS_EQUAL(3, Next->Accounts.size());
  POINTERS_EQUAL(First->Accounts[0].get(), Next->Accounts[0].get());
  for (std::size_t Index = 0; Index < Next->Accounts.size(); ++Index)
    CHECK(*Next->Accounts[Index] == *Second->Accounts[Index]);
}

TEST(Feed, SendsAllAccountsAndPublicRoutes) {
  State.setConfiguration(withAccounts(1, {{"a", "1"}}));
  auto Next = applyConfigChange(nullptr, *updateFor({}).Config);
  CHECK(Next->RequiresApiKeys);
  CHECK(Next->Routes.front().IsPublic);
  STRCMP_EQUAL("1", Next->Accounts.front()->ApiKeys.front().c_str());
  LONGS_EQUAL(3, *Next->Accounts.front()->Priority);
}

TEST(Feed, SendsAllRoutesIfFollowerIsTooFarBehind) {
  for (config_version Each = 1; Each < 40; ++Each)
    State.setConfiguration(version(Each, {"a"}));
  feed_cursor At;
  At.ConfigVersion = 2;
  auto Update = updateFor(At);
  UNSIGNED_LONGS_EQUAL(0, Update.Config->BaseVersion);
  UNSIGNED_LONGS_EQUAL(1, Update.Config->Routes.size());
}

TEST(Feed, SendsChangedAndRemovedServers) {
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

// Guards against comparing revisions of one relay epoch with those of another.
TEST(Feed, SendsFullServerListAfterEpochChange) {
  State.setServers({server("n1")});
  feed_cursor At = updateFor({}).Cursor;
  At.Epoch = "another";
  CHECK(updateFor(At).FullServerList);
}

TEST(Feed, SendsControlState) {
  control_state Control;
  Control.BaseVersions[service_name("s")] = {version_name("v1"),
                                             {store_era(2), 6}};
  Control.ZonesOutOfService.insert(zone_name("z"));
  mesh::rollout_record Record;
  Record.Service = service_name("s");
  Record.TargetVersion = version_name("v2");
  Record.Revision = {store_era(2), 7};
  Record.Stage = mesh::rollout_stage::Running;
  Record.TrafficShare = 0.15;
  Record.Duration = 16s;
  Record.BaseVersion = version_name("v1");
  Record.FaultRuledOut = true;
  Control.Rollouts.push_back(Record);
  State.setControlState(Control);
  auto Update = updateFor({});
  CHECK(Update.ControlState.has_value());
  CHECK(Update.ControlState->BaseVersions == Control.BaseVersions);
  CHECK(Update.ControlState->Rollouts == Control.Rollouts);
  CHECK(Update.ControlState->ZonesOutOfService == Control.ZonesOutOfService);
}

TEST(Feed, RejectsMalformedMessages) {
  for (const char *Text : {"", "{", "[]", "{\"cursor\":1}", "[1,2]"}) {
    CHECK_FALSE(bool(decodeUpdate(Text)));
    CHECK_FALSE(bool(decodeCursor(Text)));
  }
}

TEST_GROUP(EventLog) {
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

TEST(EventLog, WritesOneObjectPerLine) {
  event_log Log(Pipe[1], "n1");
  Log.write(observe::event::CallRefused,
            {{"call", "a\"b\n"}, {"age_ms", 5ms}, {"tries", std::int64_t(2)}});
  Log.flush();
  std::string Line = read();
  CHECK(Line.find("\"node\":\"n1\",\"event\":\"GL4002\",\"name\":\"CallRefused"
                  "\",\"call\":\"a\\\"b?\",\"age_ms\":5,\"tries\":2}\n") !=
        std::string::npos);
}

// Guards against lines that are no JSON, because they quote bytes of a caller.
TEST(EventLog, LinesAreValidUtf8) {
  event_log Log(Pipe[1], "n1");
  Log.write(observe::event::CallRefused,
            {{"call", std::string_view("\xC5\xBE\xff\x01")}});
  Log.flush();
  CHECK(read().find("\"call\":\"\xC5\xBE\xEF\xBF\xBD?\"}") !=
        std::string::npos);
}

// Guards against a node that blocks because the reader of its log has stopped.
TEST(EventLog, DoesNotBlockOnFullPipe) {
  event_log Log(Pipe[1], "n1");
  std::string Long(10000, 'x');
  for (int Line = 0; Line < 2000; ++Line)
    Log.write(observe::event(Line % 2 ? int(observe::event::CallRefused)
                                      : int(observe::event::CallFailed)),
              {{"text", Long}});
  Log.flush();
  CHECK(Log.droppedLines() > 0);
}

// Guards against log output that grows with the load.
TEST(EventLog, LimitsLinesPerEvent) {
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
