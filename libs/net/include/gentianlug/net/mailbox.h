#ifndef GENTIANLUG_NET_MAILBOX_H
#define GENTIANLUG_NET_MAILBOX_H

#include "gentianlug/net/wakeup.h"

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace gentianlug::net {

/// Bound of a mailbox unless its owner chooses another.
inline constexpr std::size_t DefaultMailboxBound = 4096;

/// Typed messages to the owner of an event loop.
///
/// The handler runs in the owner's thread, one message after the other.
/// Example: `mailbox<stop_request> Stop(Loop, [&](stop_request R) { ... });`
template <class Message> class mailbox {
public:
  mailbox(event_loop &Loop, std::function<void(Message)> Handler,
          std::size_t Bound = DefaultMailboxBound)
      : Handler(std::move(Handler)), Bound(Bound),
        Wakeup(Loop, [this] { deliver(); }) {}

  /// Appends a message and wakes the owner. Safe to call from any thread.
  ///
  /// \returns false when the mailbox is full; the message is dropped.
  bool post(Message Item) {
    {
      std::lock_guard Lock(Mutex);
      if (Items.size() >= Bound)
        return false;
      Items.push_back(std::move(Item));
    }
    Wakeup.signal();
    return true;
  }

private:
  void deliver() {
    std::deque<Message> Batch;
    {
      std::lock_guard Lock(Mutex);
      Batch.swap(Items);
    }
    for (Message &Item : Batch)
      Handler(std::move(Item));
  }

  std::function<void(Message)> Handler;
  std::size_t Bound;
  std::mutex Mutex;
  std::deque<Message> Items;
  // Last, so that no signal can reach a mailbox whose queue is gone.
  wakeup Wakeup;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_MAILBOX_H
