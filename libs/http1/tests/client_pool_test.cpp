#include "gentianlug/http1/client_pool.h"
#include "loop_fixture.h"

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
  void disconnect(std::size_t Connection) const {
    shutdown(AcceptedFds.at(Connection), SHUT_RDWR);
  }

  address Address;
  std::vector<int> AcceptedFds;
  std::string Received;

private:
  int Fd;
};

} // namespace

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
  STRCMP_EQUAL("a2", Results[1].Response.Body.c_str());
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
  STRCMP_EQUAL("a2", Results[1].Response.Body.c_str());
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
