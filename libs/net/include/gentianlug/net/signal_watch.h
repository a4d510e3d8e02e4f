#ifndef GENTIANLUG_NET_SIGNAL_WATCH_H
#define GENTIANLUG_NET_SIGNAL_WATCH_H

#include <functional>
#include <initializer_list>
#include <memory>

namespace gentianlug::net {

class event_loop;

/// Runs an action in an event loop each time the process receives one of the
/// given signals.
class signal_watch {
public:
  signal_watch(event_loop &Loop, std::initializer_list<int> Signals,
               std::function<void(int)> Action);
  ~signal_watch();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_SIGNAL_WATCH_H
