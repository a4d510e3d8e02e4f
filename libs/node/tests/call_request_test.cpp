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

// Guards against two calls with the same id, and against replacing the id that
// a caller has set.
TEST(call_request, KeepsTheCallersIdAndGeneratesMissingOnes) {
  auto First = read();
  CHECK(First->Id != read()->Id);
  Request.Headers.add(CallIdHeader, "order-7.a_B");
  STRCMP_EQUAL("order-7.a_B", read()->Id.str().c_str());
}

// Guards against retries of a call that must not run twice.
TEST(call_request, OnlySafeMethodsAndIdempotentRoutesAreIdempotent) {
  CHECK_FALSE(read()->Idempotent);
  // The header of a caller cannot make a call idempotent.
  Request.Headers.add(IdempotentHeader, "1");
  CHECK_FALSE(read()->Idempotent);
  Request.Method = "GET";
  CHECK(read()->Idempotent);
  Request.Method = "DELETE";
  CHECK_FALSE(read()->Idempotent);
  Route.Idempotent = true;
  CHECK(read()->Idempotent);
}

// Guards against unvalidated header values in paths and time calculations.
TEST(call_request, RejectsMalformedFields) {
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

// Guards against retries of retries, and against forwarding hop-by-hop fields
// or fields set by an earlier hop to the next node.
TEST(call_request, ForwardsEndToEndFieldsOnly) {
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
