#include "gentianlug/mesh/rollout_conductor.h"

#include <algorithm>

namespace gentianlug::mesh {

// Moments of a rollout, as parts of its duration.
/// Until then the new version has the first share.
static constexpr double WidenAt = 0.45;
/// Until then it has the second share; then it gets all calls.
static constexpr double SwitchAt = 0.58;
/// A rollout that is not switching by then is taken back: what is left would
/// not suffice for the old servers to finish their calls.
static constexpr double LatestSwitch = 0.75;

/// First share, as part of the exposed share.
static constexpr double FirstSharePart = 0.5;
/// Second share, as a multiple of the exposed share.
static constexpr double SecondShareFactor = 1.5;
/// Calls of the new version before its share grows or the rollout ends.
static constexpr std::uint64_t CallsToJudge = 12;
/// The new version may fail as often as the old one and as often again, but no
/// more than this share of its calls beyond the old one ...
static constexpr double MostHarmlessShare = 0.1;
/// ... and this many calls beside it.
static constexpr double HarmlessErrors = 2;
/// A switch that has brought too few calls to judge is waited for until then.
static constexpr double LatestCompletion = 0.9;
/// Time for a stage to reach all nodes, beside the longest call.
static constexpr std::chrono::milliseconds SpreadTime{600};

rollout_conductor::rollout_conductor(rollout_record Order,
                                     version_name OldVersion,
                                     std::vector<route_name> Routes,
                                     mesh_bounds Bounds, steady_time Now)
    : Record(std::move(Order)), OldVersion(std::move(OldVersion)),
      Bounds(Bounds), SeenAt(Now), StepSince(Now) {
  Verdict.start({std::move(Routes), rollout::FalseTakeBackRate,
                 std::max(Record.Duration, rollout::JudgementPeriod)});
}

void rollout_conductor::onEvidence(const rollout::server_evidence &Evidence) {
  if (Evidence.Service != Record.Service)
    return;
  bool IsNew = Evidence.Version == Record.Target;
  if (!IsNew && Evidence.Version != OldVersion)
    return;
  side_counts &Side = IsNew ? New : Old;
  for (const rollout::route_evidence &Row : Evidence.Routes) {
    Side.Calls += Row.Calls;
    Side.Errors += Row.Errors;
  }
  Verdict.add(IsNew ? rollout::rollout_side::New : rollout::rollout_side::Old,
              Evidence);
}

void rollout_conductor::judge() {
  if (LastVerdict.Kind != rollout::verdict_kind::Bad)
    LastVerdict = Verdict.judge();
}

void rollout_conductor::onRecord(const rollout_record &Next, steady_time Now) {
  if (Next.Stage != Record.Stage || Next.Share != Record.Share)
    StepSince = Now;
  if (Next.Elapsed != Record.Elapsed || Next.Stage != Record.Stage)
    SeenAt = Now;
  Record = Next;
}

std::chrono::milliseconds rollout_conductor::elapsed(steady_time Now) const {
  return Record.Elapsed +
         std::chrono::duration_cast<std::chrono::milliseconds>(Now - SeenAt);
}

rollout_record rollout_conductor::step(rollout_stage Stage, double Share,
                                       std::string Reason,
                                       steady_time Now) const {
  rollout_record Next = Record;
  Next.Stage = Stage;
  Next.Share = Share;
  Next.Elapsed = elapsed(Now);
  Next.Reason = std::move(Reason);
  return Next;
}

bool rollout_conductor::soundSoFar() const {
  double OldRate = Old.Calls == 0 ? 0 : double(Old.Errors) / double(Old.Calls);
  double HarmlessRate = OldRate + std::min(OldRate, MostHarmlessShare);
  double Harmless = HarmlessErrors + HarmlessRate * double(New.Calls);
  return double(New.Errors) <= Harmless;
}

std::optional<rollout_record>
rollout_conductor::next(const rollout_surroundings &Around,
                        steady_time Now) const {
  if (Record.Stage == rollout_stage::Completed ||
      Record.Stage == rollout_stage::RolledBack)
    return std::nullopt;
  if (LastVerdict.Kind == rollout::verdict_kind::Bad)
    return step(rollout_stage::RolledBack, 0, LastVerdict.Reason, Now);
  double Part = double(elapsed(Now).count()) /
                double(std::max<long long>(Record.Duration.count(), 1));
  double FirstShare = Bounds.ExposedShare * FirstSharePart;
  double SecondShare = std::min(1.0, Bounds.ExposedShare * SecondShareFactor);
  if (Record.Stage == rollout_stage::Switching) {
    if (!soundSoFar())
      return step(rollout_stage::RolledBack, 0, "errors under full load", Now);
    // A node that has taken over may not have heard of any call.
    bool Known = New.Calls >= CallsToJudge || Part >= LatestCompletion;
    if (!Known || Now - StepSince < Around.LongestCall + SpreadTime)
      return std::nullopt;
    return step(rollout_stage::Completed, 1, "no fault found", Now);
  }
  if (Part >= LatestSwitch)
    return step(rollout_stage::RolledBack, 0, "not proven in time", Now);
  if (Around.NewServers == 0)
    return std::nullopt;
  if (Record.Stage == rollout_stage::Ordered)
    return step(rollout_stage::Running, FirstShare, "servers are ready", Now);
  if (!soundSoFar() || New.Calls < CallsToJudge)
    return std::nullopt;
  if (Part >= SwitchAt && Record.Share >= SecondShare)
    return step(rollout_stage::Switching, 1, "no fault with a share", Now);
  if (Part >= WidenAt && Record.Share < SecondShare)
    return step(rollout_stage::Running, SecondShare, "no fault so far", Now);
  return std::nullopt;
}

} // namespace gentianlug::mesh
