#include "command_groups.h"
#include "detail/conditional_update.h"
#include "facts.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/rollout_values.h"
#include "text.h"

namespace gentianlug::operator_cli {

using std::chrono::milliseconds;

static constexpr std::chrono::seconds DefaultTimeout{600};
/// Longest wait of one watch; a change ends it at once.
static constexpr milliseconds WatchWait{5000};
/// Pause after the platform failed all retries of one call.
static constexpr milliseconds OutagePause{1000};

static bool isOutage(const error &Failure) {
  return Failure.Code == make_error_code(operator_errc::PlatformDown);
}

namespace {

/// What one look at the platform found.
struct wait_look {
  /// The report when the wait is over.
  std::optional<command_report> Finished;
  std::string Progress;
  object_revision Revision = 0;
  /// The state changes by itself at this time.
  std::optional<wall_time> ChangesAt;
};

/// Looks until the wait is over. Between looks it waits for a change.
class waiter {
public:
  waiter(command_context &Context, std::string Prefix)
      : Context(Context), Prefix(std::move(Prefix)),
        Deadline(Context.Driver.steadyNow() +
                 Context.Options.Timeout.value_or(DefaultTimeout)) {}

  result<command_report> run(const std::function<result<wait_look>()> &Look) {
    for (;;) {
      result<wait_look> Found = Look();
      if (!Found && !isOutage(Found.failure()))
        return Found.failure();
      if (Found && Found->Finished)
        return std::move(*Found->Finished);
      show(Found ? Found->Progress : describe(Found.failure()));
      if (Context.Driver.steadyNow() >= Deadline)
        return Found ? makeError(operator_errc::TimedOut, Found->Progress)
                     : Found.failure();
      if (Found)
        waitForChange(*Found);
      else
        Context.Driver.sleepFor(std::min(OutagePause, timeLeft()));
    }
  }

private:
  milliseconds timeLeft() const {
    auto Left = Deadline - Context.Driver.steadyNow();
    return std::max(milliseconds(1),
                    std::chrono::duration_cast<milliseconds>(Left));
  }

  void show(const std::string &Text) const {
    if (Context.ShowProgress)
      Context.ShowProgress(Text);
  }

  /// An error of the watch needs no answer: the next look finds it again.
  void waitForChange(const wait_look &Found) {
    milliseconds Wait = std::min(WatchWait, timeLeft());
    if (Found.ChangesAt) {
      auto Until = std::chrono::duration_cast<milliseconds>(
          *Found.ChangesAt - Context.Driver.wallNow());
      Wait = std::clamp(Until, milliseconds(1), Wait);
    }
    auto Batch = Context.Store.watch(Prefix, Found.Revision, Wait);
    if (!Batch)
      Context.Driver.sleepFor(std::min(OutagePause, timeLeft()));
  }

  command_context &Context;
  std::string Prefix;
  steady_time Deadline;
};

} // namespace

/// A refusal ends the wait: a node does not try a refused version again.
static result<wait_look> lookAtVersion(command_context &Context,
                                       config_version Version,
                                       const std::set<zone_name> &Known) {
  auto Status = readStatus(Context.Store);
  if (!Status)
    return Status.failure();
  auto Zones = readZones(Context.Store);
  if (!Zones)
    return Zones.failure();
  version_progress Progress = progressOf(Status->Zones, Version, Known, *Zones);
  wait_look Look;
  Look.Revision = Status->Revision;
  Look.Progress = "version " + std::to_string(Version) + " is in force on " +
                  std::to_string(Progress.current()) + " of " +
                  std::to_string(Progress.nodes()) + " nodes";
  for (const zone_name &Zone : Progress.UnreportedZones)
    Look.Progress += "; no node of zone " + Zone.str() + " has reported";
  if (!Progress.isComplete() && Progress.Refusals.empty())
    return Look;
  command_report Report;
  Report.ReportJson["version"] = Version;
  Report.ReportJson["zones"] = toReportJsonArray(Progress.Zones);
  Report.ReportJson["refusals"] = toReportJsonArray(Progress.Refusals);
  if (Progress.isComplete()) {
    Report.add("Version " + std::to_string(Version) +
               " is in force everywhere, on " +
               std::to_string(Progress.nodes()) + " nodes.");
  } else {
    Report.Code = Refused;
    for (const store::config_refusal &Refusal : Progress.Refusals)
      Report.add(describe(Refusal));
  }
  Look.Finished = std::move(Report);
  return Look;
}

static result<wait_look> lookAtRollout(command_context &Context,
                                       const service_name &Service) {
  auto Observed = detail::observe(Context.Store, store::rolloutKey(Service),
                                  wire::decodeRolloutState);
  if (!Observed)
    return Observed.failure();
  wait_look Look;
  Look.Revision = Observed->Revision;
  Look.Progress = "no rollout of " + Service.str() + " has started";
  if (!Observed->Value)
    return Look;
  const rollout::rollout_state &State = *Observed->Value;
  wall_time Now = Context.Driver.wallNow();
  Look.Progress = describe(State, Now);
  Look.ChangesAt = State.FinishBy;
  rollout_outcome Outcome = outcomeOf(State, Now);
  if (Outcome == rollout_outcome::InProgress)
    return Look;
  command_report Report;
  Report.Code = Outcome == rollout_outcome::Completed ? Success : Refused;
  Report.add(Look.Progress);
  Report.ReportJson["rollout"] = toReportJson(State, Now);
  Look.Finished = std::move(Report);
  return Look;
}

/// Waits for \p Version, or for the newest accepted one. The zones are those
/// of the newest version; an unreadable one is left to the nodes' refusals.
static result<command_report>
waitForVersion(command_context &Context,
               std::optional<config_version> Version) {
  std::optional<std::set<zone_name>> Known;
  return waiter(Context, store::StatusPrefix).run([&]() -> result<wait_look> {
    if (!Known) {
      auto Head = readHead(Context.Store);
      if (!Head)
        return Head.failure();
      if (Head->Head.Version == 0)
        return makeError(operator_errc::Refused, "no version was accepted yet");
      auto Names = readZoneNames(Context.Store, Head->Head);
      if (!Names && isOutage(Names.failure()))
        return Names.failure();
      Known = Names ? std::move(*Names) : std::set<zone_name>{};
      Version = Version.value_or(Head->Head.Version);
    }
    return lookAtVersion(Context, *Version, *Known);
  });
}

result<command_report> runWait(command_context &Context) {
  const std::vector<std::string> &Words = Context.Options.Arguments;
  if (Words.size() == 3 && Words[1] == "rollout") {
    service_name Service(Words[2]);
    return waiter(Context, store::rolloutKey(Service)).run([&] {
      return lookAtRollout(Context, Service);
    });
  }
  if (Words.size() == 3 && Words[1] == "version")
    if (auto Version = parseNumber(Words[2]); Version && *Version > 0)
      return waitForVersion(Context, *Version);
  if (Words.size() == 2 && Words[1] == "version")
    return waitForVersion(Context, std::nullopt);
  return makeError(operator_errc::BadArguments,
                   "wait takes version [NUMBER] or rollout SERVICE");
}

} // namespace gentianlug::operator_cli
