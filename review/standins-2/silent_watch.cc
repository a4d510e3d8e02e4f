// Case: a node goes on with an old configuration because the connection of its
// watch is silent.
#include "mesh.hh"

using namespace review;

int main(int Argc, char **Argv) {
  options Options = readOptions(Argc, Argv);
  mesh Mesh(Options.Program, Options.Folder);
  if (!Mesh.startStore())
    return 2;
  Mesh.Store.put("config", "main", makeConfig(7, "catalogue"));
  Mesh.Work = [](machine &, const message &) {
    sleepFor(0.04);
    return std::string("done");
  };
  const char *Zones[] = {"qc-east-a", "qc-east-b", "qc-east-c"};
  for (int Index = 0; Index < 3; ++Index)
    Mesh.addMachine("side-" + std::to_string(Index + 1), Zones[Index],
                    "catalogue");
  for (auto &Each : Mesh.Machines)
    Mesh.startNode(*Each);
  if (!Mesh.waitUntilReady(15))
    finish(Mesh, 2, "the nodes did not get ready");
  sleepFor(4);

  if (Options.Trouble) {
    int Count = Mesh.Store.silenceWatches("config");
    Record.write(std::to_string(Count) +
                 " connections with a waiting watch of config go silent");
    if (Count == 0)
      finish(Mesh, 2, "no node watches the configuration");
  }
  // Silence counts as a reset of the connections of all machines: they are in
  // touch settleWindowS = 3 s later.
  sleepFor(4);
  json Next = makeConfig(9, "catalogue");
  json Route = Next["routes"][0];
  Route["name"] = "r-new";
  Route["pathPrefix"] = "/new/";
  Next["routes"].push_back(Route);
  Mesh.Store.put("config", "main", Next);
  double AckedAt = now();
  Record.write("version 9 with the route /new/ is acknowledged");

  // Later than configS = 2 s after the acknowledgement.
  sleepUntil(AckedAt + 2.1);
  int Sent = 0, Refused = 0;
  double LastRefusal = 0;
  while (now() < AckedAt + 14) {
    for (auto &Each : Mesh.Machines) {
      connection Connection;
      if (!Connection.connect(Each->Outbound))
        continue;
      std::string Id = newId();
      Connection.send(encodeRequest("GET", "/new/1", Id, 2000));
      auto Answer = Connection.read(now() + 2.5);
      ++Sent;
      int Status = Answer ? Answer->status() : 0;
      Record.write("client at " + Each->Name + " gets " + Id + " " +
                   std::to_string(Status));
      if (Status != 404)
        continue;
      ++Refused;
      LastRefusal = now() - AckedAt;
    }
    sleepFor(0.2);
  }
  char Text[160];
  std::snprintf(
      Text, sizeof Text,
      "%d of %d requests on the new route got 404 later than 2 s after "
      "the acknowledgement, the last one after %.1f s",
      Refused, Sent, LastRefusal);
  finish(Mesh, Refused > 0 ? 1 : 0, Text);
}
