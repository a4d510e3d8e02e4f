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

/// Maximum number of bytes read from one connection in one iteration of the
/// event loop, so that a busy connection does not starve the others.
static constexpr int ReadChunkBytes = 64 << 10;

static void setOption(int Fd, int Level, int Name, int Value) {
  // Errors are ignored: without the option the connection still works, only its
  // loss is detected later.
  (void)setsockopt(Fd, Level, Name, &Value, sizeof Value);
}

static void applyOptions(int Fd, const socket_options &Options) {
  setOption(Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, int(Options.AckTimeout.count()));
  setOption(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Fd, IPPROTO_TCP, TCP_KEEPIDLE,
            int(Options.KeepAliveInterval.count()));
  setOption(Fd, IPPROTO_TCP, TCP_KEEPINTVL,
            int(Options.KeepAliveInterval.count()));
  setOption(Fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

stream_socket::stream_socket(net::event_loop &Loop, callbacks Callbacks,
                             link_pacer *Pacer)
    : Loop(Loop), Callbacks(std::move(Callbacks)),
      Pacer(Pacer && Pacer->isEnabled() ? Pacer : nullptr), In(evbuffer_new()),
      Out(evbuffer_new()) {}

stream_socket::~stream_socket() {
  close();
  evbuffer_free(In);
  evbuffer_free(Out);
}

void stream_socket::adopt(int Accepted, const socket_options &Options) {
  Fd = Accepted;
  applyOptions(Fd, Options);
  Read = event_new(Loop.base(), Fd, EV_READ | EV_PERSIST, &onEvent, this);
  Write = event_new(Loop.base(), Fd, EV_WRITE | EV_PERSIST, &onEvent, this);
  resumeReading();
}

bool stream_socket::connect(const address &To, const socket_options &Options) {
  sockaddr_in Destination{};
  Destination.sin_family = AF_INET;
  Destination.sin_port = htons(To.Port);
  if (inet_pton(AF_INET, To.Host.c_str(), &Destination.sin_addr) != 1)
    return false;
  int NewFd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (NewFd < 0)
    return false;
  if (::connect(NewFd, reinterpret_cast<sockaddr *>(&Destination),
                sizeof Destination) != 0 &&
      errno != EINPROGRESS) {
    ::close(NewFd);
    return false;
  }
  Connecting = true;
  adopt(NewFd, Options);
  watchWritable(true);
  return true;
}

void stream_socket::write(std::string Bytes) {
  if (!isOpen() || Bytes.empty())
    return;
  append(std::make_shared<const std::string>(std::move(Bytes)));
  flushIfWritable();
}

void stream_socket::write(const message_body &Body) {
  if (!isOpen() || Body.empty())
    return;
  for (const message_body::part &Part : Body.parts())
    append(Part);
  flushIfWritable();
}

void stream_socket::append(message_body::part Bytes) {
  // Shorter strings are copied into the buffer, longer ones referenced.
  constexpr std::size_t MinReferenceBytes = 4096;
  if (Bytes->size() < MinReferenceBytes) {
    evbuffer_add(Out, Bytes->data(), Bytes->size());
    return;
  }
  auto *Owner = new message_body::part(std::move(Bytes));
  evbuffer_add_reference(
      Out, (*Owner)->data(), (*Owner)->size(),
      [](const void *, std::size_t, void *Extra) {
        delete static_cast<message_body::part *>(Extra);
      },
      Owner);
}

void stream_socket::flushIfWritable() {
  if (!Connecting && !WatchingWrite)
    flush();
}

bool stream_socket::hasUnsentBytes() const { return unsentBytes() > 0; }

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

void stream_socket::shutdownAfterSending() {
  if (!isOpen())
    return;
  if (!hasUnsentBytes()) {
    // The peer may still be sending. Closing a socket with unread bytes resets
    // the connection, and the peer could lose the response.
    ::shutdown(Fd, SHUT_WR);
    evbuffer_drain(In, evbuffer_get_length(In));
  }
  ShutdownWhenSent = true;
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
    if (ShutdownWhenSent)
      evbuffer_drain(In, evbuffer_get_length(In));
    else
      Callbacks.Readable();
    return;
  }
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  closeAndNotify(Count == 0);
}

void stream_socket::onWritable() {
  if (Connecting) {
    int Error = 0;
    socklen_t Size = sizeof Error;
    getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0)
      return closeAndNotify(false);
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
  return Pacer && unsentBytes() > link_pacer::ChunkBytes;
}

void stream_socket::flush() {
  // A paced socket with only its last chunk left may still be queued in the
  // pacer, which removes it when it finds nothing to send.
  if (isPaced())
    return Pacer->add(*this);
  while (hasUnsentBytes())
    if (sendChunk(unsentBytes()) == 0)
      return;
}

std::size_t stream_socket::sendChunk(std::size_t Bytes) {
  if (!isOpen() || !hasUnsentBytes())
    return 0;
  int Count = evbuffer_write_atmost(Out, Fd, ev_ssize_t(Bytes));
  if (Count <= 0) {
    bool Retry = Count == 0 || errno == EAGAIN || errno == EINTR;
    // A broken connection also raises a read event, which notifies the owner in
    // a later iteration of the event loop, after the bytes that arrived before.
    if (!Retry) {
      WriteFailed = true;
      evbuffer_drain(Out, unsentBytes());
    }
    watchWritable(Retry);
    return 0;
  }
  if (!hasUnsentBytes())
    onSent();
  return std::size_t(Count);
}

bool stream_socket::hasPendingChunk() const {
  return isOpen() && hasUnsentBytes() && !WatchingWrite;
}

void stream_socket::onSent() {
  watchWritable(false);
  if (ShutdownWhenSent)
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

void stream_socket::closeAndNotify(bool Orderly) {
  close();
  // The failed write has taken the error of a reset connection, so that the
  // read after it returned the end of the stream.
  Callbacks.Closed(Orderly && !WriteFailed);
}

} // namespace gentianlug::http1::detail
