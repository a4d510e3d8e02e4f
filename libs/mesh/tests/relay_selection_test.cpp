#include "gentianlug/mesh/relay_selection.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

TEST_GROUP(RelaySelection) {
  std::vector<server_record> Servers;

  void addNode(const std::string &Node, const std::string &Zone,
               std::uint32_t Mbps) {
    server_record Record;
    Record.Node = node_id(Node);
    Record.Zone = zone_name(Zone);
    Record.LinkMbps = Mbps;
    Servers.push_back(Record);
  }
  std::string firstRelay(const std::string &Self, const std::string &Zone) {
    auto Candidates = rankRelays(Servers, zone_name(Zone), node_id(Self));
    return Candidates.empty() ? "none" : Candidates.front().Node.str();
  }
};

TEST(RelaySelection, RanksNodesOfTheZoneByLinkBandwidth) {
  addNode("a1", "a", 11);
  addNode("a2", "a", 200);
  addNode("b1", "b", 1000);
  STRCMP_EQUAL("a2", firstRelay("a1", "a").c_str());
  STRCMP_EQUAL("b1", firstRelay("b1", "b").c_str());
  STRCMP_EQUAL("none", firstRelay("c1", "c").c_str());
}

TEST(RelaySelection, ExcludesPausedNodes) {
  addNode("a1", "a", 11);
  addNode("a2", "a", 200);
  Servers[1].State = server_state::Paused;
  STRCMP_EQUAL("a1", firstRelay("a1", "a").c_str());
}

// Guards against relays whose load grows with the fleet, and against nodes of
// one group that select different relays.
TEST(RelaySelection, SplitsLargeZonesIntoGroups) {
  for (int Index = 0; Index < 640; ++Index)
    addNode("n" + std::to_string(Index), "a", 11);
  std::vector<std::string> Relays;
  for (int Index = 0; Index < 640; ++Index) {
    std::string Relay = firstRelay("n" + std::to_string(Index), "a");
    STRCMP_EQUAL(Relay.c_str(), firstRelay(Relay, "a").c_str());
    if (std::find(Relays.begin(), Relays.end(), Relay) == Relays.end())
      Relays.push_back(Relay);
  }
  UNSIGNED_LONGS_EQUAL(640 / NodesPerRelay, Relays.size());
}

TEST_GROUP(RelaySearch) {
  std::vector<server_record> Candidates;
  relay_search Search;
  relay_timing Timing = relayTimingFor(2500ms);
  steady_time Start{std::chrono::seconds(100)};

  void setup() override { Search.StartedAt = Start; }
  void addCandidate(const std::string &Node) {
    server_record Record;
    Record.Node = node_id(Node);
    Candidates.push_back(Record);
  }
  bool isNextStep(search_step Step, std::chrono::milliseconds After) {
    return nextSearchStep(Search, Timing, Candidates, node_id("self"),
                          Start + After) == Step;
  }
};

// Guards against a burst of full-price requests when all nodes start: each node
// would watch the store while the servers are registered one by one.
TEST(RelaySearch, NewMeshReadsServersUntilRelayIsKnown) {
  Search.ProcessStarting = Search.MeshIsNew = true;
  CHECK(isNextStep(search_step::ReadServers, 100ms));
  addCandidate("self");
  CHECK(isNextStep(search_step::ReadServers, 500ms));
  CHECK(isNextStep(search_step::WatchStore, 1200ms));
  addCandidate("strong");
  std::swap(Candidates[0], Candidates[1]);
  CHECK(isNextStep(search_step::QueryRelay, 1200ms));
}

// Guards against repeated queries to a node that is not the relay.
TEST(RelaySearch, RejectionDuringStartupReadsServersAgain) {
  addCandidate("strong");
  Search.ProcessStarting = Search.Rejected = true;
  CHECK(isNextStep(search_step::ReadServers, 300ms));
  Search.ProcessStarting = false;
  CHECK(isNextStep(search_step::QueryRelay, 300ms));
}

// Guards against a node that waits for a relay that no longer exists.
TEST(RelaySearch, WatchesStoreAfterSearchTimeout) {
  addCandidate("strong");
  Search.ProcessStarting = true;
  CHECK(isNextStep(search_step::QueryRelay, 1900ms));
  CHECK(isNextStep(search_step::WatchStore, 2000ms));
  Search.ProcessStarting = false;
  CHECK(isNextStep(search_step::QueryRelay, 600ms));
  CHECK(isNextStep(search_step::WatchStore, 700ms));
}

// Guards against fixed times that do not fit other propagation times.
TEST(RelaySearch, TimingScalesWithConfigPropagationTime) {
  for (auto ConfigTime : {400ms, 1000ms, 2000ms, 9000ms}) {
    relay_timing Next = relayTimingFor(ConfigTime);
    CHECK(Next.LongPollTime + Next.ResponseGrace < ConfigTime);
    CHECK(Next.HealthCheckInterval + Next.HealthCheckTimeout +
              Next.SearchTimeout <
          ConfigTime);
  }
  CHECK(relayTimingFor(9000ms).LongPollTime ==
        relayTimingFor(2000ms).LongPollTime);
  Timing = relayTimingFor(1000ms);
  addCandidate("strong");
  CHECK(isNextStep(search_step::WatchStore, 350ms));
}

TEST(RelaySearch, RestartedRelayWatchesStoreImmediately) {
  addCandidate("self");
  Search.ProcessStarting = true;
  CHECK(isNextStep(search_step::WatchStore, 0ms));
}

TEST(RelaySearch, SingleNodeWatchesStoreAfterRelayLoss) {
  CHECK(isNextStep(search_step::WatchStore, 0ms));
}

TEST_GROUP(RelayFailures) {
  std::vector<server_record> Candidates;
  relay_failures Failures;
  steady_time Now{std::chrono::seconds(100)};

  void setup() override {
    for (const char *Name : {"first", "second", "third", "fourth"}) {
      server_record Record;
      Record.Node = node_id(Name);
      Candidates.push_back(Record);
    }
  }
  std::string usable(std::chrono::milliseconds After) {
    std::string Names;
    for (const auto &Each : Failures.usableRelays(Candidates, Now + After))
      Names += Each.Node.str() + " ";
    return Names;
  }
};

// Guards against relays whose number grows with the group: only the relay and
// two substitutes may be asked.
TEST(RelayFailures, OfferTheRelayAndTwoSubstitutes) {
  STRCMP_EQUAL("first second third ", usable(0ms).c_str());
}

TEST(RelayFailures, AvoidFailedRelaysForATime) {
  Failures.avoid(node_id("first"), Now + 2s);
  STRCMP_EQUAL("second third ", usable(1999ms).c_str());
  STRCMP_EQUAL("first second third ", usable(2s).c_str());
}

// Guards against a relay that is passed over although it serves again.
TEST(RelayFailures, ForgetFailuresOfRelaysThatServe) {
  Failures.avoid(node_id("first"), Now + 2s);
  Failures.avoid(node_id("second"), Now + 2s);
  Failures.onServed(node_id("first"));
  STRCMP_EQUAL("first third ", usable(0ms).c_str());
  Failures.clear();
  STRCMP_EQUAL("first second third ", usable(0ms).c_str());
}
