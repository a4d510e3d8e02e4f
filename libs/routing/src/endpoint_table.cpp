#include "gentianlug/routing/endpoint_table.h"

namespace gentianlug::routing {

void endpoint_table::update(
    const std::vector<membership::member_record> &Members) {
  auto Before = std::exchange(Endpoints, {});
  Services.clear();
  for (const membership::member_record &Member : Members) {
    if (Member.Service.empty())
      continue;
    auto Known = Before.find(Member.Node);
    bool SameServer =
        Known != Before.end() &&
        Known->second->Member.ServerIncarnation == Member.ServerIncarnation;
    auto Endpoint =
        SameServer ? std::move(Known->second) : std::make_unique<endpoint>();
    // Calls under way to the former server still end here.
    if (Known != Before.end() && !SameServer)
      Endpoint->InFlight = Known->second->InFlight;
    Endpoint->Member = Member;
    Services[Member.Service].push_back(Endpoint.get());
    Endpoints[Member.Node] = std::move(Endpoint);
  }
}

const std::vector<endpoint *> &
endpoint_table::endpoints(const service_name &Service) const {
  static const std::vector<endpoint *> None;
  auto Entry = Services.find(Service);
  return Entry == Services.end() ? None : Entry->second;
}

const endpoint *endpoint_table::find(const node_id &Node) const {
  auto Entry = Endpoints.find(Node);
  return Entry == Endpoints.end() ? nullptr : Entry->second.get();
}

void endpoint_table::onCallStarted(const node_id &Node) {
  auto Entry = Endpoints.find(Node);
  if (Entry != Endpoints.end())
    ++Entry->second->InFlight;
}

std::optional<ejection> endpoint_table::onCallFinished(
    const node_id &Node, const call_observation &Observation, steady_time Now) {
  auto Entry = Endpoints.find(Node);
  if (Entry == Endpoints.end())
    return std::nullopt;
  endpoint &Endpoint = *Entry->second;
  // A member that left and came back starts at 0 with calls under way.
  if (Endpoint.InFlight > 0)
    --Endpoint.InFlight;
  return Detector.observe(Endpoint, endpoints(Endpoint.Member.Service),
                          Observation, Now);
}

} // namespace gentianlug::routing
