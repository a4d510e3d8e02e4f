#ifndef GENTIANLUG_DISTRIBUTION_STARTUP_GATE_H
#define GENTIANLUG_DISTRIBUTION_STARTUP_GATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <algorithm>
#include <chrono>

namespace gentianlug::distribution {

/// Seed peers that a starting node asks for their version.
inline constexpr unsigned StartupProbes = 2;

/// How long a starting node waits for its parent before it asks seed peers
/// without one.
inline constexpr std::chrono::milliseconds ParentTimeout{1500};

/// Decides when a starting node may serve: once it holds the newest version
/// that its parent and two seed peers report. So a restart never serves an
/// older version than the node had in force before.
class startup_gate {
public:
  /// \param Seeds number of seed peers in the settings.
  startup_gate(steady_time Start, std::size_t Seeds)
      : Start(Start),
        PendingProbes(std::min<std::size_t>(Seeds, StartupProbes)) {}

  /// The parent answered its first poll, or the platform was read.
  void onParentAnswered(config_version Version) {
    ParentAnswered = true;
    MinVersion = std::max(MinVersion, Version);
  }

  void onProbeAnswered(config_version Version) {
    ProbeAnswered = true;
    MinVersion = std::max(MinVersion, Version);
    --PendingProbes;
  }

  void onProbeFailed() { --PendingProbes; }

  /// Returns whether it is time to ask the seed peers; they are asked after
  /// the parent, so that they need not send what the parent sent already.
  bool shouldSendProbes(steady_time Now) const {
    return !ProbesSent && (ParentAnswered || Now - Start >= ParentTimeout);
  }

  /// Notes that the probes were sent.
  void onProbesSent() { ProbesSent = true; }

  /// Returns whether the node may serve with \p Held in force.
  bool isReady(config_version Held) {
    bool Asked = ProbesSent && PendingProbes == 0;
    bool Known = ParentAnswered || (ProbeAnswered && Held > 0);
    Ready = Ready || (Asked && Known && Held >= MinVersion);
    return Ready;
  }

private:
  steady_time Start;
  std::size_t PendingProbes;
  bool ParentAnswered = false;
  bool ProbeAnswered = false;
  bool ProbesSent = false;
  bool Ready = false;
  config_version MinVersion = 0;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_STARTUP_GATE_H
