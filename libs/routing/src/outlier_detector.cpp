#include "gentianlug/routing/outlier_detector.h"

#include <algorithm>

namespace gentianlug::routing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Reciprocal of the weight of a new sample in the moving average.
static constexpr int LatencySmoothingDivisor = 8;

static void recordLatency(endpoint &Endpoint, microseconds Latency) {
  ++Endpoint.Samples;
  if (Endpoint.Samples == 1)
    Endpoint.Latency = Latency;
  else
    Endpoint.Latency += (Latency - Endpoint.Latency) / LatencySmoothingDivisor;
}

/// Returns the lower median of the latencies of the endpoints that have enough
/// samples and are not ejected, or nothing when there are too few of them.
static std::optional<microseconds>
medianLatency(const std::vector<endpoint *> &Peers, std::uint32_t MinSamples,
              steady_time Now) {
  constexpr std::size_t MinPeers = 3;
  std::vector<microseconds> Latencies;
  for (const endpoint *Peer : Peers)
    if (Peer->Samples >= MinSamples && !Peer->isEjected(Now))
      Latencies.push_back(Peer->Latency);
  if (Latencies.size() < MinPeers)
    return std::nullopt;
  auto Middle = Latencies.begin() + std::ptrdiff_t((Latencies.size() - 1) / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  return *Middle;
}

std::optional<ejection> outlier_detector::observe(
    endpoint &Endpoint, const std::vector<endpoint *> &Peers,
    const call_observation &Observation, steady_time Now) const {
  if (Observation.Load) {
    Endpoint.Load = Observation.Load;
    Endpoint.LoadTime = Now;
  }
  switch (Observation.Outcome) {
  case call_outcome::Canceled:
  case call_outcome::Shed:
    return std::nullopt;
  case call_outcome::Failed:
    ++Endpoint.ConsecutiveFailures;
    break;
  case call_outcome::Responded:
    Endpoint.ConsecutiveFailures = 0;
    recordLatency(Endpoint, Observation.Latency);
    break;
  }
  // Calls that were in flight at the ejection do not prolong it.
  if (Endpoint.isEjected(Now))
    return std::nullopt;
  std::string Reason = findOutlierReason(Endpoint, Peers, Now);
  if (Reason.empty())
    return std::nullopt;
  return eject(Endpoint, std::move(Reason), Now);
}

std::string
outlier_detector::findOutlierReason(const endpoint &Endpoint,
                                    const std::vector<endpoint *> &Peers,
                                    steady_time Now) const {
  if (Endpoint.ConsecutiveFailures >= Criteria.ConsecutiveFailures)
    return std::to_string(Endpoint.ConsecutiveFailures) +
           " calls in a row failed";
  if (Endpoint.Samples < Criteria.MinSamples)
    return {};
  auto Median = medianLatency(Peers, Criteria.MinSamples, Now);
  if (!Median || Endpoint.Latency < *Median + Criteria.LatencyExcess ||
      double(Endpoint.Latency.count()) <
          double(Median->count()) * Criteria.LatencyFactor)
    return {};
  return "latency " + std::to_string(Endpoint.Latency.count()) +
         " us against a median of " + std::to_string(Median->count()) + " us";
}

ejection outlier_detector::eject(endpoint &Endpoint, std::string Reason,
                                 steady_time Now) const {
  if (Now - Endpoint.EjectedUntil >= Criteria.EjectionResetTime)
    Endpoint.Ejections = 0;
  milliseconds Time = Criteria.BaseEjectionTime;
  for (std::uint32_t Count = 0;
       Count < Endpoint.Ejections && Time < Criteria.MaxEjectionTime; ++Count)
    Time *= 2;
  Time = std::min(Time, Criteria.MaxEjectionTime);
  ++Endpoint.Ejections;
  Endpoint.EjectedSince = Now;
  Endpoint.EjectedUntil = Now + Time;
  // After the ejection only new calls count.
  Endpoint.ConsecutiveFailures = 0;
  Endpoint.Samples = 0;
  return {Endpoint.Member.Node, Time, std::move(Reason)};
}

} // namespace gentianlug::routing
