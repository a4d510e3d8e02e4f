// Case: request bodies that stop short of their end exceed the memory of the
// machine.
#include "mesh.hh"

#include <algorithm>

using namespace review;

/// Returns a value in kB from /proc/PID/status.
static long processMemory(pid_t Process, const std::string &Name) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.rfind(Name + ":", 0) == 0)
      return std::atol(Line.c_str() + Name.size() + 1);
  return 0;
}

int main(int Argc, char **Argv) {
  options Options = readOptions(Argc, Argv);
  mesh Mesh(Options.Program, Options.Folder);
  if (!Mesh.startStore())
    return 2;
  // The largest body that the configuration allows; each client of the crowd
  // stops 1 MB before its end.
  constexpr long MaxBodyBytes = 64L << 20;
  constexpr long SentBytes = 63L << 20;
  constexpr std::size_t Crowd = 8;
  // The rule: on a tenth of the machines (two at least) processes end by
  // themselves three times.
  constexpr int Attacked = 2;
  constexpr int EndsAllowed = 3;
  Mesh.Store.put("config", "main",
                 makeConfig(7, "commandes", 10, MaxBodyBytes));
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
  sleepFor(4);
  Record.write(
      "memory of node side-1: " +
      std::to_string(processMemory(Mesh.Machines[0]->Process, "VmRSS")) +
      " kB");

  // The platform's part: it kills a process that exceeds its memory, and
  // starts it again.
  std::atomic<bool> Stop{false};
  std::atomic<long> Highest{0};
  std::atomic<int> Ends[Attacked]{};
  auto WatchMemory = [&](int Index) {
    machine &Machine = *Mesh.Machines[std::size_t(Index)];
    long Memory = processMemory(Machine.Process, "VmRSS");
    Highest = std::max(Highest.load(), Memory);
    if (Memory <= Mesh.MemoryMb * 1024L)
      return;
    Record.write("node " + Machine.Name + " uses " + std::to_string(Memory) +
                 " kB, more than " + std::to_string(Mesh.MemoryMb) +
                 " MB: killed");
    Mesh.kill(Machine, SIGKILL);
    ++Ends[Index];
    sleepFor(0.3);
    Mesh.startNode(Machine);
  };
  // Ordinary clients of the machines.
  std::atomic<int> Served{0}, Failed{0};
  std::vector<std::thread> Threads;
  for (int Client = 0; Client < 6; ++Client)
    Threads.emplace_back([&, Client] {
      machine &From = *Mesh.Machines[std::size_t(Client % Attacked)];
      connection Connection;
      while (!Stop) {
        sleepFor(0.1);
        if (!Connection.isOpen() && !Connection.connect(From.Outbound)) {
          ++Failed;
          continue;
        }
        std::string Id = newId();
        Connection.send(encodeRequest("POST", "/order/1", Id, 2000, "order"));
        auto Answer = Connection.read(now() + 2.5);
        Record.write("ordinary client at " + From.Name + " gets " + Id + " " +
                     (Answer ? std::to_string(Answer->status())
                             : "no answer: " + Connection.LastError));
        ++(Answer && Answer->status() == 200 ? Served : Failed);
        if (!Answer)
          Connection.close();
      }
    });
  // The crowd: large bodies of legal size that stop short of their end.
  for (int Index = 0; Options.Trouble && Index < Attacked; ++Index)
    Threads.emplace_back([&, Index] {
      machine &To = *Mesh.Machines[std::size_t(Index)];
      std::string Part(1 << 20, 'b');
      std::deque<std::shared_ptr<connection>> Open;
      while (!Stop && Ends[Index] < EndsAllowed) {
        sleepFor(0.1);
        auto Connection = std::make_shared<connection>();
        if (!Connection->connect(To.Outbound))
          continue;
        timeval Limit{2, 0};
        setsockopt(Connection->fd(), SOL_SOCKET, SO_SNDTIMEO, &Limit,
                   sizeof Limit);
        bool Sent = Connection->send(
            "POST /order/2 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " +
            newId() + "\r\nDeadline-Ms: 10000\r\nContent-Length: " +
            std::to_string(MaxBodyBytes) + "\r\n\r\n");
        for (long Bytes = 0; Sent && Bytes < SentBytes; Bytes += 1 << 20)
          Sent = Connection->send(Part);
        Record.write("body to " + To.Name +
                     (Sent ? ": 63 of 64 MB sent" : ": not taken"));
        Open.push_back(Connection);
        if (Open.size() > Crowd)
          Open.pop_front();
      }
    });
  auto Done = [&] {
    return std::all_of(std::begin(Ends), std::end(Ends),
                       [](int Count) { return Count >= EndsAllowed; });
  };
  double Deadline = now() + 50;
  while (now() < Deadline && !Done() && (Options.Trouble || now() < 15)) {
    for (int Index = 0; Index < Attacked; ++Index)
      WatchMemory(Index);
    sleepFor(0.02);
  }
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  std::string Result = "processes ended " + std::to_string(Ends[0]) + " and " +
                       std::to_string(Ends[1]) + " times; highest memory " +
                       std::to_string(Highest.load() / 1024) + " MB of " +
                       std::to_string(Mesh.MemoryMb) +
                       " MB; ordinary requests: " + std::to_string(Served) +
                       " served, " + std::to_string(Failed) + " failed";
  finish(Mesh, Done() ? 1 : 0, Result);
}
