// A status report of another writer arrives at a node. It names a service that
// the configuration and the settings don't name.
#include "mesh.hh"

using namespace review;

int main(int, char **Argv) {
  mesh Mesh(Argv[1], Argv[2], Argv[3]);
  Mesh.addService("huvo11a");
  Mesh.addService("wuno96b");
  Mesh.addRoute("r-n2ctnfz", "/lepu270/", "idempotent", "wuno96b", 1);
  Mesh.addMachine("huvo11a");
  Mesh.addMachine("wuno96b");
  Mesh.addMachine("wuno96b");
  Mesh.start();

  machine &Caller = *Mesh.Machines[0];
  std::thread Report([&] {
    pause(millis(5000));
    if (!troubleWanted())
      return;
    json Body = {
        {"born", Caller.Server->Born + 4000},
        {"address", Caller.App.str()},
        {"info",
         {{"service", "pozu55q"},
          {"version", "v1"},
          {"zone", Caller.Zone},
          {"slots", 9}}},
        {"status",
         {{"state", "ready"}, {"sequence", 1}, {"coldRemainingS", 0}}}};
    int Status =
        Caller.Server->post("/instances/i-02d9e6b4/heartbeat", Body.dump());
    Mesh.Record.summary("the status report of another writer, for service "
                        "pozu55q, was answered with " +
                        std::to_string(Status));
  });
  auto Outcomes =
      runClients(Mesh, Caller.Outbound, 4, std::chrono::seconds(15), millis(50),
                 [](client &Client) {
                   return Client.send("GET", "/lepu270/2f", millis(2000));
                 });
  Report.join();

  int Right = 0, Wrong = 0, Served = 0;
  for (auto &Machine : Mesh.Machines)
    for (const run &Each : Machine->Server->runs())
      ++(Each.CallerService == Caller.Service ? Right : Wrong);
  for (const outcome &Each : Outcomes)
    Served += Each.Status == 200;
  Mesh.Record.summary(std::to_string(Outcomes.size()) + " requests sent at " +
                      Caller.Name + " (service " + Caller.Service + "), " +
                      std::to_string(Served) + " answered with 200");
  Mesh.Record.summary("runs with Caller-Service " + Caller.Service + ": " +
                      std::to_string(Right) +
                      ", with another one: " + std::to_string(Wrong));
  Mesh.endProcesses();
  if (Served == 0)
    cannotRun("no request was served");
  std::_Exit(Wrong > 0 ? 1 : 0);
}
