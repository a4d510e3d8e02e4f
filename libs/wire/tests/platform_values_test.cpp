#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/server_announcement.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::wire;

TEST_GROUP(platform_values){};

TEST(platform_values, ConfigHeadRoundTrip) {
  store::config_head Head{7, "abc", "marie", "new slots", wall_time{}, "w1"};
  auto Decoded = decodeConfigHead(encode(Head));
  CHECK(bool(Decoded));
  CHECK_EQUAL(7U, Decoded->Version);
  STRCMP_EQUAL("new slots", Decoded->Reason.c_str());
}

// Guards against accepting a partially written object as a version.
TEST(platform_values, RejectsTruncatedValues) {
  store::config_head Head{7, "abc", "marie", "new slots", wall_time{}, "w1"};
  std::string Text = encode(Head);
  for (std::size_t Size = 0; Size < Text.size(); ++Size)
    CHECK_FALSE(bool(decodeConfigHead(Text.substr(0, Size))));
}

TEST_GROUP(server_announcement){};

// Guards against a server announcing an impossible number of slots.
TEST(server_announcement, RejectsFieldsOutOfRange) {
  server_announcement Announcement{service_name("a"),
                                   version_name("v1"),
                                   {"127.0.0.1", 80},
                                   10,
                                   120,
                                   5,
                                   false};
  auto Decoded = decodeServerAnnouncement(encode(Announcement));
  CHECK(bool(Decoded));
  CHECK(Announcement == *Decoded);
  Announcement.Slots = 0;
  CHECK_FALSE(bool(decodeServerAnnouncement(encode(Announcement))));
}

// Guards against losing earlier versions that an operator may go back to.
TEST(platform_values, ConfigHeadKeepsEarlierVersions) {
  store::config_head Head{7, "abc", "marie", "new slots", wall_time{}, "w1"};
  Head.EarlierVersions = {{6, "def", "paul", "x", wall_time{}, "w0"}};
  auto Decoded = decodeConfigHead(encode(Head));
  CHECK(bool(Decoded));
  CHECK(Head == *Decoded);
}

// Guards against times that overflow the 64-bit nanoseconds of `wall_time`.
TEST(platform_values, RejectsTimesBeyondClockRange) {
  CHECK_FALSE(bool(decodeZoneState(
      R"({"write_id": "w", "out": {"z": {"author": "a",
          "since_ms": 4503599627370496}}})")));
}
