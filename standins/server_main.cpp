#include "backend_server.h"
#include "program.h"

using namespace gentianlug;
using namespace gentianlug::standins;

/// Usage: standin-server '{"listen": "HOST:PORT", "service": "NAME",
/// "node_admin": "HOST:PORT"}'
///
/// `parseServerSettings` lists the optional keys.
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return reportFailure(Json.failure());
  auto Settings = parseServerSettings(*Json);
  if (!Settings)
    return reportFailure(Settings.failure());
  std::signal(SIGPIPE, SIG_IGN);
  net::event_loop Loop;
  backend_server Server(Loop, std::move(*Settings));
  if (auto Listening = Server.listen(); !Listening)
    return reportFailure(Listening.failure());
  net::signal_watch Watch(Loop, {SIGTERM, SIGINT},
                          [&](int) { Server.drain(); });
  Loop.run();
  return 0;
}
