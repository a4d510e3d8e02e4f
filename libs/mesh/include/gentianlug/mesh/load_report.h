#ifndef GENTIANLUG_MESH_LOAD_REPORT_H
#define GENTIANLUG_MESH_LOAD_REPORT_H

#include <chrono>
#include <cstdint>

namespace gentianlug::mesh {

/// Load of a server, reported by its node with each response.
struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Number of calls that may run concurrently now; 0 if none may run.
  std::uint32_t ConcurrencyLimit = 0;
  /// Moving average of the processing time of a call, plus the time to send
  /// the current backlog of the network link; 0 before the first response.
  std::chrono::milliseconds ServiceTime{0};

  friend bool operator==(const load_report &, const load_report &) = default;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_LOAD_REPORT_H
