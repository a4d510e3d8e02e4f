// Blocking HTTP/1.1 over TCP sockets, for the stand-ins of the review.
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using millis = std::chrono::milliseconds;

struct address {
  std::string Host;
  int Port = 0;
  std::string str() const { return Host + ":" + std::to_string(Port); }
};

inline sockaddr_in toSocketAddress(const address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(std::uint16_t(At.Port));
  inet_pton(AF_INET, At.Host.c_str(), &Result.sin_addr);
  return Result;
}

struct message {
  // Start line: method and target, or status.
  std::string Method;
  std::string Target;
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  const std::string *find(const char *Name) const {
    for (const auto &[Key, Value] : Headers)
      if (strcasecmp(Key.c_str(), Name) == 0)
        return &Value;
    return nullptr;
  }
  std::string get(const char *Name) const {
    const std::string *Found = find(Name);
    return Found ? *Found : "";
  }
};

enum class read_result { Message, Closed, Broken, TimedOut };

/// A connected socket with a read buffer.
class connection {
public:
  explicit connection(int Fd = -1) : Fd(Fd) {}
  connection(connection &&Other) noexcept
      : Fd(std::exchange(Other.Fd, -1)), Buffer(std::move(Other.Buffer)) {}
  connection &operator=(connection &&Other) noexcept {
    close();
    Fd = std::exchange(Other.Fd, -1);
    Buffer = std::move(Other.Buffer);
    return *this;
  }
  ~connection() { close(); }

  static connection open(const address &To, millis Timeout) {
    int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto Address = toSocketAddress(To);
    int Result =
        ::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
    if (Result != 0 && errno == EINPROGRESS) {
      pollfd Poll{Fd, POLLOUT, 0};
      int Error = 0;
      socklen_t Size = sizeof Error;
      if (::poll(&Poll, 1, int(Timeout.count())) == 1 &&
          getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
          Error == 0)
        Result = 0;
    }
    if (Result != 0) {
      ::close(Fd);
      return connection();
    }
    int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    return connection(Fd);
  }

  bool isOpen() const { return Fd >= 0; }
  int fd() const { return Fd; }

  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
    Buffer.clear();
  }

  bool write(std::string_view Bytes,
             clock::time_point Deadline = clock::now() +
                                          std::chrono::seconds(10)) {
    while (!Bytes.empty()) {
      ssize_t Count =
          ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Count > 0) {
        Bytes.remove_prefix(std::size_t(Count));
        continue;
      }
      if (Count < 0 && errno != EAGAIN && errno != EINTR)
        return false;
      if (!wait(POLLOUT, Deadline))
        return false;
    }
    return true;
  }

  /// Reads one message. \p IsResponse selects the form of the start line.
  read_result read(message &Out, bool IsResponse, clock::time_point Deadline) {
    Out = {};
    std::size_t End;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (auto Result = fill(Deadline); Result != read_result::Message)
        return Buffer.empty()                    ? Result
               : Result == read_result::TimedOut ? Result
                                                 : read_result::Broken;
    std::string Head = Buffer.substr(0, End + 2);
    Buffer.erase(0, End + 4);
    std::size_t Line = Head.find("\r\n");
    std::string Start = Head.substr(0, Line);
    if (IsResponse) {
      if (Start.compare(0, 9, "HTTP/1.1 ") != 0)
        return read_result::Broken;
      Out.Status = std::atoi(Start.c_str() + 9);
    } else {
      std::size_t First = Start.find(' ');
      std::size_t Second = Start.find(' ', First + 1);
      if (First == std::string::npos || Second == std::string::npos)
        return read_result::Broken;
      Out.Method = Start.substr(0, First);
      Out.Target = Start.substr(First + 1, Second - First - 1);
    }
    for (std::size_t At = Line + 2; At < Head.size();) {
      std::size_t Next = Head.find("\r\n", At);
      std::string Field = Head.substr(At, Next - At);
      std::size_t Colon = Field.find(':');
      if (Colon == std::string::npos)
        return read_result::Broken;
      std::size_t Value = Field.find_first_not_of(" \t", Colon + 1);
      Out.Headers.emplace_back(
          Field.substr(0, Colon),
          Value == std::string::npos ? "" : Field.substr(Value));
      At = Next + 2;
    }
    std::size_t Length =
        std::size_t(std::atoll(Out.get("Content-Length").c_str()));
    while (Buffer.size() < Length)
      if (auto Result = fill(Deadline); Result != read_result::Message)
        return Result == read_result::TimedOut ? Result : read_result::Broken;
    Out.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return read_result::Message;
  }

  /// Returns whether the peer has closed the connection or sent something.
  bool hasEvent() const {
    pollfd Poll{Fd, POLLIN, 0};
    return ::poll(&Poll, 1, 0) > 0;
  }

private:
  bool wait(short Events, clock::time_point Deadline) const {
    auto Left = std::chrono::duration_cast<millis>(Deadline - clock::now());
    if (Left.count() <= 0)
      return false;
    pollfd Poll{Fd, Events, 0};
    int Result = ::poll(&Poll, 1, int(Left.count()) + 1);
    return Result > 0 || (Result < 0 && errno == EINTR);
  }

  read_result fill(clock::time_point Deadline) {
    for (;;) {
      char Bytes[65536];
      ssize_t Count = ::recv(Fd, Bytes, sizeof Bytes, MSG_DONTWAIT);
      if (Count > 0) {
        Buffer.append(Bytes, std::size_t(Count));
        return read_result::Message;
      }
      if (Count == 0)
        return read_result::Closed;
      if (errno != EAGAIN && errno != EINTR)
        return read_result::Broken;
      if (!wait(POLLIN, Deadline))
        return read_result::TimedOut;
    }
  }

  int Fd;
  std::string Buffer;
};

inline std::string encode(const message &Message) {
  std::string Text =
      Message.Status
          ? "HTTP/1.1 " + std::to_string(Message.Status) + " Status\r\n"
          : Message.Method + " " + Message.Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Message.Headers)
    Text += Name + ": " + Value + "\r\n";
  if (Message.Status || !Message.Body.empty() || Message.Method != "GET")
    Text += "Content-Length: " + std::to_string(Message.Body.size()) + "\r\n";
  return Text + "\r\n" + Message.Body;
}

inline int listenAt(const address &At) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  auto Address = toSocketAddress(At);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) != 0 ||
      ::listen(Fd, 256) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

} // namespace review

#endif
