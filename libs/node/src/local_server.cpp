#include "local_server.h"

namespace gentianlug::node {

void local_server::onSnapshot(std::shared_ptr<const routing_snapshot> Next) {
  Snapshot = std::move(Next);
  ZoneOutOfService = lookUpZoneOutOfService();
}

void local_server::onAnnouncement(const wire::server_announcement &Next) {
  Announcement = Next;
  AnnouncementExpired = false;
}

void local_server::onVersionQuarantine(const version_quarantine &Quarantine) {
  if (!Quarantine.Quarantined) {
    QuarantinedVersions.erase(Quarantine.Version);
    return;
  }
  if (QuarantinedVersions.size() >= MaxQuarantinedVersions)
    QuarantinedVersions.erase(QuarantinedVersions.begin());
  QuarantinedVersions[Quarantine.Version] = Quarantine.RolloutId;
}

bool local_server::lookUpZoneOutOfService() const {
  if (!Snapshot || !Snapshot->Members)
    return false;
  for (const membership::member_record &Member : *Snapshot->Members)
    if (Member.Node == Node)
      return Snapshot->ZonesOutOfService.count(Member.Zone) > 0;
  return false;
}

std::optional<std::string> local_server::refusalReason() const {
  if (!Announcement)
    return "no server has announced itself";
  if (AnnouncementExpired)
    return "the server has stopped announcing itself";
  if (Announcement->Draining)
    return "the server is draining";
  if (ZoneOutOfService)
    return "the availability zone is out";
  if (auto Quarantine = QuarantinedVersions.find(Announcement->Version);
      Quarantine != QuarantinedVersions.end())
    return "the version is cut by rollout " + Quarantine->second;
  return std::nullopt;
}

config::server_limits local_server::limits() const {
  if (Announcement && Snapshot && Snapshot->Configuration)
    if (const config::service *Service = config::findService(
            Snapshot->Configuration->Configuration, Announcement->Service))
      return Service->Limits;
  return {};
}

std::vector<config::customer> local_server::customers() const {
  if (!Snapshot || !Snapshot->Configuration)
    return {};
  return Snapshot->Configuration->Configuration.Customers;
}

std::string local_server::describe() const {
  if (!Announcement)
    return "no server";
  return Announcement->Service.str() + " " + Announcement->Version.str() +
         " at " + Announcement->Address.str();
}

} // namespace gentianlug::node
