#ifndef GENTIANLUG_MESH_SERVER_LIFECYCLE_H
#define GENTIANLUG_MESH_SERVER_LIFECYCLE_H

#include "gentianlug/mesh/model.h"

#include <optional>

namespace gentianlug::mesh {

/// Effect of an event on the record of the server.
enum class lifecycle_change : std::uint8_t {
  /// The event was late, a duplicate, or for another instance.
  Ignored,
  /// The event is valid but the record stays the same.
  Unchanged,
  /// The record changed and has to be published.
  Changed,
};

/// Returns why \p Announcement does not come from the server that \p Identity
/// describes, or null if it may. Announcements of other writers arrive too, and
/// a server does not choose its service, zone or address.
const char *findIdentityMismatch(const server_identity &Identity,
                                 const server_announcement &Announcement);

/// Returns whether \p Stored is the later state of the server of a VM, so that
/// \p Next must not replace it. A later run supersedes an earlier one. Within
/// one run, a server that is gone supersedes a draining one, and that any
/// other.
///
/// The sequence numbers do not count: a process that knows only an early
/// announcement of its server still has to replace the record `Paused` that its
/// predecessor left.
bool supersedes(const server_record &Stored, const server_record &Next);

/// Returns \p Read, in which the servers that are leaving in \p Known are still
/// leaving. The list may come from a store that has been restored from an older
/// copy, which holds them as ready. A later run is another server.
std::vector<server_record>
keepLeavings(std::vector<server_record> Read,
             const std::vector<server_record> &Known);

/// Tracks the state of the local server across restarts.
///
/// Announcements may arrive late, more than once and out of order. A run of the
/// server is identified by its instance id and incarnation. Within one run, a
/// server that is draining or gone cannot become ready again.
class server_lifecycle {
public:
  /// Takes over what the store holds about the server. An earlier process of
  /// this node may have acknowledged more than this one knows.
  ///
  /// \returns `Changed` if the current server turns out to be leaving.
  lifecycle_change onStoredRecord(const server_record &Record);
  lifecycle_change onAnnouncement(const server_announcement &Next);
  /// Marks the server as gone without an announcement. A run that this process
  /// has not heard of becomes the current one if the store knows it; otherwise
  /// its leaving is kept until an announcement or a stored record describes it.
  ///
  /// \param Incarnation the run that has ended, if the message names it.
  /// \returns `Ignored` if a later run of \p Instance is the current one, and
  ///   for an unknown run without an incarnation.
  lifecycle_change
  onServerGone(const std::string &Instance,
               std::optional<incarnation_number> Incarnation = std::nullopt);

  /// Marks the server as draining because it said so in a response.
  ///
  /// \returns `Ignored` if \p Instance is not the current one.
  lifecycle_change onServerLeaving(const std::string &Instance);

  /// Notes that another server than \p Instance has answered at its address.
  /// The next announcement of another instance then replaces it, whatever its
  /// incarnation.
  void onInstanceDenied(const std::string &Instance);

  const std::optional<server_announcement> &current() const { return Current; }
  /// Returns the latest stored state of the server that this node has read.
  const std::optional<server_record> &storedRecord() const {
    return StoredRecord;
  }

private:
  /// Run of a server.
  struct server_run {
    std::string Instance;
    incarnation_number Incarnation = 0;
  };

  lifecycle_change
  onUnannouncedServerGone(const std::string &Instance,
                          std::optional<incarnation_number> Incarnation);
  /// Makes the stored run, which has left, the current one.
  void adoptStoredRunAsGone();

  std::optional<server_announcement> Current;
  std::optional<server_record> StoredRecord;
  /// The latest run that left before this process had heard of it.
  std::optional<server_run> UnannouncedGone;
  /// Instance at whose address another server has answered.
  std::string DeniedInstance;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_SERVER_LIFECYCLE_H
