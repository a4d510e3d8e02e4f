#include "gentianlug/http1/client_pool.h"
#include "loop_fixture.h"

#include <functional>
#include <optional>
#include <vector>

using namespace gentianlug;
using namespace gentianlug::http1;

namespace {

/// Listener that records received bytes and sends the bytes that a test passes.
class byte_listener {
public:
  byte_listener() : Fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in SocketAddress{};
    SocketAddress.sin_family = AF_INET;
    SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof SocketAddress;
    (void)bind(Fd, reinterpret_cast<sockaddr *>(&SocketAddress),
               sizeof SocketAddress);
    (void)listen(Fd, 16);
    (void)getsockname(Fd, reinterpret_cast<sockaddr *>(&SocketAddress), &Size);
    Address = {"127.0.0.1", ntohs(SocketAddress.sin_port)};
  }
  ~byte_listener() {
    for (int Connection : AcceptedFds)
      close(Connection);
    close(Fd);
  }
  byte_listener(const byte_listener &) = delete;
  byte_listener &operator=(const byte_listener &) = delete;

  /// Accepts connections and reads from them without blocking. Returns the
  /// total number of requests received.
  std::size_t requests() {
    for (int NewFd; (NewFd = accept(Fd, nullptr, nullptr)) >= 0;)
      AcceptedFds.push_back(NewFd);
    char Bytes[4096];
    for (int Connection : AcceptedFds)
      for (ssize_t Count;
           (Count = recv(Connection, Bytes, sizeof Bytes, MSG_DONTWAIT)) > 0;)
        Received.append(Bytes, std::size_t(Count));
    std::size_t Count = 0;
    for (std::size_t Position = 0;
         (Position = Received.find("\r\n\r\n", Position)) != std::string::npos;
         Position += 4)
      ++Count;
    return Count;
  }
  void respond(std::size_t Connection, const std::string &Bytes) const {
    ::send(AcceptedFds.at(Connection), Bytes.data(), Bytes.size(),
           MSG_NOSIGNAL);
  }
  /// Sends \p Bytes again and again until the peer closes the connection or
  /// does not read for a moment. Returns the number of bytes sent in all.
  std::size_t respondEndlessly(const std::string &Bytes) {
    ssize_t Count = 0;
    while ((Count = ::send(AcceptedFds.at(0), Bytes.data(), Bytes.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT)) > 0)
      EndlessBytes += std::size_t(Count);
    return EndlessBytes;
  }
  void reset(std::size_t Connection) {
    linger Immediately{1, 0};
    setsockopt(AcceptedFds.at(Connection), SOL_SOCKET, SO_LINGER, &Immediately,
               sizeof Immediately);
    close(AcceptedFds.at(Connection));
    AcceptedFds.erase(AcceptedFds.begin() + std::ptrdiff_t(Connection));
  }
  /// Ends the stream to the peer; bytes from it are still taken.
  void endSending(std::size_t Connection) const {
    shutdown(AcceptedFds.at(Connection), SHUT_WR);
  }
  void disconnect(std::size_t Connection) const {
    shutdown(AcceptedFds.at(Connection), SHUT_RDWR);
  }

  address Address;
  std::vector<int> AcceptedFds;
  std::string Received;

private:
  int Fd;
  std::size_t EndlessBytes = 0;
};

} // namespace

/// More than the kernel buffers for one connection.
static constexpr std::size_t UploadBytes = 16UL << 20;

TEST_GROUP(ClientPool) {
  net::event_loop Loop;
  byte_listener Peer;
  client_pool Pool{Loop, {}, {}};
  std::vector<send_result> Results;

  client_pool::ticket send(const std::string &Id,
                           std::chrono::milliseconds MaxIdle =
                               std::chrono::seconds(5)) {
    request Request;
    Request.Method = "GET";
    Request.Target = "/";
    Request.Headers.add("Id", Id);
    return Pool.send(
        Peer.Address, Request, {std::chrono::seconds(2), MaxIdle, "Id"},
        [this](send_result Result) { Results.push_back(std::move(Result)); });
  }
  void awaitRequests(std::size_t Count) {
    runUntil(Loop, [&] { return Peer.requests() == Count; });
  }
  void awaitResults(std::size_t Count) {
    runUntil(Loop, [&] { return Results.size() == Count; });
  }
  static std::string responseTo(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nId: " + Id + "\r\nContent-Length: 2\r\n\r\n" +
           Id;
  }
};

TEST(ClientPool, ReusesConnections) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, responseTo("a1"));
  awaitResults(1);
  send("a2");
  awaitRequests(2);
  Peer.respond(0, responseTo("a2"));
  awaitResults(2);
  UNSIGNED_LONGS_EQUAL(1, Pool.openedConnections());
  CHECK(Results[1].Reused);
  STRCMP_EQUAL("a2", Results[1].Response.Body.str().c_str());
}

// Guards against a response to an earlier request being taken for the response
// to the current one.
TEST(ClientPool, DiscardsResponsesToOtherRequests) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, responseTo("a1"));
  awaitResults(1);
  send("a2");
  awaitRequests(2);
  Peer.respond(0, responseTo("a1") + responseTo("a2"));
  awaitResults(2);
  STRCMP_EQUAL("a2", Results[1].Response.Body.str().c_str());
  // The connection is not reused after a response to another request.
  send("a3");
  awaitRequests(3);
  UNSIGNED_LONGS_EQUAL(2, Pool.openedConnections());
}

// Guards against surplus bytes being read as part of the next response.
TEST(ClientPool, ClosesConnectionsWithSurplusBytes) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, responseTo("a1") + "surplus");
  awaitResults(1);
  send("a2");
  awaitRequests(2);
  UNSIGNED_LONGS_EQUAL(2, Pool.openedConnections());
}

TEST(ClientPool, DistinguishesLostFromNotSent) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 9\r\n\r\nabc");
  Peer.disconnect(0);
  awaitResults(1);
  CHECK(Results[0].Outcome == send_outcome::ConnectionLost);
  Pool.send({"127.0.0.1", freePort()}, {}, {},
            [&](send_result Result) { Results.push_back(Result); });
  awaitResults(2);
  CHECK(Results[1].Outcome == send_outcome::NotSent);
}

// Guards against sending a request that must run at most once on a connection
// whose state the server may have lost.
TEST(ClientPool, SkipsConnectionsIdleForTooLong) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, responseTo("a1"));
  awaitResults(1);
  send("a2", std::chrono::milliseconds(0));
  awaitRequests(2);
  UNSIGNED_LONGS_EQUAL(2, Pool.openedConnections());
}

TEST(ClientPool, CancelClosesTheConnection) {
  auto Ticket = send("a1");
  awaitRequests(1);
  Pool.cancel(Ticket);
  runUntil(Loop, [&] {
    char Byte = 0;
    return recv(Peer.AcceptedFds[0], &Byte, 1, MSG_DONTWAIT) == 0;
  });
  CHECK(Results.empty());
}

TEST(ClientPool, InvalidResponseIsMalformed) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, "no answer at all\r\n\r\n");
  awaitResults(1);
  CHECK(Results[0].Outcome == send_outcome::Malformed);
}

// Guards against a late second copy of a response that the next request on the
// connection receives, if that request expects no echo.
TEST(ClientPool, LateCopyIsNotTakenForAResponseWithoutEcho) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, responseTo("a1"));
  awaitResults(1);
  request Probe;
  Probe.Method = "GET";
  Probe.Target = "/health";
  Pool.send(Peer.Address, Probe,
            {std::chrono::seconds(2), std::chrono::seconds(5), "Id"},
            [this](send_result Result) { Results.push_back(Result); });
  awaitRequests(2);
  Peer.respond(0, responseTo("a1") +
                      "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
  awaitResults(2);
  LONGS_EQUAL(204, Results[1].Response.Status);
}

// Guards against a late second copy of a response without an echo, such as a
// rejection, that is taken for the response to the next request on its
// connection: no echo tells it from that one.
TEST(ClientPool, ConnectionEndsAfterAResponseWithoutEcho) {
  const std::string Rejection =
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  send("a1");
  awaitRequests(1);
  Peer.respond(0, Rejection);
  awaitResults(1);
  LONGS_EQUAL(503, Results[0].Response.Status);
  send("a2");
  awaitRequests(2);
  Peer.respond(0, Rejection);
  CHECK_EQUAL(2, Peer.AcceptedFds.size());
  Peer.respond(1, responseTo("a2"));
  awaitResults(2);
  CHECK(Results[1].Outcome == send_outcome::Responded);
  LONGS_EQUAL(200, Results[1].Response.Status);
  CHECK_EQUAL(2, Pool.openedConnections());
}

// Guards against a response without a length that looks complete although its
// connection was reset.
TEST(ClientPool, ResetEndsAResponseWithoutLengthIncomplete) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, "HTTP/1.1 200 OK\r\nId: a1\r\n\r\nabc");
  Peer.reset(0);
  awaitResults(1);
  CHECK(Results[0].Outcome == send_outcome::ConnectionLost);
}

/// Returns the result of an upload that the server answers, without reading it
/// to its end, with a response without a length, before \p End ends the
/// connection.
static send_result
earlyResponse(net::event_loop &Loop, client_pool &Pool, byte_listener &Peer,
              const std::function<void(byte_listener &)> &End) {
  std::optional<send_result> Result;
  request Upload;
  Upload.Method = "POST";
  Upload.Target = "/";
  Upload.Body = std::string(UploadBytes, 'u');
  Pool.send(Peer.Address, Upload, {},
            [&](send_result Ended) { Result = std::move(Ended); });
  runUntil(Loop, [&] { return Peer.requests() == 1; });
  Peer.respond(0, "HTTP/1.1 200 OK\r\n\r\n" + std::string(20000, 'a'));
  End(Peer);
  runUntil(Loop, [&] { return Result.has_value(); });
  Peer.Received.clear();
  return *Result;
}

// Guards against part of a response that is passed on as a complete one: the
// write that fails first takes the error of the connection, and the next read
// then returns the end of the stream.
TEST(ClientPool, ResetDuringAnUploadEndsAResponseIncomplete) {
  for (int Round = 0; Round < 12; ++Round) {
    send_result Result = earlyResponse(
        Loop, Pool, Peer, [](byte_listener &Server) { Server.reset(0); });
    CHECK(Result.Outcome == send_outcome::ConnectionLost);
  }
}

// Guards against an upload that fails because the server answers early: it
// reads on, and ends its response in order.
TEST(ClientPool, EarlyResponseOfAServerThatReadsOnIsComplete) {
  send_result Result = earlyResponse(
      Loop, Pool, Peer, [](byte_listener &Server) { Server.endSending(0); });
  CHECK(Result.Outcome == send_outcome::Responded);
  UNSIGNED_LONGS_EQUAL(20000, Result.Response.Body.size());
}

// Guards against a chunked response that ends after a chunk and looks complete.
TEST(ClientPool, ChunkedResponseWithoutItsEndIsIncomplete) {
  send("a1");
  awaitRequests(1);
  Peer.respond(0, "HTTP/1.1 200 OK\r\nId: a1\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n3\r\nabc\r\n");
  Peer.disconnect(0);
  awaitResults(1);
  CHECK(Results[0].Outcome == send_outcome::ConnectionLost);
}

TEST_GROUP(EndlessResponse) {
  static constexpr std::size_t MaxBodyBytes = 1UL << 20;
  net::event_loop Loop;
  byte_listener Peer;
  client_pool Pool{Loop, {64UL << 10, MaxBodyBytes, 2 * MaxBodyBytes}, {}};
  std::vector<send_result> Results;

  void send() {
    request Request;
    Request.Method = "GET";
    Request.Target = "/";
    Pool.send(Peer.Address, Request, {},
              [this](send_result Result) { Results.push_back(Result); });
  }
  /// Returns the bytes that the server could send before its connection was
  /// closed.
  std::size_t bytesUntilClosed(const std::string &Start,
                               const std::string &Repeated) {
    send();
    runUntil(Loop, [&] { return Peer.requests() == 1; });
    Peer.respond(0, Start);
    std::size_t Sent = 0;
    runUntil(Loop, [&] {
      Sent = Peer.respondEndlessly(Repeated);
      return !Results.empty();
    });
    CHECK(Results[0].Outcome == send_outcome::Malformed);
    return Sent;
  }
};

/// Bytes that the kernel may hold for one connection, in both directions.
static constexpr std::size_t SocketBufferBytes = 16UL << 20;

// Guards against bytes without end that exhaust the memory of the node or keep
// the call until its deadline.
TEST(EndlessResponse, HeadEndsTheConnection) {
  CHECK(bytesUntilClosed("HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')) <
        SocketBufferBytes);
}

TEST(EndlessResponse, HeaderFieldsEndTheConnection) {
  CHECK(bytesUntilClosed("HTTP/1.1 200 OK\r\n", "X: y\r\n") <
        SocketBufferBytes);
}

TEST(EndlessResponse, InterimResponsesEndTheConnection) {
  CHECK(bytesUntilClosed("", "HTTP/1.1 100 Continue\r\n\r\n") <
        SocketBufferBytes);
}

TEST(EndlessResponse, BodyWithoutLengthEndsTheConnection) {
  CHECK(bytesUntilClosed("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x')) <
        SocketBufferBytes + MaxBodyBytes);
}

TEST(EndlessResponse, ChunksEndTheConnection) {
  CHECK(bytesUntilClosed("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n",
                         "5\r\nabcde\r\n") <
        SocketBufferBytes + 4 * MaxBodyBytes);
}

TEST(EndlessResponse, ChunkExtensionEndsTheConnection) {
  CHECK(bytesUntilClosed("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n5;",
                         std::string(1000, 'x')) < SocketBufferBytes);
}

TEST(EndlessResponse, TrailersEndTheConnection) {
  CHECK(bytesUntilClosed("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n0\r\n",
                         "X: y\r\n") < SocketBufferBytes);
}

// Guards against responses that exceed the memory which they share with other
// messages of the process.
TEST(EndlessResponse, MemoryOfTheProcessEndsTheConnection) {
  memory_guard Memory(MaxBodyBytes / 2);
  client_pool Guarded(Loop, {}, {}, &Memory);
  request Request;
  Request.Method = "GET";
  Request.Target = "/";
  Guarded.send(Peer.Address, Request, {},
               [this](send_result Result) { Results.push_back(Result); });
  runUntil(Loop, [&] { return Peer.requests() == 1; });
  Peer.respond(0, "HTTP/1.1 200 OK\r\n\r\n");
  runUntil(Loop, [&] {
    Peer.respondEndlessly(std::string(1000, 'x'));
    return !Results.empty();
  });
  CHECK(Results[0].Outcome == send_outcome::NoMemory);
  UNSIGNED_LONGS_EQUAL(0, Memory.budget().heldBytes());
}

// Guards against many servers that exhaust the memory together: each response
// is within its limit.
TEST(EndlessResponse, ConcurrentResponsesShareALimit) {
  for (int Count = 0; Count < 4; ++Count)
    send();
  runUntil(Loop, [&] { return Peer.requests() == 4; });
  std::string Body(MaxBodyBytes - 1000, 'x');
  for (std::size_t Index = 0; Index < 4; ++Index)
    Peer.respond(Index, "HTTP/1.1 200 OK\r\n\r\n" + Body);
  runUntil(Loop, [&] { return Results.size() == 2; });
  for (const send_result &Each : Results)
    CHECK(Each.Outcome == send_outcome::Malformed);
}
