#include "gentianlug/store/garbage.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::store;
using std::chrono::minutes;

TEST_GROUP(garbage) {
  wall_time Start{std::chrono::hours(1000)};
  std::vector<stored_content> Stored{{"object/a", 1}, {"object/b", 2}};
};

// Guards against removing an object that a slow reader of an old version needs.
TEST(garbage, ObjectsAreRemovedAfterAnHourWithoutReference) {
  auto First = planCollection(Stored, {"object/b"}, {}, Start);
  CHECK(First.Removals.empty());
  CHECK_EQUAL(1U, First.Marks.size());
  auto Early =
      planCollection(Stored, {"object/b"}, First.Marks, Start + minutes(59));
  CHECK(Early.Removals.empty());
  auto Late =
      planCollection(Stored, {"object/b"}, Early.Marks, Start + minutes(60));
  CHECK_EQUAL(1U, Late.Removals.size());
  CHECK((stored_content{"object/a", 1}) == Late.Removals[0]);
}

// Guards against removing an object that an operator has just rewritten.
TEST(garbage, RewrittenOrReferencedObjectsLoseTheirMarks) {
  auto First = planCollection(Stored, {}, {}, Start);
  Stored[0].Revision = 7;
  auto Rewritten =
      planCollection(Stored, {"object/b"}, First.Marks, Start + minutes(90));
  CHECK(Rewritten.Removals.empty());
  auto Again = planCollection(Stored, {}, Rewritten.Marks, Start + minutes(91));
  CHECK(Again.Removals.empty());
}

// Guards against marks set by a clock that was ahead.
TEST(garbage, MarksInTheFutureAreReset) {
  garbage_marks Marks{{"object/a", {1, Start + minutes(600)}}};
  auto Plan = planCollection(Stored, {"object/b"}, Marks, Start);
  CHECK(Start == Plan.Marks.at("object/a").Since);
}

// Guards against marks that exceed the size limit of their object.
TEST(garbage, MarksAreBounded) {
  Stored.clear();
  for (std::size_t Number = 0; Number <= MaxGarbageMarks; ++Number)
    Stored.push_back({"object/" + std::to_string(Number), 1});
  CHECK_EQUAL(MaxGarbageMarks,
              planCollection(Stored, {}, {}, Start).Marks.size());
}
