#ifndef GENTIANLUG_HTTP1_SERVER_H
#define GENTIANLUG_HTTP1_SERVER_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/result.h"
#include "gentianlug/http1/link_pacer.h"
#include "gentianlug/http1/message_reader.h"
#include "gentianlug/http1/socket_rules.h"
#include "gentianlug/net/event_loop.h"

#include <chrono>
#include <functional>
#include <memory>

namespace gentianlug::http1 {

/// What a server takes from its clients.
struct server_limits {
  message_limits Message;
  /// Time from the first byte of a head to its end.
  std::chrono::milliseconds HeadTimeout{5000};
  std::chrono::milliseconds IdleTimeout{30000};
  std::size_t MaxConnections = 2000;
  /// Requests of one connection that may be under way at a time; at the bound
  /// the connection is not read any further.
  std::size_t MaxPipelined = 64;
};

/// One request and its answer.
///
/// Requests of one connection run side by side; their answers leave in the
/// order of the requests.
class exchange {
public:
  virtual ~exchange() = default;

  virtual request &received() = 0;
  /// Address of the client.
  virtual address client() const = 0;
  /// Sends the answer. Only the first call counts. An answer to a client that
  /// has left is dropped.
  virtual void respond(response Answer) = 0;
  /// Closes the connection after the answers before this one; the request gets
  /// none.
  virtual void abandon() = 0;
  /// Runs \p Action if the client leaves before the answer is given.
  virtual void onClientGone(std::function<void()> Action) = 0;
};

/// Accepts connections at one address and reads requests from them.
class server {
public:
  using handler = std::function<void(std::shared_ptr<exchange>)>;
  /// Told of each request that is refused before it reaches the handler.
  using refusal_observer =
      std::function<void(const address &Client, int Status)>;

  server(net::event_loop &Loop, server_limits Limits, handler Handler);
  ~server();

  /// Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &At, const socket_rules &Rules);
  void setLimits(const server_limits &Limits);
  /// Sends the answers on connections that are accepted from now on through
  /// \p Pacer, which must outlive the server.
  void paceBy(link_pacer &Pacer);
  void observeRefusals(refusal_observer Observer);
  /// From now on each answer asks its client to close the connection.
  void startDraining();
  /// Closes connections on which no request is under way.
  void closeIdle();
  /// Accepts no more connections.
  void stopListening();
  std::size_t connections() const;
  /// Returns the bytes of answers that wait to be sent. Complexity: linear in
  /// the connections.
  std::size_t unsentBytes() const;
  /// Returns the requests that have no answer yet.
  std::size_t underWay() const;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_SERVER_H
