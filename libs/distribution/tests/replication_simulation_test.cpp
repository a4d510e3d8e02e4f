#include "config_samples.h"
#include "gentianlug/core/random.h"
#include "gentianlug/distribution/node_state.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::distribution;
using namespace std::chrono_literals;
using membership::member_record;
using membership::member_state;

namespace {

/// A simulated node: its state, its cursors and the highest versions seen.
struct sim_node {
  node_id Name;
  std::unique_ptr<node_state> State;
  std::map<std::size_t, log_cursor> Cursors;
  std::uint64_t Incarnations = 0;
  config_version HighestVersion = 0;
  object_revision HighestLiveRevision = 0;
};

/// A message in flight; it may be delayed, duplicated or lost.
struct sim_message {
  std::size_t From = 0;
  std::size_t To = 0;
  state_update Update;
};

/// Simulates nodes that crash and whose messages are lost, duplicated, delayed
/// and reordered, driven by a seeded generator.
class simulation {
public:
  explicit simulation(std::uint64_t Seed) : Gen(Seed), Nodes(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      restart(Index);
  }

  void step() {
    Clock.advance(std::chrono::milliseconds(drawIndex(Gen, 200)));
    switch (drawIndex(Gen, 10)) {
    case 0:
      return accept();
    case 1:
      return changeOwnRecord(drawIndex(Gen, Count));
    case 2:
      if (drawBool(Gen, 0.2))
        restart(drawIndex(Gen, Count));
      return;
    case 3:
    case 4:
    case 5:
      return requestUpdate(drawIndex(Gen, Count), drawIndex(Gen, Count));
    default:
      return deliver();
    }
  }

  /// Drops the messages in flight and lets every node get a snapshot from every
  /// other one, in several rounds.
  void synchronizeAll() {
    InFlight.clear();
    for (int Round = 0; Round < 4; ++Round)
      for (std::size_t To = 0; To < Count; ++To)
        for (std::size_t From = 0; From < Count; ++From) {
          // Without a cursor the update is a snapshot, as after a resync.
          Nodes[To].Cursors.erase(From);
          apply({From, To, Nodes[From].State->updateFor(request(To, From))});
        }
  }

  void checkAgreement() {
    for (const sim_node &Node : Nodes) {
      CHECK_EQUAL(AcceptedVersion, Node.State->configVersion());
      CHECK(Node.State->members().digest() ==
            Nodes[0].State->members().digest());
      CHECK(Node.State->liveValues() == Nodes[0].State->liveValues());
    }
  }

private:
  static constexpr std::size_t Count = 5;

  void restart(std::size_t Index) {
    sim_node &Node = Nodes[Index];
    Node.Name = node_id("n" + std::to_string(Index));
    ++Node.Incarnations;
    Node.State = std::make_unique<node_state>(Node.Name, Node.Incarnations);
    Node.Cursors.clear();
    changeOwnRecord(Index);
    // As required by `startup_gate`: the parent has read the platform, and the
    // peers respond.
    if (AcceptedVersion > 0)
      activateVersion(Node, AcceptedVersion);
    for (std::size_t Peer = 0; Peer < Count; ++Peer)
      if (Peer != Index && Nodes[Peer].State)
        apply(
            {Peer, Index, Nodes[Peer].State->updateFor(request(Index, Peer))});
  }

  void accept() {
    activateVersion(Nodes[drawIndex(Gen, 2)], ++AcceptedVersion);
    // Another relay may still read an older head.
    activateVersion(Nodes[drawIndex(Gen, 2)],
                    1 + drawIndex(Gen, AcceptedVersion));
  }

  void activateVersion(sim_node &Node, config_version Version) {
    config_image Image = sampleImage(Version);
    RootHashes[Version] = Image.RootHash;
    auto Versioned = std::make_shared<config::versioned_configuration>();
    Versioned->Version = Version;
    Versioned->RootHash = Image.RootHash;
    Node.State->activate(std::move(Image), Versioned);
    Node.State->applyLiveValues(
        {{"live/zones", Version, std::to_string(Version)}},
        update_source::Upstream);
    checkInvariants(Node);
  }

  void changeOwnRecord(std::size_t Index) {
    member_record Own;
    Own.Node = Nodes[Index].Name;
    Own.Incarnation = Nodes[Index].Incarnations;
    Own.State =
        drawBool(Gen, 0.5) ? member_state::Serving : member_state::NoServer;
    Nodes[Index].State->setOwnRecord(Own, Clock.steadyNow());
  }

  sync_request request(std::size_t To, std::size_t From) {
    sync_request Request;
    Request.From.Node = Nodes[To].Name;
    Request.Cursor = Nodes[To].Cursors[From];
    Request.ConfigVersion = Nodes[To].State->configVersion();
    const auto &Buckets = Nodes[To].State->members().bucketDigests();
    if (drawBool(Gen, 0.8))
      Request.BucketDigests.assign(Buckets.begin(), Buckets.end());
    return Request;
  }

  void requestUpdate(std::size_t To, std::size_t From) {
    if (To == From || drawBool(Gen, 0.2))
      return;
    sim_message Message{From, To,
                        Nodes[From].State->updateFor(request(To, From))};
    InFlight.push_back(Message);
    if (drawBool(Gen, 0.2))
      InFlight.push_back(std::move(Message));
  }

  void deliver() {
    if (InFlight.empty())
      return;
    std::swap(InFlight[drawIndex(Gen, InFlight.size())], InFlight.back());
    sim_message Message = std::move(InFlight.back());
    InFlight.pop_back();
    apply(Message);
  }

  void apply(const sim_message &Message) {
    sim_node &Node = Nodes[Message.To];
    update_outcome Outcome = Node.State->apply(
        Message.Update, update_source::Upstream, Clock.steadyNow());
    Node.Cursors[Message.From] = Message.Update.Cursor;
    // The base of a delayed delta may be gone, but no version is invalid.
    CHECK_FALSE(Outcome.Refusal.has_value());
    Nodes[Message.From].State->applyMembers(
        Outcome.RecordsForRoot, update_source::Subtree, Clock.steadyNow());
    checkInvariants(Node);
  }

  /// Checks that versions never decrease and are never partial.
  void checkInvariants(sim_node &Node) {
    CHECK(Node.State->configVersion() >= Node.HighestVersion);
    Node.HighestVersion = Node.State->configVersion();
    if (const auto &Configuration = Node.State->configuration(); Configuration)
      STRCMP_EQUAL(RootHashes.at(Configuration->Version).c_str(),
                   Configuration->RootHash.c_str());
    auto Live = Node.State->liveValues().find("live/zones");
    object_revision Revision =
        Live == Node.State->liveValues().end() ? 0 : Live->second.Revision;
    CHECK(Revision >= Node.HighestLiveRevision);
    Node.HighestLiveRevision = Revision;
  }

  manual_clock Clock;
  generator Gen;
  std::vector<sim_node> Nodes;
  std::vector<sim_message> InFlight;
  config_version AcceptedVersion = 0;
  std::map<config_version, std::string> RootHashes;
};

} // namespace

TEST_GROUP(replication_simulation){};

// Guards against sequences of lost, duplicated, delayed and reordered messages
// and crashes after which a version decreases, two versions are mixed, or nodes
// never converge.
TEST(replication_simulation, InvariantsHoldUnderRandomSchedules) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    simulation Simulation(Seed);
    for (int Step = 0; Step < 300; ++Step)
      Simulation.step();
    Simulation.synchronizeAll();
    Simulation.checkAgreement();
  }
}
