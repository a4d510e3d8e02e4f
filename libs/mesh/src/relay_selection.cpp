#include "gentianlug/mesh/relay_selection.h"

#include "gentianlug/core/hash.h"

#include <algorithm>

namespace gentianlug::mesh {

/// Time for which a node that has just started searches for its relay.
static constexpr std::chrono::milliseconds StartupSearchTimeout{2000};
/// Time to wait for other nodes while all nodes start: the first node that
/// becomes known is rarely the final relay.
static constexpr std::chrono::milliseconds StartupSettleTime{1200};

std::vector<server_record> rankRelays(const std::vector<server_record> &Servers,
                                      const zone_name &Zone,
                                      const node_id &Self) {
  std::vector<server_record> Candidates;
  for (const server_record &Each : Servers)
    if (Each.Zone == Zone && (Each.State == server_state::Ready ||
                              Each.State == server_state::Draining))
      Candidates.push_back(Each);
  std::size_t Groups = (Candidates.size() + NodesPerRelay - 1) / NodesPerRelay;
  if (Groups > 1) {
    std::size_t OwnGroup = hash64(Self.str()) % Groups;
    std::erase_if(Candidates, [&](const server_record &Each) {
      return hash64(Each.Node.str()) % Groups != OwnGroup;
    });
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const server_record &Left, const server_record &Right) {
              if (Left.LinkMbps != Right.LinkMbps)
                return Left.LinkMbps > Right.LinkMbps;
              return hash64(Left.Node.str()) < hash64(Right.Node.str());
            });
  return Candidates;
}

relay_timing relayTimingFor(std::chrono::milliseconds ConfigTime) {
  // Consecutive times of `relay_timing` add up to less than this time.
  constexpr std::chrono::milliseconds FullTime{2000};
  constexpr std::chrono::milliseconds MinTime{200};
  double Scale = double(std::clamp(ConfigTime, MinTime, FullTime).count()) /
                 FullTime.count();
  relay_timing Timing;
  for (std::chrono::milliseconds *Each :
       {&Timing.LongPollTime, &Timing.ResponseGrace, &Timing.SearchTimeout,
        &Timing.StoreProbeInterval, &Timing.HealthCheckInterval,
        &Timing.HealthCheckTimeout})
    *Each =
        std::chrono::milliseconds(std::int64_t(double(Each->count()) * Scale));
  return Timing;
}

void relay_failures::avoid(const node_id &Relay, steady_time Until) {
  AvoidedUntil[Relay] = Until;
}

std::vector<server_record>
relay_failures::usableRelays(const std::vector<server_record> &Candidates,
                             steady_time Now) const {
  std::vector<server_record> Usable;
  std::size_t Count = std::min(Candidates.size(), RelaysPerGroup);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    auto Found = AvoidedUntil.find(Candidates[Index].Node);
    if (Found == AvoidedUntil.end() || Now >= Found->second)
      Usable.push_back(Candidates[Index]);
  }
  return Usable;
}

search_step nextSearchStep(const relay_search &Search,
                           const relay_timing &Timing,
                           const std::vector<server_record> &Candidates,
                           const node_id &Self, steady_time Now) {
  auto Elapsed = Now - Search.StartedAt;
  if (Elapsed >=
      (Search.ProcessStarting ? StartupSearchTimeout : Timing.SearchTimeout))
    return search_step::WatchStore;
  if (Candidates.empty())
    return Search.ProcessStarting ? search_step::ReadServers
                                  : search_step::WatchStore;
  if (Candidates.front().Node != Self)
    return Search.ProcessStarting && Search.Rejected ? search_step::ReadServers
                                                     : search_step::QueryRelay;
  return Search.ProcessStarting && Search.MeshIsNew &&
                 Elapsed < StartupSettleTime
             ? search_step::ReadServers
             : search_step::WatchStore;
}

} // namespace gentianlug::mesh
