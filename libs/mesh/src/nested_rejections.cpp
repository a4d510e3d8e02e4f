#include "gentianlug/mesh/nested_rejections.h"

#include <algorithm>

namespace gentianlug::mesh {

void nested_rejections::onRejected(steady_time Now) {
  if (Rejections.size() >= MaxRejections)
    Rejections.pop_front();
  Rejections.push_back(Now);
}

bool nested_rejections::explainError(steady_time StartedAt) {
  auto Found =
      std::lower_bound(Rejections.begin(), Rejections.end(), StartedAt);
  if (Found == Rejections.end())
    return false;
  Rejections.erase(Rejections.begin(), Found + 1);
  return true;
}

} // namespace gentianlug::mesh
