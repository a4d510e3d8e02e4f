#include "command_groups.h"
#include "detail/conditional_update.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/rollout_values.h"
#include "report_json.h"
#include "report_text.h"

namespace gentianlug::operator_cli {

using std::chrono::milliseconds;

static constexpr std::chrono::seconds DefaultTimeout{600};
/// Timeout of one watch request; a change completes it earlier.
static constexpr milliseconds WatchTimeout{5000};
/// Delay before the next poll after all retries of a platform call failed.
static constexpr milliseconds OutageRetryDelay{1000};

static bool isOutage(const error &Failure) {
  return Failure.Code == make_error_code(operator_errc::PlatformDown);
}

namespace {

/// Result of reading the awaited state once.
struct poll_result {
  /// Final report; empty while the outcome is open.
  std::optional<command_report> Finished;
  std::string Progress;
  /// Revision from which to watch for changes.
  object_revision Revision = 0;
  /// Time at which the outcome changes without a write.
  std::optional<wall_time> ExpiresAt;
};

/// Polls until there is a final report, an error other than a platform outage
/// occurs, or the timeout expires. Between polls it watches the objects under a
/// key prefix.
class condition_waiter {
public:
  condition_waiter(command_context &Context, std::string Prefix)
      : Context(Context), Prefix(std::move(Prefix)),
        Deadline(Context.Driver.steadyNow() +
                 Context.Options.Timeout.value_or(DefaultTimeout)) {}

  result<command_report> run(const std::function<result<poll_result>()> &Poll) {
    for (;;) {
      result<poll_result> Polled = Poll();
      if (!Polled && !isOutage(Polled.failure()))
        return Polled.failure();
      if (Polled && Polled->Finished)
        return std::move(*Polled->Finished);
      reportProgress(Polled ? Polled->Progress : describe(Polled.failure()));
      if (Context.Driver.steadyNow() >= Deadline)
        return Polled ? makeError(operator_errc::TimedOut, Polled->Progress)
                      : Polled.failure();
      if (Polled)
        waitForChange(*Polled);
      else
        Context.Driver.sleepFor(std::min(OutageRetryDelay, remainingTime()));
    }
  }

private:
  milliseconds remainingTime() const {
    auto Remaining = Deadline - Context.Driver.steadyNow();
    return std::max(milliseconds(1),
                    std::chrono::duration_cast<milliseconds>(Remaining));
  }

  void reportProgress(const std::string &Text) const {
    if (Context.ShowProgress)
      Context.ShowProgress(Text);
  }

  /// Waits for a write or for the expiry. A failed watch is not reported: if
  /// the platform is still unreachable, the next poll fails as well.
  void waitForChange(const poll_result &Polled) {
    milliseconds Wait = std::min(WatchTimeout, remainingTime());
    if (Polled.ExpiresAt) {
      auto UntilExpiry = std::chrono::duration_cast<milliseconds>(
          *Polled.ExpiresAt - Context.Driver.wallNow());
      Wait = std::clamp(UntilExpiry, milliseconds(1), Wait);
    }
    auto Batch = Context.Store.watch(Prefix, Polled.Revision, Wait);
    if (!Batch)
      Context.Driver.sleepFor(std::min(OutageRetryDelay, remainingTime()));
  }

  command_context &Context;
  std::string Prefix;
  steady_time Deadline;
};

} // namespace

/// Completes when the version is in force everywhere, or when a node has
/// refused it: a node does not retry a refused version.
static result<poll_result>
pollVersion(command_context &Context, config_version Version,
            const std::set<zone_name> &ConfiguredZones) {
  auto Status = readStatus(Context.Store);
  if (!Status)
    return Status.failure();
  auto Zones = readZoneState(Context.Store);
  if (!Zones)
    return Zones.failure();
  version_progress Progress =
      computeProgress(Status->Zones, Version, ConfiguredZones, *Zones);
  poll_result Result;
  Result.Revision = Status->Revision;
  Result.Progress = "version " + std::to_string(Version) + " is in force on " +
                    std::to_string(Progress.current()) + " of " +
                    std::to_string(Progress.nodes()) + " nodes";
  for (const zone_name &Zone : Progress.UnreportedZones)
    Result.Progress += "; no node of zone " + Zone.str() + " has reported";
  if (!Progress.isComplete() && Progress.Refusals.empty())
    return Result;
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
  Result.Finished = std::move(Report);
  return Result;
}

static result<poll_result> pollRollout(command_context &Context,
                                       const service_name &Service) {
  auto Observed = detail::observe(Context.Store, store::rolloutKey(Service),
                                  wire::decodeRolloutState);
  if (!Observed)
    return Observed.failure();
  poll_result Result;
  Result.Revision = Observed->Revision;
  Result.Progress = "no rollout of " + Service.str() + " has started";
  if (!Observed->Value)
    return Result;
  const rollout::rollout_state &State = *Observed->Value;
  wall_time Now = Context.Driver.wallNow();
  Result.Progress = describe(State, Now);
  Result.ExpiresAt = State.FinishBy;
  rollout_outcome Outcome = outcomeOf(State, Now);
  if (Outcome == rollout_outcome::InProgress)
    return Result;
  command_report Report;
  Report.Code = Outcome == rollout_outcome::Completed ? Success : Refused;
  Report.add(Result.Progress);
  Report.ReportJson["rollout"] = toReportJson(State, Now);
  Result.Finished = std::move(Report);
  return Result;
}

/// Waits until \p Version, or the newest accepted version, is in force
/// everywhere. The expected zones are those of the newest version. If that
/// version cannot be read, no zones are expected and the refusals by nodes
/// complete the wait.
static result<command_report>
waitForVersion(command_context &Context,
               std::optional<config_version> Version) {
  std::optional<std::set<zone_name>> ConfiguredZones;
  return condition_waiter(Context, store::StatusPrefix)
      .run([&]() -> result<poll_result> {
        if (!ConfiguredZones) {
          auto Head = readHead(Context.Store);
          if (!Head)
            return Head.failure();
          if (Head->Head.Version == 0)
            return makeError(operator_errc::Refused,
                             "no version was accepted yet");
          auto ZoneNames = readZoneNames(Context.Store, Head->Head);
          if (!ZoneNames && isOutage(ZoneNames.failure()))
            return ZoneNames.failure();
          ConfiguredZones =
              ZoneNames ? std::move(*ZoneNames) : std::set<zone_name>{};
          Version = Version.value_or(Head->Head.Version);
        }
        return pollVersion(Context, *Version, *ConfiguredZones);
      });
}

result<command_report> runWait(command_context &Context) {
  const std::vector<std::string> &Arguments = Context.Options.Arguments;
  if (Arguments.size() == 3 && Arguments[1] == "rollout") {
    service_name Service(Arguments[2]);
    return condition_waiter(Context, store::rolloutKey(Service)).run([&] {
      return pollRollout(Context, Service);
    });
  }
  if (Arguments.size() == 3 && Arguments[1] == "version")
    if (auto Version = parseNumber(Arguments[2]); Version && *Version > 0)
      return waitForVersion(Context, *Version);
  if (Arguments.size() == 2 && Arguments[1] == "version")
    return waitForVersion(Context, std::nullopt);
  return makeError(operator_errc::BadArguments,
                   "wait takes version [NUMBER] or rollout SERVICE");
}

} // namespace gentianlug::operator_cli
