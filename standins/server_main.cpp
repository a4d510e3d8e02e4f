#include "gentianlug/core/clock.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/wire/server_announcement.h"
#include "program.h"

#include <map>

using namespace gentianlug;
using namespace gentianlug::standins;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AnnouncePeriod{1000};
constexpr milliseconds AnnounceTimeout{500};

/// Settings of a backend server stand-in.
struct server_settings {
  wire::server_announcement Announcement;
  address Admin;
  milliseconds Work{5};
};

/// A backend server that announces itself and echoes its requests.
class backend_server {
public:
  backend_server(net::event_loop &Loop, server_settings Settings)
      : Settings(std::move(Settings)), Loop(Loop), Client(Loop),
        Server(Loop, {},
               [this](const net::http_exchange &Exchange) {
                 onRequest(Exchange);
               }),
        AnnounceTimer(Loop, [this] { announce(); }) {}

  result<void> listen() {
    auto Listening = Server.listen(Settings.Announcement.Address);
    announce();
    AnnounceTimer.startEvery(AnnouncePeriod);
    return Listening;
  }

private:
  void announce() {
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = "/v1/announce";
    Request.Body = wire::encode(Settings.Announcement);
    Client.send(Settings.Admin, Request, AnnounceTimeout,
                [](const result<net::http_response> &) {});
  }

  void onRequest(const net::http_exchange &Exchange) {
    if (net::pathOf(Exchange.request().Target) == "/standin/ran")
      return Exchange.reply(net::jsonResponse(200, nlohmann::json(Ran).dump()));
    if (const std::string *Id = Exchange.request().Headers.find("order-id"))
      ++Ran[*Id];
    auto Timer = std::make_shared<net::timer>(Loop, [] {});
    *Timer = net::timer(Loop, [this, Timer, Exchange]() mutable {
      answer(Exchange);
      Loop.defer([Kept = std::exchange(Timer, nullptr)] {});
    });
    Timer->startOnce(Settings.Work);
  }

  void answer(const net::http_exchange &Exchange) {
    net::http_response Response;
    Response.Headers.add("gl-server-incarnation",
                         std::to_string(Settings.Announcement.Incarnation));
    Response.Body = "answer to " + Exchange.request().Body;
    Exchange.reply(Response);
  }

  server_settings Settings;
  net::event_loop &Loop;
  net::http_client Client;
  net::http_server Server;
  net::timer AnnounceTimer;
  /// How often each order ran.
  std::map<std::string, int> Ran;
};

result<server_settings> parseServerSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  settings::object_reader Reader(Json, "", Faults);
  server_settings Settings;
  wire::server_announcement &Announcement = Settings.Announcement;
  Announcement.Address = Reader.endpoint("listen");
  Announcement.Service = service_name(Reader.text("service"));
  Announcement.Version = version_name(Reader.text("version", "v1"));
  Announcement.Slots = std::uint32_t(Reader.number("slots", 1, 10000, 10));
  Announcement.Connections =
      std::uint32_t(Reader.number("connections", 1, 100000, 120));
  auto Now = gentianlug::system_clock().wallNow().time_since_epoch();
  Announcement.Incarnation =
      incarnation_number(std::chrono::duration_cast<milliseconds>(Now).count());
  Settings.Admin = Reader.endpoint("node_admin");
  Settings.Work =
      Reader.duration("work_ms", milliseconds(0), milliseconds(60000),
                      std::optional(milliseconds(5)));
  Reader.finish();
  if (!Faults.empty())
    return Faults.toError();
  return Settings;
}

} // namespace

/// Usage: standin-server '{"listen": "HOST:PORT", "service": "NAME",
/// "node_admin": "HOST:PORT"}'
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return failProgram(Json.failure());
  auto Settings = parseServerSettings(*Json);
  if (!Settings)
    return failProgram(Settings.failure());
  net::event_loop Loop;
  backend_server Server(Loop, std::move(*Settings));
  if (auto Listening = Server.listen(); !Listening)
    return failProgram(Listening.failure());
  runUntilSignal(Loop);
  return 0;
}
