#ifndef GENTIANLUG_DISTRIBUTION_CHANGE_LOG_H
#define GENTIANLUG_DISTRIBUTION_CHANGE_LOG_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::distribution {

/// Maximum number of changes in a log; a reader whose cursor is older than the
/// oldest one gets a snapshot.
inline constexpr std::size_t MaxLoggedChanges = 16384;

/// Position in the log of one incarnation of a relay; sequences start at 1.
struct log_cursor {
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;

  bool operator==(const log_cursor &) const = default;
};

enum class change_kind : std::uint8_t { Member, LiveValue };

/// Key of a changed entry; its value is read from the node state.
struct change_key {
  change_kind Kind = change_kind::Member;
  std::string Name;

  friend auto operator<=>(const change_key &, const change_key &) = default;
};

/// One logged change.
struct logged_change {
  change_key Key;
  /// Whether the change originates from this node or its subtree, not from
  /// another root relay. Only such changes are sent to other root relays.
  bool FromSubtree = false;
};

/// Ordered log of the keys that changed on a relay, without their values. A key
/// that changes again moves to the end.
class change_log {
public:
  /// \param Epoch number that differs from those of all earlier incarnations of
  /// this relay.
  explicit change_log(std::uint64_t Epoch,
                      std::size_t MaxChanges = MaxLoggedChanges);

  /// Appends a change and drops the oldest one if the log is full.
  void append(const change_key &Key, bool FromSubtree);

  /// Returns the position after the newest change.
  log_cursor head() const { return {Epoch, LastSequence}; }

  /// Returns the changes after \p Cursor, oldest first, or `std::nullopt` if
  /// the cursor belongs to another epoch or is outside the log.
  std::optional<std::vector<logged_change>>
  changesSince(log_cursor Cursor) const;

private:
  std::uint64_t Epoch;
  std::size_t MaxChanges;
  std::uint64_t LastSequence = 0;
  /// Sequence of the newest change that was dropped.
  std::uint64_t LastDroppedSequence = 0;
  std::map<std::uint64_t, logged_change> Changes;
  std::map<change_key, std::uint64_t> SequenceByKey;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_CHANGE_LOG_H
