#ifndef GENTIANLUG_MESH_RETRY_BUDGET_H
#define GENTIANLUG_MESH_RETRY_BUDGET_H

#include "gentianlug/mesh/model.h"

namespace gentianlug::mesh {

/// Token bucket that limits the retries one server accepts.
///
/// The retry limit of a service is divided among its servers. The buckets get
/// less than the whole limit, because a node that restarts begins with a full
/// bucket.
class retry_budget {
public:
  /// \param Servers number of servers of the service, at least 1.
  void configure(const mesh_bounds &Bounds, std::size_t Servers);
  /// Counts the first attempt of a call.
  void onFirstAttempt();
  /// Takes a token for a retry; returns false when none is left.
  bool tryAcquire();
  /// Counts a call that was made while another server processed a retry. It
  /// uses a token although it is the first attempt of that call.
  void onInheritedRetry();

private:
  double TokensPerCall = 0;
  double MaxTokens = 0;
  double Tokens = 0;
  bool Configured = false;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_RETRY_BUDGET_H
