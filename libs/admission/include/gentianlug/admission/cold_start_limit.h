#ifndef GENTIANLUG_ADMISSION_COLD_START_LIMIT_H
#define GENTIANLUG_ADMISSION_COLD_START_LIMIT_H

#include "gentianlug/admission/limit_policy.h"

namespace gentianlug::admission {

/// Allowance of a server that may be cold.
///
/// It starts at 1, grows by 1 in each round of successes near the allowance,
/// and is halved at an error or a latency jump. Once it reaches the slots the
/// server is warm; a run of errors or latency jumps then counts as a restart
/// without notice.
class cold_start_limit final : public limit_policy {
public:
  void reset(std::uint32_t Slots, steady_time Now) override;
  void addSample(const call_sample &Sample) override;
  std::uint32_t limit() const override { return std::uint32_t(Limit); }

  /// Returns whether latencies of the server say something about its version:
  /// it has its full allowance, or nothing was amiss for some seconds.
  bool isWarm(steady_time Now) const;

private:
  void addColdSample(const call_sample &Sample, bool Bad);
  void addWarmSample(const call_sample &Sample, bool Bad);

  double Slots = 1;
  double Limit = 1;
  bool IsCold = true;
  /// Start of the life, or the last halving.
  steady_time LastReduction;
  /// Run of bad answers of a warm server.
  std::uint32_t ConsecutiveBadCalls = 0;
  steady_time FirstBadCall;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_COLD_START_LIMIT_H
