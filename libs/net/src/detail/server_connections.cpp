#include "detail/server_connections.h"

#include "gentianlug/net/event_loop.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace gentianlug::net::detail {

/// Period of the check for slow headers and closed connections.
static constexpr std::chrono::milliseconds SweepPeriod{250};

/// Shortest time between two looks for closed connections.
static constexpr std::chrono::milliseconds ReleasePause{10};

/// evhttp has dropped the connection; only our reference keeps the stream.
static bool isClosed(bufferevent *Stream) {
  bufferevent_event_cb Event = nullptr;
  bufferevent_getcb(Stream, nullptr, nullptr, &Event, nullptr);
  return Event == nullptr;
}

static timeval idleTimeval(const http_server_limits &Limits) {
  return {Limits.IdleTimeout.count(), 0};
}

server_connections::server_connections(event_loop &Loop,
                                       http_server_limits Limits)
    : Loop(Loop), Limits(Limits), Sweep(Loop, [this] { sweep(); }),
      Release(Loop, [this] { closeRefused(); }) {
  Sweep.startEvery(SweepPeriod);
}

server_connections::~server_connections() {
  for (auto &[Stream, Connection] : Connections)
    bufferevent_decref(Stream);
}

bufferevent *server_connections::accept() {
  // The stream closes its socket itself: when evhttp closes the socket of a
  // stream that we still refer to, the loop keeps events of a closed number.
  bufferevent *Stream =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (!Stream)
    return nullptr;
  // A look at all connections for each refused one would let a flood of
  // connections stop the loop.
  steady_time Now = Clock.steadyNow();
  bool MayRelease = Now - LastRelease >= ReleasePause;
  if (Connections.size() >= Limits.MaxConnections && MayRelease)
    releaseClosed();
  bool Full = Connections.size() >= Limits.MaxConnections;
  bufferevent_incref(Stream);
  auto Entry = std::make_unique<entry>();
  Entry->Stream = Stream;
  Entry->Owner = this;
  evbuffer_add_cb(bufferevent_get_input(Stream), &onInput, Entry.get());
  Connections.emplace(Stream, std::move(Entry));
  // evhttp sets the socket after this call, and later sees its end.
  if (Full) {
    Refused.push_back(Stream);
    Release.startOnce(std::chrono::microseconds(0));
  }
  return Stream;
}

server_connection &server_connections::requestArrived(evhttp_request *Raw) {
  evhttp_connection *Http = evhttp_request_get_connection(Raw);
  bufferevent *Stream = evhttp_connection_get_bufferevent(Http);
  entry &Connection = *Connections.at(Stream);
  if (!Connection.Http) {
    Connection.Http = Http;
    evhttp_connection_set_closecb(Http, &onClose, &Connection);
    // Parts of a streamed response must not wait for acknowledgements.
    int On = 1;
    setsockopt(bufferevent_getfd(Stream), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof On);
  }
  Connection.Phase = server_connection::phase::Handled;
  // Handling is bounded by the handler, not by the silence of the client.
  timeval Idle = idleTimeval(Limits);
  bufferevent_set_timeouts(Stream, nullptr, &Idle);
  bufferevent_setcb(Stream, nullptr, nullptr, &onStreamEvent, &Connection);
  bufferevent_enable(Stream, EV_READ);
  return Connection;
}

void server_connections::answered(server_connection &Connection) {
  Connection.Gone = nullptr;
  timeval Idle = idleTimeval(Limits);
  bufferevent_set_timeouts(Connection.Stream, &Idle, &Idle);
  Connection.Phase = server_connection::phase::Idle;
  Connection.AtLineStart = false;
  if (evbuffer_get_length(bufferevent_get_input(Connection.Stream)) > 0) {
    Connection.Phase = server_connection::phase::Headers;
    Connection.HeaderDeadline = Clock.steadyNow() + Limits.HeaderTimeout;
  }
}

void server_connections::reset(server_connection &Connection) {
  // Disconnecting the socket sends a reset at once. evhttp would first send a
  // regular end, which completes a body without a length.
  sockaddr Nowhere{};
  Nowhere.sa_family = AF_UNSPEC;
  (void)connect(bufferevent_getfd(Connection.Stream), &Nowhere, sizeof Nowhere);
  evhttp_connection_free(Connection.Http);
}

void server_connections::closeIdle() {
  ClosingIdle = true;
  for (auto &[Stream, Connection] : Connections) {
    bool Sending = evbuffer_get_length(bufferevent_get_output(Stream)) > 0;
    if (Connection->Phase == server_connection::phase::Idle && !Sending &&
        !isClosed(Stream))
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
  }
}

void server_connections::onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                                 void *Argument) {
  auto &Connection = *static_cast<entry *>(Argument);
  if (Info->n_added == 0)
    return;
  if (Connection.Phase == server_connection::phase::Handled) {
    // Bytes of a further request; bounded until this one is answered.
    if (evbuffer_get_length(Buffer) > Connection.Owner->Limits.MaxHeaderBytes)
      bufferevent_disable(Connection.Stream, EV_READ);
    return;
  }
  Connection.Owner->readHeaders(Connection, Buffer, Info->n_added);
}

void server_connections::readHeaders(server_connection &Connection,
                                     evbuffer *Buffer, std::size_t Added) {
  if (Connection.Phase == server_connection::phase::Body)
    return;
  if (Connection.Phase == server_connection::phase::Idle) {
    Connection.Phase = server_connection::phase::Headers;
    Connection.HeaderDeadline = Clock.steadyNow() + Limits.HeaderTimeout;
  }
  evbuffer_ptr Start;
  evbuffer_ptr_set(Buffer, &Start, evbuffer_get_length(Buffer) - Added,
                   EVBUFFER_PTR_SET);
  constexpr int MaxPieces = 8;
  evbuffer_iovec Pieces[MaxPieces];
  int Count = evbuffer_peek(Buffer, -1, &Start, Pieces, MaxPieces);
  for (int Index = 0; Index < std::min(Count, MaxPieces); ++Index)
    for (char Byte :
         std::string_view(static_cast<const char *>(Pieces[Index].iov_base),
                          Pieces[Index].iov_len)) {
      if (Byte == '\n' && Connection.AtLineStart) {
        Connection.Phase = server_connection::phase::Body;
        return;
      }
      if (Byte != '\r')
        Connection.AtLineStart = Byte == '\n';
    }
}

void server_connections::onStreamEvent(bufferevent *Stream, short What,
                                       void *Argument) {
  (void)Stream;
  auto &Connection = *static_cast<entry *>(Argument);
  if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    evhttp_connection_free(Connection.Http);
}

void server_connections::onClose(evhttp_connection *Http, void *Argument) {
  (void)Http;
  auto &Connection = *static_cast<entry *>(Argument);
  // evhttp frees the connection after this call.
  Connection.Owner->Release.startOnce(std::chrono::microseconds(0));
  if (Connection.Gone)
    std::exchange(Connection.Gone, nullptr)();
}

void server_connections::sweep() {
  releaseClosed();
  if (ClosingIdle)
    closeIdle();
  steady_time Now = Clock.steadyNow();
  for (auto &[Stream, Connection] : Connections)
    if (Connection->Phase == server_connection::phase::Headers &&
        Now >= Connection->HeaderDeadline)
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
}

void server_connections::closeRefused() {
  for (bufferevent *Stream : std::exchange(Refused, {}))
    if (Connections.count(Stream) && !isClosed(Stream))
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
  if (Clock.steadyNow() - LastRelease >= ReleasePause)
    releaseClosed();
  else
    Release.startOnce(ReleasePause);
}

void server_connections::releaseClosed() {
  LastRelease = Clock.steadyNow();
  std::erase_if(Connections, [](const auto &Entry) {
    if (!isClosed(Entry.first))
      return false;
    bufferevent_decref(Entry.first);
    return true;
  });
}

} // namespace gentianlug::net::detail
