#ifndef GENTIANLUG_NET_TESTS_RAW_CLIENT_H
#define GENTIANLUG_NET_TESTS_RAW_CLIENT_H

#include "gentianlug/core/address.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <span>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace gentianlug::net {

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// A blocking connection that sends arbitrary bytes, for requests that an HTTP
/// client would not send.
class raw_client {
public:
  explicit raw_client(const address &Peer)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = loopback(Peer.Port);
    connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
    // Keeps a failing test from hanging.
    timeval Limit{20, 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  }
  ~raw_client() { close(Socket); }
  raw_client(const raw_client &) = delete;
  raw_client &operator=(const raw_client &) = delete;

  bool send(std::string_view Bytes) const {
    return ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
           ssize_t(Bytes.size());
  }

  /// Reads until the peer closes the connection. After a timeout, the result
  /// starts with "timed out after ".
  std::string readAll() {
    std::string Received;
    char Bytes[4096];
    ssize_t Count = 0;
    while ((Count = recv(Socket, Bytes, sizeof Bytes, 0)) > 0)
      Received.append(Bytes, std::size_t(Count));
    bool TimedOut = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return TimedOut ? "timed out after " + Received : Received;
  }

  /// Waits until the peer has sent bytes to one of \p Clients or closed one.
  static void awaitAny(std::span<const raw_client> Clients) {
    std::vector<pollfd> Sockets;
    for (const raw_client &Client : Clients)
      Sockets.push_back({Client.Socket, POLLIN, 0});
    // Keeps a failing test from hanging.
    constexpr int LimitMillis = 20000;
    poll(Sockets.data(), Sockets.size(), LimitMillis);
  }

private:
  int Socket;
};

/// Accepts one connection, reads a request, sends a fixed response and closes
/// the connection.
class raw_listener {
public:
  explicit raw_listener(std::string Response)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Bound = loopback(0);
    socklen_t Size = sizeof Bound;
    bind(Socket, reinterpret_cast<sockaddr *>(&Bound), sizeof Bound);
    listen(Socket, 1);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Bound), &Size);
    Address = {"127.0.0.1", ntohs(Bound.sin_port)};
    Thread = std::thread([this, Response = std::move(Response)] {
      int Accepted = accept(Socket, nullptr, nullptr);
      char Bytes[4096];
      recv(Accepted, Bytes, sizeof Bytes, 0);
      send(Accepted, Response.data(), Response.size(), MSG_NOSIGNAL);
      close(Accepted);
    });
  }
  ~raw_listener() {
    shutdown(Socket, SHUT_RDWR);
    Thread.join();
    close(Socket);
  }
  raw_listener(const raw_listener &) = delete;
  raw_listener &operator=(const raw_listener &) = delete;

  address Address;

private:
  int Socket;
  std::thread Thread;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_TESTS_RAW_CLIENT_H
