#ifndef GENTIANLUG_MESH_RETRY_BUDGET_H
#define GENTIANLUG_MESH_RETRY_BUDGET_H

#include "gentianlug/mesh/model.h"

namespace gentianlug::mesh {

/// Part of one server in the repeats that a service may get over all nodes.
///
/// Every repeat reaches some server, so the parts add up to the bound of the
/// service. Not all of it is given out: a node that has just started has a full
/// part again.
class retry_budget {
public:
  /// \param Servers servers of the service, at least 1.
  void configure(const mesh_bounds &Bounds, std::size_t Servers);
  /// Counts a call that reaches the server for the first time.
  void onFirstAttempt();
  /// Takes one repeat; false when the part is used up.
  bool tryAcquire();
  /// Counts a call that a repeated run makes: a repeat at the service that is
  /// called, though it is sent for the first time.
  void onInheritedRetry();

private:
  double TokensPerCall = 0;
  double MaxTokens = 0;
  double Tokens = 0;
  bool Configured = false;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_RETRY_BUDGET_H
