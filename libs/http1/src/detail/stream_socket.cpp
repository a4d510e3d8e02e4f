#include "detail/stream_socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gentianlug::http1::detail {

/// Bytes read at a time; bounds what one connection does in a round.
static constexpr int ReadChunkBytes = 64 << 10;

static void setOption(int Fd, int Level, int Name, int Value) {
  // Best effort: without the option the connection still works, only its loss
  // is noticed later.
  (void)setsockopt(Fd, Level, Name, &Value, sizeof Value);
}

static void applyRules(int Fd, const socket_rules &Rules) {
  setOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            int(Rules.UnconfirmedLimit.count()));
  setOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE, int(Rules.ProbeInterval.count()));
  setOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL, int(Rules.ProbeInterval.count()));
  setOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

stream_socket::stream_socket(net::event_loop &Loop, callbacks Callbacks,
                             link_pacer *Pacer)
    : Loop(Loop), Callbacks(std::move(Callbacks)),
      Pacer(Pacer && Pacer->paces() ? Pacer : nullptr), In(evbuffer_new()),
      Out(evbuffer_new()) {}

stream_socket::~stream_socket() {
  close();
  evbuffer_free(In);
  evbuffer_free(Out);
}

void stream_socket::adopt(int Accepted, const socket_rules &Rules) {
  Fd = Accepted;
  applyRules(Fd, Rules);
  Read = event_new(Loop.base(), Fd, EV_READ | EV_PERSIST, &onEvent, this);
  Write = event_new(Loop.base(), Fd, EV_WRITE | EV_PERSIST, &onEvent, this);
  resumeReading();
}

bool stream_socket::connect(const address &To, const socket_rules &Rules) {
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(To.Port);
  if (inet_pton(AF_INET, To.Host.c_str(), &Target.sin_addr) != 1)
    return false;
  int Next = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Next < 0)
    return false;
  if (::connect(Next, reinterpret_cast<sockaddr *>(&Target), sizeof Target) !=
          0 &&
      errno != EINPROGRESS) {
    ::close(Next);
    return false;
  }
  Connecting = true;
  adopt(Next, Rules);
  watchWritable(true);
  return true;
}

void stream_socket::write(std::string Bytes) {
  if (!isOpen() || Bytes.empty())
    return;
  constexpr std::size_t CopyBelow = 4096;
  if (Bytes.size() < CopyBelow) {
    evbuffer_add(Out, Bytes.data(), Bytes.size());
  } else {
    auto *Owned = new std::string(std::move(Bytes));
    evbuffer_add_reference(
        Out, Owned->data(), Owned->size(),
        [](const void *, std::size_t, void *Extra) {
          delete static_cast<std::string *>(Extra);
        },
        Owned);
  }
  if (!Connecting && !WatchingWrite)
    flush();
}

bool stream_socket::sending() const { return unsentBytes() > 0; }

std::size_t stream_socket::unsentBytes() const {
  return evbuffer_get_length(Out);
}

void stream_socket::pauseReading() {
  if (Read && Reading)
    event_del(Read);
  Reading = false;
}

void stream_socket::resumeReading() {
  if (Read && !Reading)
    event_add(Read, nullptr);
  Reading = true;
}

void stream_socket::closeAfterSending() {
  if (!isOpen())
    return;
  if (!sending()) {
    // The other side may still be sending; a close with unread bytes would
    // reset the connection under the answer.
    ::shutdown(Fd, SHUT_WR);
    evbuffer_drain(In, evbuffer_get_length(In));
  }
  CloseWhenSent = true;
}

void stream_socket::close() {
  if (!isOpen())
    return;
  if (Pacer)
    Pacer->remove(*this);
  event_free(Read);
  event_free(Write);
  Read = Write = nullptr;
  evutil_closesocket(Fd);
  Fd = -1;
  evbuffer_drain(Out, evbuffer_get_length(Out));
}

address stream_socket::peer() const {
  sockaddr_in From{};
  socklen_t Size = sizeof From;
  if (getpeername(Fd, reinterpret_cast<sockaddr *>(&From), &Size) != 0)
    return {};
  char Text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &From.sin_addr, Text, sizeof Text);
  return {Text, ntohs(From.sin_port)};
}

void stream_socket::onEvent(int, short What, void *Argument) {
  auto *Self = static_cast<stream_socket *>(Argument);
  if (What & EV_WRITE)
    Self->onWritable();
  else if (What & EV_READ)
    Self->onReadable();
}

void stream_socket::onReadable() {
  int Count = evbuffer_read(In, Fd, ReadChunkBytes);
  if (Count > 0) {
    if (CloseWhenSent)
      evbuffer_drain(In, evbuffer_get_length(In));
    else
      Callbacks.Readable();
    return;
  }
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  fail(Count == 0);
}

void stream_socket::onWritable() {
  if (Connecting) {
    int Error = 0;
    socklen_t Size = sizeof Error;
    getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0)
      return fail(false);
    Connecting = false;
    if (Callbacks.Connected)
      Callbacks.Connected();
    if (!isOpen())
      return;
  }
  watchWritable(false);
  flush();
}

bool stream_socket::isPaced() const {
  return Pacer && unsentBytes() > link_pacer::PieceBytes;
}

void stream_socket::flush() {
  // A message whose last piece is due is still in the queue of the pacer.
  if (isPaced())
    return Pacer->add(*this);
  while (sending())
    if (sendPiece(unsentBytes()) == 0)
      return;
}

std::size_t stream_socket::sendPiece(std::size_t Bytes) {
  if (!isOpen() || !sending())
    return 0;
  int Count = evbuffer_write_atmost(Out, Fd, ev_ssize_t(Bytes));
  if (Count <= 0) {
    bool Later = Count == 0 || errno == EAGAIN || errno == EINTR;
    // The end shows as a read event too, which reports it to the owner in its
    // own round.
    if (!Later)
      evbuffer_drain(Out, unsentBytes());
    watchWritable(Later);
    return 0;
  }
  if (!sending())
    onSent();
  return std::size_t(Count);
}

bool stream_socket::hasPiece() const {
  return isOpen() && sending() && !WatchingWrite;
}

void stream_socket::onSent() {
  watchWritable(false);
  if (CloseWhenSent)
    ::shutdown(Fd, SHUT_WR);
  if (Callbacks.Sent)
    Callbacks.Sent();
}

void stream_socket::watchWritable(bool Watch) {
  if (Watch == WatchingWrite)
    return;
  WatchingWrite = Watch;
  if (Watch)
    event_add(Write, nullptr);
  else
    event_del(Write);
}

void stream_socket::fail(bool Orderly) {
  close();
  Callbacks.Closed(Orderly);
}

} // namespace gentianlug::http1::detail
