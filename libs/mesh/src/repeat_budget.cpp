#include "gentianlug/mesh/repeat_budget.h"

#include <algorithm>

namespace gentianlug::mesh {

/// Parts of the bound that are given out.
static constexpr double RatioGivenOut = 0.75;
static constexpr double SlackGivenOut = 0.4;

void repeat_budget::configure(const mesh_bounds &Bounds, std::size_t Servers) {
  Ratio = Bounds.RepeatRatio * RatioGivenOut;
  MaxTokens = Bounds.RepeatSlack * SlackGivenOut /
              double(std::max<std::size_t>(Servers, 1));
  Tokens = Configured ? std::min(Tokens, MaxTokens) : MaxTokens;
  Configured = true;
}

void repeat_budget::onFirst() { Tokens = std::min(Tokens + Ratio, MaxTokens); }

void repeat_budget::onInherited() { Tokens = std::max(Tokens - 1, -MaxTokens); }

bool repeat_budget::take() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace gentianlug::mesh
