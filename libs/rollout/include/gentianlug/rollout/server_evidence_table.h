#ifndef GENTIANLUG_ROLLOUT_SERVER_EVIDENCE_TABLE_H
#define GENTIANLUG_ROLLOUT_SERVER_EVIDENCE_TABLE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/rollout/evidence.h"

#include <map>

namespace gentianlug::rollout {

/// Servers in the table of one controller; evidence of further servers is
/// rejected.
inline constexpr std::size_t MaxEvidenceServers = 1024;

/// A server without evidence for longer than this is considered gone.
inline constexpr std::chrono::milliseconds EvidenceLifetime{3000};

/// The latest evidence of each backend server of a service.
class server_evidence_table {
public:
  /// Stores the evidence unless it is a duplicate, older than other evidence of
  /// the same node, or from an earlier incarnation of the server.
  ///
  /// \returns whether the evidence was stored.
  bool accept(steady_time Now, const server_evidence &Evidence);

  /// Returns whether evidence of a server of \p Version has arrived within
  /// `EvidenceLifetime`.
  bool hasServer(const version_name &Version, steady_time Now) const;

  /// Returns the number of calls that the servers of \p Version may run
  /// concurrently.
  std::uint32_t concurrencyLimit(const version_name &Version,
                                 steady_time Now) const;

private:
  struct entry {
    version_name Version;
    incarnation_number Incarnation = 0;
    std::uint64_t Sequence = 0;
    std::uint32_t ConcurrencyLimit = 0;
    steady_time ReceivedAt;
  };

  void dropStale(steady_time Now);

  std::map<node_id, entry> Servers;
};

} // namespace gentianlug::rollout

#endif // GENTIANLUG_ROLLOUT_SERVER_EVIDENCE_TABLE_H
