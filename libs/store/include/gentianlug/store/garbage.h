#ifndef GENTIANLUG_STORE_GARBAGE_H
#define GENTIANLUG_STORE_GARBAGE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Time that an object must have been unreferenced before it is removed, so
/// that a slow reader of an older version can finish.
inline constexpr std::chrono::hours MinUnreferencedTime{1};

/// Marks kept at a time; about 100 bytes each keep their object below 1 MB.
/// Further unreferenced objects are marked by a later run.
inline constexpr std::size_t MaxGarbageMarks = 5000;

/// Since when a revision of an object has been unreferenced.
struct garbage_mark {
  object_revision Revision = 0;
  wall_time Since;

  bool operator==(const garbage_mark &) const = default;
};

/// Value of `gc/marks`: marks by object key.
using garbage_marks = std::map<std::string, garbage_mark>;

/// A content-addressed object as the collector found it.
struct stored_content {
  std::string Key;
  object_revision Revision = 0;

  bool operator==(const stored_content &) const = default;
};

/// What one run of the collector does: it stores the marks first, then
/// removes objects, each only if it still has the marked revision.
struct collection_plan {
  garbage_marks Marks;
  std::vector<stored_content> Removals;
};

/// Plans one run.
///
/// An operator who uses an object again rewrites it first. This raises its
/// revision, so a removal under way fails and the mark starts anew.
///
/// \param Stored all content-addressed objects.
/// \param Referenced keys that one of the kept versions refers to.
/// \param Marks the marks of the last run; one in the future starts anew.
/// \param Now wall time, since marks outlive processes and VMs.
///
/// Complexity: n log n in the number of objects.
collection_plan planCollection(const std::vector<stored_content> &Stored,
                               const std::set<std::string> &Referenced,
                               const garbage_marks &Marks, wall_time Now);

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_GARBAGE_H
