#ifndef GENTIANLUG_STORE_KEYS_H
#define GENTIANLUG_STORE_KEYS_H

#include "gentianlug/core/ids.h"

#include <cstdint>
#include <string>

namespace gentianlug::store {

/// Prefix of the keys that relays watch.
inline constexpr const char *LivePrefix = "live/";
inline constexpr const char *ConfigHeadKey = "live/config";
inline constexpr const char *ZonesKey = "live/zones";
inline constexpr const char *RolloutPrefix = "live/rollout/";
inline constexpr const char *StatusPrefix = "status/";
inline constexpr const char *ContentPrefix = "object/";
inline constexpr const char *GarbageMarksKey = "gc/marks";
inline constexpr const char *RelayLeasePrefix = "lease/relay/";

inline std::string contentKey(const std::string &Hash) {
  return ContentPrefix + Hash;
}

inline std::string rolloutKey(const service_name &Service) {
  return RolloutPrefix + Service.str();
}

inline std::string relayLeaseKey(const zone_name &Zone, std::uint32_t Slot) {
  return RelayLeasePrefix + Zone.str() + "/" + std::to_string(Slot);
}

inline std::string rolloutLeaseKey(const service_name &Service) {
  return "lease/rollout/" + Service.str();
}

inline std::string statusKey(const zone_name &Zone) {
  return StatusPrefix + Zone.str();
}

} // namespace gentianlug::store

#endif // GENTIANLUG_STORE_KEYS_H
