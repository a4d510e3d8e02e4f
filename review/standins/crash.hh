// Judges what clients see when a process of the system ends by itself.
#ifndef REVIEW_CRASH_H
#define REVIEW_CRASH_H

#include "mesh.hh"

namespace review {

/// Watches the node of the first machine: restarts it when it ends, as the
/// platform does, and kills it when it uses more memory than the settings name.
class crash_watch {
public:
  explicit crash_watch(mesh &Mesh) : Mesh(Mesh) {}

  void setUp(double TimeoutS = 1) {
    Mesh.addService("huvo11a");
    Mesh.addService("wuno96b");
    Mesh.addRoute("r-n2ctnfz", "/lepu270/", "idempotent", "wuno96b", TimeoutS);
    Mesh.addRoute("r-s989anu", "/xapu221/ny95/", "non_idempotent", "wuno96b",
                  TimeoutS);
    Mesh.addMachine("huvo11a");
    Mesh.addMachine("wuno96b");
    Mesh.addMachine("wuno96b");
    for (auto &Each : Mesh.Machines)
      Each->Server->WorkTime = millis(160);
    Mesh.start();
    Watcher = std::thread([this] { watch(); });
  }

  /// Prints the result and ends the program.
  [[noreturn]] void finish(const std::vector<outcome> &Outcomes) {
    Stopping = true;
    Watcher.join();
    std::map<std::string, bool> Ran;
    for (auto &Machine : Mesh.Machines)
      for (const run &Each : Machine->Server->runs())
        Ran[Each.Id] = true;
    int Served = 0, Cut = 0;
    for (const outcome &Each : Outcomes) {
      Served += Each.Status == 200;
      Cut += Each.Kept && Each.Closed && Ran.count(Each.Id);
    }
    Mesh.Record.summary(std::to_string(Outcomes.size()) + " requests sent, " +
                        std::to_string(Served) + " answered with 200");
    Mesh.Record.summary("ends of the node's process: " + std::to_string(Ends));
    Mesh.Record.summary(
        "requests from kept connections that a sound server ran and whose "
        "connection was closed without an answer: " +
        std::to_string(Cut) + " (allowed: 3)");
    Mesh.endProcesses();
    if (Served == 0)
      cannotRun("no request was served");
    std::_Exit(Cut > 3 ? 1 : 0);
  }

  std::atomic<long> PeakKb{0};

private:
  void watch() {
    node_process &Node = Mesh.Machines[0]->Node;
    while (!Stopping) {
      if (auto Status = Node.ended()) {
        ++Ends;
        Mesh.Record.summary(
            Node.Name + " ended by itself" +
            (WIFSIGNALED(*Status)
                 ? ", by signal " + std::to_string(WTERMSIG(*Status))
                 : ""));
        pause(millis(500));
        Node.start();
      }
      long Kb = residentKb(Node.Pid);
      PeakKb = std::max(PeakKb.load(), Kb);
      if (Kb > long(mesh::MemoryMb) * 1024) {
        ++Ends;
        Mesh.Record.summary(Node.Name + " uses " + std::to_string(Kb / 1024) +
                            " MB, over its limit of " +
                            std::to_string(mesh::MemoryMb) +
                            " MB: killed by the platform");
        Node.stop();
        pause(millis(500));
        Node.start();
      }
      pause(millis(10));
    }
  }

  static long residentKb(pid_t Pid) {
    std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
    long Size = 0, Resident = 0;
    File >> Size >> Resident;
    return Resident * (::sysconf(_SC_PAGESIZE) / 1024);
  }

  mesh &Mesh;
  std::thread Watcher;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Ends{0};
};

} // namespace review

#endif
