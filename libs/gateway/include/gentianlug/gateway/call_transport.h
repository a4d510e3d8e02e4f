#ifndef GENTIANLUG_GATEWAY_CALL_TRANSPORT_H
#define GENTIANLUG_GATEWAY_CALL_TRANSPORT_H

#include "gentianlug/gateway/peer_call.h"
#include "gentianlug/mesh/model.h"

#include <functional>

namespace gentianlug::gateway {

/// Sends calls to the node beside their server.
class call_transport {
public:
  using ticket = std::uint64_t;
  using callback = std::function<void(serving_result)>;

  virtual ~call_transport() = default;

  /// Sends \p Request to the server of \p Target. \p Done is called once, in a
  /// later iteration of the event loop, unless the call is canceled.
  virtual ticket send(const mesh::server_record &Target, const peer_call &Call,
                      const http1::request &Request, callback Done) = 0;
  /// Cancels the call, also at the server.
  virtual void cancel(ticket Ticket) = 0;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_CALL_TRANSPORT_H
