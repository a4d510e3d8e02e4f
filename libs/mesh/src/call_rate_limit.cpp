#include "gentianlug/mesh/call_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace gentianlug::mesh {

/// Calls that may start at once after a time without calls, in seconds of the
/// rate.
static constexpr double BurstSeconds = 0.5;

double call_rate_limit::capacity() const {
  return std::max(1.0, *Rate * BurstSeconds);
}

double call_rate_limit::tokens(steady_time Now) const {
  double Seconds = std::chrono::duration<double>(Now - UpdatedAt).count();
  return std::min(capacity(), Tokens + *Rate * std::max(Seconds, 0.0));
}

void call_rate_limit::setRate(std::optional<double> CallsPerSecond,
                              steady_time Now) {
  if (!CallsPerSecond) {
    Rate.reset();
    return;
  }
  double Next = std::max(*CallsPerSecond, MinCallsPerSecond);
  std::optional<double> Left;
  if (Rate)
    Left = tokens(Now);
  Rate = Next;
  Tokens = std::min(Left.value_or(capacity()), capacity());
  UpdatedAt = Now;
}

bool call_rate_limit::mayStart(steady_time Now) const {
  return !Rate || tokens(Now) >= 1;
}

void call_rate_limit::onStart(steady_time Now) {
  if (!Rate)
    return;
  Tokens = tokens(Now) - 1;
  UpdatedAt = Now;
}

steady_time call_rate_limit::timeFor(std::size_t Calls, steady_time Now) const {
  if (!Rate)
    return Now;
  double Seconds = std::max(0.0, double(Calls) - tokens(Now)) / *Rate;
  return Now + std::chrono::ceil<std::chrono::milliseconds>(
                   std::chrono::duration<double>(Seconds));
}

} // namespace gentianlug::mesh
