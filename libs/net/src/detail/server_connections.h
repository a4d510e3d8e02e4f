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

/// One accepted connection of a listener.
struct server_connection {
  enum class phase { Idle, Headers, Body, Handled };

  /// Holds a reference, so that the socket stays open until it is released.
  bufferevent *Stream = nullptr;
  /// Null until the first request.
  evhttp_connection *Http = nullptr;
  phase Phase = phase::Idle;
  bool AtLineStart = false;
  steady_time HeaderDeadline{};
  /// Runs when the connection closes while its request is being handled.
  std::function<void()> Gone;
};

/// The accepted connections of one listener, with their number and the time
/// that their clients take for request headers.
///
/// evhttp neither bounds the number of connections nor tells when a client
/// goes away while its request is being handled.
class server_connections {
public:
  server_connections(event_loop &Loop, http_server_limits Limits);
  ~server_connections();
  server_connections(const server_connections &) = delete;
  server_connections &operator=(const server_connections &) = delete;

  /// Makes the stream of a connection that evhttp accepts.
  bufferevent *accept();

  /// Marks the connection of \p Raw as handling a request.
  server_connection &requestArrived(evhttp_request *Raw);

  /// Marks the request of \p Connection as answered.
  void answered(server_connection &Connection);

  /// Resets the connection.
  static void reset(server_connection &Connection);

  /// Closes idle connections now and those that become idle later.
  void closeIdle();

private:
  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Argument);
  static void onStreamEvent(bufferevent *Stream, short What, void *Argument);
  static void onClose(evhttp_connection *Http, void *Argument);
  void readHeaders(server_connection &Connection, evbuffer *Buffer,
                   std::size_t Added);
  void sweep();
  void closeRefused();
  void releaseClosed();

  event_loop &Loop;
  http_server_limits Limits;
  system_clock Clock;
  timer Sweep;
  timer Release;
  bool ClosingIdle = false;
  steady_time LastRelease{};
  /// Accepted beyond the bound, to be closed.
  std::vector<bufferevent *> Refused;
  struct entry : server_connection {
    server_connections *Owner = nullptr;
  };
  std::unordered_map<bufferevent *, std::unique_ptr<entry>> Connections;
};

} // namespace gentianlug::net::detail

#endif // GENTIANLUG_NET_DETAIL_SERVER_CONNECTIONS_H
