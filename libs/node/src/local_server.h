#ifndef GENTIANLUG_NODE_LOCAL_SERVER_H
#define GENTIANLUG_NODE_LOCAL_SERVER_H

#include "gentianlug/node/messages.h"

#include <chrono>
#include <map>

namespace gentianlug::node {

/// A server that has not announced itself for this time receives no new calls.
inline constexpr std::chrono::seconds ServerAnnouncementTimeout{3};

/// Maximum number of quarantined versions; beyond it the lowest version name is
/// dropped.
inline constexpr std::size_t MaxQuarantinedVersions = 64;

/// State of the backend server beside the node, from its announcements, the
/// configuration, zones and rollouts. Decides whether it may receive new calls.
class local_server {
public:
  explicit local_server(node_id Node) : Node(std::move(Node)) {}

  void onSnapshot(std::shared_ptr<const routing_snapshot> Next);
  void onAnnouncement(const wire::server_announcement &Announcement);
  void onAnnouncementTimeout() { AnnouncementExpired = true; }
  void onVersionQuarantine(const version_quarantine &Quarantine);

  /// Returns the current announcement of the server, or null when there is none
  /// or it has expired.
  const wire::server_announcement *server() const {
    return AnnouncementExpired ? nullptr : lastServer();
  }

  /// Returns the last announcement, even an expired one, or null.
  const wire::server_announcement *lastServer() const {
    return Announcement ? &*Announcement : nullptr;
  }

  /// Returns why the server receives no new calls, or nothing when it may.
  std::optional<std::string> refusalReason() const;

  /// Returns the limits of the server's service from the configuration.
  config::server_limits limits() const;

  std::vector<config::customer> customers() const;

  /// Returns whether operators have taken the zone of the node out of service.
  bool isZoneOutOfService() const { return ZoneOutOfService; }

  /// Returns a description of the server for log lines.
  std::string describe() const;

private:
  bool lookUpZoneOutOfService() const;

  node_id Node;
  std::shared_ptr<const routing_snapshot> Snapshot;
  std::optional<wire::server_announcement> Announcement;
  std::map<version_name, std::string> QuarantinedVersions;
  bool AnnouncementExpired = false;
  bool ZoneOutOfService = false;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_LOCAL_SERVER_H
