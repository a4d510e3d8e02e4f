#ifndef GENTIANLUG_ADMISSION_COLD_START_LIMIT_H
#define GENTIANLUG_ADMISSION_COLD_START_LIMIT_H

#include "gentianlug/admission/limit_policy.h"

namespace gentianlug::admission {

/// Concurrency limit of a server that may be cold.
///
/// The limit starts at 1, grows by 1 for each limit's worth of successful calls
/// made near the limit, and is halved on an error or a latency spike. The
/// server is warm once the limit reaches its slots. After that, a series of
/// errors or latency spikes is taken for an unannounced restart.
class cold_start_limit final : public limit_policy {
public:
  void reset(std::uint32_t Slots, steady_time Now) override;
  void addSample(const call_sample &Sample) override;
  std::uint32_t limit() const override { return std::uint32_t(Limit); }

  /// Returns whether latencies are representative of the server's version: the
  /// limit has reached the slots, or has not been reduced for some seconds.
  bool isWarm(steady_time Now) const;

private:
  void addColdSample(const call_sample &Sample, bool Bad);
  void addWarmSample(const call_sample &Sample, bool Bad);

  double Slots = 1;
  double Limit = 1;
  bool IsCold = true;
  /// Time of the last reset or halving.
  steady_time LastReduction;
  /// Consecutive failed or slow calls of a warm server.
  std::uint32_t ConsecutiveBadCalls = 0;
  steady_time FirstBadCallTime;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_COLD_START_LIMIT_H
