#ifndef GENTIANLUG_MESH_SHUTDOWN_SCHEDULE_H
#define GENTIANLUG_MESH_SHUTDOWN_SCHEDULE_H

#include <chrono>

namespace gentianlug::mesh {

/// Steps of a planned shutdown. All times are measured from the first
/// termination signal.
struct shutdown_schedule {
  /// The node rejects calls of other nodes. They have learned by then that it
  /// is stopping; a rejected call only makes them choose another server.
  std::chrono::milliseconds RejectPeerCallsAt{0};
  /// The node closes idle connections of callers, and ends once it has nothing
  /// left to do. Callers need up to two readiness checks, 1 s apart, to see
  /// that it is not ready.
  std::chrono::milliseconds MayEndAt{0};
  /// New calls are rejected, because their time may reach beyond
  /// `AnswerOpenCallsAt`.
  std::chrono::milliseconds RejectNewCallsAt{0};
  /// Calls whose servers are still working are answered by the node. Responses
  /// that wait behind them on their connections can then be sent.
  std::chrono::milliseconds AnswerOpenCallsAt{0};
  /// The process ends, whatever is left. The rest of the grace period is for
  /// its exit.
  std::chrono::milliseconds EndAt{0};
};

/// Divides \p GracePeriod, the time from the termination signal until the
/// platform kills the process.
///
/// \param MaxCallTime longest time that a new call may take.
shutdown_schedule makeShutdownSchedule(std::chrono::milliseconds GracePeriod,
                                       std::chrono::milliseconds MaxCallTime);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SHUTDOWN_SCHEDULE_H
