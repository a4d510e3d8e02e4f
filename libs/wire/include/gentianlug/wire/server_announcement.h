#ifndef GENTIANLUG_WIRE_SERVER_ANNOUNCEMENT_H
#define GENTIANLUG_WIRE_SERVER_ANNOUNCEMENT_H

#include "gentianlug/core/address.h"
#include "gentianlug/core/ids.h"
#include "gentianlug/core/result.h"

#include <string>
#include <string_view>

namespace gentianlug::wire {

/// Announcement that a backend server sends to its local node every second.
struct server_announcement {
  service_name Service;
  version_name Version;
  address Address;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  incarnation_number Incarnation = 0;
  bool Draining = false;

  bool operator==(const server_announcement &) const = default;
};

/// Decodes an announcement. Returns `wire_errc::MalformedMessage` on error.
result<server_announcement> decodeServerAnnouncement(std::string_view Text);

std::string encode(const server_announcement &Announcement);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_SERVER_ANNOUNCEMENT_H
