#include "gentianlug/mesh/shutdown_schedule.h"

#include <algorithm>

namespace gentianlug::mesh {

static constexpr std::chrono::milliseconds PeerNoticePeriod{500};
static constexpr std::chrono::milliseconds CallerNoticePeriod{2500};
/// A response that its server has given before the last sixth of the grace
/// period must reach the caller. The first half of that sixth is left for its
/// way here; in the second half the remaining responses are sent, and the
/// process exits.
static constexpr int AnswerReserveDivisor = 12;
static constexpr int EndReserveDivisor = 24;

shutdown_schedule makeShutdownSchedule(std::chrono::milliseconds GracePeriod,
                                       std::chrono::milliseconds MaxCallTime) {
  shutdown_schedule Schedule;
  Schedule.AnswerOpenCallsAt = GracePeriod - GracePeriod / AnswerReserveDivisor;
  Schedule.EndAt = GracePeriod - GracePeriod / EndReserveDivisor;
  Schedule.RejectPeerCallsAt =
      std::min(PeerNoticePeriod, Schedule.AnswerOpenCallsAt);
  Schedule.MayEndAt = std::min(CallerNoticePeriod, Schedule.AnswerOpenCallsAt);
  Schedule.RejectNewCallsAt = std::max(
      std::chrono::milliseconds(0), Schedule.AnswerOpenCallsAt - MaxCallTime);
  return Schedule;
}

} // namespace gentianlug::mesh
