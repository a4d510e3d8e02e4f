#ifndef GENTIANLUG_STORE_GARBAGE_H
#define GENTIANLUG_STORE_GARBAGE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Minimum time for which an object must be unreferenced before it is removed,
/// so that a slow reader of an older version can finish.
inline constexpr std::chrono::hours MinUnreferencedTime{1};

/// Maximum number of marks stored at a time. At about 100 bytes each, the
/// object that holds them stays below 1 MB. Further unreferenced objects are
/// marked by a later run.
inline constexpr std::size_t MaxGarbageMarks = 5000;

/// Time since which a revision of an object has been unreferenced.
struct garbage_mark {
  object_revision Revision = 0;
  wall_time Since;

  bool operator==(const garbage_mark &) const = default;
};

/// Value of `gc/marks`: marks by object key.
using garbage_marks = std::map<std::string, garbage_mark>;

/// A content-addressed object found by the collector.
struct stored_content {
  std::string Key;
  object_revision Revision = 0;

  bool operator==(const stored_content &) const = default;
};

/// Plan of one garbage collection run. The collector stores the marks first,
/// then removes each object on condition that its revision is still the marked
/// one.
struct collection_plan {
  garbage_marks Marks;
  std::vector<stored_content> Removals;
};

/// Plans one garbage collection run.
///
/// An operator who reuses an object rewrites it first. This raises its
/// revision, so that a removal in progress fails and the mark is reset.
///
/// \param Stored all content-addressed objects.
/// \param Referenced keys that any of the retained versions refers to.
/// \param Marks the marks of the previous run; a mark with a time in the
/// future is reset.
/// \param Now wall time, because marks outlive processes and VMs.
///
/// Complexity: n log n in the number of objects.
collection_plan planCollection(const std::vector<stored_content> &Stored,
                               const std::set<std::string> &Referenced,
                               const garbage_marks &Marks, wall_time Now);

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_GARBAGE_H
