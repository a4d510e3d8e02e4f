#include "gentianlug/mesh/relay_selection.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

TEST_GROUP(RelayOrder) {
  std::vector<server_record> Servers;

  void add(const std::string &Node, const std::string &Zone,
           std::uint32_t Mbps) {
    server_record Record;
    Record.Node = node_id(Node);
    Record.Zone = zone_name(Zone);
    Record.LinkMbps = Mbps;
    Servers.push_back(Record);
  }
  std::string first(const std::string &Self, const std::string &Zone) {
    auto Order = rankRelays(Servers, zone_name(Zone), node_id(Self));
    return Order.empty() ? "none" : Order.front().Node.str();
  }
};

TEST(RelayOrder, StrongLinksOfTheZoneComeFirst) {
  add("a1", "a", 11);
  add("a2", "a", 200);
  add("b1", "b", 1000);
  STRCMP_EQUAL("a2", first("a1", "a").c_str());
  STRCMP_EQUAL("b1", first("b1", "b").c_str());
  STRCMP_EQUAL("none", first("c1", "c").c_str());
}

TEST(RelayOrder, StoppedNodesDoNotRelay) {
  add("a1", "a", 11);
  add("a2", "a", 200);
  Servers[1].State = server_state::Paused;
  STRCMP_EQUAL("a1", first("a1", "a").c_str());
}

// Guards against relays whose work grows with the fleet, and against nodes of
// one group that disagree about their relay.
TEST(RelayOrder, LargeZonesHaveSeveralRelays) {
  for (int Index = 0; Index < 640; ++Index)
    add("n" + std::to_string(Index), "a", 11);
  std::vector<std::string> Relays;
  for (int Index = 0; Index < 640; ++Index) {
    std::string Relay = first("n" + std::to_string(Index), "a");
    STRCMP_EQUAL(Relay.c_str(), first(Relay, "a").c_str());
    if (std::find(Relays.begin(), Relays.end(), Relay) == Relays.end())
      Relays.push_back(Relay);
  }
  UNSIGNED_LONGS_EQUAL(640 / NodesPerRelay, Relays.size());
}

TEST_GROUP(RelaySearch) {
  std::vector<server_record> Order;
  relay_search Search;
  relay_timing Times = relayTimingFor(2500ms);
  steady_time Start{std::chrono::seconds(100)};

  void setup() override { Search.StartedAt = Start; }
  void knows(const std::string &Node) {
    server_record Record;
    Record.Node = node_id(Node);
    Order.push_back(Record);
  }
  bool next(search_step Step, std::chrono::milliseconds After) {
    return nextSearchStep(Search, Times, Order, node_id("self"),
                          Start + After) == Step;
  }
};

// Guards against a storm of full-price calls when all nodes start: each of them
// would watch the store while the servers appear one by one.
TEST(RelaySearch, NewMeshIsReadCheaplyUntilItsRelayIsKnown) {
  Search.ProcessStarting = Search.MeshIsNew = true;
  CHECK(next(search_step::ReadServers, 100ms));
  knows("self");
  CHECK(next(search_step::ReadServers, 500ms));
  CHECK(next(search_step::WatchStore, 1200ms));
  knows("strong");
  std::swap(Order[0], Order[1]);
  CHECK(next(search_step::QueryRelay, 1200ms));
}

// Guards against a node that asks the same wrong node again and again.
TEST(RelaySearch, RefusalsAtTheStartReadTheServersAgain) {
  knows("strong");
  Search.ProcessStarting = Search.Rejected = true;
  CHECK(next(search_step::ReadServers, 300ms));
  Search.ProcessStarting = false;
  CHECK(next(search_step::QueryRelay, 300ms));
}

// Guards against a node that depends on a relay that is gone.
TEST(RelaySearch, EndsInTimeForChanges) {
  knows("strong");
  Search.ProcessStarting = true;
  CHECK(next(search_step::QueryRelay, 1900ms));
  CHECK(next(search_step::WatchStore, 2000ms));
  Search.ProcessStarting = false;
  CHECK(next(search_step::QueryRelay, 600ms));
  CHECK(next(search_step::WatchStore, 700ms));
}

// Guards against times that are fit for one deployment only.
TEST(RelaySearch, TimesFollowTheTimeOfConfigurations) {
  for (auto ConfigTime : {400ms, 1000ms, 2000ms, 9000ms}) {
    relay_timing Next = relayTimingFor(ConfigTime);
    CHECK(Next.LongPollTime + Next.ResponseGrace < ConfigTime);
    CHECK(Next.HealthCheckInterval + Next.HealthCheckTimeout +
              Next.SearchTimeout <
          ConfigTime);
  }
  CHECK(relayTimingFor(9000ms).LongPollTime ==
        relayTimingFor(2000ms).LongPollTime);
  Times = relayTimingFor(1000ms);
  knows("strong");
  CHECK(next(search_step::WatchStore, 350ms));
}

TEST(RelaySearch, RestartedRelayWatchesAtOnce) {
  knows("self");
  Search.ProcessStarting = true;
  CHECK(next(search_step::WatchStore, 0ms));
}

TEST(RelaySearch, NodeAloneWatchesAfterALoss) {
  CHECK(next(search_step::WatchStore, 0ms));
}
