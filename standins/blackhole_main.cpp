#include "fault_proxy.h"
#include "gentianlug/net/http_server.h"
#include "program.h"

using namespace gentianlug;
using namespace gentianlug::standins;

/// Usage: standin-blackhole '{"listen": "HOST:PORT", "to": "HOST:PORT",
/// "admin": "HOST:PORT"}'
///
/// `POST /admin` with {"silence": true} makes the open connections silent for
/// good, while new ones work. The reply tells their number.
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return reportFailure(Json.failure());
  settings::fault_list Faults("argument");
  settings::object_reader Reader(*Json, "", Faults);
  address Listen = Reader.endpoint("listen");
  address To = Reader.endpoint("to");
  address Admin = Reader.endpoint("admin");
  Reader.finish();
  if (!Faults.empty())
    return reportFailure(Faults.toError());
  net::event_loop Loop;
  fault_relay Relay(Loop, To);
  net::http_server Commands(Loop, {}, [&](const net::http_exchange &Exchange) {
    auto Command = settings::parseJson(Exchange.request().Body, "command");
    if (!Command || !Command->is_object())
      return Exchange.reply(net::errorResponse(400, "not a JSON object"));
    std::size_t Silenced =
        Command->value("silence", false) ? Relay.blackholeAll() : 0;
    Exchange.reply(
        net::jsonResponse(200, nlohmann::json{{"silenced", Silenced},
                                              {"open", Relay.connections()}}
                                   .dump()));
  });
  if (auto Listening = Relay.listen(Listen); !Listening)
    return reportFailure(Listening.failure());
  if (auto Listening = Commands.listen(Admin); !Listening)
    return reportFailure(Listening.failure());
  runUntilSignal(Loop);
  return 0;
}
