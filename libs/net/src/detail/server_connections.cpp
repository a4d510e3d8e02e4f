#include "detail/server_connections.h"

#include "gentianlug/net/event_loop.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace gentianlug::net::detail {

/// Period of the check for header timeouts and closed connections.
static constexpr std::chrono::milliseconds CheckPeriod{250};

/// Memory that evhttp takes for a header line besides its bytes.
static constexpr std::size_t HeaderLineBytes = 128;

/// Minimum time between two scans for closed connections.
static constexpr std::chrono::milliseconds MinReleaseInterval{10};

/// Returns whether evhttp has freed the connection, so that only our reference
/// keeps the stream alive.
static bool isClosed(bufferevent *Stream) {
  bufferevent_event_cb Event = nullptr;
  bufferevent_getcb(Stream, nullptr, nullptr, &Event, nullptr);
  return Event == nullptr;
}

static timeval idleTimeout(const http_server_limits &Limits) {
  return {Limits.IdleTimeout.count(), 0};
}

server_connections::server_connections(event_loop &Loop,
                                       http_server_limits Limits)
    : Loop(Loop), Limits(Limits),
      CheckTimer(Loop, [this] { checkConnections(); }),
      ReleaseTimer(Loop, [this] { closeRejected(); }) {
  CheckTimer.startEvery(CheckPeriod);
}

server_connections::~server_connections() {
  for (auto &[Stream, Connection] : Connections)
    bufferevent_decref(Stream);
}

bufferevent *server_connections::accept() {
  // The stream must close its own socket. If evhttp closed the socket of a
  // stream to which we hold a reference, the loop would keep events registered
  // for a closed file descriptor.
  bufferevent *Stream =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (!Stream)
    return nullptr;
  // Scanning all connections for each rejected one would let a flood of
  // connections block the loop.
  steady_time Now = Clock.steadyNow();
  bool MayRelease = Now - LastRelease >= MinReleaseInterval;
  if (Connections.size() >= Limits.MaxConnections && MayRelease)
    releaseClosed();
  bool Full = Connections.size() >= Limits.MaxConnections;
  bufferevent_incref(Stream);
  auto Entry = std::make_unique<tracked_connection>();
  Entry->Stream = Stream;
  Entry->Owner = this;
  evbuffer_add_cb(bufferevent_get_input(Stream), &onInput, Entry.get());
  Connections.emplace(Stream, std::move(Entry));
  // evhttp assigns the socket after this call, so the stream is shut down
  // later.
  if (Full) {
    RejectedStreams.push_back(Stream);
    ReleaseTimer.startOnce(std::chrono::microseconds(0));
  }
  return Stream;
}

server_connection &server_connections::beginRequest(evhttp_request *Request) {
  evhttp_connection *Http = evhttp_request_get_connection(Request);
  bufferevent *Stream = evhttp_connection_get_bufferevent(Http);
  tracked_connection &Connection = *Connections.at(Stream);
  forgetUnfinished(Connection);
  if (!Connection.Http) {
    Connection.Http = Http;
    evhttp_connection_set_closecb(Http, &onClose, &Connection);
    // With Nagle's algorithm, parts of a streamed response would be delayed
    // until earlier ones are acknowledged.
    int On = 1;
    setsockopt(bufferevent_getfd(Stream), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof On);
  }
  Connection.Phase = server_connection::phase::Handling;
  // The handler limits the time of handling. The client may be silent
  // meanwhile, so reads have no timeout.
  timeval Idle = idleTimeout(Limits);
  bufferevent_set_timeouts(Stream, nullptr, &Idle);
  bufferevent_setcb(Stream, nullptr, nullptr, &onStreamEvent, &Connection);
  bufferevent_enable(Stream, EV_READ);
  return Connection;
}

void server_connections::endRequest(server_connection &Connection) {
  Connection.OnDisconnect = nullptr;
  timeval Idle = idleTimeout(Limits);
  bufferevent_set_timeouts(Connection.Stream, &Idle, &Idle);
  Connection.Phase = server_connection::phase::Idle;
  Connection.AtLineStart = false;
  if (evbuffer_get_length(bufferevent_get_input(Connection.Stream)) > 0) {
    Connection.Phase = server_connection::phase::Headers;
    Connection.HeaderDeadline = Clock.steadyNow() + Limits.HeaderTimeout;
  }
}

void server_connections::reset(server_connection &Connection) {
  // Connecting to AF_UNSPEC disconnects the socket and sends an RST
  // immediately. evhttp would close it with a FIN, which completes a body
  // without a length.
  sockaddr Unspecified{};
  Unspecified.sa_family = AF_UNSPEC;
  (void)connect(bufferevent_getfd(Connection.Stream), &Unspecified,
                sizeof Unspecified);
  evhttp_connection_free(Connection.Http);
}

/// Returns whether the kernel has bytes that the loop has not read yet,
/// possibly a request that would be lost if the connection were closed.
static bool hasUnreadBytes(bufferevent *Stream) {
  int Count = 0;
  return ioctl(bufferevent_getfd(Stream), FIONREAD, &Count) == 0 && Count > 0;
}

void server_connections::closeIdle() {
  ClosingIdle = true;
  for (auto &[Stream, Connection] : Connections) {
    bool Sending = evbuffer_get_length(bufferevent_get_output(Stream)) > 0;
    if (Connection->Phase == server_connection::phase::Idle && !Sending &&
        !isClosed(Stream) && !hasUnreadBytes(Stream))
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
  }
}

void server_connections::onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                                 void *Argument) {
  auto &Connection = *static_cast<tracked_connection *>(Argument);
  if (Info->n_added == 0)
    return;
  if (Connection.Phase == server_connection::phase::Handling) {
    // Pipelined request: limits how much is buffered until the current request
    // is completed.
    if (evbuffer_get_length(Buffer) > Connection.Owner->Limits.MaxHeaderBytes)
      bufferevent_disable(Connection.Stream, EV_READ);
    return;
  }
  Connection.Owner->scanHeaders(Connection, Buffer, Info->n_added);
  Connection.Owner->countUnfinished(Connection, Info->n_added);
}

void server_connections::countUnfinished(tracked_connection &Connection,
                                         std::size_t Bytes) {
  Connection.LastInput = Clock.steadyNow();
  Connection.UnfinishedBytes += Bytes;
  UnfinishedBytes += Bytes;
  if (UnfinishedBytes > Limits.MaxUnfinishedBytes)
    closeSilentRequests();
}

void server_connections::forgetUnfinished(tracked_connection &Connection) {
  UnfinishedBytes -= std::exchange(Connection.UnfinishedBytes, 0);
}

void server_connections::closeSilentRequests() {
  while (UnfinishedBytes > Limits.MaxUnfinishedBytes) {
    auto Silent = std::max_element(
        Connections.begin(), Connections.end(),
        [](const auto &Left, const auto &Right) {
          // Connections without an unfinished request come last.
          bool LeftHolds = Left.second->UnfinishedBytes > 0;
          bool RightHolds = Right.second->UnfinishedBytes > 0;
          if (LeftHolds != RightHolds)
            return RightHolds;
          return Left.second->LastInput > Right.second->LastInput;
        });
    forgetUnfinished(*Silent->second);
    // evhttp frees the request when it reads the end of the stream.
    shutdown(bufferevent_getfd(Silent->first), SHUT_RDWR);
  }
}

void server_connections::scanHeaders(tracked_connection &Connection,
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
      if (Byte == '\n')
        countUnfinished(Connection, HeaderLineBytes);
      if (Byte != '\r')
        Connection.AtLineStart = Byte == '\n';
    }
}

void server_connections::onStreamEvent(bufferevent *Stream, short What,
                                       void *Argument) {
  (void)Stream;
  auto &Connection = *static_cast<tracked_connection *>(Argument);
  if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    evhttp_connection_free(Connection.Http);
}

void server_connections::onClose(evhttp_connection *Http, void *Argument) {
  (void)Http;
  auto &Connection = *static_cast<tracked_connection *>(Argument);
  // evhttp frees the connection only after this callback, so it is released
  // later.
  Connection.Owner->ReleaseTimer.startOnce(std::chrono::microseconds(0));
  if (Connection.OnDisconnect)
    std::exchange(Connection.OnDisconnect, nullptr)();
}

void server_connections::checkConnections() {
  releaseClosed();
  if (ClosingIdle)
    closeIdle();
  steady_time Now = Clock.steadyNow();
  for (auto &[Stream, Connection] : Connections)
    if (Connection->Phase == server_connection::phase::Headers &&
        Now >= Connection->HeaderDeadline)
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
}

void server_connections::closeRejected() {
  for (bufferevent *Stream : std::exchange(RejectedStreams, {}))
    if (Connections.count(Stream) && !isClosed(Stream))
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
  if (Clock.steadyNow() - LastRelease >= MinReleaseInterval)
    releaseClosed();
  else
    ReleaseTimer.startOnce(MinReleaseInterval);
}

void server_connections::releaseClosed() {
  LastRelease = Clock.steadyNow();
  std::erase_if(Connections, [this](const auto &Entry) {
    if (!isClosed(Entry.first))
      return false;
    forgetUnfinished(*Entry.second);
    bufferevent_decref(Entry.first);
    return true;
  });
}

} // namespace gentianlug::net::detail
