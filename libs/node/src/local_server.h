#ifndef GENTIANLUG_NODE_LOCAL_SERVER_H
#define GENTIANLUG_NODE_LOCAL_SERVER_H

#include "gentianlug/node/messages.h"

#include <chrono>
#include <map>

namespace gentianlug::node {

/// A server that has not announced itself for this time gets no new calls.
inline constexpr std::chrono::seconds ServerAnnouncementTimeout{3};

/// Most versions that are cut at a time; the first ones are forgotten.
inline constexpr std::size_t MaxQuarantinedVersions = 64;

/// What announcements, configuration, zones and rollouts say of the server
/// beside the node, and whether it may get new calls.
class local_server {
public:
  explicit local_server(node_id Node) : Node(std::move(Node)) {}

  void onSnapshot(std::shared_ptr<const routing_snapshot> Next);
  void onAnnouncement(const wire::server_announcement &Announcement);
  void onAnnouncementTimeout() { AnnouncementExpired = true; }
  void onVersionQuarantine(const version_quarantine &Cut);

  /// Returns the server, or null while none announces itself.
  const wire::server_announcement *server() const {
    return AnnouncementExpired ? nullptr : lastServer();
  }

  /// Returns the server that announced itself last, or null.
  const wire::server_announcement *lastServer() const {
    return Announcement ? &*Announcement : nullptr;
  }

  /// Returns why the server gets no new calls, or nothing.
  std::optional<std::string> refusalReason() const;

  /// Returns the limits that the configuration states for the server.
  config::server_limits limits() const;

  std::vector<config::customer> customers() const;

  /// Returns whether operators have taken out the zone of the node.
  bool isZoneOutOfService() const { return ZoneOutOfService; }

  /// Returns the server for log lines.
  std::string describe() const;

private:
  bool findZoneOut() const;

  node_id Node;
  std::shared_ptr<const routing_snapshot> Snapshot;
  std::optional<wire::server_announcement> Announcement;
  std::map<version_name, std::string> QuarantinedVersions;
  bool AnnouncementExpired = false;
  bool ZoneOutOfService = false;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_LOCAL_SERVER_H
