#ifndef GENTIANLUG_MESH_SERVER_LIFECYCLE_H
#define GENTIANLUG_MESH_SERVER_LIFECYCLE_H

#include "gentianlug/mesh/model.h"

#include <optional>

namespace gentianlug::mesh {

/// What follows from an announcement.
enum class lifecycle_change : std::uint8_t {
  /// Late, repeated, or of an earlier life.
  Ignored,
  /// The server runs as before.
  Unchanged,
  /// The record of the server changes.
  Changed,
};

/// Follows the server beside a node through its lives.
///
/// Announcements may arrive late, repeated and out of order. A life is known by
/// the instance and its incarnation; in one life, leaving is final.
class server_lifecycle {
public:
  /// Takes what this node published in an earlier life of its own.
  void restoreRecord(const server_record &Record);
  lifecycle_change onAnnouncement(const server_announcement &Next);
  /// The server leaves without having announced it.
  ///
  /// \returns `Ignored` for another instance than the current one.
  lifecycle_change onServerGone(const std::string &Instance);

  const std::optional<server_announcement> &current() const { return Current; }

private:
  std::optional<server_announcement> Current;
  std::optional<server_record> StoredRecord;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVER_LIFECYCLE_H
