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

  response_receiver receiver() {
    response_receiver Receiver;
    Receiver.Head = [](const http_response &) {};
    Receiver.Part = [this](std::string_view Part) { Received += Part; };
    Receiver.End = [this](result<void> Result) {
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

// Guards against a relay that keeps a whole download in memory when its reader
// is slower than its source.
TEST(streaming, KeepsAtMost256KilobytesForASlowReader) {
  constexpr std::size_t Total = 16 << 20;
  constexpr std::size_t Bound = 256 << 10;
  std::size_t MaxWaiting = 0;
  std::size_t Sent = 0;
  std::optional<http_exchange> Held;
  std::function<void()> Fill = [&] {
    std::size_t Waiting = 0;
    while (Sent < Total && Waiting < Bound / 2) {
      Waiting = Held->sendPart(std::string(16 << 10, char('a' + Sent % 7)));
      Sent += 16 << 10;
      MaxWaiting = std::max(MaxWaiting, Waiting);
    }
    if (Sent == Total)
      Held->finish();
  };
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Held = Exchange;
    Held->start({});
    Held->onDrained(Fill);
    Fill();
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
  response_receiver Receiver = receiver();
  Receiver.Part = [&](std::string_view Part) {
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
  // Without a pause the response would end before the timer.
  CHECK(Resumed);
  CHECK(Received.size() == Total);
  CHECK(MaxWaiting <= Bound);
  CHECK(ReceivedWhilePaused <= 32 << 10);
  // The rest waits at the source; socket buffers of the kernel hold a part.
  CHECK(SentWhilePaused < Total);
}

// Guards against a cut body that passes as whole.
TEST(streaming, AbortAndShortBodiesAreErrors) {
  std::string Kind;
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Exchange.start(Kind == "chunked" ? http_response{} : headOfLength("100"));
    Exchange.sendPart("half of it");
    if (Kind == "short")
      Exchange.finish();
    else
      Exchange.abort();
  });
  address Peer = listenOnFreePort(Server);
  for (const char *Next : {"chunked", "length", "short"}) {
    Kind = Next;
    download(Peer);
    CHECK_TEXT(!*End, Next);
    CHECK(End->failure().Code == make_error_code(net_errc::ConnectionLost));
  }
}

// Guards against an exchange that is dropped half sent and leaves its client
// waiting, or with a body that looks complete.
TEST(streaming, ADroppedExchangeIsAborted) {
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    Exchange.start({});
    Exchange.sendPart("half of it");
  });
  download(listenOnFreePort(Server));
  CHECK_FALSE(bool(*End));
}

// Guards against a body that ends with its connection: a cut one looks the
// same, so both are refused.
TEST(streaming, RefusesAnAnswerWithoutALength) {
  raw_listener Peer("HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
  download(Peer.Address);
  CHECK(End->failure().Code == make_error_code(net_errc::AnswerWithoutLength));
}

// Guards against a bounded answer that is collected without a bound.
TEST(streaming, SendRefusesABodyAboveItsBound) {
  http_server Server(Loop, {}, [&](http_exchange Exchange) {
    http_response Response;
    Response.Body = std::string(100000, 'x');
    Exchange.reply(Response);
  });
  http_client_limits Limits;
  Limits.MaxBodyBytes = 50000;
  http_client Small(Loop, Limits);
  std::optional<result<http_response>> Answer;
  Small.send(listenOnFreePort(Server), {}, 10s, [&](result<http_response> R) {
    Answer = std::move(R);
    Loop.stop();
  });
  Loop.run();
  CHECK(Answer->failure().Code == make_error_code(net_errc::AnswerTooLarge));
}

// Guards against work that goes on for a client that has gone away, before and
// within the response.
TEST(streaming, TellsWhenTheClientGoesAway) {
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
      Held->sendPart("first part");
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
  // Late parts and replies have nowhere to go.
  Held->sendPart("late");
  Held->reply({});
}
