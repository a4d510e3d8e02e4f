#include "gentianlug/routing/endpoint_table.h"

namespace gentianlug::routing {

void endpoint_table::update(
    const std::vector<membership::member_record> &Members) {
  auto Previous = std::exchange(Endpoints, {});
  Services.clear();
  for (const membership::member_record &Member : Members) {
    if (Member.Service.empty())
      continue;
    auto Known = Previous.find(Member.Node);
    bool SameServer =
        Known != Previous.end() &&
        Known->second->Member.ServerIncarnation == Member.ServerIncarnation;
    auto Endpoint =
        SameServer ? std::move(Known->second) : std::make_unique<endpoint>();
    // Calls in flight to the previous incarnation still finish at this
    // endpoint.
    if (Known != Previous.end() && !SameServer)
      Endpoint->InFlight = Known->second->InFlight;
    Endpoint->Member = Member;
    Services[Member.Service].push_back(Endpoint.get());
    Endpoints[Member.Node] = std::move(Endpoint);
  }
}

const std::vector<endpoint *> &
endpoint_table::endpoints(const service_name &Service) const {
  static const std::vector<endpoint *> NoEndpoints;
  auto Entry = Services.find(Service);
  return Entry == Services.end() ? NoEndpoints : Entry->second;
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
  // The count of a member that left and rejoined restarts at 0, although
  // earlier calls are still in flight.
  if (Endpoint.InFlight > 0)
    --Endpoint.InFlight;
  return Detector.observe(Endpoint, endpoints(Endpoint.Member.Service),
                          Observation, Now);
}

} // namespace gentianlug::routing
