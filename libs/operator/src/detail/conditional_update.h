#ifndef GENTIANLUG_OPERATOR_DETAIL_CONDITIONAL_UPDATE_H
#define GENTIANLUG_OPERATOR_DETAIL_CONDITIONAL_UPDATE_H

#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/operator/state_changes.h"
#include "gentianlug/operator/sync_store.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"

#include <functional>

namespace gentianlug::operator_cli::detail {

/// Attempts to write an object before an update fails. An attempt is repeated
/// after a write conflict or a lost response.
inline constexpr unsigned MaxUpdateAttempts = 5;

/// Value of an object, if it exists, and the revision that the next write must
/// expect.
template <class T> struct observed_value {
  std::optional<T> Value;
  object_revision Revision = 0;
};

/// Reads and decodes an object; one that does not exist has no value and the
/// revision 0. Returns `Refused` when the value is malformed.
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

/// Updates an object by optimistic concurrency control.
///
/// \p Decide is given the current value and returns the value to write. After a
/// write conflict or a lost response the object is read again. If its value has
/// the write id of the last attempt, that write took effect; otherwise
/// \p Decide is called again with the new value.
///
/// \returns the last decision. When every attempt fails, `Refused` with the
/// last value as \p Describe words it.
template <class T>
result<update_decision<T>>
updateConditionally(sync_store &Store, const std::string &Key,
                    result<T> (*Decode)(std::string_view),
                    const std::function<update_decision<T>(const T *)> &Decide,
                    const std::function<std::string(const T &)> &Describe) {
  std::string LastState;
  std::optional<update_decision<T>> LastAttempt;
  for (unsigned Attempt = 0; Attempt < MaxUpdateAttempts; ++Attempt) {
    auto Observed = observe(Store, Key, Decode);
    if (!Observed)
      return Observed.failure();
    const T *Value = Observed->Value ? &*Observed->Value : nullptr;
    if (LastAttempt && Value && Value->WriteId == LastAttempt->Next.WriteId)
      return std::move(*LastAttempt);
    update_decision<T> Decision = Decide(Value);
    if (Decision.Action != update_action::Write)
      return Decision;
    auto Written =
        Store.putIf(Key, wire::encode(Decision.Next), Observed->Revision);
    if (Written)
      return Decision;
    bool Ambiguous =
        hasCode(Written.failure(), store::store_errc::NoResponse) ||
        hasCode(Written.failure(), store::store_errc::Conflict);
    if (!Ambiguous)
      return Written.failure();
    LastState = Value ? Describe(*Value) : "no value";
    LastAttempt = std::move(Decision);
  }
  return makeError(
      operator_errc::Refused,
      "others changed " + Key + " " + std::to_string(MaxUpdateAttempts) +
          " times during this update, most recently to: " + LastState);
}

} // namespace gentianlug::operator_cli::detail

#endif // GENTIANLUG_OPERATOR_DETAIL_CONDITIONAL_UPDATE_H
