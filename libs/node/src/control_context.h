#ifndef GENTIANLUG_NODE_CONTROL_CONTEXT_H
#define GENTIANLUG_NODE_CONTROL_CONTEXT_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/distribution/node_state.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/observe/metrics.h"
#include "gentianlug/settings/node_settings.h"
#include "gentianlug/store/object_store.h"

namespace gentianlug::node {

/// Dependencies shared by the components of the control task. They are used
/// only on the thread of that task.
struct control_context {
  net::event_loop &Loop;
  const clock &Clock;
  generator &Gen;
  observe::metric_set &Metrics;
  const settings::node_settings &Settings;
  distribution::node_state &State;
  store::object_store &Platform;
  incarnation_number Incarnation;

  distribution::peer_identity self() const {
    return {Settings.Node, Settings.Zone, Incarnation, Settings.ControlListen};
  }

  steady_time now() const { return Clock.steadyNow(); }
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_CONTROL_CONTEXT_H
