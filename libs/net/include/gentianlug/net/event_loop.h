#ifndef GENTIANLUG_NET_EVENT_LOOP_H
#define GENTIANLUG_NET_EVENT_LOOP_H

#include <functional>
#include <memory>

struct event_base;

namespace gentianlug::net {

/// The event loop of one task.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Runs until `stop`. Blocks while no event is ready.
  void run();

  /// Ends `run`. Call it from the thread of the loop.
  void stop();

  /// Runs \p Action in the next round of the loop. Call it from the thread of
  /// the loop; for objects that cannot be freed inside their own callback. An
  /// action that has not run when the loop goes is destroyed with it.
  void defer(std::function<void()> Action);

  event_base *base() const { return Base.get(); }

private:
  struct base_deleter {
    void operator()(event_base *Base) const;
  };
  struct deferred;

  std::unique_ptr<event_base, base_deleter> Base;
  std::unique_ptr<deferred> Deferred;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_EVENT_LOOP_H
