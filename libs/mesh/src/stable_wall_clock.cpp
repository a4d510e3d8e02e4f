#include "gentianlug/mesh/stable_wall_clock.h"

namespace gentianlug::mesh {

wall_time stable_wall_clock::update(steady_time Steady, wall_time Wall) {
  auto Elapsed = std::chrono::duration_cast<wall_time::duration>(
      Steady.time_since_epoch());
  wall_time Observed = Wall - Elapsed;
  bool Jumped = Origin && std::chrono::abs(Observed - *Origin) > MaxCorrection;
  if (!Jumped)
    JumpedAt.reset();
  else if (!JumpedAt)
    JumpedAt = Steady;
  if (!Jumped || Steady - *JumpedAt >= JumpConfirmTime) {
    Origin = Observed;
    JumpedAt.reset();
  }
  return *Origin + Elapsed;
}

} // namespace gentianlug::mesh
