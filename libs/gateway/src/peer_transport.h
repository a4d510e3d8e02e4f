#ifndef GENTIANLUG_GATEWAY_PEER_TRANSPORT_H
#define GENTIANLUG_GATEWAY_PEER_TRANSPORT_H

#include "gentianlug/gateway/call_transport.h"
#include "gentianlug/gateway/task_context.h"
#include "gentianlug/http1/client_pool.h"

namespace gentianlug::gateway {

/// Sends calls to other nodes over HTTP.
class peer_transport final : public call_transport {
public:
  explicit peer_transport(const task_context &Context);

  ticket send(const mesh::server_record &Target, const peer_call &Call,
              const http1::request &Request, callback Done) override;
  void cancel(ticket Ticket) override;

private:
  http1::client_pool Pool;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_PEER_TRANSPORT_H
