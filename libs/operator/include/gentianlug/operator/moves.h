#ifndef GENTIANLUG_OPERATOR_MOVES_H
#define GENTIANLUG_OPERATOR_MOVES_H

#include "gentianlug/rollout/rollout_state.h"
#include "gentianlug/store/zone_state.h"

#include <set>
#include <string>

namespace gentianlug::operator_cli {

enum class move_kind : std::uint8_t {
  /// Write the next state.
  Write,
  /// The state is as wanted already.
  Already,
  /// The state does not allow the move.
  Refused,
};

/// What a move makes of an object's present state.
template <class T> struct move_decision {
  move_kind Kind = move_kind::Refused;
  /// The state to write, or the present one.
  T Next;
  /// Why the move is not needed or not allowed, as a sentence.
  std::string Reason;
};

/// Who moves something, when and why.
struct move_request {
  std::string Author;
  std::string Reason;
  std::string WriteId;
  wall_time Now;
};

enum class rollout_move : std::uint8_t { Pause, Resume, TakeBack };

using rollout_decision = move_decision<rollout::rollout_state>;

/// Decides a move of a rollout. Id and epoch stay, so that the controller
/// notices the change at its next write and goes on from it.
///
/// \param Current the present state; null when no controller has written one.
rollout_decision decideRolloutMove(const rollout::rollout_state *Current,
                                   rollout_move Move,
                                   const move_request &Request);

using zone_decision = move_decision<store::zone_state>;

/// Decides to take \p Zone out or to bring it back. An unknown zone and the
/// last one in service are not taken out.
///
/// \param Current the present state; null when no zone was ever moved.
/// \param Known the zones of the configuration in force.
zone_decision decideZoneMove(const store::zone_state *Current,
                             const std::set<zone_name> &Known,
                             const zone_name &Zone, bool TakeOut,
                             const move_request &Request);

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_MOVES_H
