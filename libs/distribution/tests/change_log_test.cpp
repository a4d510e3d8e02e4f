#include "gentianlug/distribution/change_log.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::distribution;

TEST_GROUP(change_log){static change_key key(const std::string &Name){
    return {change_kind::Member, Name};
}
}
;

// Guards against a change that a reader never gets, and against one that it
// gets again with every poll.
TEST(change_log, ReaderGetsEachChangeSinceItsCursor) {
  change_log Log(7);
  Log.append(key("a"), true);
  log_cursor Cursor = Log.head();
  Log.append(key("b"), true);
  Log.append(key("a"), false);
  auto News = Log.changesSince(Cursor);
  CHECK_EQUAL(2U, News->size());
  STRCMP_EQUAL("b", (*News)[0].Key.Name.c_str());
  CHECK(Log.changesSince(Log.head())->empty());
  // The change from below is still news for other relays.
  CHECK((*News)[1].FromSubtree);
}

// Guards against a cursor that means something else: of an earlier life of the
// relay, of the future, or older than what is kept.
TEST(change_log, UnknownCursorAsksForASnapshot) {
  change_log Log(7, 10);
  log_cursor Start = Log.head();
  for (int Index = 0; Index < 11; ++Index)
    Log.append(key(std::to_string(Index)), true);
  CHECK_FALSE(Log.changesSince(Start).has_value());
  CHECK_FALSE(Log.changesSince({6, 5}).has_value());
  CHECK_FALSE(Log.changesSince({7, 12}).has_value());
  CHECK_EQUAL(10U, Log.changesSince({7, 1})->size());
}
