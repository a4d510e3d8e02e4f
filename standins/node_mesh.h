#ifndef GENTIANLUG_STANDINS_NODE_MESH_H
#define GENTIANLUG_STANDINS_NODE_MESH_H

#include "fault_proxy.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/http1/server.h"
#include "object_store_standin.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sys/types.h>

namespace gentianlug::standin {

/// Returns the loopback address of a process. Up to 16 million consecutive
/// process ids map to different addresses.
std::string loopbackHost(unsigned ProcessId);

/// Returns an unused address. Each process has its own loopback address and
/// allocates ports from a counter, so that concurrent runs never receive calls
/// of each other.
address nextAddress();

/// A backend server and the node process that runs next to it.
struct machine {
  std::string Name;
  std::string Zone;
  std::string Instance;
  std::uint64_t ServerIncarnation = 1;
  std::uint64_t Sequence = 0;
  /// Whether the server sends periodic announcements.
  bool AnnouncementsEnabled = true;
  address ServerAddress = nextAddress();
  /// Listen addresses of the node.
  address Outbound = nextAddress();
  address Inbound = nextAddress();
  address Ready = nextAddress();
  address Control = nextAddress();
  std::unique_ptr<http1::server> Server;
  /// Calls received while `HoldCalls` is set, without a response so far.
  std::vector<std::shared_ptr<http1::exchange>> HeldCalls;
  bool HoldCalls = false;
  /// The server rejects calls for another instance.
  bool ChecksInstance = false;
  /// Header fields that the server adds to each response, by name.
  std::map<std::string, std::string> ResponseHeaders;
  /// Padding appended to each response body of the server.
  std::size_t ResponsePaddingBytes = 0;
  /// Link bandwidth of the machine in the settings of the node; 0 for none.
  std::uint32_t LinkMbps = 0;
  int ReceivedCalls = 0;
  /// Proxies in front of the server, of the store and of the inbound port of
  /// the node; null unless fault proxies are enabled.
  std::unique_ptr<standins::fault_proxy> ServerProxy;
  std::unique_ptr<standins::fault_proxy> StoreProxy;
  std::unique_ptr<standins::fault_proxy> NodeProxy;
  /// Addresses under which other processes reach these endpoints: those of the
  /// proxies, if enabled.
  address AdvertisedServerAddress = ServerAddress;
  address NodeStoreAddress;
  address AdvertisedNodeAddress = Inbound;
  std::string SettingsFile;
  /// Process id of the node; 0 while it does not run.
  pid_t NodeProcess = 0;

  /// Sets or removes the limit of calls per second that the server names.
  void nameRateLimit(std::optional<std::size_t> CallsPerSecond);
  /// Lets the server say in its responses that it is leaving.
  void nameLeaving();
  bool isLeaving() const;
};

/// Runs real node processes on loopback addresses, with in-process stand-ins
/// for the object store, backend servers and callers.
class node_mesh {
public:
  /// \param Program path of the node executable.
  /// \param LogDirectory directory for the logs of the nodes; empty discards
  /// them.
  node_mesh(net::event_loop &Loop, std::string Program,
            std::string LogDirectory = "");
  /// Inserts fault proxies between the processes of machines added later.
  void useFaultProxies() { FaultProxiesEnabled = true; }
  /// Kills the node processes.
  ~node_mesh();
  node_mesh(const node_mesh &) = delete;
  node_mesh &operator=(const node_mesh &) = delete;

  /// Stores a configuration that routes each path prefix to the only service.
  /// Routes whose prefix starts with "/once" are not idempotent.
  void putConfig(int Version, const std::vector<std::string> &Prefixes);
  machine &addMachine(const std::string &Name, const std::string &Zone,
                      std::uint32_t LinkMbps = 0);
  void startNode(machine &Machine);
  /// Sends a signal to the node process; after SIGKILL, waits for its exit.
  void signal(machine &Machine, int Signal);
  /// Returns the status from `waitpid` if the process has exited, and marks the
  /// node as not running.
  std::optional<int> exitStatus(machine &Machine);
  void announce(
      machine &Machine, const char *State,
      std::function<void(int Status)> Done = [](int) {});
  /// Sends any bytes to the announcement endpoint of the node; status 0 means
  /// no response.
  void postToNode(machine &Machine, const std::string &Path,
                  const std::string &Body,
                  std::function<void(int Status)> Done);
  /// Starts or stops the announcement of all servers every 100 ms.
  void setPeriodicAnnouncements(bool Enabled);
  /// Sends the response that a caller expects for the call, with additional
  /// header fields.
  static void respond(http1::exchange &Exchange, std::size_t ExtraBytes = 0,
                      const std::map<std::string, std::string> &Headers = {});
  void checkReady(machine &Target, std::function<void(bool)> Done);
  /// Sends a call and passes its id and the response to \p Done; status 0 means
  /// no response.
  void sendCall(
      machine &Target, const std::string &Method, const std::string &Path,
      std::function<void(const std::string &Id, const http1::response &)> Done);

  /// Starts a stand-in for the accounting service. Nodes added later report
  /// the usage of windows of one second to it.
  void startAccounting();

  /// Returns the number of calls that have not completed.
  std::size_t callsInFlight() const { return CallsInFlight; }

  object_store_standin Store;
  std::vector<std::unique_ptr<machine>> Machines;
  /// Number of executions at all servers by call id.
  std::map<std::string, int> ExecutionsByCallId;
  /// Names of the calling services in the calls that servers have received.
  std::set<std::string> CallerServices;
  /// Number of malformed requests received by servers.
  int MalformedRequests = 0;
  /// API keys of the client accounts by name, for configurations stored later;
  /// empty without accounts.
  std::map<std::string, std::string> KeysByAccount;
  /// API key that callers send; "" for none.
  std::string CallerKey;
  /// Bounds in the settings of nodes added later, besides the usual ones.
  nlohmann::json Bounds = nlohmann::json::object();
  /// Limits of the machine in the settings of nodes added later, besides the
  /// bandwidth of its link.
  nlohmann::json MachineLimits = nlohmann::json::object();
  /// Limits for callers in configurations stored later; empty for none.
  nlohmann::json CallerLimits = nlohmann::json::object();
  /// Accounts named in the calls that servers have received.
  std::map<std::string, int> CallsByAccount;
  /// Calls with credentials that servers have received.
  int CallsWithCredentials = 0;
  /// A report of usage, as the accounting service received it.
  struct usage_report {
    std::int64_t Window = 0;
    std::uint64_t FencingToken = 0;
    std::map<std::string, int> Calls;
  };
  std::vector<usage_report> UsageReports;
  /// The accounting service reads reports but does not answer.
  bool AccountingIsSilent = false;

private:
  std::unique_ptr<standins::fault_proxy> startProxy(const address &Listen,
                                                    const address &Target);
  void handleServerRequest(machine &Machine,
                           std::shared_ptr<http1::exchange> Exchange);
  void writeSettings(machine &Machine);
  void announceAll();

  net::event_loop &Loop;
  std::string Program;
  std::string LogDirectory;
  address StoreAddress = nextAddress();
  address AccountingAddress = nextAddress();
  std::unique_ptr<http1::server> Accounting;
  bool FaultProxiesEnabled = false;
  http1::client_pool Client;
  net::timer AnnounceTimer;
  std::uint64_t CallsSent = 0;
  std::size_t CallsInFlight = 0;
};

} // namespace gentianlug::standin

#endif // GENTIANLUG_STANDINS_NODE_MESH_H
