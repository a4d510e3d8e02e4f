#include "gentianlug/http1/server.h"
#include "loop_fixture.h"

#include <vector>

using namespace gentianlug;
using namespace gentianlug::http1;

static std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

static response textAnswer(const std::string &Body) {
  response Answer = statusAnswer(200);
  Answer.Body = Body;
  return Answer;
}

TEST_GROUP(Server) {
  net::event_loop Loop;
  std::uint16_t Port = freePort();
  std::vector<std::shared_ptr<exchange>> Requests;
  server_limits Limits;
  std::unique_ptr<server> Server;

  void start() {
    Server = std::make_unique<server>(
        Loop, Limits,
        [this](std::shared_ptr<exchange> Next) { Requests.push_back(Next); });
    CHECK(bool(Server->listen({"127.0.0.1", Port}, {})));
  }
  exchange &at(const std::string &Path) {
    for (auto &Each : Requests)
      if (Each->received().Target == Path)
        return *Each;
    FAIL("no such request");
    return *Requests.front();
  }
  void teardown() override {
    Requests.clear();
    Server.reset();
  }
};

// Guards against pipelined requests that wait for each other, and against
// answers that leave in another order than the requests came.
TEST(Server, PipelinedRequestsRunSideBySideAndAnswerInOrder) {
  start();
  byte_client Client(Port);
  Client.send(get("/1") + get("/2") + get("/3"));
  runUntil(Loop, [&] { return Requests.size() == 3; });
  at("/3").respond(textAnswer("three"));
  at("/1").respond(textAnswer("one"));
  runUntil(Loop, [&] { return Client.has("one"); });
  CHECK_FALSE(Client.has("three"));
  at("/2").respond(textAnswer("two"));
  runUntil(Loop, [&] { return Client.has("three"); });
  CHECK(Client.Received.find("one") < Client.Received.find("two"));
  CHECK(Client.Received.find("two") < Client.Received.find("three"));
}

// Guards against servers that work for callers who have left.
TEST(Server, TellsThatTheClientLeftBehindPipelinedRequests) {
  start();
  byte_client Client(Port);
  Client.send(get("/1") + get("/2"));
  runUntil(Loop, [&] { return Requests.size() == 2; });
  int Gone = 0;
  for (auto &Each : Requests)
    Each->onClientGone([&] { ++Gone; });
  Client.hangUp();
  runUntil(Loop, [&] { return Gone == 2; });
  UNSIGNED_LONGS_EQUAL(0, Server->underWay());
}

// Guards against requests without Host, or with two, that run.
TEST(Server, RefusesRequestsWithoutOneHost) {
  start();
  for (const char *Hosts : {"", "Host: a\r\nHost: b\r\n"}) {
    byte_client Client(Port);
    Client.send("GET / HTTP/1.1\r\n" + std::string(Hosts) + "\r\n");
    runUntil(Loop, [&] { return Client.has("HTTP/1.1 400 "); });
  }
  CHECK(Requests.empty());
}

// Guards against smuggled requests: nothing behind a refused one is read.
TEST(Server, ReadsNothingBehindAMalformedRequest) {
  start();
  byte_client Client(Port);
  Client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
              "Content-Length: 30\r\n\r\n" +
              get("/b"));
  runUntil(Loop, [&] { return Client.has("HTTP/1.1 400 "); });
  CHECK(Client.Received.find("Connection: close") != std::string::npos);
  CHECK(Requests.empty());
}

TEST(Server, BoundsHeadAndBody) {
  Limits.Message = {.MaxHeadBytes = 200, .MaxBodyBytes = 10};
  start();
  byte_client Head(Port);
  Head.send("GET / HTTP/1.1\r\nHost: " + std::string(300, 'h') + "\r\n\r\n");
  runUntil(Loop, [&] { return Head.has("HTTP/1.1 431 "); });
  byte_client Body(Port);
  Body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  runUntil(Loop, [&] { return Body.has("HTTP/1.1 413 "); });
}

TEST(Server, EndsHeadsThatTakeTooLong) {
  Limits.HeadTimeout = std::chrono::milliseconds(50);
  start();
  byte_client Client(Port);
  Client.send("GET / HTTP/1.1\r\nHo");
  runUntil(Loop, [&] { return Client.has("HTTP/1.1 408 "); });
}

// Guards against a stop that closes a connection on which answers are owed.
TEST(Server, DrainingClosesAfterTheLastOwedAnswer) {
  start();
  byte_client Client(Port);
  Client.send(get("/1") + get("/2"));
  runUntil(Loop, [&] { return Requests.size() == 2; });
  Server->startDraining();
  Server->closeIdle();
  at("/1").respond(textAnswer("one"));
  runUntil(Loop, [&] { return Client.has("one"); });
  CHECK(Client.Received.find("Connection: close") == std::string::npos);
  at("/2").respond(textAnswer("two"));
  runUntil(Loop, [&] { return Client.has("two") && Client.Ended; });
  CHECK(Client.Received.find("Connection: close") != std::string::npos);
}

TEST(Server, InvitesABodyThatWaits) {
  start();
  byte_client Client(Port);
  Client.send("POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  runUntil(Loop, [&] { return Client.has("100 Continue"); });
  Client.send("ab");
  runUntil(Loop, [&] { return Requests.size() == 1; });
  STRCMP_EQUAL("ab", at("/p").received().Body.c_str());
}

// Guards against header fields that no server sent.
TEST(Server, AddsNoFieldsOfItsOwn) {
  start();
  byte_client Client(Port);
  Client.send(get("/1"));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  at("/1").respond(textAnswer("x"));
  runUntil(Loop, [&] { return Client.has("\r\n\r\nx"); });
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
               Client.Received.c_str());
}

// Guards against a connection that is never read again after an answer above
// the bound on unsent bytes.
TEST(Server, ReadsOnAfterALargeAnswerIsSent) {
  start();
  byte_client Client(Port);
  Client.send(get("/large"));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  constexpr std::size_t LargeBytes = 12UL << 20;
  at("/large").respond(textAnswer(std::string(LargeBytes, 'x')));
  Client.send(get("/next"));
  runUntil(Loop, [&] {
    Client.receive();
    return Requests.size() == 2;
  });
}

TEST_GROUP(PacedServer) {
  static constexpr double BytesPerSecond = 1e6;
  net::event_loop Loop;
  link_pacer Pacer{Loop, BytesPerSecond};
  std::uint16_t Port = freePort();
  std::size_t LargeBytes = 300UL << 10;
  server Server{Loop, {}, [this](std::shared_ptr<exchange> Next) {
                  bool Large = Next->received().Target == "/large";
                  Next->respond(
                      textAnswer(std::string(Large ? LargeBytes : 5, 'x')));
                }};

  void setup() override {
    Server.paceBy(Pacer);
    CHECK(bool(Server.listen({"127.0.0.1", Port}, {})));
  }
};

// Guards against small answers that wait on a narrow link until large ones are
// through.
TEST(PacedServer, SmallAnswersPassLargeOnes) {
  byte_client Large(Port);
  byte_client Small(Port);
  auto Start = std::chrono::steady_clock::now();
  Large.send(get("/large"));
  runUntil(Loop, [&] { return Large.has("xxxxx"); });
  Small.send(get("/small"));
  runUntil(Loop, [&] { return Small.has("xxxxx"); });
  Large.receive();
  CHECK(Large.Received.size() < LargeBytes / 2);
  runUntil(Loop, [&] {
    Large.receive();
    return Large.Received.size() > LargeBytes;
  });
  // All but what goes ahead at the start takes its time on the link.
  std::chrono::duration<double> Least(
      double(LargeBytes - 3 * link_pacer::ChunkBytes) / BytesPerSecond);
  CHECK(std::chrono::steady_clock::now() - Start > Least);
}

// Guards against a connection that is closed some time after its last answer
// was given, and not after it was sent.
TEST(PacedServer, LastAnswersAreSentToTheEnd) {
  // 4 s on this link, longer than a client gets to close its side.
  LargeBytes = 4000000;
  byte_client Client(Port);
  Client.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  runUntil(Loop, [&] {
    Client.receive();
    return Client.Ended || Client.Received.size() > LargeBytes;
  });
  CHECK(Client.Received.size() > LargeBytes);
}

// Guards against answers on one connection that overtake each other, and
// against a sender that is gone and still holds up the others.
TEST(PacedServer, AnswersStayInOrderWhenOthersLeave) {
  byte_client Leaving(Port);
  byte_client Staying(Port);
  Leaving.send(get("/large"));
  Staying.send(get("/large") + get("/small"));
  runUntil(Loop, [&] { return Leaving.has("xxxxx"); });
  Leaving.hangUp();
  runUntil(Loop, [&] { return Staying.has("Content-Length: 5\r\n"); });
  CHECK(Staying.Received.find("Content-Length: 5\r\n") > LargeBytes);
}
