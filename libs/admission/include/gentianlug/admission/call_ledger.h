#ifndef GENTIANLUG_ADMISSION_CALL_LEDGER_H
#define GENTIANLUG_ADMISSION_CALL_LEDGER_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gentianlug::admission {

/// Answer of a call that must not run again.
struct recorded_response {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  bool operator==(const recorded_response &) const = default;
};

/// Bounds of a ledger.
struct ledger_bounds {
  /// Larger answers are not kept; the ledger then knows only that the call ran.
  std::size_t MaxResponseBytes = 64 << 10;
  std::size_t MaxBytes = 32 << 20;
  std::chrono::seconds RetentionTime{60};
};

/// Attempt number that covers all attempts of a call.
inline constexpr std::uint32_t AllAttempts = UINT32_MAX;

/// Remembers each non-idempotent call, so that it runs at most once.
///
/// A running call reserves room for its answer. When no room is left, new
/// calls are not accepted; no entry is dropped before its time.
class call_ledger {
public:
  /// What the ledger knows of a call id.
  enum class state : std::uint8_t {
    /// `begin` only: the call is new and may run now.
    Started,
    Running,
    Completed,
    /// The call ran and its answer was too large to be kept.
    ResponseNotKept,
    /// The call has not run, and copies of it will not run.
    Refused,
    /// No room to remember the id.
    Full,
  };

  explicit call_ledger(ledger_bounds Bounds = {}) : Bounds(Bounds) {}

  /// A copy of a call wants to run.
  ///
  /// \param Attempt a copy with a later attempt than the refused ones may run.
  state begin(const call_id &Id, std::uint32_t Attempt, steady_time Now);

  /// Records the answer of a running call.
  ///
  /// \param Answer nothing when the answer was too large to be collected.
  void finish(const call_id &Id, std::optional<recorded_response> Answer,
              steady_time Now);

  /// A running call ended although no byte of it reached the server.
  void abandon(const call_id &Id, steady_time Now);

  /// Somebody asks for the call. An unknown id is refused from now on.
  ///
  /// \param Attempt the last attempt that has been sent.
  state queryOrRefuse(const call_id &Id, std::uint32_t Attempt,
                      steady_time Now);

  /// Returns whether this attempt of the call has been refused for good.
  bool isRefused(const call_id &Id, std::uint32_t Attempt, steady_time Now);

  /// Returns the answer of a call in state `Answered`, or null.
  const recorded_response *response(const call_id &Id) const;

  std::size_t entries() const { return Entries.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  struct entry {
    state State = state::Running;
    /// Attempts up to this one are refused; 0 means none.
    std::uint32_t RefusedUpTo = 0;
    std::size_t Bytes = 0;
    steady_time Expiry;
    recorded_response Response;
  };

  void expire(steady_time Now);
  bool hasRoom(std::size_t More) const;
  void setEntrySize(entry &Entry, std::size_t Size);
  void startRetention(const call_id &Id, entry &Entry, state State,
                      steady_time Now);

  ledger_bounds Bounds;
  std::size_t Bytes = 0;
  std::unordered_map<call_id, entry> Entries;
  /// Entries by the time at which they may be dropped.
  std::deque<std::pair<steady_time, call_id>> Expiries;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_CALL_LEDGER_H
