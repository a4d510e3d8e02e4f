#include "gentianlug/mesh/usage.h"

namespace gentianlug::mesh {

usage_window usage_terms::windowAt(wall_time Time) const {
  return std::chrono::floor<std::chrono::milliseconds>(Time.time_since_epoch())
             .count() /
         WindowLength.count();
}

wall_time usage_terms::beginOf(usage_window Window) const {
  return wall_time(WindowLength * Window);
}

} // namespace gentianlug::mesh
