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

/// Largest chunk of a streamed response. The reader of a chunk keeps it whole
/// in memory before it passes it on.
static constexpr std::size_t MaxChunkBytes = 16 << 10;

/// State of one request, shared by all copies of its exchange.
struct http_exchange::impl {
  /// Null once it is answered, or the client or the server has gone.
  evhttp_request *Raw = nullptr;
  std::unordered_set<impl *> *Pending = nullptr;
  detail::server_connections *Connections = nullptr;
  detail::server_connection *Connection = nullptr;
  http_request Request;
  bool Started = false;
  /// Content-Length of a streamed response, and the bytes sent of it.
  std::optional<std::uint64_t> Announced;
  std::uint64_t Sent = 0;
  std::function<void()> Drained;
  std::function<void()> Disconnected;

  ~impl() {
    if (Raw && Started)
      abort();
    else if (Raw)
      reply(errorResponse(500, "request was dropped"));
  }

  evhttp_request *take() {
    if (Pending)
      Pending->erase(this);
    Drained = nullptr;
    Disconnected = nullptr;
    return std::exchange(Raw, nullptr);
  }

  /// Takes the request for its last response bytes.
  evhttp_request *takeAnswered() {
    evhttp_request *Answered = take();
    if (Answered)
      Connections->answered(*Connection);
    return Answered;
  }

  /// Status 204 and 304 and answers to HEAD have no body.
  bool hasBody(int Status) const {
    return Request.Method != "HEAD" && Status != 204 && Status != 304;
  }

  void writeHead(evhttp_request *Answered, const http_response &Head) {
    evkeyvalq *Headers = evhttp_request_get_output_headers(Answered);
    for (const auto &[Name, Value] : Head.Headers.fields())
      if (strcasecmp(Name.c_str(), "Transfer-Encoding") != 0)
        evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  }

  void reply(const http_response &Response) {
    if (Started)
      return abort();
    evhttp_request *Answered = takeAnswered();
    if (!Answered)
      return;
    writeHead(Answered, Response);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Answered);
    bool WithBody = hasBody(Response.Status);
    // The announced length of an answer to HEAD is that of the body it lacks.
    if (WithBody || (Request.Method == "HEAD" &&
                     !evhttp_find_header(Headers, "Content-Length"))) {
      evhttp_remove_header(Headers, "Content-Length");
      evhttp_add_header(Headers, "Content-Length",
                        std::to_string(Response.Body.size()).c_str());
    }
    evbuffer *Buffer = evbuffer_new();
    if (WithBody)
      evbuffer_add(Buffer, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Answered, Response.Status, nullptr, Buffer);
    evbuffer_free(Buffer);
    detail::flushNow(Connection->Stream);
  }

  void start(const http_response &Head) {
    if (!Raw || Started)
      return;
    Started = true;
    writeHead(Raw, Head);
    if (const std::string *Length = Head.Headers.find("Content-Length");
        Length && hasBody(Head.Status))
      Announced = std::strtoull(Length->c_str(), nullptr, 10);
    evhttp_send_reply_start(Raw, Head.Status, nullptr);
  }

  std::size_t sendPart(std::string_view Part) {
    if (!Raw || !Started)
      return 0;
    if (Announced && Part.size() > *Announced - Sent) {
      abort();
      return 0;
    }
    Sent += Part.size();
    evbuffer *Chunk = evbuffer_new();
    for (; !Part.empty();
         Part.remove_prefix(std::min(Part.size(), MaxChunkBytes))) {
      evbuffer_add(Chunk, Part.data(), std::min(Part.size(), MaxChunkBytes));
      evhttp_send_reply_chunk_with_cb(Raw, Chunk, &onWritten, this);
    }
    evbuffer_free(Chunk);
    return evbuffer_get_length(bufferevent_get_output(Connection->Stream));
  }

  static void onWritten(evhttp_connection *, void *Argument) {
    auto *Exchange = static_cast<impl *>(Argument);
    // The action may replace or clear itself.
    if (auto Action = Exchange->Drained)
      Action();
  }

  void finish() {
    if (!Raw || !Started)
      return;
    if (Announced && Sent != *Announced)
      return abort();
    evhttp_send_reply_end(takeAnswered());
  }

  void abort() {
    if (!take())
      return;
    Connection->Gone = nullptr;
    detail::server_connections::reset(*Connection);
  }

  /// The connection has closed. evhttp frees a request that still belongs to
  /// its connection, and only such a request.
  void onGone() {
    auto Action = std::move(Disconnected);
    evhttp_request *Gone = take();
    if (Gone && !evhttp_request_get_connection(Gone))
      evhttp_request_free(Gone);
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

std::size_t http_exchange::sendPart(std::string_view Part) const {
  return Impl->sendPart(Part);
}

void http_exchange::onDrained(std::function<void()> Action) const {
  if (Impl->Raw)
    Impl->Drained = std::move(Action);
}

void http_exchange::finish() const { Impl->finish(); }

void http_exchange::onDisconnect(std::function<void()> Action) const {
  if (Impl->Raw)
    Impl->Disconnected = std::move(Action);
}

void http_exchange::abort() const { Impl->abort(); }

struct http_server::impl {
  // First, because the streams of the connections refer to it.
  std::uint64_t Bytes = 0;
  detail::server_connections Connections;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  handler Handler;
  std::unordered_set<http_exchange::impl *> Pending;

  impl(event_loop &Loop, http_server_limits Limits, handler Handler)
      : Connections(Loop, Limits), Http(evhttp_new(Loop.base())),
        Handler(std::move(Handler)) {}

  static bufferevent *onAccept(event_base *, void *Argument) {
    auto *Server = static_cast<impl *>(Argument);
    bufferevent *Stream = Server->Connections.accept();
    if (Stream)
      detail::countBytes(Stream, Server->Bytes);
    return Stream;
  }

  static void onRequest(evhttp_request *Raw, void *Argument) {
    auto *Server = static_cast<impl *>(Argument);
    auto Exchange = std::make_shared<http_exchange::impl>();
    Exchange->Raw = Raw;
    Exchange->Pending = &Server->Pending;
    Exchange->Connections = &Server->Connections;
    Exchange->Connection = &Server->Connections.requestArrived(Raw);
    Exchange->Connection->Gone = [Exchange = Exchange.get()] {
      // The last copy of the exchange may go in the action.
      Exchange->onGone();
    };
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
    : Impl(std::make_unique<impl>(Loop, Limits, std::move(Handler))) {
  evhttp_set_bevcb(Impl->Http, &impl::onAccept, Impl.get());
  evhttp_set_max_headers_size(Impl->Http, ev_ssize_t(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Impl->Http, ev_ssize_t(Limits.MaxBodyBytes));
  evhttp_set_timeout(Impl->Http, int(Limits.IdleTimeout.count()));
  // Without it a client that still sends its body can miss the status 413.
  evhttp_set_flags(Impl->Http, EVHTTP_SERVER_LINGERING_CLOSE);
  // Responses are passed on as they are.
  evhttp_set_default_content_type(Impl->Http, nullptr);
  evhttp_set_allowed_methods(
      Impl->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                      EVHTTP_REQ_PATCH);
  evhttp_set_gencb(Impl->Http, &impl::onRequest, Impl.get());
}

http_server::~http_server() {
  // evhttp frees its requests; exchanges that outlive it must not touch them.
  for (http_exchange::impl *Exchange : Impl->Pending) {
    Exchange->Connection->Gone = nullptr;
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

void http_server::closeIdle() { Impl->Connections.closeIdle(); }

} // namespace gentianlug::net
