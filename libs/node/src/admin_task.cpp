#include "gentianlug/node/admin_task.h"

#include "gentianlug/net/http_server.h"
#include "gentianlug/observe/log.h"

#include <nlohmann/json.hpp>

namespace gentianlug::node {

using nlohmann::json;

struct admin_task::impl {
  settings::node_settings Settings;
  outputs Outputs;
  net::event_loop &Loop;
  net::mailbox<task_report> Reports;
  net::mailbox<stop_request> StopRequests;
  net::http_server Server;
  std::map<std::string, task_report> LatestReports;

  impl(net::event_loop &Loop, settings::node_settings S, outputs O)
      : Settings(std::move(S)), Outputs(std::move(O)), Loop(Loop),
        Reports(Loop,
                [this](task_report Report) {
                  std::string Task = Report.Task;
                  LatestReports[Task] = std::move(Report);
                }),
        StopRequests(Loop, [this](stop_request) { this->Loop.stop(); }),
        Server(Loop, {},
               [this](net::http_exchange Exchange) { onRequest(Exchange); }) {}

  void onRequest(const net::http_exchange &Exchange) {
    const net::http_request &Request = Exchange.request();
    std::string_view Path = net::pathOf(Request.Target);
    if (Path == "/v1/announce" && Request.Method == "POST")
      return onAnnounce(Exchange);
    if (Path == "/metrics")
      return Exchange.reply(metrics());
    if (Path == "/status")
      return Exchange.reply(status());
    if (Path == "/status/text")
      return Exchange.reply(statusText());
    Exchange.reply(net::errorResponse(404, "unknown path"));
  }

  void onAnnounce(const net::http_exchange &Exchange) {
    auto Decoded = wire::decodeServerAnnouncement(Exchange.request().Body);
    if (!Decoded) {
      observe::logEvent(observe::event::BadRequest,
                        "announcement: " + Decoded.failure().message());
      return Exchange.reply(
          net::errorResponse(400, Decoded.failure().message()));
    }
    Outputs.Announced({std::move(*Decoded)});
    Exchange.reply(net::jsonResponse(200, "{}"));
  }

  net::http_response metrics() const {
    net::http_response Response;
    Response.Headers.add("Content-Type", "text/plain; version=0.0.4");
    for (const auto &[Task, Report] : LatestReports)
      Response.Body += Report.Metrics;
    return Response;
  }

  net::http_response status() const {
    json Status = json::object();
    for (const auto &[Task, Report] : LatestReports) {
      json Parsed = json::parse(Report.StatusJson, nullptr, false);
      if (!Parsed.is_discarded())
        Status[Task] = std::move(Parsed);
    }
    return net::jsonResponse(200, Status.dump());
  }

  net::http_response statusText() const {
    net::http_response Response;
    Response.Headers.add("Content-Type", "text/plain");
    for (const auto &[Task, Report] : LatestReports)
      for (const std::string &Line : Report.StatusLines)
        Response.Body += Line + "\n";
    return Response;
  }
};

admin_task::admin_task(settings::node_settings Settings, outputs Outputs)
    : Impl(std::make_unique<impl>(loop(), std::move(Settings),
                                  std::move(Outputs))) {}

admin_task::~admin_task() { join(); }

result<void> admin_task::listen() {
  return Impl->Server.listen(Impl->Settings.AdminListen);
}

net::mailbox<task_report> &admin_task::reports() { return Impl->Reports; }

net::mailbox<stop_request> &admin_task::stopRequests() {
  return Impl->StopRequests;
}

void admin_task::onStart() {}

} // namespace gentianlug::node
