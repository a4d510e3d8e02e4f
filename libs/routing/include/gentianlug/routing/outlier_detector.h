#ifndef GENTIANLUG_ROUTING_OUTLIER_DETECTOR_H
#define GENTIANLUG_ROUTING_OUTLIER_DETECTOR_H

#include "gentianlug/routing/endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace gentianlug::routing {

/// When an endpoint counts as an outlier.
struct outlier_criteria {
  std::uint32_t ConsecutiveFailures = 3;
  /// A moving average this many times above the median of the service ...
  double LatencyFactor = 4;
  /// ... and above it by at least this.
  std::chrono::microseconds LatencyExcess{20000};
  /// Answers before latency is judged.
  std::uint32_t MinSamples = 10;
  /// Time of the first ejection; it doubles with each one in a row.
  std::chrono::milliseconds BaseEjectionTime{1000};
  std::chrono::milliseconds MaxEjectionTime{60000};
  /// An endpoint in use for this time after an ejection starts afresh.
  std::chrono::milliseconds EjectionResetTime{60000};
};

/// An endpoint that has just been ejected.
struct ejection {
  node_id Node;
  std::chrono::milliseconds Duration{0};
  std::string Reason;
};

/// Records answers at an endpoint and ejects outliers.
class outlier_detector {
public:
  explicit outlier_detector(outlier_criteria Rules = {}) : Rules(Rules) {}

  /// Records how a call to \p Endpoint ended.
  ///
  /// \param Peers all endpoints of its service, for the median latency.
  /// \returns the ejection, when the endpoint is ejected by this answer.
  /// Complexity: linear in the number of peers.
  std::optional<ejection> observe(endpoint &Endpoint,
                                  const std::vector<endpoint *> &Peers,
                                  const call_observation &Observation,
                                  steady_time Now) const;

private:
  std::string findOutlierReason(const endpoint &Endpoint,
                                const std::vector<endpoint *> &Peers,
                                steady_time Now) const;
  ejection eject(endpoint &Endpoint, std::string Reason, steady_time Now) const;

  outlier_criteria Rules;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_OUTLIER_DETECTOR_H
