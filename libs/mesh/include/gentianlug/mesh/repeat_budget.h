#ifndef GENTIANLUG_MESH_REPEAT_BUDGET_H
#define GENTIANLUG_MESH_REPEAT_BUDGET_H

#include "gentianlug/mesh/model.h"

namespace gentianlug::mesh {

/// Part of one server in the repeats that a service may get over all nodes.
///
/// Every repeat reaches some server, so the parts add up to the bound of the
/// service. Only a part of the bound is given out: a node that has just started
/// has a full part again, and repeats bring repeated calls of their own.
class repeat_budget {
public:
  /// \param Servers servers of the service, at least 1.
  void configure(const mesh_bounds &Bounds, std::size_t Servers);
  /// Counts a call that reaches the server for the first time.
  void onFirst();
  /// Takes one repeat; false when the part is used up.
  bool take();

private:
  double Ratio = 0;
  double MaxTokens = 0;
  double Tokens = 0;
  bool Configured = false;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_REPEAT_BUDGET_H
