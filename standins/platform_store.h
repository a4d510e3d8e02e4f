#ifndef GENTIANLUG_STANDINS_PLATFORM_STORE_H
#define GENTIANLUG_STANDINS_PLATFORM_STORE_H

#include "gentianlug/store/object_store.h"
#include "gentianlug/store/store_errc.h"

#include <deque>
#include <map>
#include <string>

namespace gentianlug::standins {

/// Changes that a watch can resume from; older revisions are too old.
inline constexpr std::size_t KeptChanges = 20000;

/// Versioned objects in memory.
class platform_store {
public:
  result<store::object> get(const std::string &Key) const;

  result<object_revision> put(const std::string &Key, std::string Value,
                              std::optional<object_revision> Expected);

  result<object_revision> remove(const std::string &Key,
                                 object_revision Expected);

  store::object_list list(const std::string &Prefix) const;

  /// Returns the changes below \p Prefix after \p After, or `TooOld`.
  result<store::change_batch> changes(const std::string &Prefix,
                                      object_revision After) const;

private:
  object_revision record(const std::string &Key,
                         std::optional<std::string> Value);

  std::map<std::string, store::object> Objects;
  std::deque<store::object_change> Log;
  object_revision Revision = 0;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_PLATFORM_STORE_H
