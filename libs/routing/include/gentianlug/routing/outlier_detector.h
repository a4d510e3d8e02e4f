#ifndef GENTIANLUG_ROUTING_OUTLIER_DETECTOR_H
#define GENTIANLUG_ROUTING_OUTLIER_DETECTOR_H

#include "gentianlug/routing/endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace gentianlug::routing {

/// Criteria by which an endpoint is ejected as an outlier.
struct outlier_criteria {
  std::uint32_t ConsecutiveFailures = 3;
  /// An endpoint is slow if its average latency is at least this multiple of
  /// the median of the service ...
  double LatencyFactor = 4;
  /// ... and exceeds the median by at least this.
  std::chrono::microseconds LatencyExcess{20000};
  /// Number of responses before the latency is evaluated.
  std::uint32_t MinSamples = 10;
  /// Duration of the first ejection; it doubles with each consecutive one.
  std::chrono::milliseconds BaseEjectionTime{1000};
  std::chrono::milliseconds MaxEjectionTime{60000};
  /// If an endpoint stays in use for this time after an ejection, its next one
  /// lasts `BaseEjectionTime` again.
  std::chrono::milliseconds EjectionResetTime{60000};
};

/// Ejection of an endpoint.
struct ejection {
  node_id Node;
  std::chrono::milliseconds Duration{0};
  std::string Reason;
};

/// Records the outcome of calls to an endpoint and ejects outliers.
class outlier_detector {
public:
  explicit outlier_detector(outlier_criteria Criteria = {})
      : Criteria(Criteria) {}

  /// Records the outcome of a call to \p Endpoint.
  ///
  /// \param Peers all endpoints of its service, for the median latency.
  /// \returns the ejection, if this outcome causes one.
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

  outlier_criteria Criteria;
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_OUTLIER_DETECTOR_H
