#include "gentianlug/operator/request_trace.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace gentianlug::operator_cli;

TEST_GROUP(RequestTrace) {
  request_trace Trace{"c1"};

  bool contains(const std::string &Text) {
    auto Sentences = Trace.summarize();
    return std::any_of(Sentences.begin(), Sentences.end(),
                       [&](const std::string &Sentence) {
                         return Sentence.find(Text) != std::string::npos;
                       });
  }
};

// Guards against a report of a refused request that lacks the nodes that
// refused it or their reasons.
TEST(RequestTrace, RefusalListsNodesAndReasons) {
  Trace.add(R"({"time_ms":1000,"node":"n1","event":"GL4002",)"
            R"("name":"CallRefused","call":"c1","status":503,)"
            R"("reason":"no-server","last_refusal":"busy",)"
            R"("asked":"n2 cold, n3 busy"})");
  CHECK(Trace.found());
  CHECK(Trace.cause().find("Answered with 503 by n1: no-server") == 0);
  CHECK(contains("the server had no free slot in time"));
  CHECK(contains("asked: n2 cold, n3 busy"));
}

// Guards against leaving out events of the nodes that were tried, which may be
// the cause of the failure. Events of other nodes and of other times are left
// out.
TEST(RequestTrace, IncludesEventsOfTriedNodes) {
  Trace.add(R"({"time_ms":900,"node":"n2","name":"ServerSilent"})");
  Trace.add(R"({"time_ms":900,"node":"n9","name":"NodeStopping"})");
  Trace.add(R"({"time_ms":9000,"node":"n2","name":"NodeStarted"})");
  Trace.add(R"(   0.5 n1 {"time_ms":1000,"node":"n1","name":"CallFailed",)"
            R"("call":"c1","status":502,"reason":"answer-lost",)"
            R"("asked":"n2 answer-lost"})");
  CHECK(contains("-100 ms  n2  ServerSilent"));
  CHECK_FALSE(contains("NodeStopping"));
  CHECK_FALSE(contains("NodeStarted"));
}

// Guards against lines in the order of the files instead of the timestamps, and
// against leaving out calls that the server made for the request.
TEST(RequestTrace, OrdersLinesAndIncludesServerCalls) {
  Trace.add(R"({"time_ms":1010,"node":"n1","name":"CallFailed","call":"c1",)"
            R"("status":504,"reason":"deadline"})");
  Trace.add(R"({"time_ms":1004,"node":"n2","name":"CallRefused",)"
            R"("call":"c1.7","status":503,"reason":"no-server"})");
  auto Sentences = Trace.summarize();
  CHECK(Sentences.size() == 4);
  CHECK(Sentences[1].find("0 ms  n2  CallRefused of call c1.7") !=
        std::string::npos);
  CHECK(Sentences[2].find("6 ms  n1  CallFailed") != std::string::npos);
  CHECK(Trace.cause().find("504") != std::string::npos);
}

// Guards against errors on truncated lines and lines without JSON, and against
// counting a request whose id only starts with the same characters.
TEST(RequestTrace, IgnoresUnrelatedAndMalformedLines) {
  Trace.add("");
  Trace.add("started");
  Trace.add(R"({"time_ms":1000,"node":"n1","call":"c1")");
  Trace.add(R"({"time_ms":"x","node":"n1","call":"c1"})");
  Trace.add(R"({"time_ms":1000,"node":"n1","name":"CallFailed","call":"c10"})");
  CHECK_FALSE(Trace.found());
  CHECK(Trace.summarize().empty());
}
