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

/// HTTP server with connection control: it bounds the number of connections,
/// simulates the cost of their setup and reports clients that disconnect.
class server_listener {
public:
  using request_id = std::uint64_t;

  /// Callbacks of the owner.
  struct handlers {
    std::function<void(request_id, net::http_request)> Request;
    /// Called when the client closes the connection of a pending request.
    std::function<void(request_id)> ClientDisconnected;
  };

  server_listener(net::event_loop &Loop, handlers Handlers);
  ~server_listener();

  /// Sets the maximum number of open connections and the time for which the
  /// setup of each blocks the server.
  void setConnectionLimits(std::uint32_t MaxConnections,
                           std::chrono::microseconds SetupTime);

  /// Starts to listen. Errors: `net_errc::ListenFailed`.
  result<void> listen(const address &Address);

  /// Stops accepting connections until the next call of `listen`.
  void stopListening();

  /// Closes all connections; pending requests get no response.
  void dropConnections();

  void reply(request_id Id, const net::http_response &Response);

  /// Sends the headers of \p Response and half of its body, then closes the
  /// connection.
  void replyTruncated(request_id Id, const net::http_response &Response);

  /// Closes the connection of a request without a response.
  void abort(request_id Id);

  std::size_t connectionCount() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_LISTENER_H
