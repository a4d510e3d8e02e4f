#include "gentianlug/net/http_client.h"

#include "detail/evhttp_convert.h"
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

/// Only an upper bound; the timer of each request ends it earlier.
constexpr int ConnectionTimeoutSeconds = 600;

/// evhttp keeps a chunk in memory until it is whole; a response with a larger
/// chunk stops here and ends by its timeout.
constexpr std::size_t MaxBufferedBytes = 256 << 10;

/// Period and time limit of the check of idle connections: a silent one is
/// found within 1.8 s.
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

static int socketOf(evhttp_connection *Connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

struct http_client::impl {
  /// One request under way.
  struct call {
    impl *Client;
    request_id Id;
    address Peer;
    connection Connection;
    /// Null after evhttp has finished the request.
    evhttp_request *Raw;
    response_receiver Receiver;
    std::unique_ptr<timer> Timer;
    net_errc Failure = net_errc::ConnectionLost;
    bool HasHead = false;
    /// Canceled or timed out; its callbacks have nobody to tell.
    bool Abandoned = false;
    bool IsPing = false;
    steady_time IdleSince{};
  };

  event_loop &Loop;
  http_client_limits Limits;
  system_clock Clock;
  request_id NextId = 1;
  std::uint64_t Bytes = 0;
  std::unordered_map<request_id, std::shared_ptr<call>> Calls;
  std::map<address, std::vector<idle_connection>> Idle;
  timer IdleTimer;

  impl(event_loop &Loop, http_client_limits L)
      : Loop(Loop), Limits(std::move(L)),
        IdleTimer(Loop, [this] { checkIdle(); }) {
    IdleTimer.startEvery(IdleCheckPeriod);
  }

  connection openConnection(const address &Peer) {
    evhttp_connection *Fresh = evhttp_connection_base_bufferevent_new(
        Loop.base(), nullptr, nullptr, Peer.Host.c_str(), Peer.Port);
    evhttp_connection_set_timeout(Fresh, ConnectionTimeoutSeconds);
    detail::countBytes(evhttp_connection_get_bufferevent(Fresh), Bytes);
    // A peer may refuse a body before it has read it all.
    evhttp_connection_set_flags(Fresh, EVHTTP_CON_READ_ON_WRITE_ERROR);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(Fresh), EV_READ,
                             0, MaxBufferedBytes);
    return connection(Fresh);
  }

  connection takeConnection(const address &Peer, connection_choice Choice) {
    auto Entry = Idle.find(Peer);
    if (Choice == connection_choice::New || Entry == Idle.end())
      return openConnection(Peer);
    connection Reused = std::move(Entry->second.back().Connection);
    Entry->second.pop_back();
    if (Entry->second.empty())
      Idle.erase(Entry);
    return Reused;
  }

  void keepConnection(const address &Peer, idle_connection Connection) {
    auto &List = Idle[Peer];
    if (List.size() < Limits.MaxIdlePerPeer)
      List.push_back(std::move(Connection));
    else
      discard(std::move(Connection.Connection));
  }

  /// A connection cannot be freed inside a callback of its own request.
  void discard(connection Connection) {
    Loop.defer(
        [Kept = std::shared_ptr<evhttp_connection>(std::move(Connection))] {});
  }

  void checkIdle() {
    steady_time Now = Clock.steadyNow();
    auto Before = std::exchange(Idle, {});
    for (auto &[Peer, List] : Before)
      for (idle_connection &Connection : List)
        checkIdle(Peer, std::move(Connection), Now);
  }

  void checkIdle(const address &Peer, idle_connection Connection,
                 steady_time Now) {
    bool Closed = socketOf(Connection.Connection.get()) < 0;
    if (Closed || Now - Connection.Since >= Limits.MaxIdleTime)
      return;
    if (Limits.PingTarget.empty())
      return keepConnection(Peer, std::move(Connection));
    auto Call = std::make_shared<call>();
    Call->IsPing = true;
    Call->IdleSince = Connection.Since;
    Call->Connection = std::move(Connection.Connection);
    Call->Receiver.Head = [](const http_response &) {};
    Call->Receiver.Part = [](std::string_view) {};
    Call->Receiver.End = [Peer](const result<void> &End) {
      if (!End)
        observe::logEvent(observe::event::IdleConnectionLost,
                          End.failure().message());
    };
    http_request Ping;
    Ping.Target = Limits.PingTarget;
    start(std::move(Call), Peer, Ping, PingTimeout);
  }

  std::shared_ptr<call> take(request_id Id) {
    auto Entry = Calls.find(Id);
    if (Entry == Calls.end())
      return nullptr;
    std::shared_ptr<call> Call = std::move(Entry->second);
    Calls.erase(Entry);
    // Its timer and connection may be running the caller of this function.
    Loop.defer([Call] {});
    return Call;
  }

  request_id start(std::shared_ptr<call> Call, const address &Peer,
                   const http_request &Request, milliseconds Timeout) {
    request_id Id = NextId++;
    Call->Client = this;
    Call->Id = Id;
    Call->Peer = Peer;
    Call->Raw = newRequest(*Call, Request);
    Call->Timer = std::make_unique<timer>(Loop, [this, Id] { expire(Id); });
    Call->Timer->startOnce(Timeout);
    Calls.emplace(Id, Call);
    evhttp_connection *Connection = Call->Connection.get();
    int SocketBefore = socketOf(Connection);
    auto Method = detail::methodByName(Request.Method);
    if (evhttp_make_request(Connection, Call->Raw,
                            Method.value_or(EVHTTP_REQ_GET),
                            Request.Target.c_str()) != 0)
      failStart(*Call);
    else if (int Socket = socketOf(Connection); Socket != SocketBefore)
      sendAtOnce(Socket);
    else
      detail::flushNow(evhttp_connection_get_bufferevent(Connection));
    return Id;
  }

  /// A request must not wait until an earlier one is acknowledged.
  static void sendAtOnce(int Socket) {
    int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }

  evhttp_request *newRequest(call &Call, const http_request &Request) {
    evhttp_request *Raw = evhttp_request_new(&impl::onDone, &Call);
    evhttp_request_set_header_cb(Raw, &impl::onHead);
    evhttp_request_set_chunked_cb(Raw, &impl::onPart);
    evhttp_request_set_error_cb(Raw, &impl::onError);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
    detail::writeHeaders(Headers, Request.Headers);
    if (!Request.Headers.find("Host"))
      evhttp_add_header(Headers, "Host", Call.Peer.str().c_str());
    // evhttp announces a length only with some methods.
    if (!Request.Body.empty() && !Request.Headers.find("Content-Length"))
      evhttp_add_header(Headers, "Content-Length",
                        std::to_string(Request.Body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Raw), Request.Body.data(),
                 Request.Body.size());
    return Raw;
  }

  /// evhttp has refused the request and freed it.
  void failStart(call &Call) {
    Call.Raw = nullptr;
    Loop.defer([Alive = Calls.at(Call.Id)] {
      if (Alive->Client->Calls.count(Alive->Id))
        Alive->Client->fail(Alive->Client->take(Alive->Id),
                            net_errc::ConnectFailed);
    });
  }

  static int onHead(evhttp_request *Answer, void *Argument) {
    auto *Call = static_cast<call *>(Argument);
    int Status = evhttp_request_get_response_code(Answer);
    bool Interim = Status >= 100 && Status < 200;
    if (Interim || Call->HasHead || Call->Abandoned)
      return 0;
    http_response Head;
    Head.Status = Status;
    Head.Headers =
        detail::readHeaders(evhttp_request_get_input_headers(Answer));
    if (!hasKnownEnd(Answer, Head)) {
      Call->Failure = net_errc::AnswerWithoutLength;
      return -1;
    }
    Call->HasHead = true;
    Call->Receiver.Head(Head);
    return 0;
  }

  static bool hasKnownEnd(evhttp_request *Answer, const http_response &Head) {
    bool NoBody = Head.Status == 204 || Head.Status == 304 ||
                  evhttp_request_get_command(Answer) == EVHTTP_REQ_HEAD;
    return NoBody || Head.Headers.find("Content-Length") ||
           Head.Headers.find("Transfer-Encoding");
  }

  static void onPart(evhttp_request *Answer, void *Argument) {
    auto *Call = static_cast<call *>(Argument);
    if (Call->Abandoned)
      return;
    evbuffer *Input = evhttp_request_get_input_buffer(Answer);
    std::size_t Size = evbuffer_get_length(Input);
    auto *Bytes = reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
    Call->Receiver.Part({Bytes, Size});
  }

  static void onDone(evhttp_request *Answer, void *Argument) {
    auto *Call = static_cast<call *>(Argument);
    Call->Raw = nullptr;
    // The client may have gone before an abandoned call.
    if (!Call->Abandoned)
      Call->Client->finish(Call->Id, Answer);
  }

  static void onError(evhttp_request_error Error, void *Argument) {
    auto *Call = static_cast<call *>(Argument);
    if (Error == EVREQ_HTTP_DATA_TOO_LONG)
      Call->Failure = net_errc::AnswerTooLarge;
  }

  void finish(request_id Id, evhttp_request *Answer) {
    std::shared_ptr<call> Call = take(Id);
    if (!Call)
      return;
    // The library reports a failed connect as a request without a status.
    if (!Answer || !Call->HasHead)
      return fail(Call, Answer ? net_errc::ConnectFailed : Call->Failure);
    steady_time Since = Call->IsPing ? Call->IdleSince : Clock.steadyNow();
    keepConnection(Call->Peer, {std::move(Call->Connection), Since});
    Call->Receiver.End({});
  }

  void fail(const std::shared_ptr<call> &Call, net_errc Failure) {
    if (Call->Connection)
      discard(std::move(Call->Connection));
    Call->Receiver.End(makeError(Failure, Call->Peer.str()));
  }

  void expire(request_id Id) {
    std::shared_ptr<call> Call = take(Id);
    if (!Call)
      return;
    abandon(Call);
    fail(Call, net_errc::Timeout);
  }

  /// evhttp cannot free a request inside its own callback, so that happens in
  /// the next round of the loop.
  void abandon(const std::shared_ptr<call> &Call) {
    bufferevent_disable(
        evhttp_connection_get_bufferevent(Call->Connection.get()), EV_READ);
    Call->Abandoned = true;
    Loop.defer([Call, Connection = std::make_shared<connection>(
                          std::move(Call->Connection))] {
      if (Call->Raw)
        evhttp_cancel_request(Call->Raw);
    });
  }

  void withStream(request_id Id, void (*Action)(bufferevent *)) {
    auto Entry = Calls.find(Id);
    if (Entry != Calls.end())
      Action(
          evhttp_connection_get_bufferevent(Entry->second->Connection.get()));
  }
};

http_client::http_client(event_loop &Loop, http_client_limits Limits)
    : Impl(new impl(Loop, std::move(Limits))) {}

http_client::~http_client() {
  for (auto &[Id, Call] : Impl->Calls)
    if (Call->Raw)
      evhttp_cancel_request(Call->Raw);
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
  response_receiver Receiver;
  Receiver.Head = [Collected](const http_response &Head) {
    Collected->Response = Head;
  };
  Receiver.Part = [Collected, Client = Impl.get()](std::string_view Part) {
    std::string &Body = Collected->Response.Body;
    if (Body.size() + Part.size() <= Client->Limits.MaxBodyBytes) {
      Body += Part;
      return;
    }
    if (auto Call = Client->take(Collected->Id)) {
      Client->abandon(Call);
      Client->fail(Call, net_errc::AnswerTooLarge);
    }
  };
  Receiver.End = [Collected](result<void> End) {
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
                                            response_receiver Receiver,
                                            connection_choice Choice) {
  auto Call = std::make_shared<impl::call>();
  Call->Connection = Impl->takeConnection(Peer, Choice);
  Call->Receiver = std::move(Receiver);
  return Impl->start(std::move(Call), Peer, Request, Timeout);
}

void http_client::pause(request_id Id) {
  Impl->withStream(
      Id, [](bufferevent *Stream) { bufferevent_disable(Stream, EV_READ); });
}

void http_client::resume(request_id Id) {
  Impl->withStream(
      Id, [](bufferevent *Stream) { bufferevent_enable(Stream, EV_READ); });
}

void http_client::cancel(request_id Id) {
  if (auto Call = Impl->take(Id))
    Impl->abandon(Call);
}

bool http_client::reusesConnection(const address &Peer) const {
  auto Entry = Impl->Idle.find(Peer);
  return Entry != Impl->Idle.end() &&
         socketOf(Entry->second.back().Connection.get()) >= 0;
}

void http_client::closeIdle(const address &Peer) {
  auto Entry = Impl->Idle.find(Peer);
  if (Entry == Impl->Idle.end())
    return;
  for (idle_connection &Connection : Entry->second)
    Impl->discard(std::move(Connection.Connection));
  Impl->Idle.erase(Entry);
}

std::uint64_t http_client::bytes() const { return Impl->Bytes; }

} // namespace gentianlug::net
