#include "gentianlug/http1/server.h"
#include "loop_fixture.h"

#include <vector>

using namespace gentianlug;
using namespace gentianlug::http1;

static std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

static response textResponse(const std::string &Body) {
  response Response = makeStatusResponse(200);
  Response.Body = Body;
  return Response;
}

TEST_GROUP(Server) {
  net::event_loop Loop;
  std::uint16_t Port = freePort();
  std::vector<std::shared_ptr<exchange>> Requests;
  server_limits Limits;
  std::unique_ptr<server> Server;

  void start() {
    Server = std::make_unique<server>(
        Loop, Limits, [this](std::shared_ptr<exchange> Exchange) {
          Requests.push_back(Exchange);
        });
    CHECK(bool(Server->listen({"127.0.0.1", Port}, {})));
  }
  exchange &at(const std::string &Path) {
    for (auto &Exchange : Requests)
      if (Exchange->receivedRequest().Target == Path)
        return *Exchange;
    FAIL("no such request");
    return *Requests.front();
  }
  void teardown() override {
    Requests.clear();
    Server.reset();
  }
};

// Guards against pipelined requests that wait for each other, and against
// responses that are not sent in the order of the requests.
TEST(Server, PipelinedRequestsRunConcurrentlyAndRespondInOrder) {
  start();
  byte_client Client(Port);
  Client.send(get("/1") + get("/2") + get("/3"));
  runUntil(Loop, [&] { return Requests.size() == 3; });
  at("/3").respond(textResponse("three"));
  at("/1").respond(textResponse("one"));
  runUntil(Loop, [&] { return Client.hasReceived("one"); });
  CHECK_FALSE(Client.hasReceived("three"));
  at("/2").respond(textResponse("two"));
  runUntil(Loop, [&] { return Client.hasReceived("three"); });
  CHECK(Client.Received.find("one") < Client.Received.find("two"));
  CHECK(Client.Received.find("two") < Client.Received.find("three"));
}

// Guards against backend servers that work for clients that have disconnected.
TEST(Server, NotifiesOfDisconnectDuringPipelinedRequests) {
  start();
  byte_client Client(Port);
  Client.send(get("/1") + get("/2"));
  runUntil(Loop, [&] { return Requests.size() == 2; });
  int Disconnected = 0;
  for (auto &Exchange : Requests)
    Exchange->onClientDisconnect([&] { ++Disconnected; });
  Client.disconnect();
  runUntil(Loop, [&] { return Disconnected == 2; });
  UNSIGNED_LONGS_EQUAL(0, Server->pendingRequests());
}

// Guards against handling requests with no or several Host fields.
TEST(Server, RejectsRequestsWithoutExactlyOneHost) {
  start();
  for (const char *Hosts : {"", "Host: a\r\nHost: b\r\n"}) {
    byte_client Client(Port);
    Client.send("GET / HTTP/1.1\r\n" + std::string(Hosts) + "\r\n");
    runUntil(Loop, [&] { return Client.hasReceived("HTTP/1.1 400 "); });
  }
  CHECK(Requests.empty());
}

// Guards against request smuggling: nothing after a rejected request is read.
TEST(Server, ReadsNothingAfterAMalformedRequest) {
  start();
  byte_client Client(Port);
  Client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
              "Content-Length: 30\r\n\r\n" +
              get("/b"));
  runUntil(Loop, [&] { return Client.hasReceived("HTTP/1.1 400 "); });
  CHECK(Client.Received.find("Connection: close") != std::string::npos);
  CHECK(Requests.empty());
}

TEST(Server, LimitsHeadAndBodySize) {
  Limits.Message = {.MaxHeadBytes = 200, .MaxBodyBytes = 10};
  start();
  byte_client Head(Port);
  Head.send("GET / HTTP/1.1\r\nHost: " + std::string(300, 'h') + "\r\n\r\n");
  runUntil(Loop, [&] { return Head.hasReceived("HTTP/1.1 431 "); });
  byte_client Body(Port);
  Body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  runUntil(Loop, [&] { return Body.hasReceived("HTTP/1.1 413 "); });
}

TEST(Server, RejectsHeadsThatTakeTooLong) {
  Limits.HeadTimeout = std::chrono::milliseconds(50);
  start();
  byte_client Client(Port);
  Client.send("GET / HTTP/1.1\r\nHo");
  runUntil(Loop, [&] { return Client.hasReceived("HTTP/1.1 408 "); });
}

// Guards against a graceful shutdown that closes connections with pending
// responses.
TEST(Server, DrainingClosesAfterTheLastPendingResponse) {
  start();
  byte_client Client(Port);
  Client.send(get("/1") + get("/2"));
  runUntil(Loop, [&] { return Requests.size() == 2; });
  Server->startDraining();
  Server->closeIdle();
  at("/1").respond(textResponse("one"));
  runUntil(Loop, [&] { return Client.hasReceived("one"); });
  CHECK(Client.Received.find("Connection: close") == std::string::npos);
  at("/2").respond(textResponse("two"));
  runUntil(Loop,
           [&] { return Client.hasReceived("two") && Client.EndOfStream; });
  CHECK(Client.Received.find("Connection: close") != std::string::npos);
}

TEST(Server, SendsContinueForExpectedBody) {
  start();
  byte_client Client(Port);
  Client.send("POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  runUntil(Loop, [&] { return Client.hasReceived("100 Continue"); });
  Client.send("ab");
  runUntil(Loop, [&] { return Requests.size() == 1; });
  STRCMP_EQUAL("ab", at("/p").receivedRequest().Body.str().c_str());
}

// Guards against header fields that the backend server did not send; only
// Content-Length is added.
TEST(Server, AddsNoOtherHeaderFields) {
  start();
  byte_client Client(Port);
  Client.send(get("/1"));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  at("/1").respond(textResponse("x"));
  runUntil(Loop, [&] { return Client.hasReceived("\r\n\r\nx"); });
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
               Client.Received.c_str());
}

// Guards against a connection that is never read again after a response larger
// than the limit on unsent bytes.
TEST(Server, ResumesReadingAfterALargeResponse) {
  start();
  byte_client Client(Port);
  Client.send(get("/large"));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  constexpr std::size_t LargeBytes = 12UL << 20;
  at("/large").respond(textResponse(std::string(LargeBytes, 'x')));
  Client.send(get("/next"));
  runUntil(Loop, [&] {
    Client.receive();
    return Requests.size() == 2;
  });
}

// Guards against a caller that gets no connection because others hold all of
// them without a request.
TEST(Server, NewConnectionsReplaceIdleOnes) {
  Limits.MaxConnections = 3;
  start();
  byte_client Busy(Port);
  Busy.send(get("/busy"));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  byte_client Idle(Port);
  byte_client Unfinished(Port);
  Unfinished.send("GET / HTTP/1.1\r\n");
  runUntil(Loop, [&] { return Server->connections() == 3; });
  byte_client First(Port);
  First.send(get("/first"));
  byte_client Second(Port);
  Second.send(get("/second"));
  runUntil(Loop, [&] { return Requests.size() == 3; });
  UNSIGNED_LONGS_EQUAL(3, Server->connections());
  // All connections have a request in progress now.
  byte_client Third(Port);
  runUntil(Loop, [&] {
    Third.receive();
    return Third.EndOfStream;
  });
  at("/busy").respond(textResponse("busy"));
  runUntil(Loop, [&] { return Busy.hasReceived("busy"); });
}

TEST_GROUP(ServerMemory) {
  static constexpr std::size_t TotalBytes = 1UL << 20;
  net::event_loop Loop;
  memory_guard Memory{TotalBytes};
  std::uint16_t Port = freePort();
  std::vector<std::shared_ptr<exchange>> Requests;
  std::vector<int> RefusedStatuses;
  server Server{Loop, {}, [this](std::shared_ptr<exchange> Exchange) {
                  Requests.push_back(Exchange);
                }};

  void setup() override {
    Server.setMemoryGuard(Memory);
    Server.setRefusalObserver([this](const address &, int Status) {
      RefusedStatuses.push_back(Status);
    });
    Server.setRefusalDecorator([](response &Response) {
      Response.Headers.add("Why", std::to_string(Response.Status));
    });
    CHECK(bool(Server.listen({"127.0.0.1", Port}, {})));
  }
  void teardown() override { Requests.clear(); }
  static std::string upload(std::size_t Bytes, std::size_t SentBytes) {
    return "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Bytes) + "\r\n\r\n" + std::string(SentBytes, 'u');
  }
  std::size_t held(memory::holder_kind Kind) const {
    return Memory.budget().heldBytes(Kind);
  }
};

// Guards against unfinished requests that hold more than the process may use.
TEST(ServerMemory, RefusesRequestsBeyondTheBudget) {
  constexpr std::size_t Bytes = 400000;
  byte_client First(Port);
  First.send(upload(Bytes, Bytes - 1));
  runUntil(Loop,
           [&] { return held(memory::holder_kind::Request) >= Bytes - 1; });
  byte_client Second(Port);
  Second.send(upload(Bytes, Bytes));
  runUntil(Loop, [&] { return Second.hasReceived("HTTP/1.1 503 "); });
  CHECK(Second.hasReceived("Why: 503"));
  CHECK(Requests.empty());
  CHECK(RefusedStatuses == std::vector<int>{503});
  CHECK(Memory.budget().heldBytes() <= TotalBytes);
}

// Guards against a request that cannot come in because others have stopped
// short of their end.
TEST(ServerMemory, StoppedRequestGivesWay) {
  constexpr std::size_t Bytes = 400000;
  byte_client Stopped(Port);
  Stopped.send(upload(Bytes, Bytes - 1));
  runUntil(Loop,
           [&] { return held(memory::holder_kind::Request) >= Bytes - 1; });
  auto Since = std::chrono::steady_clock::now();
  runUntil(Loop, [&] {
    return std::chrono::steady_clock::now() - Since >
           memory::memory_budget::RequestStallTime;
  });
  byte_client Next(Port);
  Next.send(upload(Bytes, Bytes));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  runUntil(Loop, [&] { return Stopped.hasReceived("HTTP/1.1 503 "); });
  UNSIGNED_LONGS_EQUAL(Bytes, Requests[0]->receivedRequest().Body.size());
}

// Guards against the refusal of a request behind others on its connection,
// which must not lose the responses to them.
TEST(ServerMemory, RefusalKeepsEarlierResponses) {
  byte_client Client(Port);
  Client.send(get("/1") + upload(900000, 800000));
  runUntil(Loop, [&] { return !RefusedStatuses.empty(); });
  UNSIGNED_LONGS_EQUAL(1, Requests.size());
  Requests[0]->respond(textResponse("one"));
  runUntil(Loop, [&] { return Client.hasReceived("HTTP/1.1 503 "); });
  CHECK(Client.Received.find("one") < Client.Received.find("HTTP/1.1 503 "));
}

// Guards against an account that keeps bytes of messages that are gone.
TEST(ServerMemory, HoldsNothingAfterTheLastResponse) {
  {
    byte_client Client(Port);
    Client.send(get("/1") + upload(100000, 100000) + get("/2"));
    runUntil(Loop, [&] { return Requests.size() == 3; });
    CHECK(held(memory::holder_kind::Call) > 100000);
    for (auto &Exchange : Requests)
      Exchange->respond(textResponse("done"));
    runUntil(Loop, [&] {
      Client.receive();
      return Memory.budget().heldBytes() == 0;
    });
    Client.send(upload(1000, 500));
    runUntil(Loop, [&] { return Memory.budget().heldBytes() > 0; });
  }
  runUntil(Loop, [&] { return Memory.budget().heldBytes() == 0; });
}

// Guards against responses that are kept for a client that does not read.
TEST(ServerMemory, UnreadResponsesGiveWay) {
  byte_client Unread(Port);
  Unread.send(get("/1"));
  runUntil(Loop, [&] { return Requests.size() == 1; });
  // More than the kernel takes.
  constexpr std::size_t Bytes = 16UL << 20;
  Requests[0]->respond(textResponse(std::string(Bytes, 'x')));
  auto Since = std::chrono::steady_clock::now();
  runUntil(Loop, [&] {
    return std::chrono::steady_clock::now() - Since >
           memory::memory_budget::DeliveryStallTime + std::chrono::seconds(1);
  });
  byte_client Next(Port);
  Next.send(get("/2"));
  runUntil(Loop, [&] { return Requests.size() == 2; });
  Requests[1]->respond(textResponse("two"));
  runUntil(Loop, [&] { return Next.hasReceived("two"); });
  runUntil(Loop, [&] { return Memory.budget().heldBytes() == 0; });
}

TEST_GROUP(PacedServer) {
  static constexpr double BytesPerSecond = 1e6;
  net::event_loop Loop;
  link_pacer Pacer{Loop, BytesPerSecond};
  std::uint16_t Port = freePort();
  std::size_t LargeBytes = 300UL << 10;
  server Server{Loop, {}, [this](std::shared_ptr<exchange> Exchange) {
                  bool Large = Exchange->receivedRequest().Target == "/large";
                  Exchange->respond(
                      textResponse(std::string(Large ? LargeBytes : 5, 'x')));
                }};

  void setup() override {
    Server.setPacer(Pacer);
    CHECK(bool(Server.listen({"127.0.0.1", Port}, {})));
  }
};

// Guards against small responses that wait on a slow link until large ones are
// sent.
TEST(PacedServer, SmallResponsesOvertakeLargeOnes) {
  byte_client Large(Port);
  byte_client Small(Port);
  auto Start = std::chrono::steady_clock::now();
  Large.send(get("/large"));
  runUntil(Loop, [&] { return Large.hasReceived("xxxxx"); });
  Small.send(get("/small"));
  runUntil(Loop, [&] { return Small.hasReceived("xxxxx"); });
  Large.receive();
  CHECK(Large.Received.size() < LargeBytes / 2);
  runUntil(Loop, [&] {
    Large.receive();
    return Large.Received.size() > LargeBytes;
  });
  // All bytes but the chunks sent ahead at the start are paced.
  std::chrono::duration<double> MinDuration(
      double(LargeBytes - 3 * link_pacer::ChunkBytes) / BytesPerSecond);
  CHECK(std::chrono::steady_clock::now() - Start > MinDuration);
}

// Guards against a linger timeout that runs from the time at which the last
// response was given instead of from the progress of sending it.
TEST(PacedServer, LastAnswersAreSentToTheEnd) {
  // Takes 4 s on this link, longer than the linger timeout of 2 s.
  LargeBytes = 4000000;
  byte_client Client(Port);
  Client.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  runUntil(Loop, [&] {
    Client.receive();
    return Client.EndOfStream || Client.Received.size() > LargeBytes;
  });
  CHECK(Client.Received.size() > LargeBytes);
}

// Guards against reordered responses on one connection, and against a closed
// connection that blocks the other senders of the pacer.
TEST(PacedServer, ResponsesStayInOrderWhenOthersDisconnect) {
  byte_client Leaving(Port);
  byte_client Staying(Port);
  Leaving.send(get("/large"));
  Staying.send(get("/large") + get("/small"));
  runUntil(Loop, [&] { return Leaving.hasReceived("xxxxx"); });
  Leaving.disconnect();
  runUntil(Loop, [&] { return Staying.hasReceived("Content-Length: 5\r\n"); });
  CHECK(Staying.Received.find("Content-Length: 5\r\n") > LargeBytes);
}
