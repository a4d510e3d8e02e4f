#ifndef GENTIANLUG_STANDINS_SERVER_LOAD_H
#define GENTIANLUG_STANDINS_SERVER_LOAD_H

#include "gentianlug/core/clock.h"
#include "server_settings.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace gentianlug::standins {

/// Capacity model of a backend server: decides which calls run, which are
/// queued, and when overload crashes the server.
class server_load {
public:
  using call_number = std::uint64_t;

  explicit server_load(steady_time Now) : StartTime(Now) {}

  void enqueue(call_number Call) { Queue.push_back(Call); }

  /// Moves the next queued call to a free slot and returns it; nothing if there
  /// is none.
  std::optional<call_number> startNext(const server_behaviour &Behaviour,
                                       steady_time Now);

  /// Removes a finished, canceled or refused call.
  void remove(call_number Call);

  /// Returns the number of calls that the server can run at a time, which grows
  /// during warm-up.
  std::uint32_t capacity(const server_behaviour &Behaviour,
                         steady_time Now) const;

  /// Returns whether the server has been overloaded long enough to crash.
  bool shouldCrash(const server_behaviour &Behaviour, steady_time Now);

  /// Restarts the warm-up. Running calls continue but no longer occupy slots.
  void restart(steady_time Now);

  /// Removes all calls.
  void clear();

  std::size_t inFlight() const { return Queue.size() + Running.size(); }
  std::size_t queued() const { return Queue.size(); }

private:
  steady_time StartTime;
  std::optional<steady_time> OverloadedSince;
  std::deque<call_number> Queue;
  std::set<call_number> Running;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_LOAD_H
