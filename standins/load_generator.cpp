#include "load_generator.h"

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"

#include <algorithm>

namespace gentianlug::standins {

using net::net_errc;
using std::chrono::microseconds;

static net::http_client_limits clientLimits() {
  net::http_client_limits Limits;
  Limits.MaxIdlePerPeer = 256;
  return Limits;
}

load_generator::load_generator(net::event_loop &Loop, caller_settings S)
    : Settings(std::move(S)), Loop(Loop), Gen(Settings.Seed),
      Client(Loop, clientLimits()),
      NextCallTimer(Loop, [this] { sendDueCalls(); }),
      Report(Settings.CallsFile) {}

void load_generator::start() {
  StartTime = Clock.steadyNow();
  StartWallTime = Clock.wallNow();
  NextDue = StartTime;
  sendDueCalls();
}

nlohmann::json load_generator::report() const {
  nlohmann::json Json = Report.toJson(
      std::chrono::duration_cast<microseconds>(LastCompletion - StartTime));
  Json["started_wall_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          StartWallTime.time_since_epoch())
          .count();
  return Json;
}

/// Draws the time until the next call; exponentially distributed times make
/// arrivals independent of each other.
static steady_time::duration drawInterarrivalTime(generator &Gen,
                                                  double CallsPerSecond) {
  std::chrono::duration<double> Interval(
      std::exponential_distribution<double>(CallsPerSecond)(Gen));
  return std::chrono::duration_cast<steady_time::duration>(Interval);
}

void load_generator::sendDueCalls() {
  steady_time Now = Clock.steadyNow();
  for (; NextDue <= Now && NextDue < StartTime + Settings.Duration;
       NextDue += drawInterarrivalTime(Gen, Settings.CallsPerSecond)) {
    call_ptr Call = makeCall();
    if (InFlight >= Settings.MaxInFlight) {
      Report.addUnsent();
      continue;
    }
    ++InFlight;
    sendAttempt(Call);
  }
  if (NextDue < StartTime + Settings.Duration)
    return NextCallTimer.startOnce(
        std::chrono::duration_cast<microseconds>(NextDue - Now));
  AllSent = true;
  stopIfDone();
}

const call_kind &load_generator::drawKind() {
  double TotalWeight = 0;
  for (const call_kind &Kind : Settings.CallKinds)
    TotalWeight += Kind.Weight;
  double Drawn = std::uniform_real_distribution<double>(0, TotalWeight)(Gen);
  for (const call_kind &Kind : Settings.CallKinds) {
    if (Drawn < Kind.Weight)
      return Kind;
    Drawn -= Kind.Weight;
  }
  return Settings.CallKinds.back();
}

load_generator::call_ptr load_generator::makeCall() {
  auto Call = std::make_shared<call>();
  Call->Kind = &drawKind();
  Call->Order = Settings.OrderPrefix + "-" + std::to_string(Settings.Seed) +
                "-" + std::to_string(NextCallNumber++);
  Call->DueTime = NextDue;
  Call->Target = drawIndex(Gen, Settings.Targets.size());
  net::http_request &Request = Call->Request;
  Request.Method = Call->Kind->Method;
  Request.Target = Call->Kind->Path;
  Request.Headers.add("order-id", Call->Order);
  if (!Settings.Customer.empty())
    Request.Headers.add("gl-customer", Settings.Customer);
  if (Settings.Deadline.count() > 0)
    Request.Headers.add("gl-deadline-ms",
                        std::to_string(Settings.Deadline.count()));
  if (Request.Method != "GET" && Request.Method != "HEAD") {
    Request.Body = Call->Order + " ";
    Request.Body.resize(std::max(Request.Body.size(), Call->Kind->BodyBytes),
                        'b');
  }
  Call->ExpectedBody = "answer to " + Request.Body;
  if (Call->Kind->ResponseBytes > 0)
    Call->ExpectedBody.resize(Call->Kind->ResponseBytes, 'x');
  return Call;
}

void load_generator::sendAttempt(const call_ptr &Call) {
  ++Call->Attempts;
  Client.send(Settings.Targets[Call->Target], Call->Request, Settings.Timeout,
              [this, Call](const result<net::http_response> &Response) {
                onResponse(Call, Response);
              });
}

static std::string classifyOutcome(const result<net::http_response> &Response,
                                   const std::string &ExpectedBody) {
  if (!Response) {
    if (Response.failure().Code == make_error_code(net_errc::ConnectFailed))
      return "refused";
    if (Response.failure().Code == make_error_code(net_errc::Timeout))
      return "timeout";
    return "cut";
  }
  const std::string *Outcome = Response->Headers.find("gl-outcome");
  if (Outcome && *Outcome == "not-run")
    return "not_run";
  if (Outcome && *Outcome == "unknown")
    return "unknown";
  if (Response->Status != 200)
    return "error";
  return Response->Body == ExpectedBody ? "answered" : "wrong";
}

void load_generator::onResponse(const call_ptr &Call,
                                const result<net::http_response> &Response) {
  completed_call Completed;
  Completed.Outcome = classifyOutcome(Response, Call->ExpectedBody);
  bool MayRetry = Completed.Outcome == "refused" ||
                  (Completed.Outcome == "not_run" &&
                   !Response->Headers.find("gl-no-retry"));
  if (MayRetry && Call->Attempts <= Settings.MaxRetries) {
    Call->Target = (Call->Target + 1) % Settings.Targets.size();
    return sendAttempt(Call);
  }
  LastCompletion = Clock.steadyNow();
  Completed.Order = Call->Order;
  Completed.Path = Call->Kind->Path;
  Completed.Target = Settings.Targets[Call->Target].str();
  Completed.Status = Response ? Response->Status : 0;
  Completed.Attempts = Call->Attempts;
  Completed.DueOffset =
      std::chrono::duration_cast<microseconds>(Call->DueTime - StartTime);
  Completed.Latency =
      std::chrono::duration_cast<microseconds>(LastCompletion - Call->DueTime);
  Report.add(Completed);
  --InFlight;
  stopIfDone();
}

void load_generator::stopIfDone() {
  if (AllSent && InFlight == 0)
    Loop.stop();
}

} // namespace gentianlug::standins
