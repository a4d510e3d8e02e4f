#include "platform_api.h"

#include "gentianlug/net/event_loop.h"
#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"
#include "gentianlug/wire/platform_messages.h"

#include <algorithm>
#include <cstdlib>

namespace gentianlug::standins {

using net::http_exchange;
using net::http_response;
using std::chrono::milliseconds;
using store::store_errc;

static constexpr milliseconds WatchCheckPeriod{50};
static constexpr milliseconds MaxWatchWait{30000};

static int toHttpStatus(const error &Failure) {
  if (Failure.Code == make_error_code(store_errc::NotFound))
    return 404;
  if (Failure.Code == make_error_code(store_errc::Conflict))
    return 409;
  if (Failure.Code == make_error_code(store_errc::TooOld))
    return 410;
  if (Failure.Code == make_error_code(store_errc::TooLarge))
    return 413;
  return 400;
}

static http_response toErrorResponse(const error &Failure) {
  return net::errorResponse(toHttpStatus(Failure), Failure.message());
}

static std::uint64_t queryNumber(const std::string &Target,
                                 const std::string &Name) {
  return std::strtoull(net::queryValue(Target, Name).c_str(), nullptr, 10);
}

platform_api::platform_api(net::event_loop &Loop, std::uint64_t Seed)
    : Loop(Loop),
      Server(Loop, {},
             [this](const http_exchange &Exchange) { onRequest(Exchange); }),
      WatchTimer(Loop, [this] { completeWatches(); }), Gen(Seed) {
  WatchTimer.startEvery(WatchCheckPeriod);
}

result<void> platform_api::listen(const address &Address) {
  return Server.listen(Address);
}

bool platform_api::admitCall() {
  steady_time Now = Clock.steadyNow();
  if (Now - WindowStart >= std::chrono::seconds(1)) {
    WindowStart = Now;
    CallsInWindow = 0;
  }
  ++CallsInWindow;
  Counters.PeakCallsPerSecond =
      std::max(Counters.PeakCallsPerSecond, CallsInWindow);
  return Faults.MaxCallsPerSecond == 0 ||
         CallsInWindow <= Faults.MaxCallsPerSecond;
}

void platform_api::onRequest(const http_exchange &Exchange) {
  std::string_view Path = net::pathOf(Exchange.request().Target);
  if (Path.starts_with("/admin/"))
    return onAdmin(Exchange);
  if (Faults.Down)
    return Exchange.abort();
  if (!admitCall()) {
    ++Counters.RateLimited;
    return Exchange.reply(net::errorResponse(429, "rate limit"));
  }
  if (Path == "/objects")
    return onObjects(Exchange);
  if (Path == "/list")
    return onList(Exchange);
  if (Path == "/watch")
    return onWatch(Exchange);
  Exchange.reply(net::errorResponse(404, "unknown path"));
}

void platform_api::respond(const http_exchange &Exchange,
                           http_response Response) {
  if (Faults.ResponseDelay.count() == 0)
    return Exchange.reply(Response);
  auto Timer = std::make_shared<net::timer>(Loop, [] {});
  *Timer = net::timer(
      Loop, [this, Timer, Exchange, Response = std::move(Response)]() mutable {
        Exchange.reply(Response);
        // The timer must not be destroyed inside its own callback.
        Loop.defer([Timer = std::exchange(Timer, nullptr)] {});
      });
  Timer->startOnce(Faults.ResponseDelay);
}

void platform_api::onObjects(const http_exchange &Exchange) {
  const net::http_request &Request = Exchange.request();
  if (Request.Method == "PUT")
    return onPut(Exchange);
  if (Request.Method == "DELETE")
    return onRemove(Exchange);
  ++Counters.Reads;
  auto Object = Store.get(net::queryValue(Request.Target, "key"));
  respond(Exchange, Object ? net::jsonResponse(200, wire::encode(*Object))
                           : toErrorResponse(Object.failure()));
}

void platform_api::respondToWrite(const http_exchange &Exchange,
                                  const result<object_revision> &Written) {
  if (Written) {
    LastWrite = Clock.steadyNow();
    completeWatches();
  }
  if (Written && drawBool(Gen, Faults.ResponseLossRate))
    return Exchange.abort();
  respond(Exchange, Written
                        ? net::jsonResponse(200, wire::encodeRevision(*Written))
                        : toErrorResponse(Written.failure()));
}

void platform_api::onPut(const http_exchange &Exchange) {
  ++Counters.Writes;
  auto Request = wire::decodePutRequest(Exchange.request().Body);
  if (!Request)
    return respond(Exchange,
                   net::errorResponse(400, Request.failure().message()));
  respondToWrite(Exchange,
                 Store.put(net::queryValue(Exchange.request().Target, "key"),
                           std::move(Request->Value), Request->Expected));
}

void platform_api::onRemove(const http_exchange &Exchange) {
  ++Counters.Writes;
  const std::string &Target = Exchange.request().Target;
  respondToWrite(Exchange, Store.remove(net::queryValue(Target, "key"),
                                        queryNumber(Target, "expected")));
}

void platform_api::onList(const http_exchange &Exchange) {
  ++Counters.Reads;
  auto List = Store.list(net::queryValue(Exchange.request().Target, "prefix"));
  respond(Exchange, net::jsonResponse(200, wire::encode(List)));
}

void platform_api::onWatch(const http_exchange &Exchange) {
  ++Counters.Watches;
  const std::string &Target = Exchange.request().Target;
  auto Wait =
      std::min(milliseconds(queryNumber(Target, "wait_ms")), MaxWatchWait);
  PendingWatches.push_back({Exchange, net::queryValue(Target, "prefix"),
                            queryNumber(Target, "after"),
                            Clock.steadyNow() + Wait});
  completeWatches();
}

void platform_api::completeWatches() {
  steady_time Now = Clock.steadyNow();
  for (auto Watch = PendingWatches.begin(); Watch != PendingWatches.end();) {
    auto Batch = Store.changes(Watch->Prefix, Watch->After);
    bool Stale = Now - LastWrite < Faults.WatchQuietTime;
    bool Changed = !Batch || (!Batch->Changes.empty() && !Stale);
    if (!Changed && Now < Watch->Deadline) {
      ++Watch;
      continue;
    }
    http_exchange Exchange = Watch->Exchange;
    Watch = PendingWatches.erase(Watch);
    if (Faults.Down)
      Exchange.abort();
    else
      respond(Exchange, Batch ? net::jsonResponse(200, wire::encode(*Batch))
                              : toErrorResponse(Batch.failure()));
  }
}

void platform_api::setFaults(const http_exchange &Exchange) {
  auto Json = settings::parseJson(Exchange.request().Body, "faults");
  if (!Json)
    return Exchange.reply(net::errorResponse(400, Json.failure().message()));
  settings::fault_list Problems("faults");
  settings::object_reader Reader(*Json, "", Problems);
  platform_faults Next;
  Next.Down = Reader.readBool("down", false);
  Next.ResponseDelay =
      Reader.readDuration("slow_ms", milliseconds(0), milliseconds(60000),
                          std::optional(milliseconds(0)));
  Next.ResponseLossRate = Reader.readDouble("lose_answers", 0, 1, 0);
  Next.WatchQuietTime =
      Reader.readDuration("stale_watch_ms", milliseconds(0),
                          milliseconds(60000), std::optional(milliseconds(0)));
  Next.MaxCallsPerSecond =
      std::uint32_t(Reader.readInteger("calls_per_second", 0, 1000000, 0));
  Reader.reportUnknownKeys();
  if (!Problems.empty())
    return Exchange.reply(
        net::errorResponse(400, Problems.toError().message()));
  Faults = Next;
  if (Faults.Down)
    for (pending_watch &Watch : std::exchange(PendingWatches, {}))
      Watch.Exchange.abort();
  Exchange.reply(net::jsonResponse(200, "{}"));
}

void platform_api::onAdmin(const http_exchange &Exchange) {
  std::string_view Path = net::pathOf(Exchange.request().Target);
  if (Path == "/admin/faults")
    return setFaults(Exchange);
  if (Path == "/admin/reset-counters") {
    Counters = {};
    return Exchange.reply(net::jsonResponse(200, "{}"));
  }
  nlohmann::json Json{{"reads", Counters.Reads},
                      {"writes", Counters.Writes},
                      {"watches", Counters.Watches},
                      {"rate_limited", Counters.RateLimited},
                      {"peak_per_second", Counters.PeakCallsPerSecond}};
  Exchange.reply(net::jsonResponse(200, Json.dump()));
}

} // namespace gentianlug::standins
