#include "gentianlug/net/http_client.h"

#include "detail/evhttp_convert.h"
#include "detail/response_check.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/observe/log.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>

namespace gentianlug::net {

using std::chrono::milliseconds;

namespace {

/// Upper limit for evhttp; the timer of each request expires earlier.
constexpr int ConnectionTimeoutSeconds = 600;

/// evhttp buffers a chunk until it is complete. Reading stops at this size, so
/// a response with a larger chunk ends with a timeout.
constexpr std::size_t MaxBufferedBytes = 256 << 10;

/// Period and timeout of the health check of idle connections: an unresponsive
/// one is detected within 1.8 s.
constexpr milliseconds IdleCheckPeriod{1000};
constexpr milliseconds PingTimeout{800};

struct connection_deleter {
  void operator()(evhttp_connection *Connection) const {
    evhttp_connection_free(Connection);
  }
};

using connection = std::unique_ptr<evhttp_connection, connection_deleter>;

struct idle_connection {
  connection Connection;
  steady_time Since;
};

} // namespace

static int socketFd(evhttp_connection *Connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

struct http_client::impl {
  /// A request in progress.
  struct pending_request {
    impl *Client;
    request_id Id;
    address Peer;
    connection Connection;
    /// Null once evhttp has completed the request.
    evhttp_request *EvRequest;
    response_callbacks Receiver;
    std::unique_ptr<timer> Timer;
    net_errc Failure = net_errc::ConnectionLost;
    bool HeadersReceived = false;
    /// Canceled or timed out: callbacks of evhttp are ignored.
    bool Abandoned = false;
    bool IsPing = false;
    steady_time IdleSince{};
  };

  event_loop &Loop;
  http_client_limits Limits;
  system_clock Clock;
  request_id NextId = 1;
  std::uint64_t TransferredBytes = 0;
  std::unordered_map<request_id, std::shared_ptr<pending_request>>
      PendingRequests;
  std::map<address, std::vector<idle_connection>> IdleConnections;
  timer IdleCheckTimer;

  impl(event_loop &Loop, http_client_limits L)
      : Loop(Loop), Limits(std::move(L)),
        IdleCheckTimer(Loop, [this] { checkIdle(); }) {
    IdleCheckTimer.startEvery(IdleCheckPeriod);
  }

  connection openConnection(const address &Peer) {
    evhttp_connection *Connection = evhttp_connection_base_bufferevent_new(
        Loop.base(), nullptr, nullptr, Peer.Host.c_str(), Peer.Port);
    evhttp_connection_set_timeout(Connection, ConnectionTimeoutSeconds);
    detail::countBytes(evhttp_connection_get_bufferevent(Connection),
                       TransferredBytes);
    // A peer may respond with an error before it has read the complete body.
    evhttp_connection_set_flags(Connection, EVHTTP_CON_READ_ON_WRITE_ERROR);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(Connection),
                             EV_READ, 0, MaxBufferedBytes);
    return connection(Connection);
  }

  connection acquireConnection(const address &Peer, connection_choice Choice) {
    auto Entry = IdleConnections.find(Peer);
    if (Choice == connection_choice::New || Entry == IdleConnections.end())
      return openConnection(Peer);
    connection Reused = std::move(Entry->second.back().Connection);
    Entry->second.pop_back();
    if (Entry->second.empty())
      IdleConnections.erase(Entry);
    return Reused;
  }

  void addIdleConnection(const address &Peer, idle_connection Connection) {
    auto &List = IdleConnections[Peer];
    if (List.size() < Limits.MaxIdlePerPeer)
      List.push_back(std::move(Connection));
    else
      freeLater(std::move(Connection.Connection));
  }

  /// Frees \p Connection in the next loop iteration, because a connection
  /// cannot be freed inside a callback of its own request.
  void freeLater(connection Connection) {
    Loop.defer(
        [Freed = std::shared_ptr<evhttp_connection>(std::move(Connection))] {});
  }

  void checkIdle() {
    steady_time Now = Clock.steadyNow();
    auto Connections = std::exchange(IdleConnections, {});
    for (auto &[Peer, List] : Connections)
      for (idle_connection &Connection : List)
        checkIdle(Peer, std::move(Connection), Now);
  }

  void checkIdle(const address &Peer, idle_connection Connection,
                 steady_time Now) {
    bool Closed = socketFd(Connection.Connection.get()) < 0;
    if (Closed || Now - Connection.Since >= Limits.MaxIdleTime)
      return;
    if (Limits.PingTarget.empty())
      return addIdleConnection(Peer, std::move(Connection));
    auto Pending = std::make_shared<pending_request>();
    Pending->IsPing = true;
    Pending->IdleSince = Connection.Since;
    Pending->Connection = std::move(Connection.Connection);
    Pending->Receiver.OnHeaders = [](const http_response &) {};
    Pending->Receiver.OnBodyPart = [](std::string_view) {};
    Pending->Receiver.OnComplete = [Peer](const result<void> &End) {
      if (!End)
        observe::logEvent(observe::event::IdleConnectionLost,
                          End.failure().message());
    };
    http_request Ping;
    Ping.Target = Limits.PingTarget;
    start(std::move(Pending), Peer, Ping, PingTimeout);
  }

  std::shared_ptr<pending_request> takePending(request_id Id) {
    auto Entry = PendingRequests.find(Id);
    if (Entry == PendingRequests.end())
      return nullptr;
    std::shared_ptr<pending_request> Pending = std::move(Entry->second);
    PendingRequests.erase(Entry);
    // The caller may be running inside a callback of its timer or connection,
    // so these are freed later.
    Loop.defer([Pending] {});
    return Pending;
  }

  request_id start(std::shared_ptr<pending_request> Pending,
                   const address &Peer, const http_request &Request,
                   milliseconds Timeout) {
    request_id Id = NextId++;
    Pending->Client = this;
    Pending->Id = Id;
    Pending->Peer = Peer;
    Pending->EvRequest = newRequest(*Pending, Request);
    Pending->Timer =
        std::make_unique<timer>(Loop, [this, Id] { onTimeout(Id); });
    Pending->Timer->startOnce(Timeout);
    PendingRequests.emplace(Id, Pending);
    evhttp_connection *Connection = Pending->Connection.get();
    int SocketBefore = socketFd(Connection);
    auto Method = detail::methodByName(Request.Method);
    if (evhttp_make_request(Connection, Pending->EvRequest,
                            Method.value_or(EVHTTP_REQ_GET),
                            Request.Target.c_str()) != 0)
      failLater(*Pending);
    else if (int Socket = socketFd(Connection); Socket != SocketBefore)
      disableNagle(Socket);
    else
      detail::flushOutput(evhttp_connection_get_bufferevent(Connection));
    return Id;
  }

  /// Disables Nagle's algorithm, which would delay a request until the data
  /// sent before it is acknowledged.
  static void disableNagle(int Socket) {
    int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }

  evhttp_request *newRequest(pending_request &Pending,
                             const http_request &Request) {
    evhttp_request *EvRequest = evhttp_request_new(&impl::onDone, &Pending);
    evhttp_request_set_header_cb(EvRequest, &impl::onHeaders);
    evhttp_request_set_chunked_cb(EvRequest, &impl::onBodyPart);
    evhttp_request_set_error_cb(EvRequest, &impl::onError);
    evkeyvalq *Headers = evhttp_request_get_output_headers(EvRequest);
    detail::writeHeaders(Headers, Request.Headers);
    if (!Request.Headers.find("Host"))
      evhttp_add_header(Headers, "Host", Pending.Peer.str().c_str());
    // evhttp sets Content-Length only for some methods.
    if (!Request.Body.empty() && !Request.Headers.find("Content-Length"))
      evhttp_add_header(Headers, "Content-Length",
                        std::to_string(Request.Body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(EvRequest),
                 Request.Body.data(), Request.Body.size());
    return EvRequest;
  }

  /// Reports `ConnectFailed` in the next loop iteration, after evhttp has
  /// rejected the request and freed it.
  void failLater(pending_request &Pending) {
    Pending.EvRequest = nullptr;
    Loop.defer([Failed = PendingRequests.at(Pending.Id)] {
      if (Failed->Client->PendingRequests.count(Failed->Id))
        Failed->Client->fail(Failed->Client->takePending(Failed->Id),
                             net_errc::ConnectFailed);
    });
  }

  static int onHeaders(evhttp_request *Response, void *Argument) {
    auto *Pending = static_cast<pending_request *>(Argument);
    constexpr int Continue = 100;
    int Status = evhttp_request_get_response_code(Response);
    if (Status == Continue || Pending->HeadersReceived || Pending->Abandoned)
      return 0;
    http_response Head;
    Head.Status = Status;
    Head.Headers =
        detail::readHeaders(evhttp_request_get_input_headers(Response));
    if (auto Fault =
            detail::findResponseFault(Head, mayHaveBody(Response, Status))) {
      Pending->Failure = *Fault;
      return -1;
    }
    Pending->HeadersReceived = true;
    Pending->Receiver.OnHeaders(Head);
    return 0;
  }

  static bool mayHaveBody(evhttp_request *Response, int Status) {
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return Status != NoContent && Status != NotModified &&
           evhttp_request_get_command(Response) != EVHTTP_REQ_HEAD;
  }

  static void onBodyPart(evhttp_request *Response, void *Argument) {
    auto *Pending = static_cast<pending_request *>(Argument);
    if (Pending->Abandoned)
      return;
    evbuffer *Input = evhttp_request_get_input_buffer(Response);
    std::size_t Size = evbuffer_get_length(Input);
    auto *Bytes = reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
    Pending->Receiver.OnBodyPart({Bytes, Size});
  }

  static void onDone(evhttp_request *Response, void *Argument) {
    auto *Pending = static_cast<pending_request *>(Argument);
    Pending->EvRequest = nullptr;
    // The client may have been destroyed before an abandoned request.
    if (!Pending->Abandoned)
      Pending->Client->finish(Pending->Id, Response);
  }

  static void onError(evhttp_request_error Error, void *Argument) {
    auto *Pending = static_cast<pending_request *>(Argument);
    if (Error == EVREQ_HTTP_DATA_TOO_LONG)
      Pending->Failure = net_errc::ResponseTooLarge;
  }

  void finish(request_id Id, evhttp_request *Response) {
    std::shared_ptr<pending_request> Pending = takePending(Id);
    if (!Pending)
      return;
    // evhttp reports a failed connect as a request without a status.
    if (!Response || !Pending->HeadersReceived)
      return fail(Pending,
                  Response ? net_errc::ConnectFailed : Pending->Failure);
    steady_time Since =
        Pending->IsPing ? Pending->IdleSince : Clock.steadyNow();
    addIdleConnection(Pending->Peer, {std::move(Pending->Connection), Since});
    Pending->Receiver.OnComplete({});
  }

  void fail(const std::shared_ptr<pending_request> &Pending, net_errc Failure) {
    if (Pending->Connection)
      freeLater(std::move(Pending->Connection));
    Pending->Receiver.OnComplete(makeError(Failure, Pending->Peer.str()));
  }

  void onTimeout(request_id Id) {
    std::shared_ptr<pending_request> Pending = takePending(Id);
    if (!Pending)
      return;
    abandon(Pending);
    fail(Pending, net_errc::Timeout);
  }

  /// Stops a request and frees it in the next loop iteration, because evhttp
  /// cannot free a request inside its own callback.
  void abandon(const std::shared_ptr<pending_request> &Pending) {
    bufferevent_disable(
        evhttp_connection_get_bufferevent(Pending->Connection.get()), EV_READ);
    Pending->Abandoned = true;
    Loop.defer([Pending, Connection = std::make_shared<connection>(
                             std::move(Pending->Connection))] {
      if (Pending->EvRequest)
        evhttp_cancel_request(Pending->EvRequest);
    });
  }

  void withBufferevent(request_id Id, void (*Action)(bufferevent *)) {
    auto Entry = PendingRequests.find(Id);
    if (Entry != PendingRequests.end())
      Action(
          evhttp_connection_get_bufferevent(Entry->second->Connection.get()));
  }
};

http_client::http_client(event_loop &Loop, http_client_limits Limits)
    : Impl(new impl(Loop, std::move(Limits))) {}

http_client::~http_client() {
  for (auto &[Id, Pending] : Impl->PendingRequests)
    if (Pending->EvRequest)
      evhttp_cancel_request(Pending->EvRequest);
}

http_client::request_id http_client::send(const address &Peer,
                                          const http_request &Request,
                                          milliseconds Timeout, callback Done,
                                          connection_choice Choice) {
  struct collector {
    http_response Response;
    callback Done;
    request_id Id = 0;
  };
  auto Collected = std::make_shared<collector>();
  Collected->Done = std::move(Done);
  response_callbacks Receiver;
  Receiver.OnHeaders = [Collected](const http_response &Head) {
    Collected->Response = Head;
  };
  Receiver.OnBodyPart = [Collected,
                         Client = Impl.get()](std::string_view Part) {
    std::string &Body = Collected->Response.Body;
    if (Body.size() + Part.size() <= Client->Limits.MaxBodyBytes) {
      Body += Part;
      return;
    }
    if (auto Pending = Client->takePending(Collected->Id)) {
      Client->abandon(Pending);
      Client->fail(Pending, net_errc::ResponseTooLarge);
    }
  };
  Receiver.OnComplete = [Collected](result<void> End) {
    if (End)
      Collected->Done(std::move(Collected->Response));
    else
      Collected->Done(End.failure());
  };
  Collected->Id = stream(Peer, Request, Timeout, std::move(Receiver), Choice);
  return Collected->Id;
}

http_client::request_id http_client::stream(const address &Peer,
                                            const http_request &Request,
                                            milliseconds Timeout,
                                            response_callbacks Receiver,
                                            connection_choice Choice) {
  auto Pending = std::make_shared<impl::pending_request>();
  Pending->Connection = Impl->acquireConnection(Peer, Choice);
  Pending->Receiver = std::move(Receiver);
  return Impl->start(std::move(Pending), Peer, Request, Timeout);
}

void http_client::pause(request_id Id) {
  Impl->withBufferevent(
      Id, [](bufferevent *Stream) { bufferevent_disable(Stream, EV_READ); });
}

void http_client::resume(request_id Id) {
  Impl->withBufferevent(
      Id, [](bufferevent *Stream) { bufferevent_enable(Stream, EV_READ); });
}

void http_client::cancel(request_id Id) {
  if (auto Pending = Impl->takePending(Id))
    Impl->abandon(Pending);
}

bool http_client::hasIdleConnection(const address &Peer) const {
  auto Entry = Impl->IdleConnections.find(Peer);
  return Entry != Impl->IdleConnections.end() &&
         socketFd(Entry->second.back().Connection.get()) >= 0;
}

void http_client::closeIdle(const address &Peer) {
  auto Entry = Impl->IdleConnections.find(Peer);
  if (Entry == Impl->IdleConnections.end())
    return;
  for (idle_connection &Connection : Entry->second)
    Impl->freeLater(std::move(Connection.Connection));
  Impl->IdleConnections.erase(Entry);
}

std::uint64_t http_client::transferredBytes() const {
  return Impl->TransferredBytes;
}

} // namespace gentianlug::net
