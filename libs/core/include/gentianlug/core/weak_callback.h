#ifndef GENTIANLUG_CORE_WEAK_CALLBACK_H
#define GENTIANLUG_CORE_WEAK_CALLBACK_H

#include <functional>
#include <memory>
#include <utility>

namespace gentianlug {

/// Returns a callback that passes \p Owner to \p Action, followed by the
/// arguments of the callback, and does nothing once \p Owner has been
/// destroyed.
///
/// Callbacks that another object runs later (a store, a transport, the event
/// loop) are bound to the state that they use, because a message in the
/// meantime may have replaced that state.
///
/// Example: `Store.probe(bindWeakly(Self, [](impl &Self, bool Reached) {}))`.
template <class T, class F>
auto bindWeakly(const std::shared_ptr<T> &Owner, F Action) {
  return [Weak = std::weak_ptr<T>(Owner),
          Action = std::move(Action)](auto &&...Arguments) mutable {
    if (std::shared_ptr<T> Self = Weak.lock())
      std::invoke(Action, *Self,
                  std::forward<decltype(Arguments)>(Arguments)...);
  };
}

} // namespace gentianlug

#endif // GENTIANLUG_CORE_WEAK_CALLBACK_H
