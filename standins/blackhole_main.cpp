#include "fault_proxy.h"
#include "gentianlug/net/http_server.h"
#include "program.h"

using namespace gentianlug;
using namespace gentianlug::standins;

/// Usage: standin-blackhole '{"listen": "HOST:PORT", "to": "HOST:PORT",
/// "admin": "HOST:PORT"}'
///
/// Forwards TCP connections from `listen` to `to`. `POST /admin` with
/// {"silence": true} permanently blackholes the open connections; connections
/// opened later work. The response contains the number of blackholed ones.
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return reportFailure(Json.failure());
  settings::fault_list Faults("argument");
  settings::object_reader Reader(*Json, "", Faults);
  address Listen = Reader.readAddress("listen");
  address To = Reader.readAddress("to");
  address Admin = Reader.readAddress("admin");
  Reader.reportUnknownKeys();
  if (!Faults.empty())
    return reportFailure(Faults.toError());
  net::event_loop Loop;
  fault_proxy Proxy(Loop, To);
  net::http_server AdminServer(
      Loop, {}, [&](const net::http_exchange &Exchange) {
        auto Command = settings::parseJson(Exchange.request().Body, "command");
        if (!Command || !Command->is_object())
          return Exchange.reply(net::errorResponse(400, "not a JSON object"));
        std::size_t Blackholed =
            Command->value("silence", false) ? Proxy.blackholeAll() : 0;
        Exchange.reply(net::jsonResponse(
            200, nlohmann::json{{"silenced", Blackholed},
                                {"open", Proxy.openConnectionCount()}}
                     .dump()));
      });
  if (auto Listening = Proxy.listen(Listen); !Listening)
    return reportFailure(Listening.failure());
  if (auto Listening = AdminServer.listen(Admin); !Listening)
    return reportFailure(Listening.failure());
  runUntilSignal(Loop);
  return 0;
}
