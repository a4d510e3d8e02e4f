#include "gentianlug/operator/request_trace.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace gentianlug::operator_cli;

TEST_GROUP(RequestStory) {
  request_trace Story{"c1"};

  bool tells(const std::string &Text) {
    auto Sentences = Story.summarize();
    return std::any_of(Sentences.begin(), Sentences.end(),
                       [&](const std::string &Each) {
                         return Each.find(Text) != std::string::npos;
                       });
  }
};

// Guards against a refusal whose story names neither the nodes that refused
// nor their reasons.
TEST(RequestStory, RefusalNamesTheNodesAndTheirReasons) {
  Story.add(R"({"time_ms":1000,"node":"n1","event":"GL4002",)"
            R"("name":"CallRefused","call":"c1","status":503,)"
            R"("reason":"no-server","last_refusal":"busy",)"
            R"("asked":"n2 cold, n3 busy"})");
  CHECK(Story.found());
  CHECK(Story.cause().find("Answered with 503 by n1: no-server") == 0);
  CHECK(tells("the server had no free slot in time"));
  CHECK(tells("asked: n2 cold, n3 busy"));
}

// Guards against a cause that lies on another node and is left out.
TEST(RequestStory, TellsWhatHappenedOnTheNodesThatWereAsked) {
  Story.add(R"({"time_ms":900,"node":"n2","name":"ServerSilent"})");
  Story.add(R"({"time_ms":900,"node":"n9","name":"NodeStopping"})");
  Story.add(R"({"time_ms":9000,"node":"n2","name":"NodeStarted"})");
  Story.add(R"(   0.5 n1 {"time_ms":1000,"node":"n1","name":"CallFailed",)"
            R"("call":"c1","status":502,"reason":"answer-lost",)"
            R"("asked":"n2 answer-lost"})");
  CHECK(tells("-100 ms  n2  ServerSilent"));
  CHECK_FALSE(tells("NodeStopping"));
  CHECK_FALSE(tells("NodeStarted"));
}

TEST(RequestStory, TellsLinesInOrderAndCallsOfTheServer) {
  Story.add(R"({"time_ms":1010,"node":"n1","name":"CallFailed","call":"c1",)"
            R"("status":504,"reason":"deadline"})");
  Story.add(R"({"time_ms":1004,"node":"n2","name":"CallRefused",)"
            R"("call":"c1.7","status":503,"reason":"no-server"})");
  auto Sentences = Story.summarize();
  CHECK(Sentences.size() == 4);
  CHECK(Sentences[1].find("0 ms  n2  CallRefused of call c1.7") !=
        std::string::npos);
  CHECK(Sentences[2].find("6 ms  n1  CallFailed") != std::string::npos);
  CHECK(Story.cause().find("504") != std::string::npos);
}

// Guards against logs with cut lines, other text, or other requests.
TEST(RequestStory, SkipsWhatItCannotRead) {
  Story.add("");
  Story.add("started");
  Story.add(R"({"time_ms":1000,"node":"n1","call":"c1")");
  Story.add(R"({"time_ms":"x","node":"n1","call":"c1"})");
  Story.add(R"({"time_ms":1000,"node":"n1","name":"CallFailed","call":"c10"})");
  CHECK_FALSE(Story.found());
  CHECK(Story.summarize().empty());
}
