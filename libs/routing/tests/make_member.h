#ifndef GENTIANLUG_ROUTING_TESTS_MAKE_MEMBER_H
#define GENTIANLUG_ROUTING_TESTS_MAKE_MEMBER_H

#include "gentianlug/membership/member_record.h"

namespace gentianlug::routing {

inline membership::member_record makeMember(const char *Node, const char *Zone,
                                            const char *Version = "v1") {
  membership::member_record Member;
  Member.Node = node_id(Node);
  Member.Zone = zone_name(Zone);
  Member.Service = service_name("orders");
  Member.Version = version_name(Version);
  Member.Slots = 10;
  Member.ServerIncarnation = 1;
  Member.State = membership::member_state::Serving;
  return Member;
}

} // namespace gentianlug::routing

#endif // GENTIANLUG_ROUTING_TESTS_MAKE_MEMBER_H
