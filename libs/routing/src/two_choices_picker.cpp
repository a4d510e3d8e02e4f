#include "gentianlug/routing/endpoint_picker.h"
#include "gentianlug/routing/routing_errc.h"

#include <algorithm>

namespace gentianlug::routing {

using membership::member_state;
using endpoint_list = std::vector<const endpoint *>;

/// Returns the serving members of \p Version, or its suspect members if none is
/// serving.
static result<endpoint_list> findCandidates(const pick_request &Request,
                                            const version_name &Version,
                                            steady_time Now) {
  endpoint_list Serving;
  endpoint_list Suspect;
  bool AnyZoneOutOfService = false;
  for (const endpoint *Endpoint : Request.Endpoints) {
    member_state State = Endpoint->Member.State;
    bool AcceptsCalls =
        State == member_state::Serving || State == member_state::Suspect;
    if (!AcceptsCalls || Endpoint->Member.Version != Version)
      continue;
    if (Request.ZoneWeights.weight(Endpoint->Member.Zone, Now) == 0) {
      AnyZoneOutOfService = true;
      continue;
    }
    (State == member_state::Serving ? Serving : Suspect).push_back(Endpoint);
  }
  if (!Serving.empty())
    return Serving;
  if (!Suspect.empty())
    return Suspect;
  return makeError(AnyZoneOutOfService ? routing_errc::AllZonesOutOfService
                                       : routing_errc::NoServerAvailable,
                   "version " + Version.str());
}

/// Removes ejected endpoints, earliest ejection first: at most half of the
/// list, and never the last endpoint.
static void removeEjected(endpoint_list &List, steady_time Now) {
  auto FirstEjected = std::stable_partition(
      List.begin(), List.end(),
      [&](const endpoint *Endpoint) { return !Endpoint->isEjected(Now); });
  if (FirstEjected == List.end())
    return;
  std::sort(FirstEjected, List.end(), [](const endpoint *A, const endpoint *B) {
    return A->EjectedSince > B->EjectedSince;
  });
  auto Ejected = std::size_t(List.end() - FirstEjected);
  List.resize(List.size() - std::min(Ejected, List.size() / 2));
}

/// Removes all endpoints that do not satisfy \p Keep, unless none satisfies it.
template <class Predicate>
static void retainPreferred(endpoint_list &List, Predicate Keep) {
  endpoint_list Kept;
  std::copy_if(List.begin(), List.end(), std::back_inserter(Kept), Keep);
  if (!Kept.empty())
    List = std::move(Kept);
}

/// Keeps the endpoints of each ramping zone with the probability of its weight.
static void sampleRampingZones(endpoint_list &List, const pick_request &Request,
                               generator &Gen, steady_time Now) {
  std::vector<std::pair<const zone_name *, bool>> Decisions;
  retainPreferred(List, [&](const endpoint *Endpoint) {
    const zone_name &Zone = Endpoint->Member.Zone;
    double Weight = Request.ZoneWeights.weight(Zone, Now);
    if (Weight >= 1)
      return true;
    for (const auto &[Known, Keep] : Decisions)
      if (*Known == Zone)
        return Keep;
    Decisions.emplace_back(&Zone, drawBool(Gen, Weight));
    return Decisions.back().second;
  });
}

static pick pickOfTwo(const endpoint_list &List, generator &Gen,
                      steady_time Now) {
  if (List.size() == 1)
    return {List[0], nullptr, "only endpoint"};
  std::size_t First = drawIndex(Gen, List.size());
  std::size_t Second = drawIndex(Gen, List.size() - 1);
  if (Second >= First)
    ++Second;
  const endpoint *A = List[First];
  const endpoint *B = List[Second];
  if (B->utilization(Now) < A->utilization(Now))
    std::swap(A, B);
  return {A, B, "less loaded of two"};
}

/// Picks an endpoint of the own zone, or of another zone when the expected wait
/// in the own zone exceeds the round trip plus the expected wait there.
static pick pickByZone(const endpoint_list &List, const pick_request &Request,
                       generator &Gen, steady_time Now) {
  endpoint_list OwnZone;
  endpoint_list OtherZones;
  for (const endpoint *Endpoint : List)
    (Endpoint->Member.Zone == Request.OwnZone ? OwnZone : OtherZones)
        .push_back(Endpoint);
  if (OwnZone.empty() || OtherZones.empty())
    return pickOfTwo(List, Gen, Now);
  pick Local = pickOfTwo(OwnZone, Gen, Now);
  auto LocalWait = Local.Endpoint->expectedWait(Now);
  if (LocalWait <= Request.ZoneRoundTrip) {
    Local.Reason = "own zone";
    return Local;
  }
  pick Remote = pickOfTwo(OtherZones, Gen, Now);
  if (Remote.Endpoint->expectedWait(Now) + Request.ZoneRoundTrip >= LocalWait) {
    Local.Reason = "own zone, other zones are busy too";
    return Local;
  }
  return {Remote.Endpoint, Local.Endpoint, "own zone is busy"};
}

static bool isTried(const pick_request &Request, const endpoint *Endpoint) {
  return std::find(Request.TriedNodes.begin(), Request.TriedNodes.end(),
                   Endpoint->Member.Node) != Request.TriedNodes.end();
}

/// Returns the endpoints of the new version of a rollout that are not ejected,
/// not tried yet and have a free slot; may be empty. The rollout share is an
/// upper bound: calls that the new servers cannot start immediately go to the
/// configured version instead of being queued.
static endpoint_list findRolloutCandidates(const pick_request &Request,
                                           steady_time Now) {
  auto Candidates = findCandidates(Request, Request.Version, Now);
  endpoint_list List = Candidates ? std::move(*Candidates) : endpoint_list();
  std::erase_if(List, [&](const endpoint *Endpoint) {
    return Endpoint->isEjected(Now) || isTried(Request, Endpoint) ||
           Endpoint->load(Now) >= Endpoint->limit(Now);
  });
  return List;
}

static result<endpoint_list> findFallbackCandidates(const pick_request &Request,
                                                    steady_time Now) {
  auto Candidates = findCandidates(Request, Request.Fallback, Now);
  if (!Candidates)
    return Candidates;
  removeEjected(*Candidates, Now);
  retainPreferred(*Candidates, [&](const endpoint *Endpoint) {
    return !isTried(Request, Endpoint);
  });
  return Candidates;
}

result<pick> two_choices_picker::pickEndpoint(const pick_request &Request,
                                              generator &Gen,
                                              steady_time Now) const {
  bool IsRolloutCall = Request.Version != Request.Fallback;
  endpoint_list List;
  if (IsRolloutCall)
    List = findRolloutCandidates(Request, Now);
  bool FellBack = IsRolloutCall && List.empty();
  if (List.empty()) {
    auto Configured = findFallbackCandidates(Request, Now);
    if (!Configured)
      return Configured.failure();
    List = std::move(*Configured);
  }
  sampleRampingZones(List, Request, Gen, Now);
  pick Pick = pickByZone(List, Request, Gen, Now);
  if (FellBack)
    Pick.Reason = "new version has no healthy endpoint";
  return Pick;
}

static std::string describeEndpoint(const endpoint &Endpoint, steady_time Now) {
  return Endpoint.Member.Node.str() + " in " + Endpoint.Member.Zone.str() +
         " (load " + std::to_string(Endpoint.load(Now)) + "/" +
         std::to_string(Endpoint.limit(Now)) + ")";
}

std::string describePick(const pick &Pick, steady_time Now) {
  std::string Text = describeEndpoint(*Pick.Endpoint, Now);
  if (Pick.Alternative)
    Text += " over " + describeEndpoint(*Pick.Alternative, Now);
  return Text + ": " + Pick.Reason;
}

} // namespace gentianlug::routing
