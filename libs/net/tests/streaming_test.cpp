#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"
#include "raw_client.h"
#include "test_listener.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace gentianlug;
using namespace gentianlug::net;
using namespace std::chrono_literals;

TEST_GROUP(streaming) {
  event_loop Loop;
  http_client Client{Loop};
  std::string Received;
  std::optional<result<void>> End;

  response_callbacks receiver() {
    response_callbacks Receiver;
    Receiver.OnHeaders = [](const http_response &) {};
    Receiver.OnBodyPart = [this](std::string_view Part) { Received += Part; };
    Receiver.OnComplete = [this](result<void> Result) {
      End = std::move(Result);
      Loop.stop();
    };
    return Receiver;
  }

  void download(const address &Peer) {
    Client.stream(Peer, {}, 10s, receiver());
    Loop.run();
  }

  static http_response headOfLength(const char *Length) {
    http_response Head;
    Head.Headers.add("Content-Length", Length);
    return Head;
  }
};

// Guards against buffering a complete download in memory when the receiver is
// slower than the sender.
TEST(streaming, BuffersAtMost256KilobytesForSlowReceiver) {
  constexpr std::size_t Total = 16 << 20;
  constexpr std::size_t Limit = 256 << 10;
  std::size_t MaxBuffered = 0;
  std::size_t Sent = 0;
  std::optional<http_exchange> Held;
  std::function<void()> SendMore = [&] {
    std::size_t Buffered = 0;
    while (Sent < Total && Buffered < Limit / 2) {
      Buffered =
          Held->sendBodyPart(std::string(16 << 10, char('a' + Sent % 7)));
      Sent += 16 << 10;
      MaxBuffered = std::max(MaxBuffered, Buffered);
    }
    if (Sent == Total)
      Held->finish();
  };
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Held = Exchange;
    Held->start({});
    Held->onDrained(SendMore);
    SendMore();
  });
  address Peer = listenOnFreePort(Server);
  std::size_t SentWhilePaused = 0;
  std::size_t ReceivedAtPause = 0;
  std::size_t ReceivedWhilePaused = 0;
  bool Resumed = false;
  timer Resume(Loop, [&] {
    Resumed = true;
    SentWhilePaused = Sent;
    ReceivedWhilePaused = Received.size() - ReceivedAtPause;
    Client.resume(1);
  });
  bool Paused = false;
  response_callbacks Receiver = receiver();
  Receiver.OnBodyPart = [&](std::string_view Part) {
    Received += Part;
    if (!std::exchange(Paused, true)) {
      Client.pause(1);
      ReceivedAtPause = Received.size();
      Resume.startOnce(50ms);
    }
  };
  CHECK(Client.stream(Peer, {}, 10s, Receiver) == 1);
  Loop.run();
  CHECK(bool(*End));
  // Without the pause, the response would end before the timer expires.
  CHECK(Resumed);
  CHECK(Received.size() == Total);
  CHECK(MaxBuffered <= Limit);
  CHECK(ReceivedWhilePaused <= 32 << 10);
  // The sender has stopped: only a part of the body is in its buffer and in the
  // socket buffers of the kernel.
  CHECK(SentWhilePaused < Total);
}

// Guards against a truncated body that is taken for a complete one.
TEST(streaming, AbortedAndShortBodiesAreErrors) {
  std::string Case;
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Exchange.start(Case == "chunked" ? http_response{} : headOfLength("100"));
    Exchange.sendBodyPart("partial body");
    if (Case == "short")
      Exchange.finish();
    else
      Exchange.abort();
  });
  address Peer = listenOnFreePort(Server);
  for (const char *Next : {"chunked", "length", "short"}) {
    Case = Next;
    download(Peer);
    CHECK_TEXT(!*End, Next);
    CHECK(End->failure().Code == make_error_code(net_errc::ConnectionLost));
  }
}

// Guards against an exchange that is destroyed in the middle of its response
// and leaves the client waiting or with a body that looks complete.
TEST(streaming, DestroyedExchangeIsAborted) {
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Exchange.start({});
    Exchange.sendBodyPart("partial body");
  });
  download(listenOnFreePort(Server));
  CHECK_FALSE(bool(*End));
}

// Guards against accepting a body that is delimited only by the close of the
// connection, because a truncated one would look the same.
TEST(streaming, RejectsResponseWithoutLength) {
  raw_listener Peer("HTTP/1.1 200 OK\r\n\r\nundelimited body");
  download(Peer.Address);
  CHECK(End->failure().Code ==
        make_error_code(net_errc::ResponseWithoutLength));
}

// Guards against bytes that are no response of HTTP/1.x and are passed on as
// one, or taken for a connection that was never established, after which a
// request that must run at most once would be sent again.
TEST(streaming, RejectsMalformedResponses) {
  const std::string Sound = "Content-Length: 3\r\n\r\nabc";
  for (const std::string &Response :
       {"HTTP/1.1 000 Zero\r\n" + Sound, "HTTP/1.1 099 Low\r\n" + Sound,
        "HTTP/1.1 20 Short\r\n" + Sound, "HTTP/1.1 2000 Long\r\n" + Sound,
        "HTTP/1.1 600 High\r\n" + Sound, "HTTP/7.9 200 OK\r\n" + Sound,
        "HTTP/1.1 200 OK\r\nBad Name: 1\r\n" + Sound,
        "HTTP/1.1 200 OK\r\nBad\x01Name: 1\r\n" + Sound,
        "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + Sound,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + Sound,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + Sound,
        std::string("HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc"),
        std::string("HTTP/1.1 103 Early\r\n\r\n")}) {
    raw_listener Peer(Response);
    Received.clear();
    End.reset();
    download(Peer.Address);
    CHECK_TEXT(!*End, Response.c_str());
    CHECK_TEXT(End->failure().Code != net_errc::ConnectFailed,
               Response.c_str());
    CHECK_TEXT(Received.empty(), Response.c_str());
  }
}

// Guards against collecting a body larger than the configured limit.
TEST(streaming, SendRejectsBodyAboveLimit) {
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    http_response Response;
    Response.Body = std::string(100000, 'x');
    Exchange.reply(Response);
  });
  http_client_limits Limits;
  Limits.MaxBodyBytes = 50000;
  http_client Small(Loop, Limits);
  std::optional<result<http_response>> Response;
  Small.send(listenOnFreePort(Server), {}, 10s, [&](result<http_response> R) {
    Response = std::move(R);
    Loop.stop();
  });
  Loop.run();
  CHECK(Response->failure().Code ==
        make_error_code(net_errc::ResponseTooLarge));
}

// Guards against work that continues after the client has disconnected, before
// or during the response.
TEST(streaming, ReportsClientDisconnect) {
  int Disconnects = 0;
  bool Started = false;
  std::optional<http_exchange> Held;
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Held = Exchange;
    Held->onDisconnect([&] {
      ++Disconnects;
      Loop.stop();
    });
    if (Started) {
      Held->start({});
      Held->sendBodyPart("first part");
    }
    Loop.defer([&] { Client.cancel(Started ? 2 : 1); });
  });
  address Peer = listenOnFreePort(Server);
  for (bool Next : {false, true}) {
    Started = Next;
    Client.stream(Peer, {}, 10s, receiver());
    Loop.run();
  }
  CHECK_EQUAL(2, Disconnects);
  CHECK_FALSE(End.has_value());
  // Parts and replies after the disconnect have no effect.
  Held->sendBodyPart("late");
  Held->reply({});
}
