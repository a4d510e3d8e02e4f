#include "serving_proxy.h"

#include "gentianlug/net/net_errc.h"
#include "gentianlug/node/call_headers.h"
#include "gentianlug/observe/log.h"

namespace gentianlug::node {

using observe::event;
using observe::logEvent;

/// Time that a call gets when its entry node names none.
static constexpr std::chrono::milliseconds DefaultDeadline{2000};

static void copyCallId(const net::http_exchange &Exchange,
                       net::http_response &Response) {
  if (const std::string *Id = Exchange.request().Headers.find(CallIdHeader))
    Response.Headers.set(CallIdHeader, *Id);
}

struct serving_proxy::impl {
  context Context;
  outputs Outputs;
  net::http_client Client;
  std::shared_ptr<const routing_snapshot> Snapshot;
  std::size_t InFlight = 0;
  bool Draining = false;

  impl(context C, outputs O)
      : Context(std::move(C)), Outputs(std::move(O)), Client(Context.Loop) {}

  void refuse(const net::http_exchange &Exchange, const std::string &Reason) {
    logEvent(event::CallRefused, Exchange.request().Target + ": " + Reason);
    Context.Metrics.count(
        "gentianlug_serving_calls_total{outcome=\"not-run\"}");
    net::http_response Response = net::errorResponse(503, Reason);
    Response.Headers.add(OutcomeHeader, OutcomeNotRun);
    copyCallId(Exchange, Response);
    Exchange.reply(Response);
  }

  void onRequest(const net::http_exchange &Exchange) {
    if (Draining)
      return refuse(Exchange, "node is stopping");
    if (!Snapshot || !Snapshot->Server)
      return refuse(Exchange, "no server has announced itself");
    ++InFlight;
    Client.send(Snapshot->Server->Address, Exchange.request(), DefaultDeadline,
                [this, Exchange](result<net::http_response> Answer) {
                  --InFlight;
                  finish(Exchange, std::move(Answer));
                  if (InFlight == 0)
                    Outputs.Idle();
                });
  }

  void finish(const net::http_exchange &Exchange,
              result<net::http_response> Answer) {
    if (!Answer &&
        Answer.failure().Code == make_error_code(net::net_errc::ConnectFailed))
      return refuse(Exchange, Answer.failure().message());
    if (!Answer) {
      logEvent(event::CallFailed, Answer.failure().message());
      net::http_response Response =
          net::errorResponse(504, Answer.failure().message());
      Response.Headers.add(OutcomeHeader, OutcomeUnknown);
      return Exchange.reply(Response);
    }
    Answer->Headers.erase("Connection");
    Answer->Headers.erase("Transfer-Encoding");
    Answer->Headers.set(OutcomeHeader, OutcomeAnswered);
    copyCallId(Exchange, *Answer);
    Exchange.reply(*Answer);
  }
};

serving_proxy::serving_proxy(context Context, outputs Outputs)
    : Impl(std::make_unique<impl>(std::move(Context), std::move(Outputs))) {}
serving_proxy::~serving_proxy() = default;

void serving_proxy::onSnapshot(
    std::shared_ptr<const routing_snapshot> Snapshot) {
  Impl->Snapshot = std::move(Snapshot);
}

void serving_proxy::onVersionCut(const version_cut &) {}

void serving_proxy::onRequest(const net::http_exchange &Exchange) {
  Impl->onRequest(Exchange);
}

void serving_proxy::drain() { Impl->Draining = true; }

std::size_t serving_proxy::callsInFlight() const { return Impl->InFlight; }

} // namespace gentianlug::node
