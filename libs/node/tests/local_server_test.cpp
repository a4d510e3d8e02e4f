#include "local_server.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::node;

TEST_GROUP(local_server) {
  local_server Local{node_id("n1")};
  wire::server_announcement Announcement;

  void setup() override {
    Announcement.Service = service_name("orders");
    Announcement.Version = version_name("v2");
  }

  void announce() { Local.onAnnouncement(Announcement); }
};

// Guards against calls to a server that is not running or is draining.
TEST(local_server, OnlyAnAnnouncedServerThatIsNotDrainingReceivesCalls) {
  CHECK(Local.refusalReason().has_value());
  announce();
  CHECK_FALSE(Local.refusalReason().has_value());
  Announcement.Draining = true;
  announce();
  CHECK(Local.refusalReason().has_value());
  Announcement.Draining = false;
  announce();
  CHECK_FALSE(Local.refusalReason().has_value());
}

// Guards against calls to a server whose announcement has expired.
TEST(local_server, AServerWithAnExpiredAnnouncementGetsNoCallsUntilTheNextOne) {
  announce();
  Local.onAnnouncementTimeout();
  CHECK(Local.refusalReason().has_value());
  CHECK(Local.server() == nullptr);
  announce();
  CHECK_FALSE(Local.refusalReason().has_value());
}

// Guards against calls to a version after a fault of it has been detected.
TEST(local_server, AQuarantinedVersionReceivesNoCallsUntilReleased) {
  announce();
  Local.onVersionQuarantine({version_name("v1"), "other", true});
  CHECK_FALSE(Local.refusalReason().has_value());
  Local.onVersionQuarantine({version_name("v2"), "r", true});
  CHECK(Local.refusalReason().has_value());
  Local.onVersionQuarantine({version_name("v2"), "r", false});
  CHECK_FALSE(Local.refusalReason().has_value());
}

// Guards against calls in a zone that operators have taken out of service.
TEST(local_server, AServerInAZoneOutOfServiceReceivesNoCalls) {
  membership::member_record Member;
  Member.Node = node_id("n1");
  Member.Zone = zone_name("z1");
  routing_snapshot Snapshot;
  Snapshot.Members =
      std::make_shared<const std::vector<membership::member_record>>(1, Member);
  Snapshot.ZonesOutOfService[zone_name("z1")];
  announce();
  Local.onSnapshot(std::make_shared<const routing_snapshot>(Snapshot));
  CHECK(Local.refusalReason().has_value());
  Snapshot.ZonesOutOfService.clear();
  Local.onSnapshot(std::make_shared<const routing_snapshot>(Snapshot));
  CHECK_FALSE(Local.refusalReason().has_value());
}
