#include "gentianlug/operator/state_changes.h"

namespace gentianlug::operator_cli {

using rollout::rollout_phase;
using rollout::rollout_state;
using store::zone_state;

/// Returns a decision that carries the current state.
static rollout_decision keepState(update_action Kind,
                                  const rollout_state &Current,
                                  std::string Reason) {
  return {Kind, Current, std::move(Reason)};
}

/// Returns why the rollout can no longer be changed; empty when it can.
static std::string notChangeableReason(const rollout_state &Current,
                                       wall_time Now) {
  if (Current.Phase == rollout_phase::Completed)
    return "the rollout is done; to leave the new version, apply a "
           "configuration with the old one";
  if (Current.Phase == rollout_phase::RolledBack)
    return "the rollout was taken back: " + Current.Reason;
  if (Current.FinishBy <= Now)
    return "the rollout's time has passed, so it counts as taken back";
  return {};
}

static rollout_phase nextPhase(rollout_action Action,
                               const rollout_state &Current) {
  if (Action == rollout_action::Pause)
    return rollout_phase::Paused;
  if (Action == rollout_action::RollBack)
    return rollout_phase::RolledBack;
  if (Current.Phase != rollout_phase::Paused)
    return Current.Phase;
  return Current.Share > 0 ? rollout_phase::Progressing
                           : rollout_phase::Waiting;
}

rollout_decision decideRolloutAction(const rollout_state *Current,
                                     rollout_action Action,
                                     const change_request &Request) {
  if (!Current)
    return {update_action::Refused,
            {},
            "no rollout of this service has started; to cancel it, remove it "
            "from the configuration and apply"};
  bool AlreadyRolledBack = Current->Phase == rollout_phase::RolledBack;
  if (AlreadyRolledBack && Action == rollout_action::RollBack)
    return keepState(update_action::Unchanged, *Current,
                     "the rollout was taken back already: " + Current->Reason);
  if (std::string Reason = notChangeableReason(*Current, Request.Now);
      !Reason.empty())
    return keepState(update_action::Refused, *Current, std::move(Reason));
  rollout_phase Phase = nextPhase(Action, *Current);
  if (Phase == Current->Phase)
    return keepState(update_action::Unchanged, *Current,
                     Phase == rollout_phase::Paused
                         ? "the rollout is paused already: " + Current->Reason
                         : "the rollout is not paused");
  rollout_decision Decision = keepState(update_action::Write, *Current, {});
  Decision.Next.Phase = Phase;
  Decision.Next.Reason = Request.Reason + " (" + Request.Author + ")";
  Decision.Next.WriteId = Request.WriteId;
  if (Phase == rollout_phase::RolledBack) {
    Decision.Next.Share = 0;
    Decision.Next.NonIdempotentShare = 0;
  }
  return Decision;
}

/// Returns why \p Zone may not be taken out of service; empty when it may.
static std::string takeOutRefusal(const zone_state &State,
                                  const std::set<zone_name> &ConfiguredZones,
                                  const zone_name &Zone) {
  if (!ConfiguredZones.count(Zone)) {
    std::string ZoneList;
    for (const zone_name &Name : ConfiguredZones)
      ZoneList += (ZoneList.empty() ? "" : ", ") + Name.str();
    return "there is no zone " + Zone.str() +
           "; known zones: " + (ZoneList.empty() ? "none" : ZoneList);
  }
  for (const zone_name &Name : ConfiguredZones)
    if (Name != Zone && !State.OutOfService.count(Name))
      return {};
  return "zone " + Zone.str() + " is the last one in service";
}

static zone_decision zoneUnchanged(const zone_state &State,
                                   const zone_name &Zone, bool IsOut) {
  if (!IsOut)
    return {update_action::Unchanged, State,
            "zone " + Zone.str() + " is in service already"};
  const store::out_of_service_zone &Entry = State.OutOfService.at(Zone);
  return {update_action::Unchanged, State,
          "zone " + Zone.str() + " is out already, by " + Entry.Author + ": " +
              Entry.Reason};
}

zone_decision decideZoneChange(const zone_state *Current,
                               const std::set<zone_name> &ConfiguredZones,
                               const zone_name &Zone, bool TakeOut,
                               const change_request &Request) {
  zone_decision Decision{
      update_action::Write, Current ? *Current : zone_state{}, {}};
  zone_state &Next = Decision.Next;
  bool IsOut = Next.OutOfService.count(Zone) > 0;
  if (IsOut == TakeOut)
    return zoneUnchanged(Next, Zone, IsOut);
  if (TakeOut)
    Decision.Reason = takeOutRefusal(Next, ConfiguredZones, Zone);
  if (!Decision.Reason.empty()) {
    Decision.Action = update_action::Refused;
    return Decision;
  }
  if (TakeOut)
    Next.OutOfService[Zone] = {Request.Author, Request.Reason, Request.Now};
  else
    Next.OutOfService.erase(Zone);
  Next.RecentChanges.push_back(
      {Zone, TakeOut, Request.Author, Request.Reason, Request.Now});
  if (Next.RecentChanges.size() > store::MaxZoneChanges)
    Next.RecentChanges.erase(Next.RecentChanges.begin());
  Next.WriteId = Request.WriteId;
  return Decision;
}

} // namespace gentianlug::operator_cli
