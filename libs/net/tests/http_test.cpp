#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/mailbox.h"
#include "gentianlug/net/net_errc.h"
#include "test_listener.h"

#include <CppUTest/TestHarness.h>
#include <optional>
#include <thread>

using namespace gentianlug;
using namespace gentianlug::net;
using namespace std::chrono_literals;

TEST_GROUP(http) {
  event_loop Loop;
  std::optional<result<http_response>> Response;

  void exchange(http_client & Client, const address &Peer,
                const http_request &Request,
                std::chrono::milliseconds Timeout) {
    Client.send(Peer, Request, Timeout, [&](result<http_response> Result) {
      Response = std::move(Result);
      Loop.stop();
    });
    Loop.run();
  }
};

TEST(http, TransfersBodyAndHeadersInBothDirections) {
  http_server Server(Loop, {}, [](http_exchange Exchange) {
    http_response Reply;
    Reply.Headers.add("gl-call-id", *Exchange.request().Headers.find("id"));
    Reply.Body = Exchange.request().Body + "!";
    Exchange.reply(Reply);
  });
  address Listen = listenOnFreePort(Server);
  http_client Client(Loop);
  http_request Request;
  Request.Method = "POST";
  Request.Headers.add("id", "7");
  Request.Body = "order";
  exchange(Client, Listen, Request, 5s);
  CHECK(bool(*Response));
  STRCMP_EQUAL("order!", (*Response)->Body.c_str());
  STRCMP_EQUAL("7", (*Response)->Headers.find("GL-Call-Id")->c_str());
}

// Guards against reporting a request as not executed although the peer may have
// received it: only a failed connect proves that no byte was sent.
TEST(http, DistinguishesFailedConnectFromLostResponse) {
  http_client Client(Loop);
  exchange(Client, {"127.0.0.1", 1}, {}, 5s);
  CHECK(Response->failure().Code == make_error_code(net_errc::ConnectFailed));
  http_server Server(Loop, {},
                     [](http_exchange Exchange) { Exchange.abort(); });
  address Listen = listenOnFreePort(Server);
  exchange(Client, Listen, {}, 5s);
  CHECK(Response->failure().Code == make_error_code(net_errc::ConnectionLost));
}

// Guards against a request that waits indefinitely for an unresponsive peer.
TEST(http, TimesOutWhenPeerDoesNotRespond) {
  std::optional<http_exchange> Held;
  http_server Server(
      Loop, {}, [&](http_exchange Exchange) { Held = std::move(Exchange); });
  address Listen = listenOnFreePort(Server);
  http_client Client(Loop);
  exchange(Client, Listen, {}, 20ms);
  CHECK(Response->failure().Code == make_error_code(net_errc::Timeout));
}

TEST(http, ListenReportsPortInUse) {
  http_server First(Loop, {}, [](http_exchange) {});
  http_server Second(Loop, {}, [](http_exchange) {});
  address Listen = listenOnFreePort(First);
  CHECK_FALSE(bool(Second.listen(Listen)));
}

TEST_GROUP(mailbox){};

// Guards against messages that are lost or reordered between two threads, and
// against an unbounded queue.
TEST(mailbox, DeliversInOrderAcrossThreadsAndRejectsBeyondCapacity) {
  event_loop Loop;
  std::vector<int> Received;
  mailbox<int> Mailbox(
      Loop,
      [&](int Item) {
        Received.push_back(Item);
        if (Received.size() == 3)
          Loop.stop();
      },
      3);
  std::thread Sender([&] {
    for (int Item : {1, 2, 3})
      CHECK(Mailbox.post(Item));
    CHECK_FALSE(Mailbox.post(4));
  });
  Sender.join();
  Loop.run();
  CHECK(Received == (std::vector<int>{1, 2, 3}));
}
