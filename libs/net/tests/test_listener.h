#ifndef GENTIANLUG_NET_TESTS_TEST_LISTENER_H
#define GENTIANLUG_NET_TESTS_TEST_LISTENER_H

#include "gentianlug/net/http_server.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

namespace gentianlug::net {

/// Makes \p Server listen on a free port and returns its address. The search
/// starts at a port derived from the process id, so that concurrent test
/// programs rarely try the same ports.
inline address listenOnFreePort(http_server &Server) {
  constexpr unsigned FirstPort = 10000;
  constexpr unsigned PortCount = 20000;
  static unsigned NextOffset = unsigned(getpid()) * 37;
  for (unsigned Attempt = 0; Attempt < PortCount; ++Attempt) {
    address Address{"127.0.0.1",
                    std::uint16_t(FirstPort + NextOffset++ % PortCount)};
    if (Server.listen(Address))
      return Address;
  }
  FAIL("no free port");
  return {};
}

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_TESTS_TEST_LISTENER_H
