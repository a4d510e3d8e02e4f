#include "entry_proxy.h"

#include "gentianlug/net/net_errc.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"

namespace gentianlug::node {

using observe::event;
using observe::logEvent;

struct entry_proxy::impl {
  serving_proxy::context Context;
  outputs Outputs;
  net::http_client Client;
  std::shared_ptr<const routing_snapshot> Snapshot;
  std::size_t InFlight = 0;
  bool Draining = false;

  impl(serving_proxy::context C, outputs O)
      : Context(std::move(C)), Outputs(std::move(O)), Client(Context.Loop) {}

  void refuse(const net::http_exchange &Exchange, int Status,
              const std::string &Reason) {
    logEvent(event::CallRefused, Exchange.request().Target + ": " + Reason);
    Context.Metrics.count("gentianlug_calls_total{outcome=\"not-run\"}");
    net::http_response Response = net::errorResponse(Status, Reason);
    Response.Headers.add(OutcomeHeader, OutcomeNotRun);
    Exchange.reply(Response);
  }

  void onRequest(const net::http_exchange &Exchange) {
    if (Draining)
      return refuse(Exchange, 503, "node is stopping");
    if (!Snapshot || !Snapshot->Configuration)
      return refuse(Exchange, 503, "no configuration in force");
    const config::route *Route = config::matchRoute(
        Snapshot->Configuration->Configuration, Exchange.request().Target);
    if (!Route)
      return refuse(Exchange, 404, "no route for this path");
    for (const membership::member_record &Member : *Snapshot->Members)
      if (Member.Service == Route->Service &&
          Member.State == membership::member_state::Serving)
        return forward(Exchange, *Route, Member);
    refuse(Exchange, 503, "no server for " + Route->Service.str());
  }

  void forward(const net::http_exchange &Exchange, const config::route &Route,
               const membership::member_record &Member) {
    logEvent(event::CallRouted, Route.Name.str() + " to " + Member.Node.str());
    ++InFlight;
    steady_time Start = Context.Clock.steadyNow();
    Client.send(Member.PeerAddress, Exchange.request(), Route.Deadline,
                [this, Exchange, Start](result<net::http_response> Answer) {
                  --InFlight;
                  Context.Metrics.observe("gentianlug_call_seconds",
                                          Context.Clock.steadyNow() - Start);
                  finish(Exchange, std::move(Answer));
                  if (InFlight == 0)
                    Outputs.Idle();
                });
  }

  void finish(const net::http_exchange &Exchange,
              result<net::http_response> Answer) {
    if (!Answer &&
        Answer.failure().Code == make_error_code(net::net_errc::ConnectFailed))
      return refuse(Exchange, 503, Answer.failure().message());
    if (!Answer) {
      logEvent(event::CallFailed, Answer.failure().message());
      Context.Metrics.count("gentianlug_calls_total{outcome=\"unknown\"}");
      net::http_response Response =
          net::errorResponse(504, Answer.failure().message());
      Response.Headers.add(OutcomeHeader, OutcomeUnknown);
      return Exchange.reply(Response);
    }
    Context.Metrics.count("gentianlug_calls_total{outcome=\"answered\"}");
    Answer->Headers.erase("Connection");
    Answer->Headers.erase("Transfer-Encoding");
    Exchange.reply(*Answer);
  }
};

entry_proxy::entry_proxy(serving_proxy::context Context, outputs Outputs)
    : Impl(std::make_unique<impl>(std::move(Context), std::move(Outputs))) {}
entry_proxy::~entry_proxy() = default;

void entry_proxy::onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot) {
  Impl->Snapshot = std::move(Snapshot);
}

void entry_proxy::onRequest(const net::http_exchange &Exchange) {
  Impl->onRequest(Exchange);
}

void entry_proxy::drain() { Impl->Draining = true; }

std::size_t entry_proxy::callsInFlight() const { return Impl->InFlight; }

} // namespace gentianlug::node
