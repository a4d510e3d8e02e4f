#ifndef GENTIANLUG_STORE_OBJECT_STORE_H
#define GENTIANLUG_STORE_OBJECT_STORE_H

#include "gentianlug/core/ids.h"
#include "gentianlug/core/result.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::store {

/// Largest value of one object, in bytes.
inline constexpr std::size_t MaxValueBytes = 1 << 20;

struct object {
  std::string Key;
  std::string Value;
  object_revision Revision = 0;
};

/// A change reported by a watch; a deleted object has no value.
struct object_change {
  std::string Key;
  std::optional<std::string> Value;
  object_revision Revision = 0;
};

/// Changes below a prefix, ordered by revision.
struct change_batch {
  std::vector<object_change> Changes;
  /// Revision from which the next watch continues.
  object_revision Revision = 0;
};

/// Objects below a prefix and the revision of the store when it was listed.
struct object_list {
  std::vector<object> Objects;
  object_revision Revision = 0;
};

/// Client interface of the platform's store of versioned objects.
///
/// Operations complete asynchronously on the owner's event loop; each callback
/// runs exactly once. After `store_errc::NoResponse` the outcome of a write is
/// unknown; to determine it, read the object and compare its write id.
class object_store {
public:
  template <class T> using callback = std::function<void(result<T>)>;

  virtual ~object_store() = default;

  /// Reads one object. Errors: `NotFound`, `NoResponse`, `RateLimited`.
  virtual void get(const std::string &Key, callback<object> Done) = 0;

  /// Writes one object.
  ///
  /// \param Expected the revision that the object must have; 0 creates it,
  /// `std::nullopt` writes unconditionally.
  /// \returns the new revision. Errors: `Conflict`, `TooLarge`, `NoResponse`,
  /// `RateLimited`.
  virtual void put(const std::string &Key, const std::string &Value,
                   std::optional<object_revision> Expected,
                   callback<object_revision> Done) = 0;

  /// Deletes one object if it has the revision \p Expected.
  virtual void remove(const std::string &Key, object_revision Expected,
                      callback<object_revision> Done) = 0;

  /// Lists the objects whose keys start with \p Prefix.
  virtual void list(const std::string &Prefix, callback<object_list> Done) = 0;

  /// Waits for changes below \p Prefix after the revision \p After.
  ///
  /// \param Wait maximum time until the response, which is empty if there was
  /// no change.
  /// Errors: `TooOld`, `NoResponse`, `RateLimited`.
  virtual void watch(const std::string &Prefix, object_revision After,
                     std::chrono::milliseconds Wait,
                     callback<change_batch> Done) = 0;
};

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_OBJECT_STORE_H
