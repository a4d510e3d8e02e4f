#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/wakeup.h"
#include "raw_client.h"
#include "test_listener.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <optional>
#include <semaphore>
#include <thread>

using namespace gentianlug;
using namespace gentianlug::net;
using namespace std::chrono_literals;

TEST_GROUP(limits) {
  event_loop Loop;
  int Handled = 0;

  http_server::handler countingHandler() {
    return [this](http_exchange Exchange) {
      ++Handled;
      Exchange.reply({});
    };
  }

  /// Runs \p ClientAction, which may block, in a second thread while the loop
  /// runs.
  void runWithClient(const std::function<void()> &ClientAction) {
    wakeup Done(Loop, [this] { Loop.stop(); });
    std::thread Thread([&] {
      ClientAction();
      Done.signal();
    });
    Loop.run();
    Thread.join();
  }
};

// Guards against a client that occupies a connection by sending its headers
// slowly.
TEST(limits, ClosesConnectionWithSlowHeaders) {
  http_server_limits Limits;
  Limits.HeaderTimeout = 100ms;
  http_server Server(Loop, Limits, countingHandler());
  address Peer = listenOnFreePort(Server);
  runWithClient([&] {
    raw_client Slow(Peer);
    Slow.send("GET / HTTP/1.1\r\nslow: ");
    CHECK(Slow.readAll().empty());
  });
  CHECK_EQUAL(0, Handled);
}

// Guards against unfinished requests that exhaust the memory together, each
// within its limit.
TEST(limits, ClosesOneOfTooManyUnfinishedRequests) {
  constexpr std::size_t BodyBytes = 40000;
  http_server_limits Limits;
  Limits.MaxUnfinishedBytes = 5 * BodyBytes / 2;
  http_server Server(Loop, Limits, countingHandler());
  address Peer = listenOnFreePort(Server);
  const std::string Unfinished = "POST / HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\nContent-Length: 40000"
                                 "\r\n\r\n" +
                                 std::string(BodyBytes - 1, 'x');
  int Closed = 0;
  runWithClient([&] {
    raw_client Clients[] = {raw_client(Peer), raw_client(Peer),
                            raw_client(Peer)};
    for (raw_client &Client : Clients)
      Client.send(Unfinished);
    raw_client::awaitAny(Clients);
    for (raw_client &Client : Clients) {
      Client.send("x");
      Closed += Client.readAll().starts_with("HTTP/1.1 200") ? 0 : 1;
    }
  });
  CHECK_EQUAL(1, Closed);
  CHECK_EQUAL(2, Handled);
}

// Guards against heads of many short lines, which cost more than their bytes.
TEST(limits, CountsTheLinesOfUnfinishedHeads) {
  http_server_limits Limits;
  Limits.MaxUnfinishedBytes = 100000;
  http_server Server(Loop, Limits, countingHandler());
  address Peer = listenOnFreePort(Server);
  std::string Head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int Line = 0; Line < 1000; ++Line)
    Head += "a:\r\n";
  runWithClient([&] {
    raw_client Client(Peer);
    Client.send(Head);
    CHECK(Client.readAll().empty());
  });
  CHECK_EQUAL(0, Handled);
}

// Guards against clients that exhaust the file descriptors of the process.
TEST(limits, ClosesConnectionsBeyondLimitAndRecovers) {
  http_server_limits Limits;
  Limits.MaxConnections = 2;
  http_server Server(Loop, Limits, countingHandler());
  address Peer = listenOnFreePort(Server);
  constexpr const char *Request =
      "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  runWithClient([&] {
    {
      raw_client First(Peer);
      raw_client Second(Peer);
      raw_client Third(Peer);
      CHECK(Third.readAll().empty());
      First.send(Request);
      STRNCMP_EQUAL("HTTP/1.1 200", First.readAll().c_str(), 12);
    }
    // The server closes further connections until it has seen that the first
    // ones have ended.
    constexpr int MaxTries = 100;
    std::string Response;
    for (int Try = 0; Try < MaxTries && Response.empty(); ++Try) {
      raw_client Later(Peer);
      Later.send(Request);
      Response = Later.readAll();
    }
    STRNCMP_EQUAL("HTTP/1.1 200", Response.c_str(), 12);
  });
  CHECK_EQUAL(2, Handled);
}

// Guards against headers and bodies that exhaust the memory of the process, and
// against a connection that is closed without an error status.
TEST(limits, RejectsOversizedHeadersAndBodiesWithStatus) {
  http_server Server(Loop, {}, countingHandler());
  address Peer = listenOnFreePort(Server);
  runWithClient([&] {
    raw_client Headers(Peer);
    Headers.send("GET / HTTP/1.1\r\nlarge: " + std::string(70 << 10, 'x') +
                 "\r\n\r\n");
    STRNCMP_EQUAL("HTTP/1.1 4", Headers.readAll().c_str(), 10);
  });
  runWithClient([&] {
    raw_client Body(Peer);
    CHECK(Body.send("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: 3000000\r\n\r\n" +
                    std::string(3000000, 'x')));
    STRNCMP_EQUAL("HTTP/1.1 413", Body.readAll().c_str(), 12);
  });
  CHECK_EQUAL(0, Handled);
}

// Guards against an invalid state in evhttp, which aborts the process, when the
// next request arrives before the response to the first one.
TEST(limits, RespondsToPipelinedRequestsInOrder) {
  std::optional<http_exchange> First;
  std::binary_semaphore FirstArrived{0};
  auto Respond = [](const http_exchange &Exchange) {
    http_response Response;
    Response.Body = Exchange.request().Target;
    Exchange.reply(Response);
  };
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    if (First)
      return Respond(Exchange);
    First = Exchange;
    FirstArrived.release();
  });
  address Peer = listenOnFreePort(Server);
  // Within two iterations the loop reads what the client has sent before the
  // signal.
  wakeup SecondSent(
      Loop, [&] { Loop.defer([&] { Loop.defer([&] { Respond(*First); }); }); });
  std::string Responses;
  runWithClient([&] {
    raw_client Client(Peer);
    Client.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    FirstArrived.acquire();
    Client.send("GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    SecondSent.signal();
    Responses = Client.readAll();
  });
  auto FirstAt = Responses.find("/first");
  auto SecondAt = Responses.find("/second");
  CHECK(FirstAt != std::string::npos);
  CHECK(SecondAt != std::string::npos && FirstAt < SecondAt);
}

// Guards against a shutdown that waits for idle client connections.
TEST(limits, ClosesIdleConnectionsOnRequest) {
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Exchange.reply({});
    Loop.defer([&] { Server.closeIdle(); });
  });
  address Peer = listenOnFreePort(Server);
  runWithClient([&] {
    raw_client Client(Peer);
    Client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    STRNCMP_EQUAL("HTTP/1.1 200", Client.readAll().c_str(), 12);
  });
}

// Guards against requests on an idle connection whose peer has stopped
// responding.
TEST(limits, ClosesIdleConnectionThatDoesNotAnswerPing) {
  std::vector<http_exchange> Unanswered;
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    if (Exchange.request().Target != "/ping")
      return Exchange.reply({});
    Exchange.onDisconnect([&] { Loop.stop(); });
    Unanswered.push_back(Exchange);
  });
  address Peer = listenOnFreePort(Server);
  http_client_limits Limits;
  Limits.PingTarget = "/ping";
  http_client Client(Loop, Limits);
  bool Succeeded = false;
  Client.send(Peer, {}, 10s, [&](result<http_response> Response) {
    Succeeded = bool(Response);
  });
  // Returns when the client closes the connection with the unanswered ping.
  Loop.run();
  CHECK(Succeeded);
  CHECK_EQUAL(1u, Unanswered.size());
}
