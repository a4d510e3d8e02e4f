#ifndef GENTIANLUG_DISTRIBUTION_CHANGE_LOG_H
#define GENTIANLUG_DISTRIBUTION_CHANGE_LOG_H

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianlug::distribution {

/// Changes that a log keeps; an older cursor leads to a snapshot.
inline constexpr std::size_t MaxLoggedChanges = 16384;

/// Position in the log of one life of a relay; numbers start at 1.
struct log_cursor {
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;

  bool operator==(const log_cursor &) const = default;
};

enum class change_kind : std::uint8_t { Member, LiveValue };

/// What changed; its value is read from the state.
struct change_key {
  change_kind Kind = change_kind::Member;
  std::string Name;

  friend auto operator<=>(const change_key &, const change_key &) = default;
};

/// One logged change.
struct logged_change {
  change_key Key;
  /// Whether it came from this node or from below it, not from another root
  /// relay. Only such changes are news to other root relays.
  bool FromSubtree = false;
};

/// The order of changes of one relay, without their values. A key that changes
/// again moves to the end.
class change_log {
public:
  /// \param Epoch number that differs from the one of every earlier life.
  explicit change_log(std::uint64_t Epoch,
                      std::size_t Bound = MaxLoggedChanges);

  /// Appends a change; drops the oldest one beyond the bound.
  void append(const change_key &Key, bool FromBelow);

  /// Returns the position after the newest change.
  log_cursor head() const { return {Epoch, LastSequence}; }

  /// Returns the changes after \p Cursor, oldest first, or nothing when the
  /// cursor is of another epoch or too old.
  std::optional<std::vector<logged_change>>
  changesSince(log_cursor Cursor) const;

private:
  std::uint64_t Epoch;
  std::size_t MaxChanges;
  std::uint64_t LastSequence = 0;
  /// Number of the newest change that was dropped.
  std::uint64_t LastDroppedSequence = 0;
  std::map<std::uint64_t, logged_change> Changes;
  std::map<change_key, std::uint64_t> SequenceByKey;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_CHANGE_LOG_H
