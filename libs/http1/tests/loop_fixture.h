#ifndef GENTIANLUG_HTTP1_TESTS_LOOP_FIXTURE_H
#define GENTIANLUG_HTTP1_TESTS_LOOP_FIXTURE_H

#include "gentianlug/core/address.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/timer.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace gentianlug::http1 {

/// Returns a port of the loopback address that was free a moment ago.
inline std::uint16_t freePort() {
  int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof At;
  (void)bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At);
  (void)getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size);
  close(Fd);
  return ntohs(At.sin_port);
}

/// Runs \p Loop until \p Done holds; fails the test after 10 s.
inline void runUntil(net::event_loop &Loop, std::function<bool()> Done) {
  constexpr int MaxChecks = 10000;
  int Checks = 0;
  net::timer Check(Loop, [&] {
    if (Done() || ++Checks > MaxChecks)
      Loop.stop();
  });
  Check.startEvery(std::chrono::milliseconds(1));
  Loop.run();
  CHECK_TEXT(Checks <= MaxChecks, "the awaited state was not reached");
}

/// A connection to a server on the loopback address that a test reads and
/// writes byte by byte.
class byte_client {
public:
  explicit byte_client(std::uint16_t Port)
      : byte_client(address{"127.0.0.1", Port}) {}
  explicit byte_client(const address &To)
      : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    CHECK(inet_pton(AF_INET, To.Host.c_str(), &At.sin_addr) == 1);
    At.sin_port = htons(To.Port);
    CHECK(connect(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At) == 0);
  }
  ~byte_client() { hangUp(); }
  byte_client(const byte_client &) = delete;
  byte_client &operator=(const byte_client &) = delete;

  void send(const std::string &Bytes) const {
    CHECK(::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
          ssize_t(Bytes.size()));
  }
  void hangUp() {
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
  }
  /// Adds what has arrived to `Received`; notes the end of the stream.
  void receive() {
    char Bytes[4096];
    ssize_t Count = 0;
    while ((Count = recv(Fd, Bytes, sizeof Bytes, MSG_DONTWAIT)) > 0)
      Received.append(Bytes, std::size_t(Count));
    Ended = Ended || Count == 0;
  }
  bool has(const std::string &Text) {
    receive();
    return Received.find(Text) != std::string::npos;
  }

  std::string Received;
  bool Ended = false;

private:
  int Fd;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_TESTS_LOOP_FIXTURE_H
