// Cases: a server that has left is used again after a restart of its node.
//
// Without a fourth argument the node is killed after it has acknowledged the
// server's leaving. With the argument "before" it is killed before that and
// acknowledges as a new process.
#include "mesh.hh"

using namespace review;

int main(int Argc, char **Argv) {
  options Options = readOptions(Argc, Argv);
  bool KillFirst = Argc > 4 && std::string(Argv[4]) == "before";
  mesh Mesh(Options.Program, Options.Folder);
  if (!Mesh.startStore())
    return 2;
  // Reads that may be stale return data that is two seconds old.
  Mesh.Store.StaleSeconds = KillFirst ? 0 : 2;
  Mesh.Store.put("config", "main", makeConfig(7, "commandes"));
  Mesh.Work = [](machine &, const message &) {
    sleepFor(0.04);
    return std::string("done");
  };
  const char *Zones[] = {"qc-east-a", "qc-east-b", "qc-east-c"};
  for (int Index = 0; Index < 3; ++Index)
    Mesh.addMachine("side-" + std::to_string(Index + 1), Zones[Index],
                    "commandes");
  for (auto &Each : Mesh.Machines)
    Mesh.startNode(*Each);
  if (!Mesh.waitUntilReady(15))
    finish(Mesh, 2, "the nodes did not get ready");
  sleepFor(3);

  // Clients on the two other machines and on this one, on kept connections.
  std::mutex SentMutex;
  std::map<std::string, double> SentAt;
  std::atomic<bool> Stop{false};
  std::atomic<int> Served{0}, Failed{0};
  for (int Client = 0; Client < 12; ++Client)
    std::thread([&, Client] {
      machine &From = *Mesh.Machines[std::size_t(Client % 3)];
      connection Connection;
      while (!Stop) {
        sleepFor(0.1);
        if (!Connection.isOpen() && !Connection.connect(From.Outbound))
          continue;
        bool Order = Client % 2 == 0;
        std::string Id = newId();
        {
          std::lock_guard Lock(SentMutex);
          SentAt[Id] = now();
        }
        Connection.Buffer.clear();
        Connection.send(encodeRequest(Order ? "POST" : "GET",
                                      Order ? "/order/1" : "/stock/1", Id, 2000,
                                      Order ? "order" : ""));
        auto Answer = Connection.read(now() + 2.5);
        Record.write("client at " + From.Name + " gets " + Id + " " +
                     (Answer ? std::to_string(Answer->status())
                             : "no answer: " + Connection.LastError));
        ++(Answer && Answer->status() == 200 ? Served : Failed);
        if (!Answer ||
            strcasecmp(Answer->get("Connection").c_str(), "close") == 0)
          Connection.close();
      }
    }).detach();
  sleepFor(4);

  machine &Leaving = *Mesh.Machines[1];
  // The last two reports of the server are still on their way when it leaves.
  Leaving.Beating = false;
  int First = ++Leaving.Sequence;
  int Second = ++Leaving.Sequence;
  Record.write("server " + Leaving.Name + " has sent its reports " +
               std::to_string(First) + " and " + std::to_string(Second));
  double RestartedAt = now();
  auto Restart = [&] {
    if (!Options.Trouble)
      return;
    Mesh.kill(Leaving, SIGKILL);
    sleepFor(0.3);
    Mesh.startNode(Leaving);
    RestartedAt = now();
  };
  if (KillFirst) {
    Restart();
    while (!Mesh.isReady(Leaving))
      if (sleepFor(0.02); now() > RestartedAt + 5)
        finish(Mesh, 2, "the restarted node did not get ready");
  }
  Leaving.Leaving = true;
  if (!Mesh.deregister(Leaving))
    finish(Mesh, 2, "the server's leaving was not acknowledged");
  double AckedAt = now();
  Record.write("the leaving of server " + Leaving.Name + " is acknowledged");
  if (!KillFirst) {
    sleepUntil(AckedAt + 0.3);
    Restart();
  }
  for (int Sequence : {First, Second}) {
    sleepUntil(AckedAt + (Sequence == First ? 1.5 : 2.0));
    bool Acked = Mesh.beat(Leaving, "ready", Sequence);
    Record.write("late report " + std::to_string(Sequence) + " of server " +
                 Leaving.Name +
                 (Acked ? " acknowledged" : " not acknowledged"));
  }
  // The server serves on for 12 s after the acknowledgement.
  sleepUntil(AckedAt + 12);
  Leaving.Exited = true;
  Record.write("server " + Leaving.Name + " exits");
  Stop = true;
  sleepFor(1);

  // drainS is 2 s; the machine is in touch settleWindowS = 3 s after its start.
  double BoundAt = std::max(AckedAt + 2, RestartedAt + 3);
  int Late = 0;
  {
    std::lock_guard Lock(SentMutex);
    std::lock_guard RunsLock(Leaving.RunsMutex);
    for (const run &Each : Leaving.Runs)
      if (SentAt.count(Each.Id) && SentAt[Each.Id] > BoundAt) {
        ++Late;
        Record.write("late at the left server: " + Each.Id);
      }
  }
  std::string Record0 =
      Mesh.Store.get("mesh-servers", Leaving.Name)["spec"].value("state", "");
  std::string Result = std::to_string(Late) +
                       " requests reached the server that had left, out of " +
                       std::to_string(Served + Failed) + " (" +
                       std::to_string(Failed) +
                       " failed); its stored state is " + Record0;
  finish(Mesh, Late > 0 ? 1 : 0, Result);
}
