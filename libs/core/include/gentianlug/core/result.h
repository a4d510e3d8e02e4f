#ifndef GENTIANLUG_CORE_RESULT_H
#define GENTIANLUG_CORE_RESULT_H

#include "gentianlug/core/error.h"

#include <optional>
#include <utility>
#include <variant>

namespace gentianlug {

/// Either a value or an error.
///
/// Example: `result<int> R = parse("7"); if (!R) return R.failure();`
template <class T> class [[nodiscard]] result {
public:
  // Implicit, so that functions can return a value or an error directly.
  result(T Value) : State(std::in_place_index<0>, std::move(Value)) {}
  result(error Failure) : State(std::in_place_index<1>, std::move(Failure)) {}

  explicit operator bool() const { return State.index() == 0; }

  /// Precondition of all accessors of the value: the result holds a value.
  T &operator*() { return *std::get_if<0>(&State); }
  const T &operator*() const { return *std::get_if<0>(&State); }
  T *operator->() { return std::get_if<0>(&State); }
  const T *operator->() const { return std::get_if<0>(&State); }

  /// Precondition: the result holds an error.
  const error &failure() const { return *std::get_if<1>(&State); }

private:
  std::variant<T, error> State;
};

/// Either success or an error, for operations that return no value.
template <> class [[nodiscard]] result<void> {
public:
  result() = default;
  result(error Failure) : Failure(std::move(Failure)) {}

  explicit operator bool() const { return !Failure; }

  /// Precondition: the result holds an error.
  const error &failure() const { return *Failure; }

private:
  std::optional<error> Failure;
};

} // namespace gentianlug

#endif // GENTIANLUG_CORE_RESULT_H
