#include "lua_http.h"

namespace gentianlug::bench {

result<net::http_response>
blocking_http::send(const address &Peer, const net::http_request &Request,
                    std::chrono::milliseconds Timeout) {
  std::optional<result<net::http_response>> Response;
  Client.send(Peer, Request, Timeout, [&](result<net::http_response> Result) {
    Response = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return std::move(*Response);
}

} // namespace gentianlug::bench
