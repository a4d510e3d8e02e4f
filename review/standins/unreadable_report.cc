// A status report of another writer arrives at a node. The id in its path has
// bytes that are no text.
#include "crash.hh"

using namespace review;

int main(int, char **Argv) {
  mesh Mesh(Argv[1], Argv[2], Argv[3]);
  crash_watch Watch(Mesh);
  Watch.setUp();
  machine &Caller = *Mesh.Machines[0];
  std::thread Report([&] {
    pause(millis(5000));
    if (!troubleWanted())
      return;
    json Body = {
        {"born", Caller.Server->Born + 4000},
        {"address", Caller.App.str()},
        {"info",
         {{"service", Caller.Service},
          {"version", "v1"},
          {"zone", Caller.Zone},
          {"slots", 9}}},
        {"status",
         {{"state", "ready"}, {"sequence", 1}, {"coldRemainingS", 0}}}};
    int Status =
        Caller.Server->post("/instances/i-\xff\xfe/heartbeat", Body.dump());
    Mesh.Record.summary("the unreadable status report was answered with " +
                        std::to_string(Status) + " (0: no answer)");
  });
  auto Outcomes =
      runClients(Mesh, Caller.Outbound, 8, std::chrono::seconds(12), millis(20),
                 [](client &Client) {
                   return Client.send("GET", "/lepu270/2f", millis(2000));
                 });
  Report.join();
  Watch.finish(Outcomes);
}
