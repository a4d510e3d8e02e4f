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

  /// Runs a blocking client beside the loop.
  void runBeside(const std::function<void()> &ClientAction) {
    wakeup Done(Loop, [this] { Loop.stop(); });
    std::thread Thread([&] {
      ClientAction();
      Done.signal();
    });
    Loop.run();
    Thread.join();
  }
};

// Guards against a client that holds a connection by sending its headers byte
// by byte.
TEST(limits, ClosesAConnectionWithSlowHeaders) {
  http_server_limits Limits;
  Limits.HeaderTimeout = 100ms;
  http_server Server(Loop, Limits, countingHandler());
  address Peer = listenOnFreePort(Server);
  runBeside([&] {
    raw_client Slow(Peer);
    Slow.send("GET / HTTP/1.1\r\nslow: ");
    CHECK(Slow.readAll().empty());
  });
  CHECK_EQUAL(0, Handled);
}

// Guards against clients that use up the descriptors of the node.
TEST(limits, ClosesConnectionsBeyondItsBoundAndRecovers) {
  http_server_limits Limits;
  Limits.MaxConnections = 2;
  http_server Server(Loop, Limits, countingHandler());
  address Peer = listenOnFreePort(Server);
  constexpr const char *Request =
      "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  runBeside([&] {
    {
      raw_client First(Peer);
      raw_client Second(Peer);
      raw_client Third(Peer);
      CHECK(Third.readAll().empty());
      First.send(Request);
      STRNCMP_EQUAL("HTTP/1.1 200", First.readAll().c_str(), 12);
    }
    raw_client Later(Peer);
    Later.send(Request);
    STRNCMP_EQUAL("HTTP/1.1 200", Later.readAll().c_str(), 12);
  });
  CHECK_EQUAL(2, Handled);
}

// Guards against headers and bodies that use up the memory of the node, and
// against a client that only sees its connection break.
TEST(limits, RefusesOversizeHeadersAndBodiesWithAStatus) {
  http_server Server(Loop, {}, countingHandler());
  address Peer = listenOnFreePort(Server);
  runBeside([&] {
    raw_client Headers(Peer);
    Headers.send("GET / HTTP/1.1\r\nlarge: " + std::string(70 << 10, 'x') +
                 "\r\n\r\n");
    STRNCMP_EQUAL("HTTP/1.1 4", Headers.readAll().c_str(), 10);
  });
  runBeside([&] {
    raw_client Body(Peer);
    CHECK(Body.send("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: 3000000\r\n\r\n" +
                    std::string(3000000, 'x')));
    STRNCMP_EQUAL("HTTP/1.1 413", Body.readAll().c_str(), 12);
  });
  CHECK_EQUAL(0, Handled);
}

// Guards against an illegal state in evhttp, which ends the process, when the
// next request arrives before the answer to the first.
TEST(limits, AnswersPipelinedRequestsInOrder) {
  std::optional<http_exchange> First;
  std::binary_semaphore FirstArrived{0};
  auto Answer = [](const http_exchange &Exchange) {
    http_response Response;
    Response.Body = Exchange.request().Target;
    Exchange.reply(Response);
  };
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    if (First)
      return Answer(Exchange);
    First = Exchange;
    FirstArrived.release();
  });
  address Peer = listenOnFreePort(Server);
  // Two rounds of the loop see what the client has sent before.
  wakeup SecondSent(
      Loop, [&] { Loop.defer([&] { Loop.defer([&] { Answer(*First); }); }); });
  std::string Answers;
  runBeside([&] {
    raw_client Client(Peer);
    Client.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    FirstArrived.acquire();
    Client.send("GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    SecondSent.signal();
    Answers = Client.readAll();
  });
  auto FirstAt = Answers.find("/first");
  auto SecondAt = Answers.find("/second");
  CHECK(FirstAt != std::string::npos);
  CHECK(SecondAt != std::string::npos && FirstAt < SecondAt);
}

// Guards against a stop that waits for the idle connections of its clients.
TEST(limits, ClosesIdleConnectionsOnRequest) {
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Exchange.reply({});
    Loop.defer([&] { Server.closeIdle(); });
  });
  address Peer = listenOnFreePort(Server);
  runBeside([&] {
    raw_client Client(Peer);
    Client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    STRNCMP_EQUAL("HTTP/1.1 200", Client.readAll().c_str(), 12);
  });
}

// Guards against calls that go to an idle connection after it went silent.
TEST(limits, ReplacesAnIdleConnectionThatDoesNotAnswerAPing) {
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
  bool Answered = false;
  Client.send(Peer, {}, 10s,
              [&](result<http_response> Answer) { Answered = bool(Answer); });
  // Ends when the client closes the connection that owes it a ping.
  Loop.run();
  CHECK(Answered);
  CHECK_EQUAL(1u, Unanswered.size());
}
