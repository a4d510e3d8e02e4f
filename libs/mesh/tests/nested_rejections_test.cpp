#include "gentianlug/mesh/nested_rejections.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

TEST_GROUP(NestedRejections) {
  nested_rejections Rejections;
  steady_time Start{std::chrono::seconds(100)};
};

// Guards against retries of calls whose server failed because the mesh had
// rejected its own calls: they used up the retry budget of the service that
// rejected, so that nearly none of its calls were retried directly.
TEST(NestedRejections, ExplainErrorsOfCallsThatWereRunning) {
  Rejections.onRejected(Start + 100ms);
  CHECK(Rejections.explainError(Start));
}

// Guards against errors of the server that are no longer retried.
TEST(NestedRejections, ExplainOneErrorEach) {
  Rejections.onRejected(Start + 100ms);
  CHECK(Rejections.explainError(Start));
  CHECK_FALSE(Rejections.explainError(Start));
}

TEST(NestedRejections, DoNotExplainErrorsOfLaterCalls) {
  Rejections.onRejected(Start + 100ms);
  CHECK_FALSE(Rejections.explainError(Start + 200ms));
  Rejections.onRejected(Start + 300ms);
  CHECK(Rejections.explainError(Start + 200ms));
  CHECK_FALSE(Rejections.explainError(Start));
}

// Guards against memory that grows while all calls of a server are rejected.
TEST(NestedRejections, AreBounded) {
  constexpr int Rejected = 10000;
  for (int Index = 0; Index < Rejected; ++Index)
    Rejections.onRejected(Start);
  int Explained = 0;
  while (Rejections.explainError(Start))
    ++Explained;
  LONGS_EQUAL(256, Explained);
}
