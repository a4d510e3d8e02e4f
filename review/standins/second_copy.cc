// A server rejects some requests as not executed and sends a second copy of
// some of its answers late, on a connection that is in use again.
#include "mesh.hh"

using namespace review;

int main(int, char **Argv) {
  mesh Mesh(Argv[1], Argv[2], Argv[3]);
  Mesh.addService("huvo11a");
  Mesh.addService("wuno96b");
  Mesh.addRoute("r-s989anu", "/xapu221/ny95/", "non_idempotent", "wuno96b",
                1.2);
  constexpr int Servers = 5;
  // The largest share that the site files name for servers that send more than
  // one answer is 0.6, the largest share of their answers is 0.05.
  constexpr int FaultyServers = 3;
  Mesh.addMachine("huvo11a");
  for (int Index = 0; Index < Servers; ++Index)
    Mesh.addMachine("wuno96b");
  Mesh.start();

  for (int Index = 1; Index <= Servers; ++Index) {
    app_server &Server = *Mesh.Machines[std::size_t(Index)]->Server;
    Server.WorkTime = millis(60);
    Server.ShedShare = 0.25;
    if (troubleWanted() && Index <= FaultyServers)
      Server.SecondCopyShare = 0.05;
  }
  auto Outcomes = runClients(
      Mesh, Mesh.Machines[0]->Outbound, 16, std::chrono::seconds(20),
      millis(10), [](client &Client) {
        return Client.send("POST", "/xapu221/ny95/2f", millis(2500), "order");
      });

  std::map<std::string, int> Runs;
  int Copies = 0;
  for (auto &Machine : Mesh.Machines) {
    Copies += Machine->Server->SecondCopies;
    for (const run &Each : Machine->Server->runs())
      ++Runs[Each.Id];
  }
  int Twice = 0, Refused = 0, Served = 0;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1) {
      ++Twice;
      Mesh.Record.line("ran " + std::to_string(Count) + " times: " + Id);
    }
  for (const outcome &Each : Outcomes) {
    Served += Each.Status == 200;
    Refused +=
        (Each.Status == 503 || Each.Status == 429) && Runs.count(Each.Id);
  }
  Mesh.Record.summary(std::to_string(Outcomes.size()) + " orders sent, " +
                      std::to_string(Served) + " answered with 200, " +
                      std::to_string(Copies) + " late second copies");
  Mesh.Record.summary(std::to_string(Twice) + " orders ran more than once, " +
                      std::to_string(Refused) +
                      " were refused as not run and have run");
  Mesh.endProcesses();
  if (Served == 0)
    cannotRun("no order was served");
  std::_Exit(Twice + Refused > 0 ? 1 : 0);
}
