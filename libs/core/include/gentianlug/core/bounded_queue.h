#ifndef GENTIANLUG_CORE_BOUNDED_QUEUE_H
#define GENTIANLUG_CORE_BOUNDED_QUEUE_H

#include <cstddef>
#include <deque>
#include <utility>

namespace gentianlug {

/// First-in first-out queue that refuses items beyond its bound.
template <class T> class bounded_queue {
public:
  explicit bounded_queue(std::size_t Bound) : Capacity(Bound) {}

  /// Appends \p Item; returns false and drops it when the queue is full.
  bool push(T Item) {
    if (Items.size() >= Capacity)
      return false;
    Items.push_back(std::move(Item));
    return true;
  }

  /// Precondition: not empty.
  T pop() {
    T Item = std::move(Items.front());
    Items.pop_front();
    return Item;
  }

  bool empty() const { return Items.empty(); }
  std::size_t size() const { return Items.size(); }

private:
  std::size_t Capacity;
  std::deque<T> Items;
};

} // namespace gentianlug

#endif // GENTIANLUG_CORE_BOUNDED_QUEUE_H
