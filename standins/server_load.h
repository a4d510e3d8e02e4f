#ifndef GENTIANLUG_STANDINS_SERVER_LOAD_H
#define GENTIANLUG_STANDINS_SERVER_LOAD_H

#include "gentianlug/core/clock.h"
#include "server_settings.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace gentianlug::standins {

/// Decides which calls of a backend server run, which wait inside it, and when
/// it falls over.
class server_load {
public:
  using call_number = std::uint64_t;

  explicit server_load(steady_time Now) : Started(Now) {}

  /// Puts a call behind those that wait.
  void arrive(call_number Call) { Waiting.push_back(Call); }

  /// Takes the next call to run, or nothing while all slots are busy.
  std::optional<call_number> startNext(const server_behaviour &Behaviour,
                                       steady_time Now);

  /// Forgets a finished, canceled or refused call.
  void leave(call_number Call);

  /// Calls that the server can run at a time now; fewer while it is cold.
  std::uint32_t capacity(const server_behaviour &Behaviour,
                         steady_time Now) const;

  /// Returns whether the load has been far too high for too long.
  bool fallsOver(const server_behaviour &Behaviour, steady_time Now);

  /// Starts a new cold life. Calls that run already go on beside it.
  void restart(steady_time Now);

  /// Drops all calls.
  void clear();

  std::size_t inFlight() const { return Waiting.size() + Running.size(); }
  std::size_t waiting() const { return Waiting.size(); }

private:
  steady_time Started;
  std::optional<steady_time> OverloadedSince;
  std::deque<call_number> Waiting;
  std::set<call_number> Running;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_SERVER_LOAD_H
