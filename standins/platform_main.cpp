#include "platform_api.h"
#include "program.h"

using namespace gentianlug;
using namespace gentianlug::standins;

/// Usage: standin-platform '{"listen": "HOST:PORT", "seed": N}'
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return reportFailure(Json.failure());
  settings::fault_list Faults("argument");
  settings::object_reader Reader(*Json, "", Faults);
  address Listen = Reader.readAddress("listen");
  auto Seed = std::uint64_t(Reader.readInteger("seed", 0, INT64_MAX, 1));
  Reader.reportUnknownKeys();
  if (!Faults.empty())
    return reportFailure(Faults.toError());
  net::event_loop Loop;
  platform_api Api(Loop, Seed);
  if (auto Listening = Api.listen(Listen); !Listening)
    return reportFailure(Listening.failure());
  runUntilSignal(Loop);
  return 0;
}
