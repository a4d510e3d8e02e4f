#include "gentianlug/net/http_server.h"

#include "detail/evhttp_convert.h"
#include "detail/server_connections.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <strings.h>
#include <unordered_set>

namespace gentianlug::net {

/// Largest chunk of a streamed response. A receiver may have to buffer a
/// complete chunk before it can pass it on.
static constexpr std::size_t MaxChunkBytes = 16 << 10;

/// State of a request, shared by all copies of its exchange.
struct http_exchange::impl {
  /// Null once the response is complete, the client has disconnected, or the
  /// server is destroyed.
  evhttp_request *EvRequest = nullptr;
  std::unordered_set<impl *> *OpenExchanges = nullptr;
  detail::server_connections *Connections = nullptr;
  detail::server_connection *Connection = nullptr;
  http_request Request;
  bool Started = false;
  /// Content-Length of a streamed response, if it has one.
  std::optional<std::uint64_t> ContentLength;
  std::uint64_t BodyBytesSent = 0;
  std::function<void()> OnDrained;
  std::function<void()> OnDisconnect;

  ~impl() {
    if (EvRequest && Started)
      abort();
    else if (EvRequest)
      reply(errorResponse(500, "request was dropped"));
  }

  evhttp_request *detach() {
    if (OpenExchanges)
      OpenExchanges->erase(this);
    OnDrained = nullptr;
    OnDisconnect = nullptr;
    return std::exchange(EvRequest, nullptr);
  }

  /// Detaches the request for the last part of its response.
  evhttp_request *detachCompleted() {
    evhttp_request *Completed = detach();
    if (Completed)
      Connections->endRequest(*Connection);
    return Completed;
  }

  /// Responses to HEAD and those with status 204 or 304 have no body.
  bool hasBody(int Status) const {
    return Request.Method != "HEAD" && Status != 204 && Status != 304;
  }

  void addResponseHeaders(evhttp_request *Destination,
                          const http_response &Head) {
    evkeyvalq *Headers = evhttp_request_get_output_headers(Destination);
    for (const auto &[Name, Value] : Head.Headers.fields())
      if (strcasecmp(Name.c_str(), "Transfer-Encoding") != 0)
        evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  }

  void reply(const http_response &Response) {
    if (Started)
      return abort();
    evhttp_request *Completed = detachCompleted();
    if (!Completed)
      return;
    addResponseHeaders(Completed, Response);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Completed);
    bool HasBody = hasBody(Response.Status);
    // Content-Length of a response to HEAD is the length of the omitted body.
    if (HasBody || (Request.Method == "HEAD" &&
                    !evhttp_find_header(Headers, "Content-Length"))) {
      evhttp_remove_header(Headers, "Content-Length");
      evhttp_add_header(Headers, "Content-Length",
                        std::to_string(Response.Body.size()).c_str());
    }
    evbuffer *Buffer = evbuffer_new();
    if (HasBody)
      evbuffer_add(Buffer, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Completed, Response.Status, nullptr, Buffer);
    evbuffer_free(Buffer);
    detail::flushOutput(Connection->Stream);
  }

  void start(const http_response &Head) {
    if (!EvRequest || Started)
      return;
    Started = true;
    addResponseHeaders(EvRequest, Head);
    if (const std::string *Length = Head.Headers.find("Content-Length");
        Length && hasBody(Head.Status))
      ContentLength = std::strtoull(Length->c_str(), nullptr, 10);
    evhttp_send_reply_start(EvRequest, Head.Status, nullptr);
  }

  std::size_t sendPart(std::string_view Part) {
    if (!EvRequest || !Started)
      return 0;
    if (ContentLength && Part.size() > *ContentLength - BodyBytesSent) {
      abort();
      return 0;
    }
    BodyBytesSent += Part.size();
    evbuffer *Chunk = evbuffer_new();
    for (; !Part.empty();
         Part.remove_prefix(std::min(Part.size(), MaxChunkBytes))) {
      evbuffer_add(Chunk, Part.data(), std::min(Part.size(), MaxChunkBytes));
      evhttp_send_reply_chunk_with_cb(EvRequest, Chunk, &onWritten, this);
    }
    evbuffer_free(Chunk);
    return evbuffer_get_length(bufferevent_get_output(Connection->Stream));
  }

  static void onWritten(evhttp_connection *, void *Argument) {
    auto *Exchange = static_cast<impl *>(Argument);
    // Copied, because the action may replace or clear `OnDrained`.
    if (auto Action = Exchange->OnDrained)
      Action();
  }

  void finish() {
    if (!EvRequest || !Started)
      return;
    if (ContentLength && BodyBytesSent != *ContentLength)
      return abort();
    evhttp_send_reply_end(detachCompleted());
  }

  void abort() {
    if (!detach())
      return;
    Connection->OnDisconnect = nullptr;
    detail::server_connections::reset(*Connection);
  }

  /// Handles the close of the connection. evhttp frees only a request that
  /// still belongs to a connection; any other must be freed here.
  void onConnectionClosed() {
    auto Action = std::move(OnDisconnect);
    evhttp_request *Request = detach();
    if (Request && !evhttp_request_get_connection(Request))
      evhttp_request_free(Request);
    if (Action)
      Action();
  }
};

http_exchange::http_exchange(std::shared_ptr<impl> Impl)
    : Impl(std::move(Impl)) {}

const http_request &http_exchange::request() const { return Impl->Request; }

void http_exchange::reply(const http_response &Response) const {
  Impl->reply(Response);
}

void http_exchange::start(const http_response &Head) const {
  Impl->start(Head);
}

std::size_t http_exchange::sendBodyPart(std::string_view Part) const {
  return Impl->sendPart(Part);
}

void http_exchange::onDrained(std::function<void()> Action) const {
  if (Impl->EvRequest)
    Impl->OnDrained = std::move(Action);
}

void http_exchange::finish() const { Impl->finish(); }

void http_exchange::onDisconnect(std::function<void()> Action) const {
  if (Impl->EvRequest)
    Impl->OnDisconnect = std::move(Action);
}

void http_exchange::abort() const { Impl->abort(); }

struct http_server::impl {
  // Declared first, because the streams of the connections refer to it.
  std::uint64_t TransferredBytes = 0;
  detail::server_connections Connections;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  handler Handler;
  std::unordered_set<http_exchange::impl *> OpenExchanges;

  impl(event_loop &Loop, http_server_limits Limits, handler Handler)
      : Connections(Loop, Limits), Http(evhttp_new(Loop.base())),
        Handler(std::move(Handler)) {}

  static bufferevent *onAccept(event_base *, void *Argument) {
    auto *Server = static_cast<impl *>(Argument);
    bufferevent *Stream = Server->Connections.accept();
    if (Stream)
      detail::countBytes(Stream, Server->TransferredBytes);
    return Stream;
  }

  static void onRequest(evhttp_request *Request, void *Argument) {
    auto *Server = static_cast<impl *>(Argument);
    auto Exchange = std::make_shared<http_exchange::impl>();
    Exchange->EvRequest = Request;
    Exchange->OpenExchanges = &Server->OpenExchanges;
    Exchange->Connections = &Server->Connections;
    Exchange->Connection = &Server->Connections.beginRequest(Request);
    Exchange->Connection->OnDisconnect = [Exchange = Exchange.get()] {
      // The action may destroy the last copy of the exchange.
      Exchange->onConnectionClosed();
    };
    Exchange->Request.Method =
        detail::methodName(evhttp_request_get_command(Request));
    Exchange->Request.Target = evhttp_request_get_uri(Request);
    Exchange->Request.Headers =
        detail::readHeaders(evhttp_request_get_input_headers(Request));
    Exchange->Request.Body =
        detail::takeBody(evhttp_request_get_input_buffer(Request));
    Server->OpenExchanges.insert(Exchange.get());
    Server->Handler(http_exchange(std::move(Exchange)));
  }
};

http_server::http_server(event_loop &Loop, http_server_limits Limits,
                         handler Handler)
    : Impl(std::make_unique<impl>(Loop, Limits, std::move(Handler))) {
  evhttp_set_bevcb(Impl->Http, &impl::onAccept, Impl.get());
  evhttp_set_max_headers_size(Impl->Http, ev_ssize_t(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Impl->Http, ev_ssize_t(Limits.MaxBodyBytes));
  evhttp_set_timeout(Impl->Http, int(Limits.IdleTimeout.count()));
  // Without this flag, a client that is still sending its body may not receive
  // status 413.
  evhttp_set_flags(Impl->Http, EVHTTP_SERVER_LINGERING_CLOSE);
  // Responses are forwarded unmodified.
  evhttp_set_default_content_type(Impl->Http, nullptr);
  evhttp_set_allowed_methods(
      Impl->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                      EVHTTP_REQ_PATCH);
  evhttp_set_gencb(Impl->Http, &impl::onRequest, Impl.get());
}

http_server::~http_server() {
  // evhttp frees its requests; exchanges that outlive the server must not
  // access them.
  for (http_exchange::impl *Exchange : Impl->OpenExchanges) {
    Exchange->Connection->OnDisconnect = nullptr;
    Exchange->EvRequest = nullptr;
    Exchange->OpenExchanges = nullptr;
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

std::uint64_t http_server::transferredBytes() const {
  return Impl->TransferredBytes;
}

void http_server::closeIdle() { Impl->Connections.closeIdle(); }

} // namespace gentianlug::net
