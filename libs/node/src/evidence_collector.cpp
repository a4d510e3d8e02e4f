#include "evidence_collector.h"

namespace gentianlug::node {

void evidence_collector::add(const route_name &Route, bool Failed,
                             std::optional<std::chrono::microseconds> Latency) {
  bool Own = Routes.count(Route) || Routes.size() < MaxEvidenceRoutes;
  rollout::route_evidence &Entry = Routes[Own ? Route : route_name()];
  Entry.Route = Own ? Route : route_name();
  ++Entry.Calls;
  Entry.Errors += Failed;
  if (!Failed && Latency)
    ++Entry.Latencies[rollout::latencyBucket(*Latency)];
}

void evidence_collector::takeInto(rollout::server_evidence &Report) {
  Report.Sequence = ++Sequence;
  for (auto &[Name, Entry] : Routes)
    Report.Routes.push_back(std::move(Entry));
  Routes.clear();
}

} // namespace gentianlug::node
