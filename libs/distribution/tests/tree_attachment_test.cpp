#include "gentianlug/distribution/relay_directory.h"
#include "gentianlug/distribution/startup_gate.h"
#include "gentianlug/distribution/tree_attachment.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::distribution;
using namespace std::chrono_literals;
using verdict = attach_response::verdict;

TEST_GROUP(tree_attachment) {
  manual_clock Clock;
  generator Gen{3};
  tree_attachment Attachment{node_id("self"), zone_name("z1")};

  static relay_entry relay(const char *Node, const char *Zone,
                           std::uint16_t Port) {
    return {node_id(Node), zone_name(Zone), {"127.0.0.1", Port}};
  }

  attach_action next() {
    Clock.advance(10s);
    return Attachment.next(Clock.steadyNow());
  }

  void find(const std::vector<relay_entry> &Relays) {
    CHECK(next().Operation == attach_operation::FindRelays);
    Attachment.onRelays(Relays, Clock.steadyNow(), Gen);
  }

  void answer(verdict Verdict, std::vector<node_id> Path,
              std::uint16_t RedirectTo = 0) {
    CHECK(next().Operation == attach_operation::Attach);
    Attachment.onAttachResponse(
        {Verdict, std::move(Path), {"127.0.0.1", RedirectTo}, 100ms},
        Clock.steadyNow(), Gen);
  }
};

// Guards against attaching to a relay in another zone although one in the own
// zone is available, and against giving up if that one does not respond.
TEST(tree_attachment, OwnZoneIsTriedBeforeOtherZones) {
  find({relay("far", "z2", 2), relay("near", "z1", 1)});
  attach_action First = next();
  CHECK_EQUAL(1, First.Target.Port);
  Attachment.onAttachFailed(Clock.steadyNow(), Gen);
  CHECK(Attachment.ownZoneUnresponsive());
  CHECK_EQUAL(2, next().Target.Port);
}

// Guards against endless redirects, and against redirects that are ignored.
TEST(tree_attachment, RedirectsAreFollowedUpToALimit) {
  find({relay("near", "z1", 1)});
  for (unsigned Count = 0; Count < MaxRedirects; ++Count)
    answer(verdict::Redirected, {node_id("near")}, std::uint16_t(10 + Count));
  answer(verdict::Redirected, {node_id("near")}, 99);
  CHECK(next().Operation == attach_operation::FindRelays);
}

// Guards against cycles of nodes that are ancestors of one another.
TEST(tree_attachment, ParentBelowThisNodeIsReplaced) {
  find({relay("near", "z1", 1)});
  answer(verdict::Admitted, {node_id("near")});
  CHECK(next().Operation == attach_operation::Poll);
  Attachment.onPollResponse({node_id("near"), node_id("self")},
                            Clock.steadyNow(), Gen);
  CHECK_FALSE(Attachment.attached());
}

// Guards against children that all attach to another relay simultaneously, and
// against a subtree that is split up when its parent attaches elsewhere.
TEST(tree_attachment, LostParentIsReplacedAndDetachedOneIsKept) {
  find({relay("near", "z1", 1), relay("next", "z1", 2)});
  answer(verdict::Admitted, {node_id("near")});
  Attachment.next(Clock.steadyNow());
  Attachment.onPollResponse({}, Clock.steadyNow(), Gen);
  CHECK(Attachment.attached());
  Attachment.next(Clock.steadyNow());
  Attachment.onPollFailed(Clock.steadyNow(), Gen);
  CHECK_FALSE(Attachment.attached());
  CHECK(Attachment.next(Clock.steadyNow()).Operation == attach_operation::Wait);
  CHECK(next().Operation == attach_operation::Attach);
}

// Guards against a subtree that stays with a detached parent indefinitely.
TEST(tree_attachment, ParentWithoutPathToARootIsReplacedAfterATimeout) {
  find({relay("near", "z1", 1)});
  answer(verdict::Admitted, {node_id("near")});
  CHECK(next().Operation == attach_operation::Poll);
  Attachment.onPollResponse({}, Clock.steadyNow(), Gen);
  CHECK_FALSE(Attachment.attached());
}

TEST_GROUP(startup_gate) { manual_clock Clock; };

// Guards against a restarted node that serves an older version than its peers.
TEST(startup_gate, IsReadyWithTheNewestVersionOfParentAndSeeds) {
  startup_gate Gate(Clock.steadyNow(), 5);
  CHECK_FALSE(Gate.isReady(0));
  Gate.onParentAnswered(4);
  CHECK(Gate.shouldSendProbes(Clock.steadyNow()));
  Gate.onProbesSent();
  Gate.onProbeAnswered(6);
  CHECK_FALSE(Gate.isReady(4));
  Gate.onProbeFailed();
  CHECK_FALSE(Gate.isReady(4));
  CHECK(Gate.isReady(6));
}

// Guards against a node that waits indefinitely for a parent while the platform
// is down, although its peers have the configuration.
TEST(startup_gate, PeersSufficeWithoutAParent) {
  startup_gate Gate(Clock.steadyNow(), 2);
  CHECK_FALSE(Gate.shouldSendProbes(Clock.steadyNow()));
  Clock.advance(2s);
  CHECK(Gate.shouldSendProbes(Clock.steadyNow()));
  Gate.onProbesSent();
  Gate.onProbeFailed();
  Gate.onProbeAnswered(3);
  CHECK_FALSE(Gate.isReady(2));
  CHECK(Gate.isReady(3));
}

TEST_GROUP(relay_directory) {
  manual_clock Clock;
  generator Gen{5};
  relay_directory Directory;

  void list(object_revision Revision) {
    Directory.onListing({{zone_name("z"), 0, node_id("a"), {"h", 1}, Revision},
                         {zone_name("z"), 1, node_id("b"), {"h", 2}, 7}},
                        Clock.steadyNow());
  }
};

// Guards against a failed relay that stays listed indefinitely, and against a
// relay that loses its slot while listings fail.
TEST(relay_directory, SlotExpiresOnlyWhileListingsArrive) {
  for (object_revision Revision = 1; Revision < 3; ++Revision) {
    list(Revision);
    Clock.advance(4s);
  }
  CHECK_EQUAL(2U, Directory.relays(Clock.steadyNow()).size());
  CHECK_FALSE(
      Directory.freeSlot(zone_name("z"), Clock.steadyNow(), Gen).has_value());
  list(3);
  CHECK_EQUAL(1U, *Directory.freeSlot(zone_name("z"), Clock.steadyNow(), Gen));
  CHECK(Directory.holdsLowestSlot(node_id("a"), zone_name("z"),
                                  Clock.steadyNow()));
  // The platform is down: the last known holders keep their role.
  Clock.advance(60s);
  CHECK_EQUAL(1U, Directory.relays(Clock.steadyNow()).size());
}
