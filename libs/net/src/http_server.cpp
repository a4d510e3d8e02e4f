#include "gentianlug/net/http_server.h"

#include "detail/evhttp_convert.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"

#include <cerrno>
#include <cstring>
#include <unordered_set>

namespace gentianlug::net {

/// State of one request, shared by all copies of its exchange.
struct http_exchange::impl {
  /// Null once it is answered or the server has gone.
  evhttp_request *Raw = nullptr;
  std::unordered_set<impl *> *Pending = nullptr;
  http_request Request;

  ~impl() {
    if (Raw)
      reply(errorResponse(500, "request was dropped"));
  }

  evhttp_request *take() {
    if (Pending)
      Pending->erase(this);
    return std::exchange(Raw, nullptr);
  }

  void reply(const http_response &Response) {
    evhttp_request *Answered = take();
    if (!Answered)
      return;
    detail::writeHeaders(evhttp_request_get_output_headers(Answered),
                         Response.Headers);
    evbuffer *Buffer = evbuffer_new();
    evbuffer_add(Buffer, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Answered, Response.Status, nullptr, Buffer);
    evbuffer_free(Buffer);
  }

  void abort() {
    evhttp_request *Aborted = take();
    if (!Aborted)
      return;
    evhttp_connection *Connection = evhttp_request_get_connection(Aborted);
    if (Connection)
      evhttp_connection_free(Connection);
    else
      evhttp_request_free(Aborted);
  }
};

http_exchange::http_exchange(std::shared_ptr<impl> Impl)
    : Impl(std::move(Impl)) {}

const http_request &http_exchange::request() const { return Impl->Request; }

void http_exchange::reply(const http_response &Response) const {
  Impl->reply(Response);
}

void http_exchange::abort() const { Impl->abort(); }

struct http_server::impl {
  evhttp *Http = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  handler Handler;
  std::uint64_t Bytes = 0;
  std::unordered_set<http_exchange::impl *> Pending;

  /// Makes the stream of an accepted connection.
  static bufferevent *makeStream(event_base *Base, void *Argument) {
    bufferevent *Stream = bufferevent_socket_new(Base, -1, 0);
    if (Stream)
      detail::countBytes(Stream, static_cast<impl *>(Argument)->Bytes);
    return Stream;
  }

  static void onRequest(evhttp_request *Raw, void *Argument) {
    auto *Server = static_cast<impl *>(Argument);
    auto Exchange = std::make_shared<http_exchange::impl>();
    Exchange->Raw = Raw;
    Exchange->Pending = &Server->Pending;
    Exchange->Request.Method =
        detail::methodName(evhttp_request_get_command(Raw));
    Exchange->Request.Target = evhttp_request_get_uri(Raw);
    Exchange->Request.Headers =
        detail::readHeaders(evhttp_request_get_input_headers(Raw));
    Exchange->Request.Body =
        detail::takeBody(evhttp_request_get_input_buffer(Raw));
    Server->Pending.insert(Exchange.get());
    Server->Handler(http_exchange(std::move(Exchange)));
  }
};

http_server::http_server(event_loop &Loop, http_server_limits Limits,
                         handler Handler)
    : Impl(std::make_unique<impl>()) {
  Impl->Handler = std::move(Handler);
  Impl->Http = evhttp_new(Loop.base());
  evhttp_set_max_headers_size(Impl->Http, ev_ssize_t(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Impl->Http, ev_ssize_t(Limits.MaxBodyBytes));
  evhttp_set_timeout(Impl->Http, int(Limits.IdleTimeout.count()));
  evhttp_set_allowed_methods(
      Impl->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                      EVHTTP_REQ_PATCH);
  evhttp_set_bevcb(Impl->Http, &impl::makeStream, Impl.get());
  evhttp_set_gencb(Impl->Http, &impl::onRequest, Impl.get());
}

http_server::~http_server() {
  // evhttp frees its requests; exchanges that outlive it must not touch them.
  for (http_exchange::impl *Exchange : Impl->Pending) {
    Exchange->Raw = nullptr;
    Exchange->Pending = nullptr;
  }
  evhttp_free(Impl->Http);
}

result<void> http_server::listen(const address &Address) {
  Impl->Socket = evhttp_bind_socket_with_handle(
      Impl->Http, Address.Host.c_str(), Address.Port);
  if (!Impl->Socket)
    return makeError(net_errc::ListenFailed,
                     Address.str() + ": " + std::strerror(errno));
  return {};
}

void http_server::stopListening() {
  if (Impl->Socket)
    evhttp_del_accept_socket(Impl->Http, std::exchange(Impl->Socket, nullptr));
}

std::uint64_t http_server::bytes() const { return Impl->Bytes; }

} // namespace gentianlug::net
