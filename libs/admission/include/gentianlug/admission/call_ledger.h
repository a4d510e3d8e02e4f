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

/// Response to a call that must not run again.
struct recorded_response {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  bool operator==(const recorded_response &) const = default;
};

/// Resource limits of a ledger.
struct ledger_bounds {
  /// Larger responses are not kept; the ledger then only records that the call
  /// ran.
  std::size_t MaxResponseBytes = 64 << 10;
  std::size_t MaxBytes = 32 << 20;
  std::chrono::seconds RetentionTime{60};
};

/// Attempt number that stands for all attempts of a call.
inline constexpr std::uint32_t AllAttempts = UINT32_MAX;

/// Deduplicates non-idempotent calls, so that each runs at most once.
///
/// A running call reserves memory for its response. When the memory is used up,
/// new calls are not accepted; no entry is evicted before its retention time
/// ends.
class call_ledger {
public:
  /// Recorded state of a call id.
  enum class state : std::uint8_t {
    /// Returned by `begin` only: the call is new and may run now.
    Started,
    Running,
    Completed,
    /// The call ran; its response was too large to be kept.
    ResponseNotKept,
    /// The call has not run, and duplicates of it will not run.
    Refused,
    /// There is no memory left to record the id.
    Full,
  };

  explicit call_ledger(ledger_bounds Bounds = {}) : Bounds(Bounds) {}

  /// Registers a received copy of a call and returns whether it may run.
  ///
  /// \param Attempt number of the attempt; one later than all refused attempts
  /// may run.
  state begin(const call_id &Id, std::uint32_t Attempt, steady_time Now);

  /// Records the response to a running call.
  ///
  /// \param Response nothing when the response was too large to be collected.
  void finish(const call_id &Id, std::optional<recorded_response> Response,
              steady_time Now);

  /// Ends a running call of which no byte reached the server.
  void abandon(const call_id &Id, steady_time Now);

  /// Returns the state of a call. An unknown call is refused from now on.
  ///
  /// \param Attempt the last attempt that has been sent.
  state queryOrRefuse(const call_id &Id, std::uint32_t Attempt,
                      steady_time Now);

  /// Returns whether this attempt of the call has been refused permanently.
  bool isRefused(const call_id &Id, std::uint32_t Attempt, steady_time Now);

  /// Returns the response to a call in state `Completed`, or null.
  const recorded_response *response(const call_id &Id) const;

  std::size_t entries() const { return Entries.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  struct entry {
    state State = state::Running;
    /// Attempts up to this number are refused; 0 means none.
    std::uint32_t RefusedUpTo = 0;
    std::size_t Bytes = 0;
    steady_time Expiry;
    recorded_response Response;
  };

  void expire(steady_time Now);
  bool hasRoom(std::size_t Size) const;
  void setEntrySize(entry &Entry, std::size_t Size);
  void startRetention(const call_id &Id, entry &Entry, state State,
                      steady_time Now);

  ledger_bounds Bounds;
  std::size_t Bytes = 0;
  std::unordered_map<call_id, entry> Entries;
  /// Expiry times with the ids of their entries, in ascending order.
  std::deque<std::pair<steady_time, call_id>> Expiries;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_CALL_LEDGER_H
