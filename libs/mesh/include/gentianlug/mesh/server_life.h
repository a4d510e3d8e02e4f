#ifndef GENTIANLUG_MESH_SERVER_LIFE_H
#define GENTIANLUG_MESH_SERVER_LIFE_H

#include "gentianlug/mesh/model.h"

#include <optional>

namespace gentianlug::mesh {

/// What follows from an announcement.
enum class life_change : std::uint8_t {
  /// Late, repeated, or of an earlier life.
  Ignored,
  /// The server runs as before.
  Seen,
  /// The record of the server changes.
  Changed,
};

/// Follows the server beside a node through its lives.
///
/// Announcements may arrive late, repeated and out of order. A life is known by
/// the instance and its incarnation; in one life, leaving is final.
class server_life {
public:
  /// Takes what this node published in an earlier life of its own.
  void onStored(const server_record &Record);
  life_change onAnnouncement(const server_announcement &Next);
  /// The server leaves without having announced it.
  ///
  /// \returns `Ignored` for another instance than the current one.
  life_change onLeave(const std::string &Instance);

  const std::optional<server_announcement> &current() const { return Current; }

private:
  std::optional<server_announcement> Current;
  std::optional<server_record> Stored;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVER_LIFE_H
