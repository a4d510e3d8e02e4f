#ifndef GENTIANLUG_NET_EVENT_LOOP_H
#define GENTIANLUG_NET_EVENT_LOOP_H

#include <functional>
#include <memory>

struct event_base;

namespace gentianlug::net {

/// A libevent loop, driven by the thread of one task.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Dispatches events until `stop` is called. Blocks while none is ready.
  void run();

  /// Makes `run` return. Must be called from the thread of the loop.
  void stop();

  /// Runs \p Action in the next iteration of the loop, for example to free an
  /// object that cannot be freed inside its own callback. Must be called from
  /// the thread of the loop. Actions that have not run when the loop is
  /// destroyed are destroyed with it.
  void defer(std::function<void()> Action);

  event_base *base() const { return Base.get(); }

private:
  struct base_deleter {
    void operator()(event_base *Base) const;
  };
  struct deferred_actions;

  std::unique_ptr<event_base, base_deleter> Base;
  std::unique_ptr<deferred_actions> Deferred;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_EVENT_LOOP_H
