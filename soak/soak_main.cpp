#include "gentianlug/core/random.h"
#include "node_mesh.h"

#include <array>
#include <csignal>
#include <getopt.h>
#include <iostream>

using namespace gentianlug;
using standin::machine;
using namespace std::chrono_literals;

/// Machines of a run, spread over three zones.
static constexpr int MachineCount = 6;
static constexpr std::chrono::milliseconds CallPeriod{10};
static constexpr std::chrono::milliseconds FaultPeriod{400};
/// Calls per second that a server names as its limit are below this.
static constexpr std::size_t MaxCallRateLimit = 20;
/// Time within which every node must serve calls again after the last fault.
static constexpr std::chrono::seconds RecoveryTime{15};

namespace {

/// A randomized run: injects a random sequence of overlapping faults from
/// outside the node processes under continuous load, and checks the responses.
class soak_run {
public:
  soak_run(std::string Program, std::string LogDirectory, std::uint64_t Seed,
           std::chrono::seconds FaultPhaseLength)
      : Gen(Seed), NoticeGen(Seed), FaultPhaseLength(FaultPhaseLength),
        Mesh(Loop, std::move(Program), std::move(LogDirectory)),
        CallTimer(Loop, [this] { sendCall(); }),
        FaultTimer(Loop, [this] { onFaultTimer(); }) {}

  /// Returns the number of violated guarantees.
  int run() {
    Mesh.putConfig(ConfigVersion, prefixes());
    Mesh.useFaultProxies();
    for (int Index = 0; Index < MachineCount; ++Index)
      Mesh.addMachine("n" + std::to_string(Index),
                      "z" + std::to_string(Index % 3));
    Mesh.setPeriodicAnnouncements(true);
    StartTime = std::chrono::steady_clock::now();
    CallTimer.startEvery(CallPeriod);
    FaultTimer.startEvery(FaultPeriod);
    Loop.run();
    checkExecutions();
    std::cout << "{\"calls\":" << CallsSent << ",\"served\":" << Succeeded
              << ",\"refused\":" << RefusedIds.size()
              << ",\"faults\":" << InjectedFaults
              << ",\"broken\":" << Violations << "}\n";
    return Violations;
  }

private:
  std::vector<std::string> prefixes() const {
    return {"/many/", "/once/", "/v" + std::to_string(ConfigVersion) + "/"};
  }

  machine &drawMachine() {
    return *Mesh.Machines[drawIndex(Gen, MachineCount)];
  }

  void reportViolation(const std::string &Message) {
    ++Violations;
    std::cerr << "violation: " << Message << "\n";
  }

  void sendCall() {
    machine &Target = drawMachine();
    bool NonIdempotent = drawBool(Gen, 0.3);
    ++CallsSent;
    Mesh.sendCall(Target, NonIdempotent ? "POST" : "GET",
                  NonIdempotent ? "/once/1" : "/many/1",
                  [this, NonIdempotent, Name = Target.Name](
                      const std::string &Id, const http1::response &Response) {
                    onResponse(Id, NonIdempotent, Name, Response);
                  });
  }

  void onResponse(const std::string &Id, bool NonIdempotent,
                  const std::string &Node, const http1::response &Response) {
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    constexpr int Unavailable = 503;
    constexpr int FirstServerError = 500;
    if (NonIdempotent)
      NonIdempotentIds.push_back(Id);
    if (Response.Status == Ok) {
      ++Succeeded;
      if (Recovering)
        RecoveredNodes.insert(Node);
      if (Response.Body.str() != "answer to " + Id)
        reportViolation(
            Id + " got an unexpected response body: " + Response.Body.str());
    } else if (Response.Status == Unavailable) {
      RefusedIds.push_back(Id);
    } else if (Response.Status == NotFound) {
      reportViolation(Id +
                      " got 404 on a route that every configuration contains");
    } else if (Response.Status != 0 && Response.Status < FirstServerError) {
      reportViolation(Id + " is valid but got " +
                      std::to_string(Response.Status));
    }
  }

  void onFaultTimer() {
    auto Age = std::chrono::steady_clock::now() - StartTime;
    if (Age < 2s)
      return;
    restartExitedNodes();
    if (Age < 2s + FaultPhaseLength) {
      changeServerNotice();
      return injectFault();
    }
    if (!Recovering) {
      Recovering = true;
      Mesh.Store.Faults = {};
      for (auto &Machine : Mesh.Machines) {
        if (Machine->NodeProcess != 0)
          Mesh.signal(*Machine, SIGCONT);
        if (Machine->isLeaving())
          restartServer(*Machine);
        Machine->ResponseHeaders.clear();
        for (auto *Proxy : proxiesOf(*Machine))
          (*Proxy)->setLatency(0ms);
      }
    }
    if (RecoveredNodes.size() == MachineCount)
      return finish();
    if (Age > 2s + FaultPhaseLength + RecoveryTime) {
      reportViolation("only " + std::to_string(RecoveredNodes.size()) +
                      " nodes serve calls after the faults");
      finish();
    }
  }

  void finish() {
    CallTimer.cancel();
    FaultTimer.cancel();
    Loop.stop();
  }

  /// Restarts node processes that have exited.
  void restartExitedNodes() {
    for (auto &Machine : Mesh.Machines) {
      (void)Mesh.exitStatus(*Machine);
      if (Machine->NodeProcess == 0)
        Mesh.startNode(*Machine);
    }
  }

  static std::array<std::unique_ptr<standins::fault_proxy> *, 3>
  proxiesOf(machine &Machine) {
    return {&Machine.ServerProxy, &Machine.StoreProxy, &Machine.NodeProxy};
  }

  /// Injects a random network fault into the connections of a proxy.
  void injectNetworkFault(standins::fault_proxy &Proxy) {
    constexpr std::size_t MaxLatencyMillis = 400;
    switch (drawIndex(Gen, 5)) {
    case 0:
      return Proxy.resetAll();
    case 1:
      Proxy.blackholeAll();
      return;
    case 2:
      return Proxy.blackholeAll(standins::traffic_direction::ToServer);
    case 3:
      return Proxy.blackholeAll(standins::traffic_direction::ToClient);
    default:
      return Proxy.setLatency(
          drawBool(Gen, 0.5)
              ? 0ms
              : std::chrono::milliseconds(drawIndex(Gen, MaxLatencyMillis)));
    }
  }

  void injectFault() {
    ++InjectedFaults;
    machine &Machine = drawMachine();
    auto &Store = Mesh.Store;
    switch (drawIndex(Gen, 14)) {
    case 0:
      return Mesh.signal(Machine, SIGKILL);
    case 1:
      return Mesh.signal(Machine, SIGTERM);
    case 2:
      return Mesh.signal(Machine, SIGSTOP);
    case 3:
      for (auto &Each : Mesh.Machines)
        Mesh.signal(*Each, SIGCONT);
      return;
    case 4:
      Store.Faults.ErrorStatus = Store.Faults.ErrorStatus == 0 ? 503 : 0;
      return;
    case 5:
      Store.Faults.DropWriteResponses = !Store.Faults.DropWriteResponses;
      return;
    case 6:
      Store.Faults.IgnoreRequests = !Store.Faults.IgnoreRequests;
      return;
    case 7:
      Store.abortWatches();
      Store.dropHistory();
      return;
    case 8:
      Mesh.putConfig(++ConfigVersion, prefixes());
      return;
    case 9:
    case 10:
    case 11:
    case 12:
      return injectNetworkFault(**proxiesOf(Machine)[drawIndex(Gen, 3)]);
    default:
      return restartServer(Machine);
    }
  }

  /// Restarts the server while its node keeps running.
  static void restartServer(machine &Machine) {
    Machine.ResponseHeaders.clear();
    Machine.AnnouncementsEnabled = true;
    ++Machine.ServerIncarnation;
    Machine.Sequence = 0;
    Machine.Instance += "'";
  }

  /// Lets a random server name a limit of its calls, name none any more, or say
  /// that it is leaving until it restarts.
  void changeServerNotice() {
    machine &Machine = *Mesh.Machines[drawIndex(NoticeGen, MachineCount)];
    switch (drawIndex(NoticeGen, 12)) {
    case 0:
      Machine.nameRateLimit(drawIndex(NoticeGen, MaxCallRateLimit));
      return;
    case 1:
      Machine.nameRateLimit(std::nullopt);
      return;
    case 2:
      Machine.nameLeaving();
      Machine.AnnouncementsEnabled = false;
      return;
    case 3:
      if (Machine.isLeaving())
        restartServer(Machine);
      return;
    default:
      return;
    }
  }

  void checkExecutions() {
    if (Mesh.MalformedRequests > 0)
      reportViolation(std::to_string(Mesh.MalformedRequests) +
                      " malformed requests reached servers");
    for (const std::string &Id : NonIdempotentIds)
      if (Mesh.ExecutionsByCallId[Id] > 1)
        reportViolation(Id + " ran " +
                        std::to_string(Mesh.ExecutionsByCallId[Id]) + " times");
    std::set<std::string> NonIdempotent(NonIdempotentIds.begin(),
                                        NonIdempotentIds.end());
    for (const std::string &Id : RefusedIds)
      if (NonIdempotent.contains(Id) && Mesh.ExecutionsByCallId[Id] > 0)
        reportViolation(Id + " was refused but ran");
  }

  generator Gen;
  /// Draws the notices of servers, so that they don't change the other faults
  /// of a seed.
  generator NoticeGen;
  std::chrono::seconds FaultPhaseLength;
  net::event_loop Loop;
  standin::node_mesh Mesh;
  net::timer CallTimer;
  net::timer FaultTimer;
  std::chrono::steady_clock::time_point StartTime;
  int ConfigVersion = 1;
  int CallsSent = 0;
  int Succeeded = 0;
  int InjectedFaults = 0;
  int Violations = 0;
  bool Recovering = false;
  std::set<std::string> RecoveredNodes;
  std::vector<std::string> NonIdempotentIds;
  std::vector<std::string> RefusedIds;
};

} // namespace

int main(int Argc, char **Argv) {
  static const option Options[] = {{"program", required_argument, nullptr, 'p'},
                                   {"logs", required_argument, nullptr, 'l'},
                                   {"seed", required_argument, nullptr, 's'},
                                   {"seconds", required_argument, nullptr, 't'},
                                   {nullptr, 0, nullptr, 0}};
  std::string Program;
  std::string LogDirectory;
  std::uint64_t Seed = 1;
  std::chrono::seconds FaultPhaseLength{10};
  for (int Option = 0;
       (Option = getopt_long(Argc, Argv, "", Options, nullptr)) != -1;) {
    switch (Option) {
    case 'p':
      Program = optarg;
      break;
    case 'l':
      LogDirectory = optarg;
      break;
    case 's':
      Seed = std::strtoull(optarg, nullptr, 10);
      break;
    case 't':
      FaultPhaseLength = std::chrono::seconds(std::strtol(optarg, nullptr, 10));
      break;
    default:
      return 2;
    }
  }
  if (Program.empty()) {
    std::cerr << "usage: gentianlug-soak --program NODE [--logs DIRECTORY] "
                 "[--seed N] [--seconds S]\n";
    return 2;
  }
  return soak_run(Program, LogDirectory, Seed, FaultPhaseLength).run() == 0 ? 0
                                                                            : 1;
}
