#ifndef GENTIANLUG_MESH_SERVING_REPORT_H
#define GENTIANLUG_MESH_SERVING_REPORT_H

#include <chrono>
#include <cstdint>

namespace gentianlug::mesh {

/// Load of a server, as the node beside it reports it with each answer.
struct serving_report {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Calls that the server may run at a time now; 0 while it may run none.
  std::uint32_t Limit = 0;
  /// Moving average of the time that the server needs for a call.
  std::chrono::milliseconds ServiceTime{0};

  friend bool operator==(const serving_report &,
                         const serving_report &) = default;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVING_REPORT_H
