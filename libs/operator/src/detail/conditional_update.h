#ifndef GENTIANLUG_OPERATOR_DETAIL_CONDITIONAL_UPDATE_H
#define GENTIANLUG_OPERATOR_DETAIL_CONDITIONAL_UPDATE_H

#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/operator/state_changes.h"
#include "gentianlug/operator/sync_store.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"

#include <functional>

namespace gentianlug::operator_cli::detail {

/// Lost races and lost answers after which an update gives up.
inline constexpr unsigned MaxUpdateTries = 5;

/// An object's value with the revision that a write of it must expect.
template <class T> struct observed_value {
  std::optional<T> Value;
  object_revision Revision = 0;
};

template <class T>
result<observed_value<T>> observe(sync_store &Store, const std::string &Key,
                                  result<T> (*Decode)(std::string_view)) {
  auto Object = Store.get(Key);
  if (!Object && hasCode(Object.failure(), store::store_errc::NotFound))
    return observed_value<T>{};
  if (!Object)
    return Object.failure();
  auto Value = Decode(Object->Value);
  if (!Value)
    return makeError(
        operator_errc::Refused,
        Key + " on the platform is malformed: " + Value.failure().message());
  return observed_value<T>{std::move(*Value), Object->Revision};
}

/// Moves one object on by a decision on its present value.
///
/// A write that loses a race, or whose answer is lost, is decided anew from
/// the value that is there then. The own write id tells an effective write.
///
/// \returns the last decision, or `Refused` with the last value's text from
/// \p Describe when others keep winning.
template <class T>
result<update_decision<T>>
updateConditionally(sync_store &Store, const std::string &Key,
                    result<T> (*Decode)(std::string_view),
                    const std::function<update_decision<T>(const T *)> &Decide,
                    const std::function<std::string(const T &)> &Describe) {
  std::string LastState;
  std::optional<update_decision<T>> Attempt;
  for (unsigned Try = 0; Try < MaxUpdateTries; ++Try) {
    auto Observed = observe(Store, Key, Decode);
    if (!Observed)
      return Observed.failure();
    const T *Value = Observed->Value ? &*Observed->Value : nullptr;
    if (Attempt && Value && Value->WriteId == Attempt->Next.WriteId)
      return std::move(*Attempt);
    update_decision<T> Decision = Decide(Value);
    if (Decision.Kind != update_action::Write)
      return Decision;
    auto Written =
        Store.putIf(Key, wire::encode(Decision.Next), Observed->Revision);
    if (Written)
      return Decision;
    bool Open = hasCode(Written.failure(), store::store_errc::NoAnswer) ||
                hasCode(Written.failure(), store::store_errc::Conflict);
    if (!Open)
      return Written.failure();
    LastState = Value ? Describe(*Value) : "no state";
    Attempt = std::move(Decision);
  }
  return makeError(operator_errc::Refused,
                   "others changed " + Key + " " +
                       std::to_string(MaxUpdateTries) +
                       " times in between, last to: " + LastState);
}

} // namespace gentianlug::operator_cli::detail

#endif // GENTIANLUG_OPERATOR_DETAIL_CONDITIONAL_UPDATE_H
