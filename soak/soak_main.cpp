#include "gentianlug/core/random.h"
#include "node_mesh.h"

#include <array>
#include <csignal>
#include <getopt.h>
#include <iostream>

using namespace gentianlug;
using standin::machine;
using namespace std::chrono_literals;

/// Machines of a run, in three zones.
static constexpr int MachineCount = 6;
static constexpr std::chrono::milliseconds AskPeriod{10};
static constexpr std::chrono::milliseconds FaultPeriod{400};
/// Time after the last fault within which every node serves again.
static constexpr std::chrono::seconds RecoveryTime{15};

namespace {

/// One randomized run: faults come from outside the processes, in series and
/// overlapping, while callers ask all the time.
class soak_run {
public:
  soak_run(std::string Program, std::string LogFolder, std::uint64_t Seed,
           std::chrono::seconds Length)
      : Gen(Seed), Length(Length),
        Mesh(Loop, std::move(Program), std::move(LogFolder)),
        AskTimer(Loop, [this] { askSome(); }),
        FaultTimer(Loop, [this] { step(); }) {}

  /// Returns the number of broken promises.
  int run() {
    Mesh.putConfig(ConfigVersion, prefixes());
    Mesh.useRelays();
    for (int Index = 0; Index < MachineCount; ++Index)
      Mesh.add("n" + std::to_string(Index), "z" + std::to_string(Index % 3));
    Mesh.setPeriodicAnnouncements(true);
    Started = std::chrono::steady_clock::now();
    AskTimer.startEvery(AskPeriod);
    FaultTimer.startEvery(FaultPeriod);
    Loop.run();
    checkIds();
    std::cout << "{\"calls\":" << Asked << ",\"served\":" << Served
              << ",\"refused\":" << Refused.size() << ",\"faults\":" << Faults
              << ",\"broken\":" << Broken << "}\n";
    return Broken;
  }

private:
  std::vector<std::string> prefixes() const {
    return {"/many/", "/once/", "/v" + std::to_string(ConfigVersion) + "/"};
  }

  machine &any() { return *Mesh.Machines[drawIndex(Gen, MachineCount)]; }

  void report(const std::string &What) {
    ++Broken;
    std::cerr << "broken: " << What << "\n";
  }

  void askSome() {
    machine &At = any();
    bool Once = drawChance(Gen, 0.3);
    ++Asked;
    Mesh.sendCall(At, Once ? "POST" : "GET", Once ? "/once/1" : "/many/1",
                  [this, Once, Name = At.Name](const std::string &Id,
                                               const http1::response &Answer) {
                    onAnswer(Id, Once, Name, Answer);
                  });
  }

  void onAnswer(const std::string &Id, bool Once, const std::string &Node,
                const http1::response &Answer) {
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    constexpr int Unavailable = 503;
    constexpr int FirstServerError = 500;
    if (Once)
      OnceIds.push_back(Id);
    if (Answer.Status == Ok) {
      ++Served;
      if (Recovering)
        Recovered.insert(Node);
      if (Answer.Body != "answer to " + Id)
        report(Id + " got another answer: " + Answer.Body);
    } else if (Answer.Status == Unavailable) {
      Refused.push_back(Id);
    } else if (Answer.Status == NotFound) {
      report(Id + " got 404 on a route that every configuration has");
    } else if (Answer.Status != 0 && Answer.Status < FirstServerError) {
      report(Id + " is proper and got " + std::to_string(Answer.Status));
    }
  }

  void step() {
    auto Age = std::chrono::steady_clock::now() - Started;
    if (Age < 2s)
      return;
    reap();
    if (Age < 2s + Length)
      return inject();
    if (!Recovering) {
      Recovering = true;
      Mesh.Store.Faults = {};
      for (auto &Each : Mesh.Machines) {
        if (Each->Process != 0)
          Mesh.signal(*Each, SIGCONT);
        Each->Announces = true;
        for (auto *Link : linksOf(*Each))
          (*Link)->setDelay(0ms);
      }
    }
    if (Recovered.size() == MachineCount)
      return finish();
    if (Age > 2s + Length + RecoveryTime) {
      report("only " + std::to_string(Recovered.size()) +
             " nodes serve after the faults");
      finish();
    }
  }

  void finish() {
    AskTimer.cancel();
    FaultTimer.cancel();
    Loop.stop();
  }

  /// Starts processes again that have ended.
  void reap() {
    for (auto &Each : Mesh.Machines) {
      (void)Mesh.exitStatus(*Each);
      if (Each->Process == 0)
        Mesh.spawn(*Each);
    }
  }

  static std::array<std::unique_ptr<standins::fault_relay> *, 3>
  linksOf(machine &Machine) {
    return {&Machine.ServerLink, &Machine.StoreLink, &Machine.NodeLink};
  }

  /// Does to the connections of one link what networks do.
  void disturb(standins::fault_relay &Link) {
    constexpr std::size_t MostMillis = 400;
    switch (drawIndex(Gen, 5)) {
    case 0:
      return Link.resetAll();
    case 1:
      Link.blackholeAll();
      return;
    case 2:
      return Link.blackholeAll(standins::link_direction::ToServer);
    case 3:
      return Link.blackholeAll(standins::link_direction::ToClient);
    default:
      return Link.setDelay(
          drawChance(Gen, 0.5)
              ? 0ms
              : std::chrono::milliseconds(drawIndex(Gen, MostMillis)));
    }
  }

  void inject() {
    ++Faults;
    machine &At = any();
    auto &Store = Mesh.Store;
    switch (drawIndex(Gen, 14)) {
    case 0:
      return Mesh.signal(At, SIGKILL);
    case 1:
      return Mesh.signal(At, SIGTERM);
    case 2:
      return Mesh.signal(At, SIGSTOP);
    case 3:
      for (auto &Each : Mesh.Machines)
        Mesh.signal(*Each, SIGCONT);
      return;
    case 4:
      Store.Faults.ErrorStatus = Store.Faults.ErrorStatus == 0 ? 503 : 0;
      return;
    case 5:
      Store.Faults.LoseWriteAnswers = !Store.Faults.LoseWriteAnswers;
      return;
    case 6:
      Store.Faults.NeverAnswer = !Store.Faults.NeverAnswer;
      return;
    case 7:
      Store.abortWaits();
      Store.dropHistory();
      return;
    case 8:
      Mesh.putConfig(++ConfigVersion, prefixes());
      return;
    case 9:
    case 10:
    case 11:
    case 12:
      return disturb(**linksOf(At)[drawIndex(Gen, 3)]);
    default:
      // The server starts anew beside its node.
      ++At.Born;
      At.Sequence = 0;
      At.Instance += "'";
      return;
    }
  }

  void checkIds() {
    if (Mesh.Unreadable > 0)
      report(std::to_string(Mesh.Unreadable) +
             " requests that a server could not read");
    for (const std::string &Id : OnceIds)
      if (Mesh.Runs[Id] > 1)
        report(Id + " ran " + std::to_string(Mesh.Runs[Id]) + " times");
    std::set<std::string> Once(OnceIds.begin(), OnceIds.end());
    for (const std::string &Id : Refused)
      if (Once.contains(Id) && Mesh.Runs[Id] > 0)
        report(Id + " was refused and ran");
  }

  generator Gen;
  std::chrono::seconds Length;
  net::event_loop Loop;
  standin::node_mesh Mesh;
  net::timer AskTimer;
  net::timer FaultTimer;
  std::chrono::steady_clock::time_point Started;
  int ConfigVersion = 1;
  int Asked = 0;
  int Served = 0;
  int Faults = 0;
  int Broken = 0;
  bool Recovering = false;
  std::set<std::string> Recovered;
  std::vector<std::string> OnceIds;
  std::vector<std::string> Refused;
};

} // namespace

int main(int Argc, char **Argv) {
  static const option Options[] = {{"program", required_argument, nullptr, 'p'},
                                   {"logs", required_argument, nullptr, 'l'},
                                   {"seed", required_argument, nullptr, 's'},
                                   {"seconds", required_argument, nullptr, 't'},
                                   {nullptr, 0, nullptr, 0}};
  std::string Program;
  std::string LogFolder;
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{10};
  for (int Option = 0;
       (Option = getopt_long(Argc, Argv, "", Options, nullptr)) != -1;) {
    switch (Option) {
    case 'p':
      Program = optarg;
      break;
    case 'l':
      LogFolder = optarg;
      break;
    case 's':
      Seed = std::strtoull(optarg, nullptr, 10);
      break;
    case 't':
      Length = std::chrono::seconds(std::strtol(optarg, nullptr, 10));
      break;
    default:
      return 2;
    }
  }
  if (Program.empty()) {
    std::cerr << "usage: gentianlug-soak --program NODE [--logs FOLDER] "
                 "[--seed N] [--seconds S]\n";
    return 2;
  }
  return soak_run(Program, LogFolder, Seed, Length).run() == 0 ? 0 : 1;
}
