#include "local_server.h"

namespace gentianlug::node {

void local_server::onSnapshot(std::shared_ptr<const routing_snapshot> Next) {
  Snapshot = std::move(Next);
  ZoneOut = findZoneOut();
}

void local_server::onAnnouncement(const wire::server_announcement &Next) {
  Announcement = Next;
  Silent = false;
}

void local_server::onVersionCut(const version_cut &Cut) {
  if (!Cut.Cut) {
    Cuts.erase(Cut.Version);
    return;
  }
  if (Cuts.size() >= MaxCutVersions)
    Cuts.erase(Cuts.begin());
  Cuts[Cut.Version] = Cut.RolloutId;
}

bool local_server::findZoneOut() const {
  if (!Snapshot || !Snapshot->Members)
    return false;
  for (const membership::member_record &Member : *Snapshot->Members)
    if (Member.Node == Node)
      return Snapshot->ZonesOut.count(Member.Zone) > 0;
  return false;
}

std::optional<std::string> local_server::refusal() const {
  if (!Announcement)
    return "no server has announced itself";
  if (Silent)
    return "the server has stopped announcing itself";
  if (Announcement->Draining)
    return "the server is draining";
  if (ZoneOut)
    return "the availability zone is out";
  if (auto Cut = Cuts.find(Announcement->Version); Cut != Cuts.end())
    return "the version is cut by rollout " + Cut->second;
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
