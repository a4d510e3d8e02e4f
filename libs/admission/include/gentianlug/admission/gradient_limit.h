#ifndef GENTIANLUG_ADMISSION_GRADIENT_LIMIT_H
#define GENTIANLUG_ADMISSION_GRADIENT_LIMIT_H

#include "gentianlug/admission/limit_policy.h"

namespace gentianlug::admission {

/// Concurrency limit that adapts to latency. It starts at the slots of the
/// server, shrinks while latency is above its baseline, and grows back to the
/// slots when latency returns to the baseline.
class gradient_limit final : public limit_policy {
public:
  void reset(std::uint32_t Slots, steady_time Now) override;
  void addSample(const call_sample &Sample) override;
  std::uint32_t limit() const override { return std::uint32_t(Limit); }

private:
  double Slots = 1;
  double Limit = 1;
  /// Moving average of `call_sample::LatencyRatio`.
  double SmoothedLatencyRatio = 1;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_GRADIENT_LIMIT_H
