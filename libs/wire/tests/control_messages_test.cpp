#include "gentianlug/wire/control_messages.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::distribution;
using namespace gentianlug::wire;

TEST_GROUP(control_messages){
    static sync_response response(){sync_response Response;
Response.Update.Cursor = {7, 9};
Response.Update.IsSnapshot = true;
membership::member_record Record;
Record.Node = node_id("a");
Record.Zone = zone_name("z");
Record.PeerAddress = {"127.0.0.1", 1};
Record.ControlAddress = {"127.0.0.1", 2};
Record.Service = service_name("s");
Record.Version = version_name("v1");
Record.Incarnation = 5;
Record.State = membership::member_state::Draining;
Record.Parent = node_id("p");
Response.Update.Members = {Record};
Response.Update.LiveValues = {{"live/zones", 3, "text"},
                              {"live/rollout/s", 4, std::nullopt}};
Response.Update.Config =
    config_update{8, "root", 7, {{"site", 1, 2, "text"}}, {"gone"}};
Response.Path = {{node_id("root"), node_id("p")}};
Response.FreeSlot = 1;
Response.ConfigVersion = 8;
return Response;
}
}
;

// Guards against fields that the encoder writes and the decoder does not read.
TEST(control_messages, SyncMessagesRoundTrip) {
  sync_response Sent = response();
  auto Received = decodeSyncResponse(encode(Sent));
  CHECK(bool(Received));
  CHECK(Received->Update.Cursor == Sent.Update.Cursor);
  CHECK(Received->Update.IsSnapshot);
  CHECK(Received->Update.Members == Sent.Update.Members);
  CHECK(Received->Update.LiveValues == Sent.Update.LiveValues);
  CHECK(Received->Update.Config == Sent.Update.Config);
  CHECK(Received->Path == Sent.Path);
  CHECK(Received->FreeSlot == Sent.FreeSlot);
  sync_request Request;
  Request.From = {node_id("a"), zone_name("z"), 5, {"127.0.0.1", 2}};
  Request.Role = sync_role::Relay;
  Request.Cursor = {7, 9};
  Request.RefusedVersion = 3;
  Request.Report = subtree_report{{{4, 2}}, {{node_id("a"), 3, "bad"}}};
  auto ReceivedRequest = decodeSyncRequest(encode(Request));
  CHECK(bool(ReceivedRequest));
  CHECK(ReceivedRequest->Role == sync_role::Relay);
  CHECK(ReceivedRequest->Report == Request.Report);
  CHECK_EQUAL(3U, ReceivedRequest->RefusedVersion);
  CHECK_EQUAL(5U, ReceivedRequest->From.Incarnation);
}

// Guards against partial acceptance of truncated or malformed messages.
TEST(control_messages, RejectsTruncatedAndMalformedMessages) {
  std::string Text = encode(response());
  for (std::size_t Size = 0; Size < Text.size(); Size += 7)
    CHECK_FALSE(bool(decodeSyncResponse(Text.substr(0, Size))));
  for (const char *Malformed :
       {R"({"node":"a"})", R"({"node":"","zone":"z"})", R"([])", "",
        R"({"node":"a","zone":"z","life":-1,"control":"127.0.0.1:1"})",
        R"({"node":"a","zone":"z","life":1,"control":"127.0.0.1"})"})
    CHECK_FALSE(bool(decodeAttachRequest(Malformed)));
  CHECK_FALSE(bool(decodeUpstreamMessage(
      R"({"node":"a","zone":"z","life":1,"control":"127.0.0.1:1",
          "members":[{"node":"b","state":"unheard"}]})")));
}
