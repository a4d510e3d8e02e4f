#include "entry_call.h"

#include <algorithm>

namespace gentianlug::gateway {

using observe::event;

/// Nodes that one call may be sent to; refusals cost a round trip each.
static constexpr std::size_t MaxNodesTried = 6;
/// Part of the target latency that a call may wait for a slot in all. Longer
/// waits make calls late without letting more of them end.
static constexpr double WaitPart = 0.3;
/// Part of its time left that a call of a server may wait: the call that it
/// belongs to has already been paid for.
static constexpr double NestedWaitPart = 0.5;
/// Answers of this size wait for a server of the own zone: most are refused
/// only until a narrow link has sent the answer before ...
static constexpr std::size_t ZoneAnswerBytes = 32UL << 10;
/// ... for this part of the target latency, and no longer than this.
static constexpr double ZoneWaitPart = 0.25;
static constexpr std::chrono::milliseconds LongestZoneWait{500};
static constexpr std::chrono::milliseconds ZoneWaitPause{60};
/// A repeat needs this part of the target latency as time left.
static constexpr double RepeatPart = 0.25;
/// A second try starts beside a silent first one after this many times the
/// usual time of the server ...
static constexpr int SecondTryFactor = 4;
/// ... and after this part of the time to the deadline at the earliest.
static constexpr double SecondTryPart = 0.4;
/// Weight of one answer in the moving average of answer sizes.
static constexpr double SizeWeight = 0.1;
static constexpr std::size_t MaxRoutesLearned = 10000;
/// When a refused caller is asked to come back, as part of the target latency.
static constexpr double RetryAfterPart = 0.4;

static std::chrono::milliseconds part(std::chrono::milliseconds Whole,
                                      double Part) {
  return std::chrono::milliseconds(std::int64_t(double(Whole.count()) * Part));
}

entry_call::entry_call(entry_state &Entry,
                       std::shared_ptr<http1::exchange> Exchange,
                       call_plan Plan)
    : Entry(Entry), Exchange(std::move(Exchange)), Plan(std::move(Plan)),
      DeadlineTimer(Entry.Context.Loop, [this] { onDeadline(); }),
      SecondTryTimer(Entry.Context.Loop, [this] { startSecondTry(); }),
      ZoneWaitTimer(Entry.Context.Loop, [this] { askZoneAgain(); }) {}

std::chrono::milliseconds entry_call::timeLeft() const {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Plan.Deadline - Entry.Context.Clock.steadyNow()));
}

std::chrono::milliseconds entry_call::age() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Context.Clock.steadyNow() - Plan.Arrived);
}

void entry_call::start() {
  auto Self = shared_from_this();
  Exchange->onClientGone([Self] { Self->onCallerGone(); });
  const version_name *Chosen =
      Entry.Versions.choose(Plan.Service, Entry.Context.Gen);
  if (!Chosen)
    return giveUp("no-version");
  Version = *Chosen;
  DeadlineTimer.startOnce(timeLeft());
  tryNext();
}

mesh::pick_request entry_call::pickRequest() const {
  auto Size = Entry.AnswerBytes.find(Plan.Route);
  return {Plan.Service,
          Version,
          Entry.Place.Node,
          Entry.Place.Zone,
          Entry.ZonesOut,
          Tried,
          Size == Entry.AnswerBytes.end() ? 0 : std::size_t(Size->second)};
}

void entry_call::tryNext() {
  auto Now = Entry.Context.Clock.steadyNow();
  mesh::pick_request Request = pickRequest();
  Request.StayInZone = staysInZone(Request);
  bool MayAsk = Tried.size() < MaxNodesTried;
  const mesh::server_record *Target =
      MayAsk ? Entry.Picker.pick(Request, Entry.Context.Gen, Now) : nullptr;
  if (!Target && Request.StayInZone)
    return ZoneWaitTimer.startOnce(ZoneWaitPause);
  if (!MayAsk)
    return giveUp("all-refused");
  if (!Target) {
    leaveNewVersion();
    Target = Entry.Picker.pick(pickRequest(), Entry.Context.Gen, Now);
  }
  if (!Target)
    return giveUp("no-server");
  send(*Target);
}

bool entry_call::staysInZone(const mesh::pick_request &Request) const {
  return Request.ExpectedBytes >= ZoneAnswerBytes && Arrivals == 0 &&
         age() < std::min(part(Plan.TargetLatency, ZoneWaitPart),
                          LongestZoneWait) &&
         Entry.Picker.servesInZone(Request);
}

void entry_call::askZoneAgain() {
  if (Finished)
    return;
  Tried.clear();
  tryNext();
}

void entry_call::leaveNewVersion() {
  const version_name *Base = Entry.Versions.base(Plan.Service);
  const mesh::rollout_record *Rollout = Entry.Versions.rollout(Plan.Service);
  if (Base && (!Rollout || Rollout->Stage != mesh::rollout_stage::Switching))
    Version = *Base;
}

serving_port &entry_call::portOf(bool AtLocal) {
  if (AtLocal)
    return Entry.Local;
  return Entry.Peers;
}

void entry_call::send(const mesh::server_record &Target) {
  auto Self = shared_from_this();
  peer_call Call;
  Call.Instance = Target.Instance;
  Call.Route = Plan.Route;
  Call.CallerService = Entry.LocalService;
  Call.CallId = Plan.CallId;
  Call.Deadline = timeLeft();
  Call.MaxWait = Plan.Rank == 0
                     ? part(timeLeft(), NestedWaitPart)
                     : std::max(std::chrono::milliseconds(0),
                                part(Plan.TargetLatency, WaitPart) - age());
  Call.Rank = Plan.Rank;
  Call.Idempotent = Plan.Idempotent;
  Call.Repeat = Arrivals > 0;
  Call.InheritedRepeat = Plan.InheritedRepeat;
  node_id Node = Target.Node;
  Tried.push_back(Node);
  Entry.Picker.onStarted(Node);
  bool AtLocal = Node == Entry.Place.Node;
  serving_port &Port = portOf(AtLocal);
  auto Ticket = Port.send(Target, Call, Exchange->received(),
                          [Self, Node](serving_result Result) {
                            Self->onEnded(Node, std::move(Result));
                          });
  Running.push_back({Node, AtLocal, Ticket});
  if (Plan.Idempotent && Plan.MaxAttempts > 1 && Running.size() == 1)
    SecondTryTimer.startOnce(
        std::max(part(timeLeft(), SecondTryPart),
                 Entry.Picker.serviceTime(Node) * SecondTryFactor));
}

bool entry_call::mayRepeat() const {
  return Arrivals < Plan.MaxAttempts && Tried.size() < MaxNodesTried &&
         timeLeft() > part(Plan.TargetLatency, RepeatPart);
}

static mesh::try_end judge(const serving_result &Result) {
  constexpr int FirstServerError = 500;
  switch (Result.End) {
  case serving_end::Answered:
    return Result.Answer.Status >= FirstServerError ? mesh::try_end::Failed
                                                    : mesh::try_end::Answered;
  case serving_end::Refused:
    return mesh::try_end::Refused;
  case serving_end::Shed:
  case serving_end::Unknown:
    return mesh::try_end::Failed;
  case serving_end::Unreachable:
    return mesh::try_end::Unreachable;
  }
  return mesh::try_end::Failed;
}

void entry_call::onEnded(const node_id &Node, serving_result Result) {
  std::erase_if(Running,
                [&](const running_try &Try) { return Try.Node == Node; });
  Entry.Picker.onEnded(Node, judge(Result), Result.Report,
                       Entry.Context.Clock.steadyNow());
  if (Finished)
    return;
  if (!Result.Reason.empty())
    noteAsked(Node, Result.Reason);
  switch (Result.End) {
  case serving_end::Answered:
    ++Arrivals;
    return onAnswered(std::move(Result));
  case serving_end::Shed:
    ++Arrivals;
    return onRefused(Result.Reason);
  case serving_end::Refused:
  case serving_end::Unreachable:
    return onRefused(Result.Reason);
  case serving_end::Unknown:
    ++Arrivals;
    MayHaveRun = true;
    Entry.Context.Log.write(event::CallFailed, {{"call", Plan.CallId},
                                                {"route", Plan.Route.str()},
                                                {"asked_node", Node.str()},
                                                {"reason", Result.Reason},
                                                {"age_ms", age()}});
    if (!Running.empty())
      return;
    if (Plan.Idempotent && mayRepeat())
      return tryNext();
    return giveUp(Result.Reason);
  }
}

void entry_call::noteAsked(const node_id &Node, const std::string &Outcome) {
  if (!Asked.empty())
    Asked += ", ";
  Asked.append(Node.str()).append(" ").append(Outcome);
}

void entry_call::onRefused(const std::string &Reason) {
  LastRefusal = Reason;
  if (!Running.empty())
    return;
  if (Arrivals >= Plan.MaxAttempts || Reason == "repeats-spent")
    return giveUp(Reason);
  leaveNewVersion();
  tryNext();
}

void entry_call::learnSize(std::size_t Bytes) {
  if (Entry.AnswerBytes.size() > MaxRoutesLearned)
    Entry.AnswerBytes.clear();
  auto [Found, Added] =
      Entry.AnswerBytes.try_emplace(Plan.Route, double(Bytes));
  Found->second += SizeWeight * (double(Bytes) - Found->second);
}

void entry_call::onAnswered(serving_result Result) {
  constexpr int FirstServerError = 500;
  bool Failed = Result.Answer.Status >= FirstServerError;
  if (!Failed)
    learnSize(Result.Answer.Body.size());
  if (Failed && Plan.Idempotent) {
    MayHaveRun = true;
    ServerFailure = std::move(Result.Answer);
    if (!Running.empty())
      return;
    if (mayRepeat()) {
      Entry.Context.Log.write(event::CallRetried,
                              {{"call", Plan.CallId},
                               {"route", Plan.Route.str()},
                               {"reason", "server-error"},
                               {"tries", std::int64_t(Tried.size())}});
      return tryNext();
    }
    Result.Answer = std::move(*ServerFailure);
  }
  if (Failed)
    Entry.Context.Log.write(event::CallFailed,
                            {{"call", Plan.CallId},
                             {"route", Plan.Route.str()},
                             {"reason", "server-error"},
                             {"status", std::int64_t(Result.Answer.Status)},
                             {"asked", Asked},
                             {"age_ms", age()}});
  finish(std::move(Result.Answer));
}

void entry_call::startSecondTry() {
  if (Finished || Running.size() != 1 || Arrivals + 1 >= Plan.MaxAttempts ||
      Tried.size() >= MaxNodesTried)
    return;
  auto Now = Entry.Context.Clock.steadyNow();
  if (!Entry.Picker.hasRoom(pickRequest(), Now))
    return;
  const mesh::server_record *Target =
      Entry.Picker.pick(pickRequest(), Entry.Context.Gen, Now);
  if (!Target)
    return;
  // The first try has most likely reached its server.
  ++Arrivals;
  MayHaveRun = true;
  Entry.Context.Log.write(event::CallRetried, {{"call", Plan.CallId},
                                               {"route", Plan.Route.str()},
                                               {"reason", "no-answer-yet"},
                                               {"age_ms", age()}});
  send(*Target);
}

void entry_call::onDeadline() {
  if (Finished)
    return;
  for (const running_try &Try : Running) {
    MayHaveRun = true;
    noteAsked(Try.Node, "still running");
  }
  giveUp("deadline");
}

void entry_call::onCallerGone() {
  auto Self = shared_from_this();
  Finished = true;
  Entry.Context.Metrics.count("calls_total{outcome=\"caller-gone\"}");
  cancelRunning();
}

void entry_call::cancelRunning() {
  DeadlineTimer.cancel();
  SecondTryTimer.cancel();
  ZoneWaitTimer.cancel();
  for (const running_try &Try : std::exchange(Running, {})) {
    portOf(Try.AtLocal).cancel(Try.Ticket);
    Entry.Picker.onEnded(Try.Node, mesh::try_end::Canceled, std::nullopt,
                         Entry.Context.Clock.steadyNow());
  }
}

void entry_call::giveUp(const std::string &Reason) {
  if (ServerFailure)
    return finish(std::move(*ServerFailure));
  constexpr int BadGateway = 502;
  constexpr int Unavailable = 503;
  constexpr int GatewayTimeout = 504;
  if (!MayHaveRun)
    return answerOwn(Unavailable, Reason);
  answerOwn(Reason == "deadline" ? GatewayTimeout : BadGateway, Reason);
}

void entry_call::answerOwn(int Status, const std::string &Reason) {
  constexpr int Unavailable = 503;
  std::optional<std::chrono::milliseconds> RetryAfter;
  if (Status == Unavailable)
    RetryAfter = drawJitter(Entry.Context.Gen,
                            std::max(part(Plan.TargetLatency, RetryAfterPart),
                                     std::chrono::milliseconds(20)));
  Entry.Context.Log.write(
      Status == Unavailable ? event::CallRefused : event::CallFailed,
      {{"call", Plan.CallId},
       {"route", Plan.Route.str()},
       {"service", Plan.Service.str()},
       {"status", std::int64_t(Status)},
       {"reason", Reason},
       {"last_refusal", LastRefusal},
       {"asked", Asked},
       {"tries", std::int64_t(Tried.size())},
       {"servers", std::int64_t(Entry.Picker.count(Plan.Service))},
       {"version", Version.str()},
       {"config_version", std::int64_t(Plan.ConfigVersion)},
       {"age_ms", age()}});
  http1::response Answer;
  Answer.Status = Status;
  Entry.Context.Dialect.writeOwnAnswer(Answer, Plan.CallId, RetryAfter);
  finish(std::move(Answer));
}

void entry_call::finish(http1::response Answer) {
  auto Self = shared_from_this();
  Finished = true;
  cancelRunning();
  Entry.Context.Metrics.count("calls_total{outcome=\"" +
                              std::to_string(Answer.Status) + "\"}");
  Entry.Context.Metrics.observe("call_seconds", age());
  Exchange->respond(std::move(Answer));
  // A timer of this call may be what runs now.
  Entry.Context.Loop.defer([Self] {});
}

} // namespace gentianlug::gateway
