#ifndef GENTIANLUG_DISTRIBUTION_STARTUP_GATE_H
#define GENTIANLUG_DISTRIBUTION_STARTUP_GATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/ids.h"

#include <algorithm>
#include <chrono>

namespace gentianlug::distribution {

/// Number of seed peers that a starting node asks for their version.
inline constexpr unsigned StartupProbes = 2;

/// How long a starting node waits for a parent before it asks the seed peers
/// anyway.
inline constexpr std::chrono::milliseconds ParentTimeout{1500};

/// Decides when a starting node may serve: as soon as it has the newest version
/// reported by its parent and two seed peers. This prevents a restarted node
/// from serving an older version than before the restart.
class startup_gate {
public:
  /// \param Seeds number of seed peers in the settings.
  startup_gate(steady_time Start, std::size_t Seeds)
      : Start(Start),
        PendingProbes(std::min<std::size_t>(Seeds, StartupProbes)) {}

  /// The parent answered the first poll, or the platform was read.
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

  /// Returns whether to ask the seed peers now. They are asked after the
  /// parent, so that they do not send again what the parent has sent.
  bool shouldSendProbes(steady_time Now) const {
    return !ProbesSent && (ParentAnswered || Now - Start >= ParentTimeout);
  }

  /// Records that the probes were sent.
  void onProbesSent() { ProbesSent = true; }

  /// Returns whether the node may serve with version \p Held in force. Stays
  /// true once it has been true.
  bool isReady(config_version Held) {
    bool AllProbesDone = ProbesSent && PendingProbes == 0;
    bool VersionKnown = ParentAnswered || (ProbeAnswered && Held > 0);
    Ready = Ready || (AllProbesDone && VersionKnown && Held >= MinVersion);
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
