#ifndef GENTIANLUG_NODE_ROLLOUT_SELECTOR_H
#define GENTIANLUG_NODE_ROLLOUT_SELECTOR_H

#include "gentianlug/node/messages.h"
#include "gentianlug/rollout/version_split.h"
#include "gentianlug/routing/version_selector.h"

namespace gentianlug::node {

/// Selects one of the two versions of a rollout at random, with the shares
/// given by the rollout state in a snapshot.
class rollout_selector final : public routing::version_selector {
public:
  /// \param Snapshot must outlive the selector and have a configuration.
  explicit rollout_selector(const routing_snapshot &Snapshot)
      : Snapshot(Snapshot) {}

  version_name selectVersion(const config::service &Service, bool Idempotent,
                             generator &Gen, wall_time Now) const override {
    const config::rollout *Rollout = config::findRollout(
        Snapshot.Configuration->Configuration, Service.Name);
    auto State = Snapshot.Rollouts.find(Service.Name);
    rollout::version_split Split = rollout::splitVersions(
        Service, Rollout,
        State == Snapshot.Rollouts.end() ? nullptr : &State->second, Now,
        Idempotent);
    if (Split.NewShare > 0 && drawBool(Gen, Split.NewShare))
      return Split.NewVersion;
    return Split.OldVersion;
  }

private:
  const routing_snapshot &Snapshot;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_ROLLOUT_SELECTOR_H
