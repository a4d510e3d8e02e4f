#include "gentianlug/distribution/change_log.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::distribution;

TEST_GROUP(change_log){static change_key key(const std::string &Name){
    return {change_kind::Member, Name};
}
}
;

// Guards against changes that a reader misses or receives repeatedly.
TEST(change_log, ReaderGetsEachChangeSinceItsCursor) {
  change_log Log(7);
  Log.append(key("a"), true);
  log_cursor Cursor = Log.head();
  Log.append(key("b"), true);
  Log.append(key("a"), false);
  auto Changes = Log.changesSince(Cursor);
  CHECK_EQUAL(2U, Changes->size());
  STRCMP_EQUAL("b", (*Changes)[0].Key.Name.c_str());
  CHECK(Log.changesSince(Log.head())->empty());
  // The change from the subtree must still be sent to other relays.
  CHECK((*Changes)[1].FromSubtree);
}

// Guards against misinterpreting a cursor that belongs to another incarnation
// of the relay, is ahead of the log, or is older than its oldest change.
TEST(change_log, CursorOutsideTheLogRequiresASnapshot) {
  change_log Log(7, 10);
  log_cursor Start = Log.head();
  for (int Index = 0; Index < 11; ++Index)
    Log.append(key(std::to_string(Index)), true);
  CHECK_FALSE(Log.changesSince(Start).has_value());
  CHECK_FALSE(Log.changesSince({6, 5}).has_value());
  CHECK_FALSE(Log.changesSince({7, 12}).has_value());
  CHECK_EQUAL(10U, Log.changesSince({7, 1})->size());
}
