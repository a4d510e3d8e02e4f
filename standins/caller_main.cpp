#include "load_generator.h"
#include "program.h"

#include <cstdlib>

using namespace gentianlug;
using namespace gentianlug::standins;

/// Usage: standin-caller '{"targets": ["HOST:PORT"], "rate": 100,
/// "duration_ms": 5000, "calls": [{"path": "/orders"}]}'
///
/// Prints the number of calls by outcome and the latencies as one JSON object.
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return reportFailure(Json.failure());
  auto Settings = parseCallerSettings(*Json);
  if (!Settings)
    return reportFailure(Settings.failure());
  // Without this, libevent rounds timers up to whole milliseconds, which is too
  // coarse for the due times of calls.
  setenv("EVENT_PRECISE_TIMER", "1", 1);
  std::signal(SIGPIPE, SIG_IGN);
  net::event_loop Loop;
  load_generator Caller(Loop, std::move(*Settings));
  net::signal_watch Watch(Loop, {SIGTERM, SIGINT}, [&](int) { Loop.stop(); });
  Caller.start();
  Loop.run();
  std::cout << Caller.report().dump() << std::endl;
  return 0;
}
