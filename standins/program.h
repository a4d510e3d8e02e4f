#ifndef GENTIANLUG_STANDINS_PROGRAM_H
#define GENTIANLUG_STANDINS_PROGRAM_H

#include "gentianlug/core/address.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/signal_watch.h"
#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

namespace gentianlug::standins {

/// Parses the only command line argument of a stand-in, a JSON object with its
/// settings.
inline result<nlohmann::json> readArgument(int Argc, char **Argv) {
  return settings::parseJson(Argc == 2 ? Argv[1] : "", "argument");
}

/// Prints an error to stderr and returns the exit code for bad usage.
inline int reportFailure(const error &Failure) {
  std::cerr << "stand-in: " << Failure.message() << '\n';
  return 2;
}

/// Runs the loop until SIGTERM or SIGINT.
inline void runUntilSignal(net::event_loop &Loop) {
  std::signal(SIGPIPE, SIG_IGN);
  net::signal_watch Watch(Loop, {SIGTERM, SIGINT}, [&](int) { Loop.stop(); });
  Loop.run();
}

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_PROGRAM_H
