#ifndef GENTIANLUG_NET_DETAIL_SERVER_CONNECTIONS_H
#define GENTIANLUG_NET_DETAIL_SERVER_CONNECTIONS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace gentianlug::net::detail {

/// An accepted connection.
struct server_connection {
  enum class phase { Idle, Headers, Body, Handling };

  /// Reference-counted; the socket stays open until the reference is released.
  bufferevent *Stream = nullptr;
  /// Null before the first request.
  evhttp_connection *Http = nullptr;
  phase Phase = phase::Idle;
  /// Whether the last header byte, ignoring CR, was LF.
  bool AtLineStart = false;
  steady_time HeaderDeadline{};
  /// Called if the connection closes while its request is being handled.
  std::function<void()> OnDisconnect;
};

/// The accepted connections of one server. Limits their number and the time
/// that a client may take to send the request headers.
///
/// evhttp neither limits the number of connections nor reports that a client
/// has disconnected while its request is being handled.
class server_connections {
public:
  server_connections(event_loop &Loop, http_server_limits Limits);
  ~server_connections();
  server_connections(const server_connections &) = delete;
  server_connections &operator=(const server_connections &) = delete;

  /// Creates the bufferevent for a connection that evhttp is accepting.
  bufferevent *accept();

  /// Marks the connection of \p Request as handling a request.
  server_connection &beginRequest(evhttp_request *Request);

  /// Marks the request of \p Connection as completed.
  void endRequest(server_connection &Connection);

  /// Resets the connection.
  static void reset(server_connection &Connection);

  /// Closes the idle connections, and later those that become idle.
  void closeIdle();

private:
  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Argument);
  static void onStreamEvent(bufferevent *Stream, short What, void *Argument);
  static void onClose(evhttp_connection *Http, void *Argument);
  struct tracked_connection;

  void scanHeaders(tracked_connection &Connection, evbuffer *Buffer,
                   std::size_t Added);
  /// Counts bytes of the unfinished request of \p Connection.
  void countUnfinished(tracked_connection &Connection, std::size_t Bytes);
  void forgetUnfinished(tracked_connection &Connection);
  void closeSilentRequests();
  void checkConnections();
  void closeRejected();
  void releaseClosed();

  event_loop &Loop;
  http_server_limits Limits;
  system_clock Clock;
  timer CheckTimer;
  timer ReleaseTimer;
  bool ClosingIdle = false;
  steady_time LastRelease{};
  /// Sum over all connections.
  std::size_t UnfinishedBytes = 0;
  /// Accepted beyond `MaxConnections`, about to be closed.
  std::vector<bufferevent *> RejectedStreams;
  struct tracked_connection : server_connection {
    server_connections *Owner = nullptr;
    /// Memory of the request that is being received.
    std::size_t UnfinishedBytes = 0;
    steady_time LastInput{};
  };
  std::unordered_map<bufferevent *, std::unique_ptr<tracked_connection>>
      Connections;
};

} // namespace gentianlug::net::detail

#endif // GENTIANLUG_NET_DETAIL_SERVER_CONNECTIONS_H
