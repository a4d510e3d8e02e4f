#include "evidence_collector.h"

namespace gentianlug::node {

void evidence_collector::add(const route_name &Route, bool Failed,
                             std::optional<std::chrono::microseconds> Latency) {
  bool Listed = Routes.count(Route) || Routes.size() < MaxEvidenceRoutes;
  rollout::route_evidence &Entry = Routes[Listed ? Route : route_name()];
  Entry.Route = Listed ? Route : route_name();
  ++Entry.Calls;
  Entry.Errors += Failed;
  if (!Failed && Latency)
    ++Entry.Latencies[rollout::latencyBucket(*Latency)];
}

void evidence_collector::moveInto(rollout::server_evidence &Report) {
  Report.Sequence = ++Sequence;
  for (auto &[Name, Entry] : Routes)
    Report.Routes.push_back(std::move(Entry));
  Routes.clear();
}

} // namespace gentianlug::node
