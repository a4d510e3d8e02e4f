#ifndef GENTIANLUG_STANDINS_PLATFORM_STORE_H
#define GENTIANLUG_STANDINS_PLATFORM_STORE_H

#include "gentianlug/store/object_store.h"
#include "gentianlug/store/store_errc.h"

#include <deque>
#include <map>
#include <string>

namespace gentianlug::standins {

/// Length of the change log. A watch that resumes from before its start gets
/// `TooOld`.
inline constexpr std::size_t MaxRetainedChanges = 20000;

/// In-memory object store with revisions and a bounded change log.
class platform_store {
public:
  result<store::object> get(const std::string &Key) const;

  result<object_revision> put(const std::string &Key, std::string Value,
                              std::optional<object_revision> Expected);

  result<object_revision> remove(const std::string &Key,
                                 object_revision Expected);

  store::object_list list(const std::string &Prefix) const;

  /// Returns the changes to keys that start with \p Prefix and are newer than
  /// \p After. Errors: `store_errc::TooOld`.
  result<store::change_batch> changes(const std::string &Prefix,
                                      object_revision After) const;

private:
  object_revision appendChange(const std::string &Key,
                               std::optional<std::string> Value);

  std::map<std::string, store::object> Objects;
  std::deque<store::object_change> ChangeLog;
  object_revision Revision = 0;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_PLATFORM_STORE_H
