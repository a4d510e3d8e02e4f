#include "gentianlug/mesh/rollout_controller.h"

#include <algorithm>

namespace gentianlug::mesh {

// Times of a rollout, as fractions of its duration.
/// End of the stage with the first share.
static constexpr double ShareIncreaseAt = 0.25;
/// The new version receives all calls no earlier than this.
static constexpr double FullSwitchAt = 0.55;
/// A rollout that is not switching by then is rolled back, because the old
/// servers could not finish their calls in the remaining time.
static constexpr double SwitchDeadline = 0.75;

/// First share, as a multiple of the maximum exposed share.
static constexpr double FirstShareFactor = 0.5;
/// Largest second share, as a multiple of the maximum exposed share.
static constexpr double MaxSecondShareFactor = 1.5;
/// Logarithm of the likelihood ratio of a share of slow calls above which the
/// share does not grow.
static constexpr double SlowSuspicionBound = 2;
/// Calls of the new version required before its share grows or the rollout is
/// completed.
static constexpr std::uint64_t MinNewVersionCalls = 12;
/// Limit for the difference of the error rates. The error rate of the new
/// version may be up to twice that of the old version, but no more than this
/// above it.
static constexpr double MaxToleratedErrorIncrease = 0.1;
/// Number of evaluations whose calls of the old version count as recent, 3 s. A
/// fault of all servers that begins shortly before the switch hits most calls
/// of the new version, but few of all calls of the old one.
static constexpr std::size_t RecentEvaluations = 12;
/// Number of evaluations, 1 s, over which the old version must be calm before
/// the switch, and with which the calls after the switch are compared.
static constexpr std::size_t CalmEvaluations = 4;
/// The old version is calm up to this error rate, or up to this multiple of its
/// lowest error rate over `RecentEvaluations` so far.
static constexpr double MinCalmErrorRate = 0.03;
static constexpr double CalmErrorRateFactor = 1.5;
/// From then on the switch does not wait for the old version to be calm, as a
/// fraction of the duration.
static constexpr double CalmDeadline = 0.68;
/// Errors of the new version that are tolerated in addition.
static constexpr double ToleratedErrorCount = 2;
/// A switched rollout that is not proven by then is rolled back.
static constexpr double CompletionDeadline = 0.97;
/// Shortest time over which the second share spreads the calls that are left.
static constexpr std::chrono::milliseconds MinSecondShareTime{1000};
/// Time from the decision to roll back until the new version receives no calls.
static constexpr std::chrono::duration<double> RollbackTime{0.25};
/// Time for a stage to reach all nodes, added to the longest call.
static constexpr std::chrono::milliseconds PropagationTime{600};

static std::chrono::milliseconds fractionOf(std::chrono::milliseconds Whole,
                                            double Fraction) {
  return std::chrono::milliseconds(
      std::int64_t(double(Whole.count()) * Fraction));
}

rollout_controller::rollout_controller(rollout_record InitialRecord,
                                       version_name OldVersion,
                                       std::vector<route_name> Routes,
                                       mesh_bounds Bounds, steady_time Now)
    : Record(std::move(InitialRecord)), OldVersion(std::move(OldVersion)),
      Bounds(Bounds), ElapsedObservedAt(Now), StepStartedAt(Now) {
  rollout::evaluation_scope Scope{
      std::move(Routes), rollout::FalseRollbackRate,
      std::max(Record.Duration, rollout::EvaluationPeriod)};
  Evaluator.start(Scope);
  SlowEvaluator.start(Scope);
  nameBaseVersion();
  Succeeded = Record.Stage == rollout_stage::Switching;
}

void rollout_controller::onEvidence(const rollout::server_evidence &Evidence) {
  if (Evidence.Service != Record.Service)
    return;
  bool IsNew = Evidence.Version == Record.TargetVersion;
  if (!IsNew && Evidence.Version != OldVersion)
    return;
  version_counts &Counts = IsNew ? NewCounts : OldCounts;
  for (const rollout::route_evidence &RouteEvidence : Evidence.Routes) {
    Counts.Calls += RouteEvidence.Calls;
    Counts.Errors += RouteEvidence.Errors;
    Counts.Timed += rollout::countCalls(RouteEvidence.Latencies);
  }
  Counts.Starts += Evidence.Starts;
  if (IsNew && Evidence.Quarantined)
    QuarantinedNodes.insert(Evidence.Node);
  auto Role = IsNew ? rollout::version_role::New : rollout::version_role::Old;
  Evaluator.add(Role, Evidence);
  SlowEvaluator.add(Role, Evidence);
}

void rollout_controller::evaluate() {
  if (Record.Stage != rollout_stage::Switching) {
    RecentOldCounts.push_back(OldCounts);
    if (RecentOldCounts.size() > RecentEvaluations)
      RecentOldCounts.pop_front();
    if (RecentOldCounts.size() == RecentEvaluations)
      if (auto Rate = recentOldErrorRate(RecentEvaluations))
        LowestOldErrorRate = std::min(LowestOldErrorRate.value_or(1), *Rate);
  }
  if (LastVerdict.Kind == rollout::verdict_kind::Fail)
    return;
  LastVerdict = Evaluator.evaluate();
  SlowVerdict = SlowEvaluator.evaluate();
  if (LastVerdict.Kind != rollout::verdict_kind::Fail)
    LastVerdict = SlowVerdict;
}

void rollout_controller::onRecord(const rollout_record &Next, steady_time Now) {
  // After a restore, a node may have followed an earlier stage until this one
  // was stored again.
  if (Next.Stage != Record.Stage || Next.TrafficShare != Record.TrafficShare ||
      Next.Revision.Era != Record.Revision.Era)
    StepStartedAt = Now;
  if (Next.Stage == rollout_stage::Switching &&
      Record.Stage == rollout_stage::Running)
    AtSwitch = NewCounts;
  if (Next.Elapsed != Record.Elapsed || Next.Stage != Record.Stage)
    ElapsedObservedAt = Now;
  if (Record.Stage == rollout_stage::Switching &&
      Next.Controller != Record.Controller)
    Succeeded = true;
  Record = Next;
  nameBaseVersion();
}

void rollout_controller::nameBaseVersion() {
  if (Record.BaseVersion.empty())
    Record.BaseVersion = OldVersion;
}

std::chrono::milliseconds rollout_controller::elapsed(steady_time Now) const {
  return Record.Elapsed + std::chrono::duration_cast<std::chrono::milliseconds>(
                              Now - ElapsedObservedAt);
}

rollout_record rollout_controller::makeRecord(rollout_stage Stage, double Share,
                                              std::string Reason,
                                              steady_time Now) const {
  rollout_record Next = Record;
  Next.FaultRuledOut = Stage == rollout_stage::Switching && isFaultRuledOut();
  Next.Stage = Stage;
  Next.TrafficShare = Share;
  Next.Elapsed = elapsed(Now);
  Next.Reason = std::move(Reason);
  return Next;
}

static double errorRate(const version_counts &Counts) {
  return Counts.Calls == 0 ? 0 : double(Counts.Errors) / double(Counts.Calls);
}

std::optional<double>
rollout_controller::recentOldErrorRate(std::size_t Evaluations) const {
  if (RecentOldCounts.size() < 2)
    return std::nullopt;
  std::size_t First = RecentOldCounts.size() -
                      std::min(RecentOldCounts.size(), Evaluations + 1);
  const version_counts &Before = RecentOldCounts[First];
  const version_counts &Last = RecentOldCounts.back();
  std::uint64_t Calls = Last.Calls - Before.Calls;
  if (Calls < MinNewVersionCalls)
    return std::nullopt;
  return double(Last.Errors - Before.Errors) / double(Calls);
}

double rollout_controller::oldErrorRate() const {
  double Rate = errorRate(OldCounts);
  return std::max(Rate, recentOldErrorRate(RecentEvaluations).value_or(Rate));
}

static bool isTolerated(std::uint64_t Errors, std::uint64_t Calls,
                        double OldRate) {
  double ToleratedRate = OldRate + std::min(OldRate, MaxToleratedErrorIncrease);
  return double(Errors) <= ToleratedErrorCount + ToleratedRate * double(Calls);
}

bool rollout_controller::errorsWithinTolerance() const {
  if (!isTolerated(NewCounts.Errors, NewCounts.Calls, oldErrorRate()))
    return false;
  if (!AtSwitch)
    return true;
  return isTolerated(
      NewCounts.Errors - AtSwitch->Errors, NewCounts.Calls - AtSwitch->Calls,
      recentOldErrorRate(CalmEvaluations).value_or(oldErrorRate()));
}

bool rollout_controller::isOldVersionCalm() const {
  double Usual = std::max(MinCalmErrorRate,
                          CalmErrorRateFactor * LowestOldErrorRate.value_or(0));
  return recentOldErrorRate(CalmEvaluations).value_or(0) <= Usual;
}

bool rollout_controller::isMostlyQuarantined(
    const rollout_context &Context) const {
  return !QuarantinedNodes.empty() &&
         2 * QuarantinedNodes.size() >= Context.ReadyNewServers;
}

bool rollout_controller::isFaultUnlikely() const {
  return SlowEvaluator.isFaultUnlikely() && errorsWithinTolerance() &&
         NewCounts.Calls >= MinNewVersionCalls;
}

bool rollout_controller::isFaultRuledOut() const {
  return LastVerdict.Kind == rollout::verdict_kind::Pass && isFaultUnlikely();
}

rollout_progress rollout_controller::progress(steady_time Now) const {
  return {OldCounts.Starts + NewCounts.Starts, NewCounts.Starts, elapsed(Now),
          Record.Duration};
}

std::optional<rollout_record>
rollout_controller::nextRecord(const rollout_context &Context,
                               steady_time Now) const {
  if (Record.Stage == rollout_stage::Completed ||
      Record.Stage == rollout_stage::RolledBack)
    return std::nullopt;
  if (LastVerdict.Kind == rollout::verdict_kind::Fail)
    return makeRecord(rollout_stage::RolledBack, 0, LastVerdict.Reason, Now);
  if (Record.Stage == rollout_stage::Switching)
    return nextWhileSwitching(Context, Now);
  if (elapsed(Now) >= fractionOf(Record.Duration, SwitchDeadline))
    return makeRecord(rollout_stage::RolledBack, 0, "not proven in time", Now);
  if (Context.ReadyNewServers == 0)
    return std::nullopt;
  if (Record.Stage == rollout_stage::Pending)
    return makeRecord(rollout_stage::Running,
                      Bounds.MaxExposedShare * FirstShareFactor,
                      "servers are ready", Now);
  return nextWhileRunning(Context, Now);
}

std::optional<rollout_record>
rollout_controller::nextWhileRunning(const rollout_context &Context,
                                     steady_time Now) const {
  rollout_progress Progress = progress(Now);
  auto SwitchAt = fractionOf(Record.Duration, FullSwitchAt);
  bool MayWait = Progress.Elapsed < fractionOf(Record.Duration, CalmDeadline);
  if (Progress.Elapsed >= SwitchAt && isFaultUnlikely() &&
      !isMostlyQuarantined(Context) && (isOldVersionCalm() || !MayWait))
    return makeRecord(rollout_stage::Switching, 1, "no fault with a share",
                      Now);
  if (Record.TrafficShare > 0 &&
      double(Progress.NewCalls) >=
          allowedNewCallsBeforeSwitch(Bounds, Progress))
    return makeRecord(rollout_stage::Running, 0, "limit of exposed calls", Now);
  double FirstShare = Bounds.MaxExposedShare * FirstShareFactor;
  if (Progress.Elapsed < fractionOf(Record.Duration, ShareIncreaseAt) ||
      Record.TrafficShare != FirstShare || !errorsWithinTolerance() ||
      NewCounts.Calls < MinNewVersionCalls ||
      SlowEvaluator.logFaultRatio() > SlowSuspicionBound)
    return std::nullopt;
  auto TimeLeft = std::max(SwitchAt - Progress.Elapsed, MinSecondShareTime);
  double Share =
      shareWithinLimit(Bounds, Progress, TimeLeft,
                       Bounds.MaxExposedShare * MaxSecondShareFactor);
  if (Share <= FirstShare)
    return std::nullopt;
  return makeRecord(rollout_stage::Running, Share, "no fault so far", Now);
}

std::optional<rollout_record>
rollout_controller::nextWhileSwitching(const rollout_context &Context,
                                       steady_time Now) const {
  if (!errorsWithinTolerance())
    return makeRecord(rollout_stage::RolledBack, 0, "errors under full load",
                      Now);
  if (isMostlyQuarantined(Context))
    return makeRecord(rollout_stage::RolledBack, 0,
                      "most servers are quarantined", Now);
  rollout_progress Progress = progress(Now);
  double BeforeRollback = callsPerSecond(Progress) * RollbackTime.count();
  bool RuledOut = isFaultRuledOut();
  // A successor lacks the evidence that ended with its predecessor.
  bool RuledOutBefore = Succeeded && Record.FaultRuledOut;
  if (!RuledOut && !RuledOutBefore &&
      double(Progress.NewCalls) + BeforeRollback >=
          allowedNewCalls(Bounds, Progress))
    return makeRecord(rollout_stage::RolledBack, 0,
                      "not proven within the limit of exposed calls", Now);
  bool MayComplete = RuledOut || (RuledOutBefore && isFaultUnlikely());
  if (MayComplete &&
      Now - StepStartedAt >= Context.MaxCallDuration + PropagationTime)
    return makeRecord(rollout_stage::Completed, 1, "no fault found", Now);
  if (RuledOut && !Record.FaultRuledOut)
    return makeRecord(rollout_stage::Switching, 1, "fault ruled out", Now);
  if (Progress.Elapsed >= fractionOf(Record.Duration, CompletionDeadline))
    return makeRecord(rollout_stage::RolledBack, 0, "not proven in time", Now);
  return std::nullopt;
}

} // namespace gentianlug::mesh
