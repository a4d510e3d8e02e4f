#include "gentianlug/http1/client_pool.h"
#include "loop_fixture.h"

#include <vector>

using namespace gentianlug;
using namespace gentianlug::http1;

namespace {

/// Accepts connections and answers by hand.
class byte_listener {
public:
  byte_listener() : Fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof At;
    (void)bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At);
    (void)listen(Fd, 16);
    (void)getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size);
    Address = {"127.0.0.1", ntohs(At.sin_port)};
  }
  ~byte_listener() {
    for (int Each : Accepted)
      close(Each);
    close(Fd);
  }
  byte_listener(const byte_listener &) = delete;
  byte_listener &operator=(const byte_listener &) = delete;

  /// Accepts and reads; returns the number of requests seen in all.
  std::size_t requests() {
    for (int Next; (Next = accept(Fd, nullptr, nullptr)) >= 0;)
      Accepted.push_back(Next);
    char Bytes[4096];
    for (int Each : Accepted)
      for (ssize_t Count;
           (Count = recv(Each, Bytes, sizeof Bytes, MSG_DONTWAIT)) > 0;)
        Read.append(Bytes, std::size_t(Count));
    std::size_t Count = 0;
    for (std::size_t At = 0;
         (At = Read.find("\r\n\r\n", At)) != std::string::npos; At += 4)
      ++Count;
    return Count;
  }
  void answer(std::size_t Connection, const std::string &Bytes) const {
    ::send(Accepted.at(Connection), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  void hangUp(std::size_t Connection) const {
    shutdown(Accepted.at(Connection), SHUT_RDWR);
  }

  address Address;
  std::vector<int> Accepted;
  std::string Read;

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
  static std::string answerTo(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nId: " + Id + "\r\nContent-Length: 2\r\n\r\n" +
           Id;
  }
};

TEST(ClientPool, KeepsConnections) {
  send("a1");
  awaitRequests(1);
  Peer.answer(0, answerTo("a1"));
  awaitResults(1);
  send("a2");
  awaitRequests(2);
  Peer.answer(0, answerTo("a2"));
  awaitResults(2);
  UNSIGNED_LONGS_EQUAL(1, Pool.openedConnections());
  CHECK(Results[1].Reused);
  STRCMP_EQUAL("a2", Results[1].Answer.Body.c_str());
}

// Guards against the answer of an earlier request being taken for this one's.
TEST(ClientPool, DropsAnswersOfOtherRequests) {
  send("a1");
  awaitRequests(1);
  Peer.answer(0, answerTo("a1"));
  awaitResults(1);
  send("a2");
  awaitRequests(2);
  Peer.answer(0, answerTo("a1") + answerTo("a2"));
  awaitResults(2);
  STRCMP_EQUAL("a2", Results[1].Answer.Body.c_str());
  // A connection with such answers is not used again.
  send("a3");
  awaitRequests(3);
  UNSIGNED_LONGS_EQUAL(2, Pool.openedConnections());
}

// Guards against surplus bytes being read as part of the next answer.
TEST(ClientPool, ClosesConnectionsWithSurplusBytes) {
  send("a1");
  awaitRequests(1);
  Peer.answer(0, answerTo("a1") + "surplus");
  awaitResults(1);
  send("a2");
  awaitRequests(2);
  UNSIGNED_LONGS_EQUAL(2, Pool.openedConnections());
}

TEST(ClientPool, TellsLostFromNotSent) {
  send("a1");
  awaitRequests(1);
  Peer.answer(0, "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 9\r\n\r\nabc");
  Peer.hangUp(0);
  awaitResults(1);
  CHECK(Results[0].End == send_end::Lost);
  Pool.send({"127.0.0.1", freePort()}, {}, {},
            [&](send_result Result) { Results.push_back(Result); });
  awaitResults(2);
  CHECK(Results[1].End == send_end::NotSent);
}

// Guards against a request that runs once at most going out on a connection
// that its server may have forgotten.
TEST(ClientPool, PassesOverConnectionsIdleForTooLong) {
  send("a1");
  awaitRequests(1);
  Peer.answer(0, answerTo("a1"));
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
    return recv(Peer.Accepted[0], &Byte, 1, MSG_DONTWAIT) == 0;
  });
  CHECK(Results.empty());
}

TEST(ClientPool, SpoiledAnswerIsMalformed) {
  send("a1");
  awaitRequests(1);
  Peer.answer(0, "no answer at all\r\n\r\n");
  awaitResults(1);
  CHECK(Results[0].End == send_end::Malformed);
}
