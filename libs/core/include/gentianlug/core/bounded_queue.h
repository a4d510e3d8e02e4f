#ifndef GENTIANLUG_CORE_BOUNDED_QUEUE_H
#define GENTIANLUG_CORE_BOUNDED_QUEUE_H

#include <cstddef>
#include <deque>
#include <utility>

namespace gentianlug {

/// FIFO queue with a fixed capacity.
template <class T> class bounded_queue {
public:
  explicit bounded_queue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Appends \p Item. If the queue is full, drops it and returns false.
  bool push(T Item) {
    if (Items.size() >= Capacity)
      return false;
    Items.push_back(std::move(Item));
    return true;
  }

  /// Removes and returns the oldest item. Precondition: the queue is not empty.
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
