#ifndef GENTIANLUG_MEMORY_MEMORY_BUDGET_H
#define GENTIANLUG_MEMORY_MEMORY_BUDGET_H

#include "gentianlug/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace gentianlug::memory {

using holder_id = std::uint64_t;

/// What the bytes of a holder are for.
enum class holder_kind : std::uint8_t {
  /// A request that is being received. No work has been done for it, so it can
  /// be refused or evicted.
  Request,
  /// A complete request until its call has ended; refused at its start, but
  /// never evicted.
  Call,
  /// A response that is being received; refused, but never evicted.
  Response,
  /// Responses that wait for their reader; never refused, but evicted if the
  /// reader takes nothing.
  Delivery,
};

inline constexpr std::size_t HolderKindCount = 4;

/// What has to happen because a holder grows.
struct budget_decision {
  /// Whether the holder may grow. If not, its owner has to give up its bytes.
  bool Granted = true;
  /// Holders whose owners have to give up their bytes. They count as empty.
  std::vector<holder_id> Evicted;
};

/// Divides a number of bytes among the messages that a process holds for
/// others.
///
/// Requests and calls may use a part of the bytes, so that room is left for the
/// responses to calls that servers have already run. Large requests may use a
/// smaller part, so that a crowd of them leaves room for ordinary ones. Where
/// there is no room, requests that receive nothing give way first, then
/// responses whose readers take nothing, and for a response also requests that
/// are still received; if there are none, the growth is refused.
class memory_budget {
public:
  /// Holders up to this size are ordinary, others are large.
  static constexpr std::size_t MaxOrdinaryBytes = 64UL << 10;
  /// Part of all bytes that requests and calls may hold together.
  static constexpr double RequestShare = 0.75;
  /// Part of all bytes that large requests and their calls may hold together.
  static constexpr double LargeRequestShare = 0.65;
  /// A holder makes progress with this many bytes received or sent. Fewer do
  /// not count, so that a holder cannot stay by sending single bytes.
  static constexpr std::size_t ProgressBytes = 16UL << 10;
  /// A request without progress for this time is evicted if there is no room.
  static constexpr std::chrono::milliseconds RequestStallTime{1000};
  /// The same for a response and its reader.
  static constexpr std::chrono::milliseconds DeliveryStallTime{3000};

  explicit memory_budget(std::size_t TotalBytes);
  ~memory_budget();

  holder_id add(holder_kind Kind, steady_time Now);
  /// Sets the number of bytes that a holder has.
  ///
  /// Complexity: logarithmic in the number of holders while there is room;
  /// otherwise linear in the number of requests and deliveries.
  budget_decision resize(holder_id Id, std::size_t Bytes, steady_time Now);
  void remove(holder_id Id);

  std::size_t totalBytes() const;
  std::size_t heldBytes() const;
  std::size_t heldBytes(holder_kind Kind) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// Returns the name of \p Kind in metrics.
const char *describe(holder_kind Kind);

} // namespace gentianlug::memory

#endif // GENTIANLUG_MEMORY_MEMORY_BUDGET_H
