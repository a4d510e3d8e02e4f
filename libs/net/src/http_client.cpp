#include "gentianlug/net/http_client.h"

#include "detail/evhttp_convert.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"

#include <map>
#include <unordered_map>

namespace gentianlug::net {

namespace {

/// Only an upper bound; the timer of each request ends it earlier.
constexpr int ConnectionTimeoutSeconds = 600;

struct connection_deleter {
  void operator()(evhttp_connection *Connection) const {
    evhttp_connection_free(Connection);
  }
};

using connection = std::unique_ptr<evhttp_connection, connection_deleter>;

} // namespace

struct http_client::impl {
  /// One request under way.
  struct call {
    impl *Client;
    request_id Id;
    address Peer;
    connection Connection;
    evhttp_request *Raw;
    callback Done;
    std::unique_ptr<timer> Timer;
    net_errc Failure = net_errc::ConnectionLost;
  };

  event_loop &Loop;
  http_client_limits Limits;
  request_id NextId = 1;
  std::unordered_map<request_id, std::unique_ptr<call>> Calls;
  std::map<address, std::vector<connection>> Idle;

  connection takeConnection(const address &Peer) {
    auto Entry = Idle.find(Peer);
    if (Entry != Idle.end() && !Entry->second.empty()) {
      connection Reused = std::move(Entry->second.back());
      Entry->second.pop_back();
      return Reused;
    }
    evhttp_connection *Fresh = evhttp_connection_base_bufferevent_new(
        Loop.base(), nullptr, nullptr, Peer.Host.c_str(), Peer.Port);
    evhttp_connection_set_timeout(Fresh, ConnectionTimeoutSeconds);
    evhttp_connection_set_max_body_size(Fresh, ev_ssize_t(Limits.MaxBodyBytes));
    return connection(Fresh);
  }

  void keepConnection(const address &Peer, connection Connection) {
    auto &List = Idle[Peer];
    if (List.size() < Limits.MaxIdlePerPeer)
      List.push_back(std::move(Connection));
    else
      discard(std::move(Connection));
  }

  /// A connection cannot be freed inside a callback of its own request.
  void discard(connection Connection) {
    Loop.defer(
        [Kept = std::shared_ptr<evhttp_connection>(std::move(Connection))] {});
  }

  std::unique_ptr<call> take(request_id Id) {
    auto Entry = Calls.find(Id);
    if (Entry == Calls.end())
      return nullptr;
    std::unique_ptr<call> Call = std::move(Entry->second);
    Calls.erase(Entry);
    return Call;
  }

  void finish(request_id Id, evhttp_request *Answer) {
    std::unique_ptr<call> Call = take(Id);
    if (!Call)
      return;
    int Status = Answer ? evhttp_request_get_response_code(Answer) : 0;
    // The library reports a failed connect as a request without a status.
    net_errc Failure = Answer ? net_errc::ConnectFailed : Call->Failure;
    if (Status == 0) {
      discard(std::move(Call->Connection));
      fail(std::move(Call), Failure);
      return;
    }
    http_response Response;
    Response.Status = Status;
    Response.Headers =
        detail::readHeaders(evhttp_request_get_input_headers(Answer));
    Response.Body = detail::takeBody(evhttp_request_get_input_buffer(Answer));
    keepConnection(Call->Peer, std::move(Call->Connection));
    callback Done = std::move(Call->Done);
    Loop.defer([Kept = std::shared_ptr<call>(std::move(Call))] {});
    Done(std::move(Response));
  }

  void fail(std::unique_ptr<call> Call, net_errc Failure) {
    callback Done = std::move(Call->Done);
    error Error = makeError(Failure, Call->Peer.str());
    // The timer may be running this very function.
    Loop.defer([Kept = std::shared_ptr<call>(std::move(Call))] {});
    Done(std::move(Error));
  }

  void expire(request_id Id) {
    std::unique_ptr<call> Call = take(Id);
    if (!Call)
      return;
    evhttp_cancel_request(Call->Raw);
    discard(std::move(Call->Connection));
    fail(std::move(Call), net_errc::Timeout);
  }

  static void onDone(evhttp_request *Answer, void *Argument) {
    auto *Call = static_cast<call *>(Argument);
    Call->Client->finish(Call->Id, Answer);
  }

  static void onError(evhttp_request_error Error, void *Argument) {
    if (Error == EVREQ_HTTP_DATA_TOO_LONG)
      static_cast<call *>(Argument)->Failure = net_errc::AnswerTooLarge;
  }
};

http_client::http_client(event_loop &Loop, http_client_limits Limits)
    : Impl(new impl{Loop, Limits, 1, {}, {}}) {}

http_client::~http_client() {
  for (auto &[Id, Call] : Impl->Calls)
    evhttp_cancel_request(Call->Raw);
}

http_client::request_id http_client::send(const address &Peer,
                                          const http_request &Request,
                                          std::chrono::milliseconds Timeout,
                                          callback Done) {
  request_id Id = Impl->NextId++;
  auto Call = std::make_unique<impl::call>();
  Call->Client = Impl.get();
  Call->Id = Id;
  Call->Peer = Peer;
  Call->Connection = Impl->takeConnection(Peer);
  Call->Done = std::move(Done);
  Call->Raw = evhttp_request_new(&impl::onDone, Call.get());
  evhttp_request_set_error_cb(Call->Raw, &impl::onError);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Call->Raw);
  detail::writeHeaders(Headers, Request.Headers);
  if (!Request.Headers.find("Host"))
    evhttp_add_header(Headers, "Host", Peer.str().c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Call->Raw), Request.Body.data(),
               Request.Body.size());
  Call->Timer = std::make_unique<timer>(
      Impl->Loop, [Client = Impl.get(), Id] { Client->expire(Id); });
  Call->Timer->startOnce(Timeout);
  evhttp_connection *Connection = Call->Connection.get();
  evhttp_request *Raw = Call->Raw;
  Impl->Calls.emplace(Id, std::move(Call));
  auto Method = detail::methodByName(Request.Method);
  if (evhttp_make_request(Connection, Raw, Method.value_or(EVHTTP_REQ_GET),
                          Request.Target.c_str()) != 0) {
    // The library has freed the request already.
    auto Failed = Impl->take(Id);
    if (Failed) {
      Impl->discard(std::move(Failed->Connection));
      Impl->Loop.defer([Client = Impl.get(),
                        Kept = std::shared_ptr<impl::call>(std::move(Failed))] {
        Kept->Done(makeError(net_errc::ConnectFailed, Kept->Peer.str()));
      });
    }
  }
  return Id;
}

void http_client::cancel(request_id Id) {
  auto Call = Impl->take(Id);
  if (!Call)
    return;
  evhttp_cancel_request(Call->Raw);
  Impl->discard(std::move(Call->Connection));
  Impl->Loop.defer([Kept = std::shared_ptr<impl::call>(std::move(Call))] {});
}

} // namespace gentianlug::net
