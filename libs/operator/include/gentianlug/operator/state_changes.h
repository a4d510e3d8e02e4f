#ifndef GENTIANLUG_OPERATOR_STATE_CHANGES_H
#define GENTIANLUG_OPERATOR_STATE_CHANGES_H

#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/store/zone_state.h"

#include <set>
#include <string>

namespace gentianlug::operator_cli {

enum class update_action : std::uint8_t {
  /// Write the next state.
  Write,
  /// The object already has the requested state.
  Unchanged,
  /// The current state does not permit the change.
  Refused,
};

/// Decision on a requested change of a stored object.
template <class T> struct update_decision {
  update_action Action = update_action::Refused;
  /// The state to write; the current state when nothing is to be written.
  T Next;
  /// Why the change is not needed or not permitted, as a clause for the report.
  std::string Reason;
};

/// Author, reason and time of a change that an operator requests.
struct change_request {
  std::string Author;
  std::string Reason;
  /// Identifies the write, so that it is recognized when its response is lost.
  std::string WriteId;
  wall_time Now;
};

enum class rollout_action : std::uint8_t { Pause, Resume, RollBack };

using rollout_decision = update_decision<rollout::rollout_state>;

/// Decides whether to pause, resume or roll back a rollout.
///
/// The id and the epoch are kept: the controller then detects the change by the
/// conflict of its next write, and continues from the new state.
///
/// \param Current the stored state; null when no controller has written one.
rollout_decision decideRolloutAction(const rollout::rollout_state *Current,
                                     rollout_action Action,
                                     const change_request &Request);

using zone_decision = update_decision<store::zone_state>;

/// Decides whether to take \p Zone out of service or to return it to service.
/// Refuses to take out an unknown zone or the last zone in service.
///
/// \param Current the stored state; null when no zone was ever taken out.
/// \param ConfiguredZones the zones of the configuration in force; not used
/// when the zone is returned to service.
zone_decision decideZoneChange(const store::zone_state *Current,
                               const std::set<zone_name> &ConfiguredZones,
                               const zone_name &Zone, bool TakeOut,
                               const change_request &Request);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_STATE_CHANGES_H
