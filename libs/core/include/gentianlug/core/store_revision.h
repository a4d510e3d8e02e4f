#ifndef GENTIANLUG_CORE_STORE_REVISION_H
#define GENTIANLUG_CORE_STORE_REVISION_H

#include <compare>
#include <cstdint>

namespace gentianlug {

/// Number of times that the platform's store has come back from an older copy;
/// 0 if the store does not say. Never decreases. No number converts to it, so
/// that a bare revision is not taken for an era.
enum class store_era : std::uint64_t {};

/// Revision of the platform's store, or of an object in it.
///
/// A restored store gives the numbers of the lost revisions out again, so that
/// a number alone says nothing about what is newer.
struct store_revision {
  store_era Era{};
  /// 0 means that there is no such object.
  std::uint64_t Number = 0;

  friend auto operator<=>(const store_revision &,
                          const store_revision &) = default;
};

} // namespace gentianlug

#endif // GENTIANLUG_CORE_STORE_REVISION_H
