#ifndef GENTIANLUG_NET_TASK_H
#define GENTIANLUG_NET_TASK_H

#include "gentianlug/net/event_loop.h"

#include <thread>

namespace gentianlug::net {

/// A thread with its own event loop, sockets and state.
///
/// A derived class owns its mailboxes; other tasks reach it only through them.
/// A derived class joins in its own destructor, before its members go.
class task {
public:
  task() = default;
  virtual ~task() = default;
  task(const task &) = delete;
  task &operator=(const task &) = delete;

  /// Starts the thread. Call it once, after the construction of all tasks.
  void start();

  /// Waits until the thread has ended.
  void join();

protected:
  event_loop &loop() { return Loop; }

  /// Runs first in the thread.
  virtual void onStart() = 0;

  /// Runs last in the thread, after the loop has ended.
  virtual void onStop() {}

private:
  event_loop Loop;
  std::thread Thread;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_TASK_H
