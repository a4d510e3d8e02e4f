#ifndef GENTIANLUG_BENCH_LUA_HTTP_H
#define GENTIANLUG_BENCH_LUA_HTTP_H

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/http_client.h"

#include <optional>

namespace gentianlug::bench {

/// Synchronous HTTP client for scripts.
class blocking_http {
public:
  result<net::http_response> send(const address &Peer,
                                  const net::http_request &Request,
                                  std::chrono::milliseconds Timeout);

private:
  net::event_loop Loop;
  net::http_client Client{Loop};
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_LUA_HTTP_H
