#include "gentianlug/mesh/repeat_budget.h"

#include <algorithm>

namespace gentianlug::mesh {

/// Part of the bound that is given out. Calls that a repeated run makes count
/// as repeats too, at the service that is called, and cannot be told apart
/// there.
static constexpr double GivenOut = 0.35;

void repeat_budget::configure(const mesh_bounds &Bounds, std::size_t Servers) {
  Ratio = Bounds.RepeatRatio * GivenOut;
  MaxTokens =
      Bounds.RepeatSlack * GivenOut / double(std::max<std::size_t>(Servers, 1));
  Tokens = Configured ? std::min(Tokens, MaxTokens) : MaxTokens;
  Configured = true;
}

void repeat_budget::onFirst() { Tokens = std::min(Tokens + Ratio, MaxTokens); }

bool repeat_budget::take() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace gentianlug::mesh
