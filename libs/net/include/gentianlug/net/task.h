#ifndef GENTIANLUG_NET_TASK_H
#define GENTIANLUG_NET_TASK_H

#include "gentianlug/net/event_loop.h"

#include <thread>

namespace gentianlug::net {

/// A thread with its own event loop, sockets and state.
///
/// A derived class owns its mailboxes; other tasks communicate with it only
/// through them. The destructor of a derived class must call `join`, before its
/// members are destroyed.
class task {
public:
  task() = default;
  virtual ~task() = default;
  task(const task &) = delete;
  task &operator=(const task &) = delete;

  /// Starts the thread. Must be called once, after all tasks are constructed.
  void start();

  /// Waits for the thread to end, if it was started.
  void join();

protected:
  event_loop &loop() { return Loop; }

  /// Called in the thread before the loop runs.
  virtual void onStart() = 0;

  /// Called in the thread after the loop has stopped.
  virtual void onStop() {}

private:
  event_loop Loop;
  std::thread Thread;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_TASK_H
