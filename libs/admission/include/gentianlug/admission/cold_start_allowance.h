#ifndef GENTIANLUG_ADMISSION_COLD_START_ALLOWANCE_H
#define GENTIANLUG_ADMISSION_COLD_START_ALLOWANCE_H

#include "gentianlug/admission/limit_policy.h"

namespace gentianlug::admission {

/// Allowance of a server that may be cold.
///
/// It starts at 1, grows by 1 in each round of successes near the allowance,
/// and is halved at an error or a latency jump. Once it reaches the slots the
/// server is warm; a run of errors or latency jumps then counts as a restart
/// without notice.
class cold_start_allowance final : public limit_policy {
public:
  void reset(std::uint32_t Slots, steady_time Now) override;
  void onAnswer(const answer_sample &Sample) override;
  std::uint32_t limit() const override { return std::uint32_t(Allowance); }

  /// Returns whether latencies of the server say something about its version:
  /// it has its full allowance, or nothing was amiss for some seconds.
  bool warm(steady_time Now) const;

private:
  void onColdAnswer(const answer_sample &Sample, bool Bad);
  void onWarmAnswer(const answer_sample &Sample, bool Bad);

  double Slots = 1;
  double Allowance = 1;
  bool Cold = true;
  /// Start of the life, or the last halving.
  steady_time LastTrouble;
  /// Run of bad answers of a warm server.
  std::uint32_t BadRun = 0;
  steady_time BadRunStart;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_COLD_START_ALLOWANCE_H
