#include "gentianlug/wire/load_header.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;

TEST_GROUP(load_header){};

// Guards against the serving node and the entry node disagreeing on the format.
TEST(load_header, RoundTrip) {
  routing::reported_load Load{3, 10, 2};
  STRCMP_EQUAL("3/10/2", wire::encodeLoad(Load).c_str());
  CHECK(wire::decodeLoad("3/10/2") == Load);
}

TEST(load_header, TreatsMalformedLoadAsAbsent) {
  for (const char *Value : {"", "3/10", "a/b/c", "3/10/99999999999"})
    CHECK_FALSE(wire::decodeLoad(Value).has_value());
}
