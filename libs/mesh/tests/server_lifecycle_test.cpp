#include "gentianlug/mesh/server_lifecycle.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;

static server_announcement says(const std::string &Instance,
                                incarnation_number Life, std::uint64_t Number,
                                server_state State = server_state::Ready) {
  server_announcement Next;
  Next.Instance = Instance;
  Next.Incarnation = Life;
  Next.Sequence = Number;
  Next.State = State;
  return Next;
}

TEST_GROUP(ServerLife) {
  server_lifecycle Life;

  void expect(lifecycle_change Change, const server_announcement &Next) {
    CHECK(Life.onAnnouncement(Next) == Change);
  }
};

TEST(ServerLife, LateAnnouncementsOfALifeAreIgnored) {
  expect(lifecycle_change::Changed, says("i", 1, 1));
  expect(lifecycle_change::Unchanged, says("i", 1, 3));
  expect(lifecycle_change::Ignored, says("i", 1, 2));
  expect(lifecycle_change::Ignored, says("i", 1, 3));
}

// Guards against an announcement that was held up by a partition and names the
// server before.
TEST(ServerLife, EarlierLivesAreIgnored) {
  expect(lifecycle_change::Changed, says("new", 7, 1));
  expect(lifecycle_change::Ignored, says("old", 5, 90));
  STRCMP_EQUAL("new", Life.current()->Instance.c_str());
}

// Guards against a server that starts again under its id, whose counts start
// anew.
TEST(ServerLife, SameInstanceMayStartAgain) {
  expect(lifecycle_change::Changed, says("i", 1, 50, server_state::Draining));
  expect(lifecycle_change::Changed, says("i", 2, 1));
  CHECK(Life.current()->State == server_state::Ready);
}

// Guards against a leaving server that comes back by a late announcement.
TEST(ServerLife, LeavingIsFinal) {
  expect(lifecycle_change::Changed, says("i", 1, 1));
  expect(lifecycle_change::Changed, says("i", 1, 5, server_state::Draining));
  expect(lifecycle_change::Ignored, says("i", 1, 4));
  expect(lifecycle_change::Unchanged, says("i", 1, 6));
  CHECK(Life.current()->State == server_state::Draining);
  CHECK(Life.onServerGone("other") == lifecycle_change::Ignored);
  CHECK(Life.onServerGone("i") == lifecycle_change::Changed);
  CHECK(Life.onServerGone("i") == lifecycle_change::Unchanged);
  CHECK(Life.current()->State == server_state::Gone);
}

// Guards against a restarted node that forgets what it has acknowledged.
TEST(ServerLife, StoredLeavingHoldsAfterARestart) {
  server_record Stored;
  Stored.Instance = "i";
  Stored.Incarnation = 4;
  Stored.State = server_state::Draining;
  Life.restoreRecord(Stored);
  expect(lifecycle_change::Ignored, says("i", 4, 9));
  expect(lifecycle_change::Ignored, says("h", 3, 9));
  expect(lifecycle_change::Changed, says("j", 5, 1));
}

TEST(ServerLife, PausedRecordsMayReturn) {
  server_record Stored;
  Stored.Instance = "i";
  Stored.Incarnation = 4;
  Stored.State = server_state::Paused;
  Life.restoreRecord(Stored);
  expect(lifecycle_change::Changed, says("i", 4, 9));
}
