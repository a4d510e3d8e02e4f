#include "gentianlug/wire/load_header.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;

TEST_GROUP(load_header){};

// Guards against a serving node and an entry node that read load differently.
TEST(load_header, ReadsWhatItWrites) {
  routing::reported_load Load{3, 10, 2};
  STRCMP_EQUAL("3/10/2", wire::encodeLoad(Load).c_str());
  CHECK(wire::decodeLoad("3/10/2") == Load);
}

TEST(load_header, AMalformedLoadCountsAsAbsent) {
  for (const char *Value : {"", "3/10", "a/b/c", "3/10/99999999999"})
    CHECK_FALSE(wire::decodeLoad(Value).has_value());
}
