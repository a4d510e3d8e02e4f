#ifndef GENTIANLUG_NET_WAKEUP_H
#define GENTIANLUG_NET_WAKEUP_H

#include <functional>
#include <memory>

namespace gentianlug::net {

class event_loop;

/// Runs an action in an event loop when another thread signals.
class wakeup {
public:
  wakeup(event_loop &Loop, std::function<void()> Action);
  ~wakeup();
  wakeup(const wakeup &) = delete;
  wakeup &operator=(const wakeup &) = delete;

  /// Wakes the loop. Safe to call from any thread; several signals before the
  /// loop runs count as one.
  void signal();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_WAKEUP_H
