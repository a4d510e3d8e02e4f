#ifndef GENTIANLUG_STANDINS_SERVER_LISTENER_H
#define GENTIANLUG_STANDINS_SERVER_LISTENER_H

#include "gentianlug/core/address.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace gentianlug::standins {

/// HTTP listener that shows its connections, so that a stand-in can charge for
/// them, refuse them and notice clients that go away.
class server_listener {
public:
  using request_id = std::uint64_t;

  /// What the owner learns.
  struct handlers {
    std::function<void(request_id, net::http_request)> Request;
    /// The client of an unanswered request has closed its connection.
    std::function<void(request_id)> ClientGone;
  };

  server_listener(net::event_loop &Loop, handlers Handlers);
  ~server_listener();

  /// Sets the bound on open connections and the time that each new one keeps
  /// the server busy.
  void setConnectionCost(std::uint32_t Bound, std::chrono::microseconds Cost);

  /// Starts to listen. Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &Address);

  /// Refuses new connections until the next `listen`.
  void close();

  /// Closes all connections without answers.
  void dropConnections();

  void reply(request_id Id, const net::http_response &Response);

  /// Sends the headers of \p Response and half of its body, then closes.
  void replyCut(request_id Id, const net::http_response &Response);

  /// Closes the connection of a request without an answer.
  void abort(request_id Id);

  std::size_t connections() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_LISTENER_H
