#ifndef GENTIANLUG_WIRE_ROLLOUT_VALUES_H
#define GENTIANLUG_WIRE_ROLLOUT_VALUES_H

#include "gentianlug/core/result.h"
#include "gentianlug/rollout/controller_notice.h"
#include "gentianlug/rollout/evidence.h"
#include "gentianlug/rollout/rollout_state.h"

#include <string>
#include <string_view>

namespace gentianlug::wire {

/// Decodes the value of the platform object `live/rollout/SERVICE`.
result<rollout::rollout_state> decodeRolloutState(std::string_view Text);
std::string encode(const rollout::rollout_state &State);

/// Decodes the body of `POST /v1/evidence`.
result<rollout::server_evidence> decodeServerEvidence(std::string_view Text);
std::string encode(const rollout::server_evidence &Evidence);

/// Decodes the body of `POST /v1/steering`.
result<rollout::controller_notice>
decodeControllerNotice(std::string_view Text);
std::string encode(const rollout::controller_notice &Notice);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_ROLLOUT_VALUES_H
