#include "gentianlug/mesh/load_balancer.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

static server_record server(const std::string &Node, const std::string &Zone,
                            const std::string &Version = "v1") {
  server_record Record;
  Record.Node = node_id(Node);
  Record.Instance = "i-" + Node;
  Record.Service = service_name("s");
  Record.Version = version_name(Version);
  Record.Zone = zone_name(Zone);
  Record.Slots = 4;
  return Record;
}

TEST_GROUP(ServerPicker) {
  load_balancer Picker;
  generator Gen{5};
  steady_time Now{1h};
  service_name Service{"s"};
  version_name Version{"v1"};
  node_id OwnNode{"own"};
  zone_name Zone{"a"};
  std::set<zone_name> ZonesOut;
  std::vector<node_id> Tried;
  std::size_t Bytes = 0;

  std::string pick() {
    const server_record *Found = Picker.selectServer(
        {Service, Version, OwnNode, Zone, ZonesOut, Tried, Bytes}, Gen, Now);
    return Found ? Found->Node.str() : "none";
  }
  /// Picks often and returns the share of \p Node.
  double share(const std::string &Node) {
    int Count = 0;
    constexpr int Picks = 500;
    for (int Pick = 0; Pick < Picks; ++Pick)
      Count += pick() == Node ? 1 : 0;
    return double(Count) / Picks;
  }
  void report(const std::string &Node, load_report Report,
              attempt_result End = attempt_result::Succeeded) {
    Picker.onAttemptStarted(node_id(Node));
    Picker.onAttemptEnded(node_id(Node), End, Report, Now);
  }
};

TEST(ServerPicker, PrefersTheOwnZoneWhileItHasRoom) {
  Picker.setServers({server("a1", "a"), server("b1", "b")});
  DOUBLES_EQUAL(1, share("a1"), 0);
  report("a1", {4, 0, 4, 50ms});
  report("b1", {0, 0, 4, 50ms});
  DOUBLES_EQUAL(0, share("a1"), 0.5);
}

// Guards against answers that cross zones to servers that only count as fast
// because nobody has reported on them.
TEST(ServerPicker, UnknownServersElsewhereDrawNoCalls) {
  Picker.setServers({server("a1", "a"), server("b1", "b")});
  report("a1", {0, 0, 4, 220ms});
  Bytes = 5000;
  DOUBLES_EQUAL(1, share("a1"), 0);
}

// Guards against a server that has not answered yet and draws every call.
TEST(ServerPicker, ServersWithoutAnswersCountLikeTheFastestKnown) {
  Picker.setServers({server("a1", "a"), server("a2", "a")});
  report("a1", {0, 0, 4, 100ms});
  report("a2", {1, 0, 4, 0ms});
  DOUBLES_EQUAL(0.75, share("a1"), 0.25);
}

// Guards against a zone that nobody leaves when all its servers turn slow,
// since nothing is known of the others.
TEST(ServerPicker, SlowZoneIsLeftForUnknownServers) {
  Picker.setServers({server("a1", "a"), server("b1", "b")});
  for (int Answer = 0; Answer < 100; ++Answer)
    report("a1", {0, 0, 4, 50ms});
  for (int Answer = 0; Answer < 10; ++Answer)
    report("a1", {0, 0, 4, 300ms});
  DOUBLES_EQUAL(0, share("a1"), 0.5);
}

// Guards against large answers that cross zones because of a short queue.
TEST(ServerPicker, LargeAnswersStayInTheZoneLonger) {
  Picker.setServers({server("a1", "a"), server("b1", "b")});
  report("a1", {4, 1, 4, 50ms});
  report("b1", {0, 0, 4, 50ms});
  Bytes = 90000;
  DOUBLES_EQUAL(1, share("a1"), 0);
}

// Guards against large answers that cross zones while their zone only has to
// send what it has begun.
TEST(ServerPicker, StaysInTheZoneWhenAsked) {
  Picker.setServers({server("a1", "a"), server("b1", "b")});
  selection_criteria Request{Service,  Version, OwnNode, Zone,
                             ZonesOut, Tried,   90000,   true};
  CHECK(Picker.hasServerInZone(Request));
  STRCMP_EQUAL("a1",
               Picker.selectServer(Request, Gen, Now)->Node.str().c_str());
  report("a1", {4, 0, 4, 50ms}, attempt_result::Rejected);
  CHECK(Picker.selectServer(Request, Gen, Now) == nullptr);
  CHECK(Picker.hasServerInZone(Request));
  Now += 1s;
  STRCMP_EQUAL("a1",
               Picker.selectServer(Request, Gen, Now)->Node.str().c_str());
  ZonesOut.insert(zone_name("a"));
  CHECK_FALSE(Picker.hasServerInZone(Request));
}

TEST(ServerPicker, LargeAnswersComeFromTheOwnNode) {
  Picker.setServers({server("a1", "a"), server("own", "a"), server("a2", "a")});
  Bytes = 90000;
  DOUBLES_EQUAL(1, share("own"), 0);
}

TEST(ServerPicker, LeavesOutWhatMayNotServe) {
  auto Draining = server("a2", "a");
  Draining.State = server_state::Draining;
  auto Paused = server("a3", "a");
  Paused.State = server_state::Paused;
  Picker.setServers({server("a1", "a"), Draining, Paused,
                     server("a4", "a", "v2"), server("c1", "c")});
  ZonesOut = {zone_name("c")};
  DOUBLES_EQUAL(1, share("a1"), 0);
  Tried = {node_id("a1")};
  STRCMP_EQUAL("none", pick().c_str());
}

// Guards against calls that are sent to a node that cannot be reached.
TEST(ServerPicker, UnreachableNodesAreLeftOutForAGrowingTime) {
  Picker.setServers({server("a1", "a"), server("a2", "a")});
  Picker.onAttemptEnded(node_id("a1"), attempt_result::Unreachable,
                        std::nullopt, Now);
  DOUBLES_EQUAL(0, share("a1"), 0);
  Now += 600ms;
  CHECK(share("a1") > 0);
  Picker.onAttemptEnded(node_id("a1"), attempt_result::Unreachable,
                        std::nullopt, Now);
  Now += 600ms;
  DOUBLES_EQUAL(0, share("a1"), 0);
}

// Guards against a service that is emptied because all its servers failed.
TEST(ServerPicker, UsesSomeServerWhenAllAreLeftOut) {
  Picker.setServers({server("a1", "a"), server("a2", "a")});
  for (const char *Node : {"a1", "a2"})
    Picker.onAttemptEnded(node_id(Node), attempt_result::Unreachable,
                          std::nullopt, Now);
  CHECK(pick() != "none");
}

// Guards against grey servers that fail a part of their calls.
TEST(ServerPicker, FailingServersGetLess) {
  Picker.setServers({server("a1", "a"), server("a2", "a"), server("a3", "a")});
  for (int Call = 0; Call < 40; ++Call)
    for (const char *Node : {"a1", "a2", "a3"})
      report(Node, {0, 0, 4, 50ms},
             Node == std::string("a1") && Call % 2 == 0
                 ? attempt_result::Failed
                 : attempt_result::Succeeded);
  CHECK(share("a1") < 0.15);
}

TEST(ServerPicker, SlowServersGetLess) {
  Picker.setServers({server("a1", "a"), server("a2", "a"), server("a3", "a")});
  for (const char *Node : {"a2", "a3"})
    report(Node, {0, 0, 4, 50ms});
  report("a1", {0, 0, 4, 400ms});
  DOUBLES_EQUAL(0, share("a1"), 0);
}

// Guards against observations of a server that outlive it.
TEST(ServerPicker, NewInstanceStartsAfresh) {
  Picker.setServers({server("a1", "a"), server("a2", "a")});
  Picker.onAttemptEnded(node_id("a1"), attempt_result::Unreachable,
                        std::nullopt, Now);
  auto Next = server("a1", "a");
  Next.Instance = "i-new";
  Picker.setServers({Next, server("a2", "a")});
  CHECK(share("a1") > 0);
}

// Guards against a server that joins and gets no call, since nobody knows how
// fast it is.
TEST(ServerPicker, ServersWithoutReportAreTried) {
  Picker.setServers({server("a1", "a"), server("a2", "a")});
  report("a1", {0, 0, 4, 1ms});
  CHECK(share("a2") > 0.2);
}
