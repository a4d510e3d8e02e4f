#include "server_listener.h"

#include "gentianlug/net/net_errc.h"

#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <map>
#include <set>
#include <thread>

namespace gentianlug::standins {

/// Longer than the idle timeout of nodes, so that the node and not the server
/// closes an idle connection.
static constexpr int IdleTimeoutSeconds = 60;
static constexpr int MaxBodyBytes = 16 << 20;

static const char *methodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  default:
    return "GET";
  }
}

struct server_listener::impl {
  net::event_loop &Loop;
  handlers Handlers;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  std::uint32_t MaxConnections = UINT32_MAX;
  std::chrono::microseconds SetupTime{0};
  request_id NextId = 1;
  std::map<request_id, evhttp_request *> Requests;
  std::map<evhttp_connection *, std::set<request_id>> Connections;

  impl(net::event_loop &Loop, handlers H)
      : Loop(Loop), Handlers(std::move(H)) {}

  /// Registers a new connection; returns false if there are too many.
  bool admitConnection(evhttp_connection *Connection) {
    if (Connections.count(Connection))
      return true;
    if (Connections.size() >= MaxConnections)
      return false;
    Connections[Connection];
    evhttp_connection_set_closecb(Connection, &impl::onClose, this);
    // Connection setup blocks the whole server.
    if (SetupTime.count() > 0)
      std::this_thread::sleep_for(SetupTime);
    return true;
  }

  static void onClose(evhttp_connection *Connection, void *Argument) {
    auto *Self = static_cast<impl *>(Argument);
    auto Entry = Self->Connections.find(Connection);
    if (Entry == Self->Connections.end())
      return;
    std::set<request_id> Pending = std::move(Entry->second);
    Self->Connections.erase(Entry);
    for (request_id Id : Pending)
      Self->Handlers.ClientDisconnected(Id);
  }

  static void onRequest(evhttp_request *Raw, void *Argument) {
    auto *Self = static_cast<impl *>(Argument);
    evhttp_connection *Connection = evhttp_request_get_connection(Raw);
    if (!Self->admitConnection(Connection)) {
      evhttp_add_header(evhttp_request_get_output_headers(Raw), "Connection",
                        "close");
      evhttp_send_reply(Raw, 503, "too many connections", nullptr);
      return;
    }
    request_id Id = Self->NextId++;
    Self->Requests[Id] = Raw;
    Self->Connections[Connection].insert(Id);
    // libevent stops reading during a request; without reading, a disconnect
    // of the client would go unnoticed.
    bufferevent_enable(evhttp_connection_get_bufferevent(Connection), EV_READ);
    net::http_request Request;
    Request.Method = methodName(evhttp_request_get_command(Raw));
    Request.Target = evhttp_request_get_uri(Raw);
    for (evkeyval *Field = evhttp_request_get_input_headers(Raw)->tqh_first;
         Field; Field = Field->next.tqe_next)
      Request.Headers.add(Field->key, Field->value);
    evbuffer *Body = evhttp_request_get_input_buffer(Raw);
    Request.Body.resize(evbuffer_get_length(Body));
    evbuffer_remove(Body, Request.Body.data(), Request.Body.size());
    Self->Handlers.Request(Id, std::move(Request));
  }

  evhttp_request *takeRequest(request_id Id) {
    auto Entry = Requests.find(Id);
    if (Entry == Requests.end())
      return nullptr;
    evhttp_request *Raw = Entry->second;
    Requests.erase(Entry);
    evhttp_connection *Connection = evhttp_request_get_connection(Raw);
    auto Owner = Connections.find(Connection);
    if (Owner != Connections.end())
      Owner->second.erase(Id);
    return Raw;
  }

  static void writeHeaders(evhttp_request *Raw,
                           const net::http_response &Response) {
    for (const auto &[Name, Value] : Response.Headers.fields())
      evhttp_add_header(evhttp_request_get_output_headers(Raw), Name.c_str(),
                        Value.c_str());
  }

  void freeDeferred(evhttp_connection *Connection) {
    Loop.defer([this, Connection] {
      if (Connections.count(Connection))
        evhttp_connection_free(Connection);
    });
  }
};

server_listener::server_listener(net::event_loop &Loop, handlers Handlers)
    : Impl(std::make_unique<impl>(Loop, std::move(Handlers))) {
  Impl->Http = evhttp_new(Loop.base());
  evhttp_set_max_body_size(Impl->Http, MaxBodyBytes);
  evhttp_set_timeout(Impl->Http, IdleTimeoutSeconds);
  evhttp_set_allowed_methods(Impl->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                             EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                             EVHTTP_REQ_DELETE);
  evhttp_set_gencb(Impl->Http, &impl::onRequest, Impl.get());
}

server_listener::~server_listener() {
  for (auto &[Connection, Requests] : Impl->Connections)
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  evhttp_free(Impl->Http);
}

void server_listener::setConnectionLimits(std::uint32_t MaxConnections,
                                          std::chrono::microseconds SetupTime) {
  Impl->MaxConnections = MaxConnections;
  Impl->SetupTime = SetupTime;
}

result<void> server_listener::listen(const address &Address) {
  if (Impl->Socket)
    return {};
  Impl->Socket = evhttp_bind_socket_with_handle(
      Impl->Http, Address.Host.c_str(), Address.Port);
  if (!Impl->Socket)
    return makeError(net::net_errc::ListenFailed,
                     Address.str() + ": " + std::strerror(errno));
  return {};
}

void server_listener::stopListening() {
  if (Impl->Socket)
    evhttp_del_accept_socket(Impl->Http, std::exchange(Impl->Socket, nullptr));
}

void server_listener::dropConnections() {
  std::vector<evhttp_connection *> All;
  for (auto &[Connection, Requests] : Impl->Connections)
    All.push_back(Connection);
  for (evhttp_connection *Connection : All)
    Impl->freeDeferred(Connection);
}

void server_listener::reply(request_id Id, const net::http_response &Response) {
  evhttp_request *Raw = Impl->takeRequest(Id);
  if (!Raw)
    return;
  impl::writeHeaders(Raw, Response);
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Response.Body.data(), Response.Body.size());
  evhttp_send_reply(Raw, Response.Status, nullptr, Body);
  evbuffer_free(Body);
}

void server_listener::replyTruncated(request_id Id,
                                     const net::http_response &Response) {
  evhttp_request *Raw = Impl->takeRequest(Id);
  if (!Raw)
    return;
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  if (!Connection) {
    evhttp_request_free(Raw);
    return;
  }
  impl::writeHeaders(Raw, Response);
  evhttp_add_header(evhttp_request_get_output_headers(Raw), "Content-Length",
                    std::to_string(Response.Body.size()).c_str());
  evhttp_send_reply_start(Raw, Response.Status, nullptr);
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Response.Body.data(), Response.Body.size() / 2);
  evhttp_send_reply_chunk_with_cb(
      Raw, Body,
      [](evhttp_connection *Sent, void *Argument) {
        static_cast<impl *>(Argument)->freeDeferred(Sent);
      },
      Impl.get());
  evbuffer_free(Body);
}

void server_listener::abort(request_id Id) {
  evhttp_request *Raw = Impl->takeRequest(Id);
  if (!Raw)
    return;
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  // A connection that is being closed frees its requests itself.
  if (Connection && Impl->Connections.count(Connection))
    Impl->freeDeferred(Connection);
  else if (!Connection)
    evhttp_request_free(Raw);
}

std::size_t server_listener::connectionCount() const {
  return Impl->Connections.size();
}

} // namespace gentianlug::standins
