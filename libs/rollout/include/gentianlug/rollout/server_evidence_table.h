#ifndef GENTIANLUG_ROLLOUT_SERVER_EVIDENCE_TABLE_H
#define GENTIANLUG_ROLLOUT_SERVER_EVIDENCE_TABLE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/rollout/evidence.h"

#include <map>

namespace gentianlug::rollout {

/// Servers that one controller keeps; evidence of further ones is refused.
inline constexpr std::size_t MaxEvidenceServers = 1024;

/// A server without evidence for this time does not count.
inline constexpr std::chrono::milliseconds EvidenceLifetime{3000};

/// The newest evidence of each backend server of a service.
class server_evidence_table {
public:
  /// Keeps the evidence unless it is repeated, older than evidence of the same
  /// node, or of an earlier life of the server.
  ///
  /// \returns whether the evidence is new and counts.
  bool accept(steady_time Now, const server_evidence &Evidence);

  /// Returns whether a server of \p Version has sent evidence lately.
  bool hasServer(const version_name &Version, steady_time Now) const;

  /// Returns the calls that the servers of \p Version may run at a time.
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
