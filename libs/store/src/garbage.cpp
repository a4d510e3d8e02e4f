#include "gentianlug/store/garbage.h"

namespace gentianlug::store {

collection_plan planCollection(const std::vector<stored_content> &Stored,
                               const std::set<std::string> &Referenced,
                               const garbage_marks &Marks, wall_time Now) {
  collection_plan Plan;
  for (const stored_content &Object : Stored) {
    if (Referenced.count(Object.Key) || Plan.Marks.size() == MaxGarbageMarks)
      continue;
    garbage_mark Mark{Object.Revision, Now};
    auto PreviousMark = Marks.find(Object.Key);
    bool MarkIsValid = PreviousMark != Marks.end() &&
                       PreviousMark->second.Revision == Object.Revision &&
                       PreviousMark->second.Since <= Now;
    if (MarkIsValid)
      Mark = PreviousMark->second;
    if (Now - Mark.Since >= MinUnreferencedTime)
      Plan.Removals.push_back(Object);
    Plan.Marks.emplace(Object.Key, Mark);
  }
  return Plan;
}

} // namespace gentianlug::store
