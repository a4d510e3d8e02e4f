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

/// Returns whether \p Port is free on the loopback address.
inline bool isPortFree(std::uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  SocketAddress.sin_port = htons(Port);
  bool Free = bind(Fd, reinterpret_cast<sockaddr *>(&SocketAddress),
                   sizeof SocketAddress) == 0;
  close(Fd);
  return Free;
}

/// Returns a TCP port that was free on the loopback address when it was
/// checked.
///
/// The ports lie below those that the system gives to outgoing connections, no
/// port is returned twice, and processes that run at the same time start at
/// different ones. So nothing takes the port before the test listens on it.
inline std::uint16_t freePort() {
  constexpr unsigned FirstPort = 10000;
  constexpr unsigned PortCount = 22000;
  constexpr unsigned PortsPerProcess = 613;
  static unsigned Next = unsigned(getpid()) * PortsPerProcess;
  for (unsigned Tries = 0; Tries < PortCount; ++Tries) {
    auto Port = std::uint16_t(FirstPort + Next++ % PortCount);
    if (isPortFree(Port))
      return Port;
  }
  FAIL("no free port");
  return 0;
}

/// Runs \p Loop until \p Done returns true. Fails the test after 10,000 checks,
/// at least 10 s.
inline void runUntil(net::event_loop &Loop, std::function<bool()> Done) {
  constexpr int MaxChecks = 10000;
  int Checks = 0;
  net::timer CheckTimer(Loop, [&] {
    if (Done() || ++Checks > MaxChecks)
      Loop.stop();
  });
  CheckTimer.startEvery(std::chrono::milliseconds(1));
  Loop.run();
  CHECK_TEXT(Checks <= MaxChecks, "condition not met after 10,000 checks");
}

/// TCP client that sends and receives raw bytes, without an HTTP parser.
class byte_client {
public:
  explicit byte_client(std::uint16_t Port)
      : byte_client(address{"127.0.0.1", Port}) {}
  explicit byte_client(const address &To)
      : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in SocketAddress{};
    SocketAddress.sin_family = AF_INET;
    CHECK(inet_pton(AF_INET, To.Host.c_str(), &SocketAddress.sin_addr) == 1);
    SocketAddress.sin_port = htons(To.Port);
    CHECK(connect(Fd, reinterpret_cast<sockaddr *>(&SocketAddress),
                  sizeof SocketAddress) == 0);
  }
  ~byte_client() { disconnect(); }
  byte_client(const byte_client &) = delete;
  byte_client &operator=(const byte_client &) = delete;

  void send(const std::string &Bytes) const {
    CHECK(::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
          ssize_t(Bytes.size()));
  }
  void disconnect() {
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
  }
  /// Appends the bytes that have arrived to `Received` without blocking, and
  /// sets `EndOfStream` if the server has closed the connection.
  void receive() {
    char Bytes[4096];
    ssize_t Count = 0;
    while ((Count = recv(Fd, Bytes, sizeof Bytes, MSG_DONTWAIT)) > 0)
      Received.append(Bytes, std::size_t(Count));
    EndOfStream = EndOfStream || Count == 0;
  }
  bool hasReceived(const std::string &Text) {
    receive();
    return Received.find(Text) != std::string::npos;
  }

  std::string Received;
  bool EndOfStream = false;

private:
  int Fd;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_TESTS_LOOP_FIXTURE_H
