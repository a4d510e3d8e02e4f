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
  /// The state is as wanted already.
  Unchanged,
  /// The state does not allow the move.
  Refused,
};

/// What a move makes of an object's present state.
template <class T> struct update_decision {
  update_action Kind = update_action::Refused;
  /// The state to write, or the present one.
  T Next;
  /// Why the move is not needed or not allowed, as a sentence.
  std::string Reason;
};

/// Who moves something, when and why.
struct change_request {
  std::string Author;
  std::string Reason;
  std::string WriteId;
  wall_time Now;
};

enum class rollout_action : std::uint8_t { Pause, Resume, RollBack };

using rollout_decision = update_decision<rollout::rollout_state>;

/// Decides a move of a rollout. Id and epoch stay, so that the controller
/// notices the change at its next write and goes on from it.
///
/// \param Current the present state; null when no controller has written one.
rollout_decision decideRolloutAction(const rollout::rollout_state *Current,
                                     rollout_action Move,
                                     const change_request &Request);

using zone_decision = update_decision<store::zone_state>;

/// Decides to take \p Zone out or to bring it back. An unknown zone and the
/// last one in service are not taken out.
///
/// \param Current the present state; null when no zone was ever moved.
/// \param Known the zones of the configuration in force.
zone_decision decideZoneChange(const store::zone_state *Current,
                               const std::set<zone_name> &Known,
                               const zone_name &Zone, bool TakeOut,
                               const change_request &Request);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_STATE_CHANGES_H
