#ifndef GENTIANLUG_MESH_STABLE_WALL_CLOCK_H
#define GENTIANLUG_MESH_STABLE_WALL_CLOCK_H

#include "gentianlug/core/clock.h"

#include <optional>

namespace gentianlug::mesh {

/// Wall time that does not follow short jumps of the machine's clock.
///
/// The time advances with the steady clock. Corrections of up to
/// `MaxCorrection` are followed at once, larger ones after they have lasted for
/// `JumpConfirmTime`.
class stable_wall_clock {
public:
  /// Returns the wall time at \p Steady, when the machine's clock shows \p
  /// Wall.
  wall_time update(steady_time Steady, wall_time Wall);

private:
  static constexpr std::chrono::milliseconds MaxCorrection{500};
  static constexpr std::chrono::seconds JumpConfirmTime{60};

  /// Wall time at the origin of the steady clock.
  std::optional<wall_time> Origin;
  /// Time since which the machine's clock differs by more than `MaxCorrection`.
  std::optional<steady_time> JumpedAt;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_STABLE_WALL_CLOCK_H
