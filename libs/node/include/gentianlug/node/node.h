#ifndef GENTIANLUG_NODE_NODE_H
#define GENTIANLUG_NODE_NODE_H

#include "gentianlug/core/result.h"
#include "gentianlug/settings/node_settings.h"

namespace gentianlug::node {

/// Runs a node until SIGTERM or SIGINT arrives, then stops it gracefully.
///
/// Errors: `net_errc::ListenFailed` when a listener cannot be opened.
result<void> runNode(const settings::node_settings &Settings);

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_NODE_H
