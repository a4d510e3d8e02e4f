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
inline constexpr std::chrono::milliseconds ParentWait{1500};

/// Decides when a starting node may serve: once it holds the newest version
/// that its parent and two seed peers report. So a restart never serves an
/// older version than the node had in force before.
class startup_gate {
public:
  /// \param Seeds number of seed peers in the settings.
  startup_gate(steady_time Start, std::size_t Seeds)
      : Start(Start), Unanswered(std::min<std::size_t>(Seeds, StartupProbes)) {}

  /// The parent answered its first poll, or the platform was read.
  void onParentAnswered(config_version Version) {
    ParentAnswered = true;
    Floor = std::max(Floor, Version);
  }

  void onProbeAnswered(config_version Version) {
    ProbeAnswered = true;
    Floor = std::max(Floor, Version);
    --Unanswered;
  }

  void onProbeFailed() { --Unanswered; }

  /// Returns whether it is time to ask the seed peers; they are asked after
  /// the parent, so that they need not send what the parent sent already.
  bool wantsProbes(steady_time Now) const {
    return !Probed && (ParentAnswered || Now - Start >= ParentWait);
  }

  /// Notes that the probes were sent.
  void onProbesSent() { Probed = true; }

  /// Returns whether the node may serve with \p Held in force.
  bool open(config_version Held) {
    bool Asked = Probed && Unanswered == 0;
    bool Known = ParentAnswered || (ProbeAnswered && Held > 0);
    Open = Open || (Asked && Known && Held >= Floor);
    return Open;
  }

private:
  steady_time Start;
  std::size_t Unanswered;
  bool ParentAnswered = false;
  bool ProbeAnswered = false;
  bool Probed = false;
  bool Open = false;
  config_version Floor = 0;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_STARTUP_GATE_H
