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

/// How one try of a call at a server ended, as this node saw it.
enum class attempt_result : std::uint8_t {
  /// The server answered, and not with a fault of its own.
  Succeeded,
  /// The server answered with a fault, or its answer was lost or spoiled.
  Failed,
  /// The node beside the server refused the call.
  Rejected,
  /// The node beside the server was not reached.
  Unreachable,
  /// The caller left, or another try won; tells nothing.
  Canceled,
};

/// What a choice depends on.
struct selection_criteria {
  const service_name &Service;
  /// Only servers of this version.
  const version_name &Version;
  const node_id &LocalNode;
  const zone_name &LocalZone;
  /// Zones that operators have taken out.
  const std::set<zone_name> &ZonesOutOfService;
  /// Nodes that the call has tried already; not chosen again.
  const std::vector<node_id> &TriedNodes;
  /// Size of the answer, as far as it can be foreseen.
  std::size_t ExpectedResponseBytes = 0;
  /// Only servers of the own zone that take calls at the moment.
  bool LocalZoneOnly = false;
};

/// Chooses servers by expected time, own zone first.
///
/// Bytes between zones are expensive, so a server of the own zone is preferred
/// until it has no room or is much slower than the best one elsewhere; the
/// larger the answer, the longer. A large answer of the server beside this node
/// passes one link less and is preferred before all. Servers
/// that cannot be reached or that fail are left out for a growing time, of a
/// service at most half, unless nothing else is left.
class load_balancer {
public:
  /// Takes over all known servers. Observations last as long as the same start
  /// of a server does.
  void setServers(const std::vector<server_record> &Servers);

  /// Returns the choice, or null. Complexity: linear in the servers of the
  /// service.
  const server_record *selectServer(const selection_criteria &Request,
                                    generator &Gen, steady_time Now) const;

  void onAttemptStarted(const node_id &Node);
  void onAttemptEnded(const node_id &Node, attempt_result End,
                      const std::optional<load_report> &Report,
                      steady_time Now);

  /// Returns whether some server of the own zone may serve, also one that has
  /// been tried or that refuses at the moment.
  bool hasServerInZone(const selection_criteria &Request) const;
  /// Returns whether a second try may be started beside a running one: some
  /// server of the service has room to spare.
  bool hasSpareCapacity(const selection_criteria &Request,
                        steady_time Now) const;
  /// Returns the usual time of a call at the server beside \p Node.
  std::chrono::milliseconds serviceTime(const node_id &Node) const;
  /// Returns how many servers of \p Service are known.
  std::size_t serverCount(const service_name &Service) const;

private:
  struct endpoint {
    server_record Record;
    std::uint32_t InFlight = 0;
    std::uint32_t InFlightAtReport = 0;
    std::optional<load_report> Report;
    steady_time ReportTime{};
    /// Moving share of failed tries, 0 to 1.
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
    /// \param Assumed service time until the first answer.
    double cost(steady_time Now, std::chrono::milliseconds Assumed) const;
    bool reportIsFresh(steady_time Now) const;
    /// Returns the reported service time; 0 before the server's first answer.
    std::chrono::milliseconds reportedServiceTime() const {
      return Report ? Report->ServiceTime : std::chrono::milliseconds(0);
    }
  };

  std::vector<const endpoint *> candidates(const selection_criteria &Request,
                                           steady_time Now) const;
  std::chrono::milliseconds
  defaultServiceTime(const service_name &Service,
                     const std::vector<const endpoint *> &Known) const;
  void updateAverageServiceTime(const service_name &Service,
                                std::chrono::milliseconds Time);
  void eject(endpoint &Endpoint, steady_time Now);

  std::unordered_map<node_id, endpoint> Endpoints;
  std::unordered_map<service_name, std::vector<node_id>> Services;
  /// Slow moving average of the reported service times of known services.
  std::unordered_map<service_name, double> AverageServiceMillis;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_LOAD_BALANCER_H
