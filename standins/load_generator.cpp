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

load_caller::load_caller(net::event_loop &Loop, caller_settings S)
    : Settings(std::move(S)), Loop(Loop), Gen(Settings.Seed),
      Client(Loop, clientLimits()), NextTimer(Loop, [this] { sendDue(); }),
      Report(Settings.CallsFile) {}

void load_caller::start() {
  Start = Clock.steadyNow();
  StartWall = Clock.wallNow();
  NextDue = Start;
  sendDue();
}

nlohmann::json load_caller::report() const {
  nlohmann::json Json =
      Report.toJson(std::chrono::duration_cast<microseconds>(LastEnd - Start));
  Json["started_wall_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          StartWall.time_since_epoch())
          .count();
  return Json;
}

/// Draws the pause to the next call, so that arrivals are independent.
static steady_time::duration drawPause(generator &Gen, double Rate) {
  std::chrono::duration<double> Pause(
      std::exponential_distribution<double>(Rate)(Gen));
  return std::chrono::duration_cast<steady_time::duration>(Pause);
}

void load_caller::sendDue() {
  steady_time Now = Clock.steadyNow();
  for (; NextDue <= Now && NextDue < Start + Settings.Duration;
       NextDue += drawPause(Gen, Settings.Rate)) {
    call_ptr Call = makeCall();
    if (InFlight >= Settings.MaxInFlight) {
      Report.addUnsent();
      continue;
    }
    ++InFlight;
    sendTry(Call);
  }
  if (NextDue < Start + Settings.Duration)
    return NextTimer.startOnce(
        std::chrono::duration_cast<microseconds>(NextDue - Now));
  AllSent = true;
  stopWhenDone();
}

const call_kind &load_caller::drawKind() {
  double Sum = 0;
  for (const call_kind &Kind : Settings.Kinds)
    Sum += Kind.Weight;
  double Drawn = std::uniform_real_distribution<double>(0, Sum)(Gen);
  for (const call_kind &Kind : Settings.Kinds) {
    if (Drawn < Kind.Weight)
      return Kind;
    Drawn -= Kind.Weight;
  }
  return Settings.Kinds.back();
}

load_caller::call_ptr load_caller::makeCall() {
  auto Call = std::make_shared<call>();
  Call->Kind = &drawKind();
  Call->Order = Settings.OrderPrefix + "-" + std::to_string(Settings.Seed) +
                "-" + std::to_string(Number++);
  Call->Due = NextDue;
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
  if (Call->Kind->AnswerBytes > 0)
    Call->ExpectedBody.resize(Call->Kind->AnswerBytes, 'x');
  return Call;
}

void load_caller::sendTry(const call_ptr &Call) {
  ++Call->Tries;
  Client.send(Settings.Targets[Call->Target], Call->Request, Settings.Timeout,
              [this, Call](const result<net::http_response> &Answer) {
                onAnswer(Call, Answer);
              });
}

static std::string outcomeOf(const result<net::http_response> &Answer,
                             const std::string &ExpectedBody) {
  if (!Answer) {
    if (Answer.failure().Code == make_error_code(net_errc::ConnectFailed))
      return "refused";
    if (Answer.failure().Code == make_error_code(net_errc::Timeout))
      return "timeout";
    return "cut";
  }
  const std::string *Outcome = Answer->Headers.find("gl-outcome");
  if (Outcome && *Outcome == "not-run")
    return "not_run";
  if (Outcome && *Outcome == "unknown")
    return "unknown";
  if (Answer->Status != 200)
    return "error";
  return Answer->Body == ExpectedBody ? "answered" : "wrong";
}

void load_caller::onAnswer(const call_ptr &Call,
                           const result<net::http_response> &Answer) {
  completed_call Ended;
  Ended.Outcome = outcomeOf(Answer, Call->ExpectedBody);
  bool MayRetry =
      Ended.Outcome == "refused" ||
      (Ended.Outcome == "not_run" && !Answer->Headers.find("gl-no-retry"));
  if (MayRetry && Call->Tries <= Settings.Retries) {
    Call->Target = (Call->Target + 1) % Settings.Targets.size();
    return sendTry(Call);
  }
  LastEnd = Clock.steadyNow();
  Ended.Order = Call->Order;
  Ended.Path = Call->Kind->Path;
  Ended.Target = Settings.Targets[Call->Target].str();
  Ended.Status = Answer ? Answer->Status : 0;
  Ended.Tries = Call->Tries;
  Ended.Due = std::chrono::duration_cast<microseconds>(Call->Due - Start);
  Ended.Latency = std::chrono::duration_cast<microseconds>(LastEnd - Call->Due);
  Report.add(Ended);
  --InFlight;
  stopWhenDone();
}

void load_caller::stopWhenDone() {
  if (AllSent && InFlight == 0)
    Loop.stop();
}

} // namespace gentianlug::standins
