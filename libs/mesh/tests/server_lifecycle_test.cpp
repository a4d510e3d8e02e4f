#include "gentianlug/mesh/server_lifecycle.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;

static server_announcement
makeAnnouncement(const std::string &Instance, incarnation_number Incarnation,
                 std::uint64_t Sequence,
                 server_state State = server_state::Ready) {
  server_announcement Next;
  Next.Instance = Instance;
  Next.Incarnation = Incarnation;
  Next.Sequence = Sequence;
  Next.State = State;
  return Next;
}

static server_record makeRecord(const std::string &Instance,
                                incarnation_number Incarnation,
                                server_state State) {
  server_record Record;
  Record.Instance = Instance;
  Record.Incarnation = Incarnation;
  Record.State = State;
  return Record;
}

TEST_GROUP(ServerLifecycle) {
  server_lifecycle Lifecycle;

  void expect(lifecycle_change Change, const server_announcement &Next) {
    CHECK(Lifecycle.onAnnouncement(Next) == Change);
  }
};

// Guards against a late message about an earlier run that takes out the server
// that has started again under the same instance id.
TEST(ServerLifecycle, EndOfAnEarlierRunIsIgnored) {
  expect(lifecycle_change::Changed, makeAnnouncement("i", 2, 1));
  CHECK(Lifecycle.onServerGone("i", 1) == lifecycle_change::Ignored);
  CHECK(Lifecycle.current()->State == server_state::Ready);
  CHECK(Lifecycle.onServerGone("i", 2) == lifecycle_change::Changed);
}

// Guards against an announcement of another writer that keeps the real server
// out for good, because it names a later start.
TEST(ServerLifecycle, DeniedInstanceIsReplacedByAnEarlierIncarnation) {
  expect(lifecycle_change::Changed, makeAnnouncement("foreign", 9, 1));
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 2, 4));
  Lifecycle.onInstanceDenied("another");
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 2, 5));
  Lifecycle.onInstanceDenied("foreign");
  expect(lifecycle_change::Unchanged, makeAnnouncement("foreign", 9, 2));
  expect(lifecycle_change::Changed, makeAnnouncement("i", 2, 6));
  expect(lifecycle_change::Ignored, makeAnnouncement("old", 1, 7));
}

// Guards against lists that still hold the record of such an announcement, and
// that would keep the real server out again.
TEST(ServerLifecycle, StoredRecordOfADeniedInstanceIsIgnored) {
  expect(lifecycle_change::Changed, makeAnnouncement("foreign", 9, 1));
  Lifecycle.onStoredRecord(makeRecord("foreign", 9, server_state::Ready));
  Lifecycle.onInstanceDenied("foreign");
  expect(lifecycle_change::Changed, makeAnnouncement("i", 2, 4));
  Lifecycle.onStoredRecord(makeRecord("foreign", 9, server_state::Ready));
  expect(lifecycle_change::Unchanged, makeAnnouncement("i", 2, 5));
}

// Guards against an announcement of another writer that changes the service,
// zone or address of a VM.
TEST(ServerLifecycle, FindsAnnouncementsOfOtherServers) {
  server_announcement Own = makeAnnouncement("i", 1, 1);
  Own.Service = service_name("s");
  Own.Zone = zone_name("z");
  Own.Address = {"10.0.0.1", 80};
  server_identity Identity{Own.Service, Own.Zone, Own.Address};
  POINTERS_EQUAL(nullptr, findIdentityMismatch(Identity, Own));
  POINTERS_EQUAL(nullptr, findIdentityMismatch({}, Own));
  server_announcement Other = Own;
  Other.Service = service_name("t");
  CHECK(findIdentityMismatch(Identity, Other) != nullptr);
  Other = Own;
  Other.Zone = zone_name("y");
  CHECK(findIdentityMismatch(Identity, Other) != nullptr);
  Other = Own;
  Other.Address.Port = 81;
  CHECK(findIdentityMismatch(Identity, Other) != nullptr);
}

TEST(ServerLifecycle, IgnoresLateAnnouncements) {
  expect(lifecycle_change::Changed, makeAnnouncement("i", 1, 1));
  expect(lifecycle_change::Unchanged, makeAnnouncement("i", 1, 3));
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 1, 2));
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 1, 3));
}

// Guards against an announcement of the previous server that was delayed by a
// network partition.
TEST(ServerLifecycle, IgnoresEarlierIncarnations) {
  expect(lifecycle_change::Changed, makeAnnouncement("new", 7, 1));
  expect(lifecycle_change::Ignored, makeAnnouncement("old", 5, 90));
  STRCMP_EQUAL("new", Lifecycle.current()->Instance.c_str());
}

// Guards against ignoring a server that restarts under the same instance id,
// since its sequence numbers start again at 1.
TEST(ServerLifecycle, SameInstanceMayRestart) {
  expect(lifecycle_change::Changed,
         makeAnnouncement("i", 1, 50, server_state::Draining));
  expect(lifecycle_change::Changed, makeAnnouncement("i", 2, 1));
  CHECK(Lifecycle.current()->State == server_state::Ready);
}

// Guards against a draining server that becomes ready through a late
// announcement.
TEST(ServerLifecycle, DrainingIsFinal) {
  expect(lifecycle_change::Changed, makeAnnouncement("i", 1, 1));
  expect(lifecycle_change::Changed,
         makeAnnouncement("i", 1, 5, server_state::Draining));
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 1, 4));
  expect(lifecycle_change::Unchanged, makeAnnouncement("i", 1, 6));
  CHECK(Lifecycle.current()->State == server_state::Draining);
  CHECK(Lifecycle.onServerGone("other") == lifecycle_change::Ignored);
  CHECK(Lifecycle.onServerGone("i") == lifecycle_change::Changed);
  CHECK(Lifecycle.onServerGone("i") == lifecycle_change::Unchanged);
  CHECK(Lifecycle.current()->State == server_state::Gone);
}

// Guards against a restarted node that loses acknowledged announcements.
TEST(ServerLifecycle, StoredLeavingHoldsAfterARestart) {
  Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Draining));
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 4, 9));
  expect(lifecycle_change::Ignored, makeAnnouncement("h", 3, 9));
  expect(lifecycle_change::Changed, makeAnnouncement("j", 5, 1));
}

// Guards against a restarted node whose first list is stale: it lacks a leaving
// that the process before acknowledged, and late announcements bring the server
// back.
TEST(ServerLifecycle, LeavingInALaterListHolds) {
  Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Ready));
  expect(lifecycle_change::Changed, makeAnnouncement("i", 4, 9));
  CHECK(Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Gone)) ==
        lifecycle_change::Changed);
  CHECK(Lifecycle.current()->State == server_state::Gone);
  expect(lifecycle_change::Ignored, makeAnnouncement("i", 4, 10));
  CHECK(Lifecycle.current()->State == server_state::Gone);
  // An even older list changes nothing.
  CHECK(Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Ready)) ==
        lifecycle_change::Unchanged);
  CHECK(Lifecycle.storedRecord()->State == server_state::Gone);
  expect(lifecycle_change::Changed, makeAnnouncement("i", 5, 1));
  CHECK(Lifecycle.current()->State == server_state::Ready);
}

// Guards against a restarted node that acknowledges the leaving of its server
// before the server has announced itself, and forgets it.
TEST(ServerLifecycle, LeavingBeforeTheFirstAnnouncementHolds) {
  Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Ready));
  CHECK(Lifecycle.onServerGone("i", 4) == lifecycle_change::Changed);
  CHECK(Lifecycle.current()->State == server_state::Gone);
  expect(lifecycle_change::Unchanged, makeAnnouncement("i", 4, 9));
  CHECK(Lifecycle.current()->State == server_state::Gone);
  expect(lifecycle_change::Changed, makeAnnouncement("i", 5, 1));
  CHECK(Lifecycle.current()->State == server_state::Ready);
}

// The same before the store has been read.
TEST(ServerLifecycle, LeavingOfAnUnknownServerHolds) {
  CHECK(Lifecycle.onServerGone("i", 4) == lifecycle_change::Unchanged);
  CHECK_FALSE(Lifecycle.current().has_value());
  expect(lifecycle_change::Changed, makeAnnouncement("i", 4, 9));
  CHECK(Lifecycle.current()->State == server_state::Gone);
}

TEST(ServerLifecycle, LeavingOfAnUnknownServerIsStored) {
  CHECK(Lifecycle.onServerGone("i", 4) == lifecycle_change::Unchanged);
  CHECK(Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Ready)) ==
        lifecycle_change::Changed);
  CHECK(Lifecycle.current()->State == server_state::Gone);
}

// Guards against the leaving of an earlier run that takes out the server that
// has started again, with the same instance id or with another one.
TEST(ServerLifecycle, LeavingOfAnEarlierUnknownRunIsIgnored) {
  Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Ready));
  CHECK(Lifecycle.onServerGone("i", 3) == lifecycle_change::Unchanged);
  // A list that is older than the first one describes that run.
  CHECK(Lifecycle.onStoredRecord(makeRecord("i", 3, server_state::Ready)) ==
        lifecycle_change::Unchanged);
  expect(lifecycle_change::Changed, makeAnnouncement("i", 4, 9));
  CHECK(Lifecycle.current()->State == server_state::Ready);
  CHECK(Lifecycle.onServerGone("h", 3) == lifecycle_change::Ignored);
  CHECK(Lifecycle.onServerGone("h") == lifecycle_change::Ignored);
  CHECK(Lifecycle.current()->State == server_state::Ready);
}

TEST(ServerLifecycle, PausedServerMayBecomeReady) {
  Lifecycle.onStoredRecord(makeRecord("i", 4, server_state::Paused));
  expect(lifecycle_change::Changed, makeAnnouncement("i", 4, 9));
}

// Guards against a server that becomes ready again by a late announcement after
// it has said in a response that it is leaving.
TEST(ServerLifecycle, LeavingByAResponseIsFinal) {
  expect(lifecycle_change::Changed, makeAnnouncement("i", 1, 1));
  CHECK(Lifecycle.onServerLeaving("other") == lifecycle_change::Ignored);
  CHECK(Lifecycle.onServerLeaving("i") == lifecycle_change::Changed);
  CHECK(Lifecycle.onServerLeaving("i") == lifecycle_change::Unchanged);
  expect(lifecycle_change::Unchanged, makeAnnouncement("i", 1, 2));
  CHECK(Lifecycle.current()->State == server_state::Draining);
  expect(lifecycle_change::Changed, makeAnnouncement("i", 2, 1));
  CHECK(Lifecycle.current()->State == server_state::Ready);
}

// Guards against a server that gets calls again because a restored store lists
// it as it was before it left.
TEST(ServerLifecycle, ListsDoNotUndoLeavings) {
  server_record Ready;
  Ready.Node = node_id("n1");
  Ready.Instance = "i-1";
  Ready.Incarnation = 5;
  server_record Draining = Ready;
  Draining.State = server_state::Draining;
  server_record Gone = Ready;
  Gone.State = server_state::Gone;
  server_record NextRun = Ready;
  NextRun.Instance = "i-2";
  for (incarnation_number Incarnation : {4, 6}) {
    NextRun.Incarnation = Incarnation;
    CHECK(keepLeavings({NextRun}, {Gone}) == std::vector{NextRun});
  }
  CHECK(keepLeavings({Ready}, {Draining}) == std::vector{Draining});
  CHECK(keepLeavings({Ready}, {Gone}) == std::vector{Gone});
  CHECK(keepLeavings({Draining}, {Gone}) == std::vector{Gone});
  CHECK(keepLeavings({Gone}, {Draining}) == std::vector{Gone});
  CHECK(keepLeavings({}, {Gone}).empty());
}
