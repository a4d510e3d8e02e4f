#ifndef GENTIANLUG_NET_MAILBOX_H
#define GENTIANLUG_NET_MAILBOX_H

#include "gentianlug/net/wakeup.h"

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace gentianlug::net {

/// Number of messages that a mailbox holds by default.
inline constexpr std::size_t DefaultMailboxCapacity = 4096;

/// Bounded queue that delivers messages of one type to the thread of an event
/// loop.
///
/// The handler runs in that thread, once for each message, in order.
/// Example: `mailbox<stop_request> Stop(Loop, [&](stop_request R) { ... });`
template <class Message> class mailbox {
public:
  mailbox(event_loop &Loop, std::function<void(Message)> Handler,
          std::size_t Capacity = DefaultMailboxCapacity)
      : Handler(std::move(Handler)), Capacity(Capacity),
        Wakeup(Loop, [this] { handleMessages(); }) {}

  /// Appends a message and wakes the event loop. Safe to call from any thread.
  ///
  /// \returns false if the mailbox is full and the message was dropped.
  bool post(Message Item) {
    {
      std::lock_guard Lock(Mutex);
      if (Messages.size() >= Capacity)
        return false;
      Messages.push_back(std::move(Item));
    }
    Wakeup.signal();
    return true;
  }

private:
  void handleMessages() {
    std::deque<Message> Batch;
    {
      std::lock_guard Lock(Mutex);
      Batch.swap(Messages);
    }
    for (Message &Item : Batch)
      Handler(std::move(Item));
  }

  std::function<void(Message)> Handler;
  std::size_t Capacity;
  std::mutex Mutex;
  std::deque<Message> Messages;
  // Declared last, and so destroyed first: `handleMessages` must not run after
  // the queue is destroyed.
  wakeup Wakeup;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_MAILBOX_H
