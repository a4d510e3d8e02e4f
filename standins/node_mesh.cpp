#include "node_mesh.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gentianlug::standin {

using json = nlohmann::json;

static constexpr std::chrono::milliseconds AnnouncePeriod{100};
static constexpr int Ok = 200;

std::string loopbackHost(unsigned ProcessId) {
  constexpr unsigned Byte = 256;
  // Skips 127.0.x.x, which other programs use, and 127.255.x.x, which contains
  // the broadcast address.
  constexpr unsigned Blocks = 254;
  return "127." + std::to_string(1 + ProcessId / Byte / Byte % Blocks) + "." +
         std::to_string(ProcessId / Byte % Byte) + "." +
         std::to_string(ProcessId % Byte);
}

address nextAddress() {
  constexpr std::uint16_t FirstPort = 20000;
  static std::uint16_t Port = FirstPort;
  return {loopbackHost(unsigned(getpid())), Port++};
}

node_mesh::node_mesh(net::event_loop &Loop, std::string Program,
                     std::string LogDirectory)
    : Store(Loop), Loop(Loop), Program(std::move(Program)),
      LogDirectory(std::move(LogDirectory)), Client(Loop, {}, {}),
      AnnounceTimer(Loop, [this] { announceAll(); }) {
  // Writing to a connection that a killed node has reset raises SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  if (auto Listening = Store.listen(StoreAddress); !Listening)
    std::abort();
  Store.RewriteSpec = [this](const std::string &, const std::string &Name,
                             json &Spec) {
    for (auto &Machine : Machines)
      if (Machine->Name == Name && Spec.contains("nodeAddress"))
        Spec["nodeAddress"] = Machine->AdvertisedNodeAddress.str();
  };
}

node_mesh::~node_mesh() {
  for (auto &Machine : Machines) {
    if (Machine->NodeProcess != 0)
      signal(*Machine, SIGKILL);
    unlink(Machine->SettingsFile.c_str());
  }
}

void node_mesh::putConfig(int Version,
                          const std::vector<std::string> &Prefixes) {
  json Routes = json::array();
  for (const std::string &Prefix : Prefixes)
    Routes.push_back(
        {{"name", "r" + Prefix},
         {"host", "h.example"},
         {"pathPrefix", Prefix},
         {"routeType",
          Prefix.starts_with("/once") ? "non_idempotent" : "idempotent"},
         {"timeoutS", 2},
         {"service", "orders"},
         {"maxAttempts", 2}});
  char Text[16];
  std::snprintf(Text, sizeof Text, "%08x", unsigned(Version));
  json Configuration = {
      {"version", Text},
      {"routes", Routes},
      {"services",
       json::array({{{"name", "orders"}, {"healthPath", "/healthz"}}})}};
  if (!CallerLimits.empty())
    Configuration["limits"] = CallerLimits;
  for (const auto &[Name, Key] : KeysByAccount)
    Configuration["tenants"].push_back(
        {{"name", Name}, {"apiKeys", json::array({Key})}});
  Store.put("config", "main", std::move(Configuration));
}

void node_mesh::startAccounting() {
  Accounting = std::make_unique<http1::server>(
      Loop, http1::server_limits{},
      [this](std::shared_ptr<http1::exchange> Exchange) {
        const http1::request &Request = Exchange->receivedRequest();
        json Body = json::parse(Request.Body.str());
        usage_report Report;
        Report.Window = Body["windowNumber"];
        Report.FencingToken =
            std::stoull(*Request.Headers.find("Fencing-Token"));
        Report.Calls = Body["counts"].get<std::map<std::string, int>>();
        UsageReports.push_back(std::move(Report));
        if (!AccountingIsSilent)
          Exchange->respond(http1::makeStatusResponse(200));
      });
  if (auto Listening = Accounting->listen(AccountingAddress, {}); !Listening)
    std::abort();
}

machine &node_mesh::addMachine(const std::string &Name, const std::string &Zone,
                               std::uint32_t LinkMbps) {
  Machines.push_back(std::make_unique<machine>());
  machine &Next = *Machines.back();
  Next.Name = Name;
  Next.Zone = Zone;
  Next.Instance = "i-" + Name;
  Next.LinkMbps = LinkMbps;
  Next.Server = std::make_unique<http1::server>(
      Loop, http1::server_limits{},
      [this, &Next](std::shared_ptr<http1::exchange> Exchange) {
        handleServerRequest(Next, std::move(Exchange));
      });
  Next.Server->setRefusalObserver(
      [this](const address &, int) { ++MalformedRequests; });
  if (auto Listening = Next.Server->listen(Next.ServerAddress, {}); !Listening)
    std::abort();
  Next.NodeStoreAddress = StoreAddress;
  if (FaultProxiesEnabled) {
    Next.ServerProxy = startProxy(Next.AdvertisedServerAddress = nextAddress(),
                                  Next.ServerAddress);
    Next.StoreProxy =
        startProxy(Next.NodeStoreAddress = nextAddress(), StoreAddress);
    Next.NodeProxy =
        startProxy(Next.AdvertisedNodeAddress = nextAddress(), Next.Inbound);
  }
  writeSettings(Next);
  startNode(Next);
  return Next;
}

std::unique_ptr<standins::fault_proxy>
node_mesh::startProxy(const address &Listen, const address &Target) {
  auto Proxy = std::make_unique<standins::fault_proxy>(Loop, Target);
  if (auto Listening = Proxy->listen(Listen); !Listening)
    std::abort();
  return Proxy;
}

void node_mesh::writeSettings(machine &Machine) {
  json Settings = {
      {"self",
       {{"nodeName", Machine.Name},
        {"ip", Machine.Inbound.Host},
        {"zone", Machine.Zone},
        {"limits", {{"linkMbps", Machine.LinkMbps}}},
        {"service", "orders"},
        {"appAddr", Machine.AdvertisedServerAddress.str()}}},
      {"network",
       {{"listen",
         {{"inbound", Machine.Inbound.str()},
          {"outbound", Machine.Outbound.str()},
          {"ready", Machine.Ready.str()},
          {"control", Machine.Control.str()}}}}},
      {"platform",
       {{"platform", {{"address", Machine.NodeStoreAddress.str()}}}}},
      {"terms", {{"bounds", {{"graceS", 6}}}}}};
  Settings["terms"]["bounds"].update(Bounds);
  Settings["self"]["limits"].update(MachineLimits);
  if (Accounting) {
    Settings["platform"]["cloud"] = {{"address", AccountingAddress.str()},
                                     {"duties", {"usage_report"}}};
    Settings["terms"]["bounds"]["reportWindowS"] = 1;
    Settings["terms"]["bounds"]["leaseS"] = 1;
  }
  char Name[] = "/tmp/gentianlug-node-XXXXXX";
  close(mkstemp(Name));
  Machine.SettingsFile = Name;
  std::ofstream(Name) << Settings.dump();
}

void node_mesh::startNode(machine &Machine) {
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  std::string Log = LogDirectory.empty()
                        ? "/dev/null"
                        : LogDirectory + "/" + Machine.Name + ".log";
  constexpr int ReadableByAll = 0644;
  for (int Fd : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(
        &Files, Fd, Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, ReadableByAll);
  std::string Flag = "--settings";
  char *Arguments[] = {Program.data(), Flag.data(), Machine.SettingsFile.data(),
                       nullptr};
  if (posix_spawn(&Machine.NodeProcess, Program.c_str(), &Files, nullptr,
                  Arguments, environ) != 0)
    std::abort();
  posix_spawn_file_actions_destroy(&Files);
}

void node_mesh::signal(machine &Machine, int Signal) {
  kill(Machine.NodeProcess, Signal);
  if (Signal != SIGKILL)
    return;
  waitpid(Machine.NodeProcess, nullptr, 0);
  Machine.NodeProcess = 0;
}

std::optional<int> node_mesh::exitStatus(machine &Machine) {
  int Status = 0;
  if (Machine.NodeProcess == 0 ||
      waitpid(Machine.NodeProcess, &Status, WNOHANG) != Machine.NodeProcess)
    return std::nullopt;
  Machine.NodeProcess = 0;
  return Status;
}

void machine::nameRateLimit(std::optional<std::size_t> CallsPerSecond) {
  ResponseHeaders.erase("Server-Limit");
  if (CallsPerSecond)
    ResponseHeaders["Server-Limit"] = std::to_string(*CallsPerSecond);
}

void machine::nameLeaving() { ResponseHeaders["Server-Leaving"] = "1"; }

bool machine::isLeaving() const {
  return ResponseHeaders.contains("Server-Leaving");
}

static void addHeaders(http1::response &Response,
                       const std::map<std::string, std::string> &Headers) {
  for (const auto &[Name, Value] : Headers)
    Response.Headers.add(Name, Value);
}

void node_mesh::handleServerRequest(machine &Machine,
                                    std::shared_ptr<http1::exchange> Exchange) {
  if (Exchange->receivedRequest().Target == "/healthz") {
    http1::response Response = http1::makeStatusResponse(Ok);
    Response.Headers.add("Instance-Id", Machine.Instance);
    addHeaders(Response, Machine.ResponseHeaders);
    return Exchange->respond(std::move(Response));
  }
  const std::string *Expected =
      Exchange->receivedRequest().Headers.find("expected-instance");
  constexpr int Misdirected = 421;
  if (Machine.ChecksInstance && Expected && *Expected != Machine.Instance)
    return Exchange->respond(http1::makeStatusResponse(Misdirected));
  ++Machine.ReceivedCalls;
  if (const std::string *Id =
          Exchange->receivedRequest().Headers.find("request-id"))
    ++ExecutionsByCallId[*Id];
  if (const std::string *Caller =
          Exchange->receivedRequest().Headers.find("caller-service"))
    CallerServices.insert(*Caller);
  if (const std::string *Account =
          Exchange->receivedRequest().Headers.find("tenant-id"))
    ++CallsByAccount[*Account];
  if (Exchange->receivedRequest().Headers.find("authorization"))
    ++CallsWithCredentials;
  if (Machine.HoldCalls) {
    Machine.HeldCalls.push_back(std::move(Exchange));
    return;
  }
  respond(*Exchange, Machine.ResponsePaddingBytes, Machine.ResponseHeaders);
}

void node_mesh::respond(http1::exchange &Exchange, std::size_t ExtraBytes,
                        const std::map<std::string, std::string> &Headers) {
  http1::response Response = http1::makeStatusResponse(Ok);
  addHeaders(Response, Headers);
  Response.Headers.add("Server-Signature", "sig");
  if (const std::string *Id =
          Exchange.receivedRequest().Headers.find("request-id")) {
    Response.Headers.add("Request-Id", *Id);
    Response.Body = "answer to " + *Id + std::string(ExtraBytes, '.');
  }
  Exchange.respond(std::move(Response));
}

void node_mesh::announce(machine &Machine, const char *State,
                         std::function<void(int Status)> Done) {
  json Body = {
      {"address", Machine.AdvertisedServerAddress.str()},
      {"born", Machine.ServerIncarnation},
      {"info",
       {{"service", "orders"},
        {"version", "v1"},
        {"zone", Machine.Zone},
        {"slots", 9}}},
      {"status", {{"state", State}, {"sequence", ++Machine.Sequence}}}};
  postToNode(Machine, "/instances/" + Machine.Instance + "/heartbeat",
             Body.dump(), std::move(Done));
}

void node_mesh::postToNode(machine &Machine, const std::string &Path,
                           const std::string &Body,
                           std::function<void(int Status)> Done) {
  http1::request Request;
  Request.Method = "POST";
  Request.Target = Path;
  Request.Headers.add("Host", Machine.Control.str());
  Request.Body = Body;
  Client.send(Machine.Control, Request, {}, [Done](http1::send_result Result) {
    Done(Result.Outcome == http1::send_outcome::Responded
             ? Result.Response.Status
             : 0);
  });
}

void node_mesh::announceAll() {
  for (auto &Machine : Machines)
    if (Machine->AnnouncementsEnabled && Machine->NodeProcess != 0)
      announce(*Machine, "ready");
}

void node_mesh::setPeriodicAnnouncements(bool Enabled) {
  if (Enabled)
    AnnounceTimer.startEvery(AnnouncePeriod);
  else
    AnnounceTimer.cancel();
}

void node_mesh::checkReady(machine &Target, std::function<void(bool)> Done) {
  http1::request Request;
  Request.Method = "GET";
  Request.Target = "/readyz";
  Request.Headers.add("Host", "h");
  Client.send(Target.Ready, Request, {}, [Done](http1::send_result Result) {
    Done(Result.Response.Status == Ok);
  });
}

void node_mesh::sendCall(
    machine &Target, const std::string &Method, const std::string &Path,
    std::function<void(const std::string &Id, const http1::response &)> Done) {
  // The process id keeps the call ids of concurrent runs distinct.
  std::string Id =
      "q" + std::to_string(getpid()) + "-" + std::to_string(++CallsSent);
  http1::request Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Headers.add("Host", "h.example");
  Request.Headers.add("Request-Id", Id);
  Request.Headers.add("Deadline-Ms", "2000");
  if (!CallerKey.empty())
    Request.Headers.add("Authorization", "Bearer " + CallerKey);
  ++CallsInFlight;
  // The idle limit of 500 ms makes the caller reuse a connection only while the
  // node certainly keeps it open.
  Client.send(Target.Outbound, Request,
              {std::chrono::milliseconds(300), std::chrono::milliseconds(500),
               "Request-Id"},
              [this, Id, Done](http1::send_result Result) {
                --CallsInFlight;
                Done(Id, Result.Outcome == http1::send_outcome::Responded
                             ? Result.Response
                             : http1::makeStatusResponse(0));
              });
}

} // namespace gentianlug::standin
