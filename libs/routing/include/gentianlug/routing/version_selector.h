#ifndef GENTIANLUG_ROUTING_VERSION_SELECTOR_H
#define GENTIANLUG_ROUTING_VERSION_SELECTOR_H

#include "gentianlug/config/model.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"

namespace gentianlug::routing {

/// Chooses the version of a service for a call.
class version_selector {
public:
  virtual ~version_selector() = default;

  /// \param Idempotent whether the call may run more than once.
  virtual version_name selectVersion(const config::service &Service,
                                     bool Idempotent, generator &Gen,
                                     wall_time Now) const = 0;
};

/// Sends all calls to the configured version.
class configured_version_selector final : public version_selector {
public:
  version_name selectVersion(const config::service &Service, bool, generator &,
                             wall_time) const override {
    return Service.Version;
  }
};

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_VERSION_SELECTOR_H
