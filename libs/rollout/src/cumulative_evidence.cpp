#include "gentianlug/rollout/cumulative_evidence.h"

#include "gentianlug/rollout/server_evidence_table.h"

#include <algorithm>

namespace gentianlug::rollout {

/// Returns \p Next minus \p Before, or 0 if a count has started anew.
static std::uint32_t difference(std::uint32_t Next, std::uint32_t Before) {
  return Next >= Before ? Next - Before : 0;
}

static latency_counts difference(const latency_counts &Next,
                                 const latency_counts &Before) {
  latency_counts Result{};
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
    Result[Index] = difference(Next[Index], Before[Index]);
  return Result;
}

static const route_evidence *findRoute(const server_evidence &Report,
                                       const route_name &Name) {
  // Reports list the routes by name.
  auto Found = std::lower_bound(
      Report.Routes.begin(), Report.Routes.end(), Name,
      [](const route_evidence &Route, const route_name &Wanted) {
        return Route.Route < Wanted;
      });
  return Found != Report.Routes.end() && Found->Route == Name ? &*Found
                                                              : nullptr;
}

static void subtract(server_evidence &Report, const server_evidence &Before) {
  Report.Starts = difference(Report.Starts, Before.Starts);
  for (route_evidence &Route : Report.Routes) {
    const route_evidence *Last = findRoute(Before, Route.Route);
    if (!Last)
      continue;
    Route.Calls = difference(Route.Calls, Last->Calls);
    Route.Errors = difference(Route.Errors, Last->Errors);
    Route.Latencies = difference(Route.Latencies, Last->Latencies);
    Route.Canceled = difference(Route.Canceled, Last->Canceled);
  }
}

std::optional<server_evidence>
cumulative_evidence::advance(const server_evidence &Report) {
  auto Found = LastReports.find(Report.Node);
  if (Found == LastReports.end()) {
    if (LastReports.size() >= MaxEvidenceServers)
      return std::nullopt;
    LastReports.emplace(Report.Node, Report);
    return Report;
  }
  server_evidence &Last = Found->second;
  // The counts of a node that has restarted start at 0.
  bool SameSeries = Last.ServerIncarnation == Report.ServerIncarnation &&
                    Last.Version == Report.Version;
  if (SameSeries && Report.Sequence <= Last.Sequence)
    return std::nullopt;
  server_evidence Increment = Report;
  if (SameSeries)
    subtract(Increment, Last);
  Last = Report;
  return Increment;
}

} // namespace gentianlug::rollout
