#include "gentianlug/mesh/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::mesh {

/// For transfers of this size or more, the server of the local node is
/// preferred.
static constexpr std::size_t LocalNodeTransferBytes = 32UL << 10;
/// Older reports are ignored; then only the calls of this node count as load.
static constexpr std::chrono::milliseconds ReportLifetime{1000};
/// Service time of a service without any report.
static constexpr std::chrono::milliseconds InitialServiceTime{50};
/// Weight of one report in the average service time of a service. It is small
/// so that the average stays low when all servers of a zone turn slow for a few
/// seconds.
static constexpr double AverageServiceTimeWeight = 0.01;
/// A server of the local zone is preferred if it is expected to respond within
/// this part of the target time. The rest is for calls that take longer than
/// the average.
static constexpr double PreferredTargetPart = 0.75;
/// Limits up to which a slower server of the local zone is preferred, for
/// transfers of at least `MinTransferBytes`: its utilization, and its cost as a
/// multiple of the cost of the best server in any zone.
struct zone_preference {
  std::size_t MinTransferBytes;
  double MaxUtilization;
  double MaxCostFactor;
};
static constexpr zone_preference ZonePreferences[] = {
    {32UL << 10, 2.0, 8}, {2UL << 10, 1.2, 4}, {0, 0.95, 2.5}};
/// Weight of one attempt in the moving average of the failure rate.
static constexpr double FailureWeight = 0.1;
/// Additional cost of a failure rate of 1, as a multiple of the cost without
/// failures.
static constexpr double FailurePenalty = 6;
static constexpr std::uint32_t FailuresToEject = 5;
static constexpr std::chrono::milliseconds FirstEjection{500};
static constexpr std::chrono::milliseconds MaxEjection{4000};
/// Time for which a node that rejected a call is avoided.
static constexpr std::chrono::milliseconds RejectionBackoff{100};
/// Leaving servers that are remembered. Beyond that those without a record are
/// forgotten, and then all.
static constexpr std::size_t MaxLeavingServers = 4096;

bool load_balancer::endpoint::reportIsFresh(steady_time Now) const {
  return Report && Now - ReportTime < ReportLifetime;
}

double load_balancer::endpoint::concurrencyLimit(steady_time Now) const {
  double Limit = reportIsFresh(Now) ? Report->ConcurrencyLimit : Record.Slots;
  return std::max(Limit, 0.5);
}

double load_balancer::endpoint::load(steady_time Now) const {
  if (!reportIsFresh(Now))
    return InFlight;
  double Others =
      double(Report->Running + Report->Queued) - double(InFlightAtReport);
  return std::max(0.0, Others) + InFlight;
}

double load_balancer::endpoint::baseMillis(
    std::chrono::milliseconds DefaultTime) const {
  auto Time =
      reportedServiceTime().count() > 0 ? reportedServiceTime() : DefaultTime;
  return double(std::max<long long>(Time.count(), 1)) *
         (1 + FailurePenalty * FailureRate);
}

double
load_balancer::endpoint::cost(steady_time Now,
                              std::chrono::milliseconds DefaultTime) const {
  double RelativeLoad = (load(Now) + 1) / concurrencyLimit(Now);
  return baseMillis(DefaultTime) * (0.5 + RelativeLoad);
}

void load_balancer::setServers(const std::vector<server_record> &Servers) {
  std::unordered_map<node_id, endpoint> Next;
  Services.clear();
  for (const server_record &Record : Servers) {
    if (Record.State == server_state::Gone)
      continue;
    auto Old = Endpoints.find(Record.Node);
    endpoint &Endpoint = Next[Record.Node];
    if (Old != Endpoints.end()) {
      if (Old->second.Record.Instance == Record.Instance &&
          Old->second.Record.NodeAddress == Record.NodeAddress)
        Endpoint = std::move(Old->second);
      else
        Endpoint.InFlight = Old->second.InFlight;
    }
    Endpoint.Record = Record;
    Services[Record.Service].push_back(Record.Node);
  }
  Endpoints = std::move(Next);
  std::erase_if(AverageServiceMillis, [&](const auto &Each) {
    return !Services.contains(Each.first);
  });
}

bool load_balancer::mayServe(const server_record &Record,
                             const selection_criteria &Criteria) const {
  auto Leaving = LeavingServers.find(Record.Instance);
  if (Leaving != LeavingServers.end() && Record.Incarnation <= Leaving->second)
    return false;
  return Record.State == server_state::Ready &&
         Record.Version == Criteria.Version &&
         !Criteria.ZonesOutOfService.contains(Record.Zone);
}

void load_balancer::onServerLeaving(const std::string &Instance,
                                    incarnation_number Incarnation) {
  if (LeavingServers.size() >= MaxLeavingServers)
    std::erase_if(LeavingServers, [&](const auto &Each) {
      return !isKnownInstance(Each.first);
    });
  if (LeavingServers.size() >= MaxLeavingServers)
    LeavingServers.clear();
  incarnation_number &Known = LeavingServers[Instance];
  Known = std::max(Known, Incarnation);
}

bool load_balancer::isKnownInstance(const std::string &Instance) const {
  return std::any_of(Endpoints.begin(), Endpoints.end(), [&](const auto &Each) {
    return Each.second.Record.Instance == Instance;
  });
}

bool load_balancer::hasServerInZone(const selection_criteria &Criteria) const {
  auto Found = Services.find(Criteria.Service);
  return Found != Services.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const node_id &Node) {
                       const server_record &Record = Endpoints.at(Node).Record;
                       return Record.Zone == Criteria.LocalZone &&
                              mayServe(Record, Criteria);
                     });
}

std::vector<const load_balancer::endpoint *>
load_balancer::candidates(const selection_criteria &Criteria,
                          steady_time Now) const {
  std::vector<const endpoint *> Usable;
  std::vector<const endpoint *> Avoided;
  auto Found = Services.find(Criteria.Service);
  if (Found == Services.end())
    return Usable;
  for (const node_id &Node : Found->second) {
    const endpoint &Endpoint = Endpoints.at(Node);
    const server_record &Record = Endpoint.Record;
    if (!mayServe(Record, Criteria) ||
        (Criteria.LocalZoneOnly && Record.Zone != Criteria.LocalZone) ||
        std::find(Criteria.TriedNodes.begin(), Criteria.TriedNodes.end(),
                  Node) != Criteria.TriedNodes.end())
      continue;
    bool Avoid = Now < Endpoint.EjectedUntil || Now < Endpoint.AvoidedUntil;
    (Avoid ? Avoided : Usable).push_back(&Endpoint);
  }
  if (!Usable.empty() || Criteria.LocalZoneOnly)
    return Usable;
  // No other server is left: use those that are avoided for the shortest time.
  std::sort(Avoided.begin(), Avoided.end(),
            [](const endpoint *Left, const endpoint *Right) {
              return std::max(Left->EjectedUntil, Left->AvoidedUntil) <
                     std::max(Right->EjectedUntil, Right->AvoidedUntil);
            });
  if (Avoided.size() > 1)
    Avoided.resize((Avoided.size() + 1) / 2);
  return Avoided;
}

/// Returns the service time to assume for servers without a report: that of the
/// fastest known server, so that new servers receive calls, but no more than
/// the average of the service, so that they are tried when all known servers
/// turn slow.
std::chrono::milliseconds load_balancer::defaultServiceTime(
    const service_name &Service,
    const std::vector<const endpoint *> &Candidates) const {
  auto Usual = AverageServiceMillis.find(Service);
  if (Usual == AverageServiceMillis.end())
    return InitialServiceTime;
  auto DefaultTime = std::chrono::milliseconds(std::llround(Usual->second));
  for (const endpoint *Each : Candidates)
    if (auto Time = Each->reportedServiceTime(); Time.count() > 0)
      DefaultTime = std::min(DefaultTime, Time);
  return DefaultTime;
}

double load_balancer::expectedMillis(const endpoint &Endpoint,
                                     const selection_criteria &Criteria,
                                     std::chrono::milliseconds DefaultTime,
                                     steady_time Now) const {
  double Millis = Endpoint.baseMillis(DefaultTime);
  auto Average = AverageServiceMillis.find(Criteria.Service);
  if (Criteria.UsualTime.count() > 0 && Average != AverageServiceMillis.end())
    Millis *=
        double(Criteria.UsualTime.count()) / std::max(Average->second, 1.0);
  double RelativeLoad =
      (Endpoint.load(Now) + 1) / Endpoint.concurrencyLimit(Now);
  return Millis * std::max(1.0, RelativeLoad);
}

bool load_balancer::isPreferred(const endpoint &Endpoint,
                                const selection_criteria &Criteria,
                                double BestCost,
                                std::chrono::milliseconds DefaultTime,
                                steady_time Now) const {
  if (expectedMillis(Endpoint, Criteria, DefaultTime, Now) <=
      PreferredTargetPart * double(Criteria.TargetTime.count()))
    return true;
  const zone_preference *Preference = ZonePreferences;
  while (Criteria.ExpectedTransferBytes < Preference->MinTransferBytes)
    ++Preference;
  return Endpoint.utilization(Now) < Preference->MaxUtilization &&
         Endpoint.cost(Now, DefaultTime) <=
             BestCost * Preference->MaxCostFactor;
}

const server_record *
load_balancer::selectServer(const selection_criteria &Criteria, generator &Gen,
                            steady_time Now) const {
  auto Candidates = candidates(Criteria, Now);
  if (Candidates.empty())
    return nullptr;
  auto DefaultTime = defaultServiceTime(Criteria.Service, Candidates);
  double Best = Candidates.front()->cost(Now, DefaultTime);
  for (const endpoint *Each : Candidates)
    Best = std::min(Best, Each->cost(Now, DefaultTime));
  std::vector<const endpoint *> LocalCandidates;
  for (const endpoint *Each : Candidates) {
    if (Each->Record.Zone != Criteria.LocalZone)
      continue;
    if (!isPreferred(*Each, Criteria, Best, DefaultTime, Now))
      continue;
    if (Each->Record.Node == Criteria.LocalNode &&
        Criteria.ExpectedTransferBytes >= LocalNodeTransferBytes)
      return &Each->Record;
    LocalCandidates.push_back(Each);
  }
  const auto &Pool = LocalCandidates.empty() ? Candidates : LocalCandidates;
  const endpoint *First = Pool[drawIndex(Gen, Pool.size())];
  if (Pool.size() == 1)
    return &First->Record;
  const endpoint *Second = First;
  while (Second == First)
    Second = Pool[drawIndex(Gen, Pool.size())];
  return &(Second->cost(Now, DefaultTime) < First->cost(Now, DefaultTime)
               ? Second
               : First)
              ->Record;
}

bool load_balancer::hasSpareCapacity(const selection_criteria &Criteria,
                                     steady_time Now) const {
  constexpr double MaxUtilization = 0.7;
  auto Candidates = candidates(Criteria, Now);
  return std::any_of(Candidates.begin(), Candidates.end(),
                     [&](const endpoint *Each) {
                       return Each->utilization(Now) < MaxUtilization;
                     });
}

void load_balancer::onAttemptStarted(const node_id &Node) {
  auto Found = Endpoints.find(Node);
  if (Found != Endpoints.end())
    ++Found->second.InFlight;
}

void load_balancer::eject(endpoint &Endpoint, steady_time Now) {
  auto Time = std::min(FirstEjection * (1U << std::min(Endpoint.Ejections, 8U)),
                       MaxEjection);
  ++Endpoint.Ejections;
  Endpoint.ConsecutiveFailures = 0;
  Endpoint.EjectedUntil = Now + Time;
}

void load_balancer::updateAverageServiceTime(const service_name &Service,
                                             std::chrono::milliseconds Time) {
  if (Time <= std::chrono::milliseconds(0))
    return;
  auto [Found, Added] =
      AverageServiceMillis.try_emplace(Service, double(Time.count()));
  Found->second +=
      AverageServiceTimeWeight * (double(Time.count()) - Found->second);
}

void load_balancer::onAttemptEnded(const node_id &Node, attempt_result Result,
                                   const std::optional<load_report> &Report,
                                   steady_time Now) {
  auto Found = Endpoints.find(Node);
  if (Found == Endpoints.end())
    return;
  endpoint &Endpoint = Found->second;
  if (Endpoint.InFlight > 0)
    --Endpoint.InFlight;
  if (Report) {
    Endpoint.Report = Report;
    Endpoint.ReportTime = Now;
    updateAverageServiceTime(Endpoint.Record.Service, Report->ServiceTime);
    Endpoint.InFlightAtReport = Endpoint.InFlight;
  }
  switch (Result) {
  case attempt_result::Succeeded:
    Endpoint.FailureRate *= 1 - FailureWeight;
    Endpoint.ConsecutiveFailures = 0;
    Endpoint.Ejections = 0;
    return;
  case attempt_result::Failed:
    Endpoint.FailureRate += FailureWeight * (1 - Endpoint.FailureRate);
    if (++Endpoint.ConsecutiveFailures >= FailuresToEject)
      eject(Endpoint, Now);
    return;
  case attempt_result::Rejected:
    Endpoint.AvoidedUntil = Now + RejectionBackoff;
    return;
  case attempt_result::Unreachable:
    eject(Endpoint, Now);
    return;
  case attempt_result::Canceled:
    return;
  }
}

std::chrono::milliseconds
load_balancer::serviceTime(const node_id &Node) const {
  auto Found = Endpoints.find(Node);
  if (Found == Endpoints.end() || !Found->second.Report)
    return InitialServiceTime;
  return Found->second.Report->ServiceTime;
}

std::size_t load_balancer::serverCount(const service_name &Service) const {
  auto Found = Services.find(Service);
  return Found == Services.end() ? 0 : Found->second.size();
}

} // namespace gentianlug::mesh
