#ifndef GENTIANLUG_NET_TESTS_RAW_CLIENT_H
#define GENTIANLUG_NET_TESTS_RAW_CLIENT_H

#include "gentianlug/core/address.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <cerrno>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace gentianlug::net {

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// A blocking connection that sends any bytes, for requests that an HTTP
/// client refuses to send.
class raw_client {
public:
  explicit raw_client(const address &Peer)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = loopback(Peer.Port);
    connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
    // Only a guard against a test that hangs.
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

  /// Reads until the peer closes the connection. After the time limit the
  /// text starts with "timed out".
  std::string readAll() {
    std::string All;
    char Bytes[4096];
    ssize_t Count = 0;
    while ((Count = recv(Socket, Bytes, sizeof Bytes, 0)) > 0)
      All.append(Bytes, std::size_t(Count));
    bool TimedOut = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return TimedOut ? "timed out after " + All : All;
  }

private:
  int Socket;
};

/// Accepts one connection, reads a request, sends fixed bytes and closes.
class raw_listener {
public:
  explicit raw_listener(std::string Answer)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Free = loopback(0);
    socklen_t Size = sizeof Free;
    bind(Socket, reinterpret_cast<sockaddr *>(&Free), sizeof Free);
    listen(Socket, 1);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Free), &Size);
    Address = {"127.0.0.1", ntohs(Free.sin_port)};
    Thread = std::thread([this, Answer = std::move(Answer)] {
      int Accepted = accept(Socket, nullptr, nullptr);
      char Bytes[4096];
      recv(Accepted, Bytes, sizeof Bytes, 0);
      send(Accepted, Answer.data(), Answer.size(), MSG_NOSIGNAL);
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
