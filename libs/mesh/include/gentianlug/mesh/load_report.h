#ifndef GENTIANLUG_MESH_LOAD_REPORT_H
#define GENTIANLUG_MESH_LOAD_REPORT_H

#include <chrono>
#include <cstdint>

namespace gentianlug::mesh {

/// Load of a server, as the node beside it reports it with each answer.
struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Calls that the server may run at a time now; 0 while it may run none.
  std::uint32_t ConcurrencyLimit = 0;
  /// Moving average of the time that the server needs for a call.
  std::chrono::milliseconds ServiceTime{0};

  friend bool operator==(const load_report &, const load_report &) = default;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_LOAD_REPORT_H
