#ifndef GENTIANLUG_NET_TESTS_TEST_LISTENER_H
#define GENTIANLUG_NET_TESTS_TEST_LISTENER_H

#include "gentianlug/net/http_server.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

namespace gentianlug::net {

/// Lets \p Server listen on a free port and returns it. Test programs that run
/// at the same time start at different ports, by process id.
inline address listenOnFreePort(http_server &Server) {
  constexpr unsigned First = 10000;
  constexpr unsigned Count = 20000;
  static unsigned Next = unsigned(getpid()) * 37;
  for (unsigned Try = 0; Try < Count; ++Try) {
    address Address{"127.0.0.1", std::uint16_t(First + Next++ % Count)};
    if (Server.listen(Address))
      return Address;
  }
  FAIL("no free port");
  return {};
}

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_TESTS_TEST_LISTENER_H
