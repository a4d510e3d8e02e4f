#include "call_request.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/routing/routing_errc.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::node;
using namespace std::chrono_literals;

TEST_GROUP(call_request) {
  net::http_request Request;
  config::route Route;
  generator Gen{7};

  void setup() override { Request.Method = "POST"; }

  result<call_parameters> read() {
    return readCallParameters(Request, Route, Gen);
  }
};

// Guards against two calls of one id, and against an id that a caller gave and
// that the node replaces.
TEST(call_request, KeepsTheCallersIdAndDrawsOthers) {
  auto First = read();
  CHECK(First->Id != read()->Id);
  Request.Headers.add(CallIdHeader, "order-7.a_B");
  STRCMP_EQUAL("order-7.a_B", read()->Id.str().c_str());
}

// Guards against an order that is retried as if it could run twice.
TEST(call_request, OnlySafeMethodsAndIdempotentRoutesAreIdempotent) {
  CHECK_FALSE(read()->Idempotent);
  // A caller cannot declare its own call idempotent.
  Request.Headers.add(IdempotentHeader, "1");
  CHECK_FALSE(read()->Idempotent);
  Request.Method = "GET";
  CHECK(read()->Idempotent);
  Request.Method = "DELETE";
  CHECK_FALSE(read()->Idempotent);
  Route.Idempotent = true;
  CHECK(read()->Idempotent);
}

// Guards against header values that get into paths and sums unchecked.
TEST(call_request, RefusesMalformedFields) {
  for (auto [Name, Value] : {std::pair{CallIdHeader, "../status"},
                             {CallIdHeader, ""},
                             {CustomerHeader, "a b"},
                             {DeadlineHeader, "-1"},
                             {DepthHeader, "99999999999"},
                             {AttemptHeader, "x"}}) {
    Request.Headers.set(Name, Value);
    CHECK_TEXT(!read(), Name);
    CHECK(read().failure().Code ==
          make_error_code(routing::routing_errc::MalformedCallHeader));
    Request.Headers.erase(Name);
  }
}

// Guards against retries of retries, and against fields of one connection or
// of an earlier hop that reach the next node.
TEST(call_request, ForwardsOwnFieldsOnly) {
  Request.Target = "/orders/7?x=1";
  Request.Body = "glue";
  for (auto [Name, Value] : {std::pair{"Connection", "close"},
                             {"Transfer-Encoding", "chunked"},
                             {"Content-Length", "4"},
                             {"order-id", "7"},
                             {AttemptHeader, "2"},
                             {PriorityHeader, "high"},
                             {IdempotentHeader, "1"}})
    Request.Headers.add(Name, Value);
  CHECK(read()->IsRetry);
  net::http_request Forwarded = makeForwardedRequest(Request, Route, false, 3);
  STRCMP_EQUAL("/orders/7?x=1", Forwarded.Target.c_str());
  STRCMP_EQUAL("glue", Forwarded.Body.c_str());
  for (const char *Name :
       {"Connection", "Transfer-Encoding", "Content-Length", AttemptHeader})
    CHECK_TEXT(!Forwarded.Headers.find(Name), Name);
  STRCMP_EQUAL("7", Forwarded.Headers.find("order-id")->c_str());
  STRCMP_EQUAL("0", Forwarded.Headers.find(IdempotentHeader)->c_str());
  STRCMP_EQUAL("normal", Forwarded.Headers.find(PriorityHeader)->c_str());
  STRCMP_EQUAL("3", Forwarded.Headers.find(DepthHeader)->c_str());
  setAttemptHeaders(Forwarded.Headers, {call_id("c"), 2, 700ms, 9});
  STRCMP_EQUAL("700", Forwarded.Headers.find(DeadlineHeader)->c_str());
  STRCMP_EQUAL("2", Forwarded.Headers.find(AttemptHeader)->c_str());
}
