#ifndef GENTIANLUG_STANDINS_NODE_MESH_H
#define GENTIANLUG_STANDINS_NODE_MESH_H

#include "fault_proxy.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/http1/server.h"
#include "object_store_standin.h"

#include <functional>
#include <optional>
#include <sys/types.h>

namespace gentianlug::standin {

/// Returns the loopback host of a process; neighbouring numbers, up to 16
/// million, have different ones.
std::string loopbackHost(unsigned ProcessNumber);

/// Returns an address that nothing else uses: each process has a loopback
/// number of its own and counts its ports, so that runs side by side never take
/// calls of each other.
address nextAddress();

/// A backend server with the node process beside it.
struct machine {
  std::string Name;
  std::string Zone;
  std::string Instance;
  std::uint64_t Born = 1;
  std::uint64_t Sequence = 0;
  /// Whether the server announces itself.
  bool Announces = true;
  address App = nextAddress();
  address Outbound = nextAddress();
  address Inbound = nextAddress();
  address Ready = nextAddress();
  address Control = nextAddress();
  std::unique_ptr<http1::server> Server;
  /// Calls that are held back while `HoldAnswers` is set.
  std::vector<std::shared_ptr<http1::exchange>> Held;
  bool HoldAnswers = false;
  /// Bytes that answers of the server have beside the id.
  std::size_t ExtraBytes = 0;
  /// Bandwidth of the machine's link that the node is told; 0 for none.
  std::uint32_t LinkMbps = 0;
  int ReceivedCalls = 0;
  /// What passes on the connections of the server, of the store, and of other
  /// nodes to this node; empty without relays.
  std::unique_ptr<standins::fault_relay> ServerLink;
  std::unique_ptr<standins::fault_relay> StoreLink;
  std::unique_ptr<standins::fault_relay> NodeLink;
  /// Addresses under which others reach the ends of these links.
  address ServerAt = App;
  address StoreAt;
  address NodeAt = Inbound;
  std::string SettingsFile;
  /// 0 while no node runs.
  pid_t Process = 0;
};

/// Real node processes on loopback with stand-ins of the store, of back ends
/// and of callers.
class node_mesh {
public:
  /// \param Program path of the node's program.
  /// \param LogFolder folder for the logs of the nodes; "" for none.
  node_mesh(net::event_loop &Loop, std::string Program,
            std::string LogFolder = "");
  /// Puts relays between the processes of machines that are added from now on.
  void useRelays() { Relays = true; }
  /// Ends the processes that it started.
  ~node_mesh();
  node_mesh(const node_mesh &) = delete;
  node_mesh &operator=(const node_mesh &) = delete;

  /// Writes a configuration with a route to the one service for each prefix;
  /// prefixes that begin with "/once" may run once at most.
  void putConfig(int Version, const std::vector<std::string> &Prefixes);
  machine &add(const std::string &Name, const std::string &Zone,
               std::uint32_t LinkMbps = 0);
  void spawn(machine &Machine);
  /// Sends a signal and waits for the end of the process if it is SIGKILL.
  void signal(machine &Machine, int Signal);
  /// Returns the exit status once the process has ended.
  std::optional<int> exitStatus(machine &Machine);
  void announce(
      machine &Machine, const char *State,
      std::function<void(int Status)> Done = [](int) {});
  /// Lets all servers announce themselves every 100 ms.
  void setPeriodicAnnouncements(bool Often);
  static void answer(http1::exchange &Exchange, std::size_t ExtraBytes = 0);
  void checkReady(machine &At, std::function<void(bool)> Done);
  /// Sends a call and passes its id and answer on; status 0 without an answer.
  void sendCall(
      machine &At, const std::string &Method, const std::string &Path,
      std::function<void(const std::string &Id, const http1::response &)> Done);

  /// Returns the calls of `ask` that have no answer yet.
  std::size_t callsInFlight() const { return CallsInFlight; }

  object_store_standin Store;
  std::vector<std::unique_ptr<machine>> Machines;
  /// Runs of each call id at the servers.
  std::map<std::string, int> Runs;
  /// Requests that a server could not read.
  int Unreadable = 0;

private:
  std::unique_ptr<standins::fault_relay> relay(const address &At,
                                               const address &To);
  void serve(machine &Machine, std::shared_ptr<http1::exchange> Exchange);
  void writeSettings(machine &Machine);
  void announceAll();

  net::event_loop &Loop;
  std::string Program;
  std::string LogFolder;
  address StoreAt = nextAddress();
  bool Relays = false;
  http1::client_pool Client;
  net::timer Heartbeat;
  std::uint64_t Asked = 0;
  std::size_t CallsInFlight = 0;
};

} // namespace gentianlug::standin

#endif // GENTIANLUG_STANDINS_NODE_MESH_H
