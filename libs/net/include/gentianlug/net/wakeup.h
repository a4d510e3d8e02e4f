#ifndef GENTIANLUG_NET_WAKEUP_H
#define GENTIANLUG_NET_WAKEUP_H

#include <functional>
#include <memory>

namespace gentianlug::net {

class event_loop;

/// Runs an action in an event loop at the request of another thread.
class wakeup {
public:
  wakeup(event_loop &Loop, std::function<void()> Action);
  ~wakeup();
  wakeup(const wakeup &) = delete;
  wakeup &operator=(const wakeup &) = delete;

  /// Schedules the action. Safe to call from any thread. Signals that arrive
  /// before the action runs are merged into one.
  void signal();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_WAKEUP_H
