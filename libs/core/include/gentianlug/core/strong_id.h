#ifndef GENTIANLUG_CORE_STRONG_ID_H
#define GENTIANLUG_CORE_STRONG_ID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace gentianlug {

/// A string identifier. Identifiers with different tags are distinct types and
/// cannot be mixed up.
template <class Tag> struct strong_id {
  std::string Value;

  strong_id() = default;
  explicit strong_id(std::string Value) : Value(std::move(Value)) {}

  bool empty() const { return Value.empty(); }
  const std::string &str() const { return Value; }

  friend auto operator<=>(const strong_id &, const strong_id &) = default;
};

} // namespace gentianlug

template <class Tag> struct std::hash<gentianlug::strong_id<Tag>> {
  std::size_t operator()(const gentianlug::strong_id<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.Value);
  }
};

#endif // GENTIANLUG_CORE_STRONG_ID_H
