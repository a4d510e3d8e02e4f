#include "gentianlug/settings/node_settings.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::settings;

static const char *const ValidSettings = R"({
  // One node of the sample site.
  "node": "commandes-1", "site": "qc-east", "region": "qc",
  "availability_zone": "qc-east-1",
  "caller_listen": "127.0.0.1:7001", "peer_listen": "127.0.0.1:7002",
  "control_listen": "127.0.0.1:7003", "admin_listen": "127.0.0.1:7004",
  "platform": "127.0.0.1:7000", "seed_peers": ["127.0.0.1:7013"]
})";

TEST_GROUP(node_settings){};

TEST(node_settings, ReadsCommentsAndEveryField) {
  auto Settings = parseNodeSettings(ValidSettings, "node.json");
  CHECK(bool(Settings));
  STRCMP_EQUAL("commandes-1", Settings->Node.str().c_str());
  CHECK_EQUAL(7013, Settings->SeedPeers.at(0).Port);
}

// Guards against a misspelled key silently leaving a setting at its default.
TEST(node_settings, ReportsAllFaultsWithFileAndPath) {
  std::string Text = ValidSettings;
  Text.replace(Text.find("\"seed_peers\""), 12, "\"seed_pears\"");
  Text.replace(Text.find("\"qc\""), 4, "17");
  auto Settings = parseNodeSettings(Text, "node.json");
  CHECK_FALSE(bool(Settings));
  std::string Message = Settings.failure().message();
  CHECK(Message.find("node.json: seed_pears: is not a known key") !=
        Message.npos);
  CHECK(Message.find("node.json: region: must be a non-empty string") !=
        Message.npos);
}

// Guards against crashes on malformed input and on JSON that is not an object.
TEST(node_settings, RejectsMalformedJson) {
  for (const char *Text : {"", "{", "[]", "null", "{\"node\": }"})
    CHECK_FALSE(bool(parseNodeSettings(Text, "node.json")));
}
