#ifndef GENTIANLUG_MESH_NESTED_REJECTIONS_H
#define GENTIANLUG_MESH_NESTED_REJECTIONS_H

#include "gentianlug/core/clock.h"

#include <deque>

namespace gentianlug::mesh {

/// Rejected calls of the local server, to tell its own errors from those that
/// the mesh caused.
///
/// A call of the server does not name the call that it belongs to, so each
/// rejection explains one error response. Holds at most `MaxRejections`; the
/// oldest ones are dropped.
class nested_rejections {
public:
  void onRejected(steady_time Now);
  /// Returns whether a rejection since \p StartedAt explains an error response
  /// to a call that started then, and removes it together with all older ones.
  bool explainError(steady_time StartedAt);

private:
  static constexpr std::size_t MaxRejections = 256;

  /// Oldest first.
  std::deque<steady_time> Rejections;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_NESTED_REJECTIONS_H
