#ifndef GENTIANLUG_MESH_LOAD_BALANCER_H
#define GENTIANLUG_MESH_LOAD_BALANCER_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/mesh/load_report.h"
#include "gentianlug/mesh/model.h"

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace gentianlug::mesh {

/// Result of one attempt to call a server, as seen by this node.
enum class attempt_result : std::uint8_t {
  /// The server responded without a server error.
  Succeeded,
  /// The server responded with an error, or the response was lost or invalid.
  Failed,
  /// The node of the server rejected the call.
  Rejected,
  /// The node of the server could not be reached.
  Unreachable,
  /// The caller disconnected, or another attempt succeeded first. Says nothing
  /// about the server.
  Canceled,
};

/// Conditions for the selection of a server.
struct selection_criteria {
  const service_name &Service;
  const version_name &Version;
  const node_id &LocalNode;
  const zone_name &LocalZone;
  /// Zones that operators have taken out of service.
  const std::set<zone_name> &ZonesOutOfService;
  /// Nodes that the call has already been sent to; excluded.
  const std::vector<node_id> &TriedNodes;
  /// Estimated size of the request and the response.
  std::size_t ExpectedTransferBytes = 0;
  /// Select only servers of the local zone that are neither ejected nor
  /// rejecting calls.
  bool LocalZoneOnly = false;
  /// Time within which the response has its full value; 0 if unknown.
  std::chrono::milliseconds TargetTime{0};
  /// Usual response time of calls of this route; 0 if unknown. The service
  /// times that nodes report are averages over all routes.
  std::chrono::milliseconds UsualTime{0};
};

/// Selects servers by expected response time, with preference for the local
/// zone.
///
/// Traffic between zones is expensive. Servers of the local zone are therefore
/// preferred as long as they are expected to respond in time for the full value
/// of the response, and beyond that until they are overloaded or much slower
/// than the best server in another zone; the more bytes a call is expected to
/// transfer, the stronger the preference. For large transfers the server of the
/// local node is preferred most, since they cross one network link less.
///
/// Servers that fail or cannot be reached are ejected for increasing times. If
/// that leaves no server for a call, the half whose ejection ends first is
/// used.
class load_balancer {
public:
  /// Replaces the known servers. Observations are kept for servers whose
  /// instance and node address are unchanged.
  void setServers(const std::vector<server_record> &Servers);

  /// Returns the selected server, or null. Complexity: linear in the servers of
  /// the service.
  const server_record *selectServer(const selection_criteria &Criteria,
                                    generator &Gen, steady_time Now) const;

  void onAttemptStarted(const node_id &Node);
  void onAttemptEnded(const node_id &Node, attempt_result Result,
                      const std::optional<load_report> &Report,
                      steady_time Now);

  /// The server has said in a response that it is leaving. It is not selected
  /// again, whatever its record says, until a later incarnation of it is known.
  void onServerLeaving(const std::string &Instance,
                       incarnation_number Incarnation);

  /// Returns whether the local zone has a server that may process the call,
  /// including servers that have been tried or that reject calls now.
  bool hasServerInZone(const selection_criteria &Criteria) const;
  /// Returns whether a server of the service has capacity for a second attempt
  /// in parallel with a running one.
  bool hasSpareCapacity(const selection_criteria &Criteria,
                        steady_time Now) const;
  /// Returns the average service time that \p Node has reported.
  std::chrono::milliseconds serviceTime(const node_id &Node) const;
  /// Returns the number of known servers of \p Service.
  std::size_t serverCount(const service_name &Service) const;

private:
  struct endpoint {
    server_record Record;
    std::uint32_t InFlight = 0;
    std::uint32_t InFlightAtReport = 0;
    std::optional<load_report> Report;
    steady_time ReportTime{};
    /// Moving average of the share of failed attempts, 0 to 1.
    double FailureRate = 0;
    std::uint32_t ConsecutiveFailures = 0;
    std::uint32_t Ejections = 0;
    steady_time EjectedUntil{};
    steady_time AvoidedUntil{};

    double concurrencyLimit(steady_time Now) const;
    double load(steady_time Now) const;
    double utilization(steady_time Now) const {
      return load(Now) / concurrencyLimit(Now);
    }
    /// \param DefaultTime service time to use if none has been reported.
    double cost(steady_time Now, std::chrono::milliseconds DefaultTime) const;
    double baseMillis(std::chrono::milliseconds DefaultTime) const;
    bool reportIsFresh(steady_time Now) const;
    /// Returns the reported service time; 0 before the first response.
    std::chrono::milliseconds reportedServiceTime() const {
      return Report ? Report->ServiceTime : std::chrono::milliseconds(0);
    }
  };

  /// Returns whether a server of the local zone is to be preferred to the best
  /// server of all zones.
  bool isPreferred(const endpoint &Endpoint, const selection_criteria &Criteria,
                   double BestCost, std::chrono::milliseconds DefaultTime,
                   steady_time Now) const;
  /// Returns the time in which a call is expected to be answered, including its
  /// time in the queue; failures count as additional time.
  double expectedMillis(const endpoint &Endpoint,
                        const selection_criteria &Criteria,
                        std::chrono::milliseconds DefaultTime,
                        steady_time Now) const;
  std::vector<const endpoint *> candidates(const selection_criteria &Criteria,
                                           steady_time Now) const;
  std::chrono::milliseconds
  defaultServiceTime(const service_name &Service,
                     const std::vector<const endpoint *> &Candidates) const;
  void updateAverageServiceTime(const service_name &Service,
                                std::chrono::milliseconds Time);
  void eject(endpoint &Endpoint, steady_time Now);
  bool isKnownInstance(const std::string &Instance) const;
  bool mayServe(const server_record &Record,
                const selection_criteria &Criteria) const;

  std::unordered_map<node_id, endpoint> Endpoints;
  std::unordered_map<service_name, std::vector<node_id>> Services;
  /// Incarnations of the servers that have said that they are leaving, by
  /// instance id, at most `MaxLeavingServers`.
  std::unordered_map<std::string, incarnation_number> LeavingServers;
  /// Slow moving average of the service times reported for each service.
  std::unordered_map<service_name, double> AverageServiceMillis;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_LOAD_BALANCER_H
