#include "gentianlug/config/check.h"

#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/error_table.h"

#include <algorithm>
#include <unordered_set>

namespace gentianlug::config {

static constexpr error_text ConfigTexts[] = {
    {int(config_errc::InvalidConfiguration), "invalid configuration"},
    {int(config_errc::UnknownSite), "unknown site"},
    {int(config_errc::MissingPart), "part of the configuration is missing"},
    {int(config_errc::HashMismatch), "content does not match its hash"},
    {int(config_errc::MalformedPart), "malformed part of the configuration"},
    {int(config_errc::UnknownPath), "no value has this path"},
};

std::error_code make_error_code(config_errc Code) {
  static const error_table Category("config", ConfigTexts);
  return {int(Code), Category};
}

namespace {

/// Collects faults while it walks through one configuration.
class checker {
public:
  explicit checker(const site_configuration &Configuration)
      : Configuration(Configuration) {}

  std::vector<config_fault> run() {
    checkNames("availability_zones", Configuration.Zones);
    checkNames("customers", Configuration.Customers);
    checkNames("services", Configuration.Services);
    checkNames("routes", Configuration.Routes);
    checkZones();
    for (const service &Service : Configuration.Services)
      checkLimits(Service);
    checkRoutes();
    checkRollouts();
    checkCalls();
    return std::move(Faults);
  }

private:
  /// How far the walk along calls has come at one service.
  enum class visit : std::uint8_t { Unseen, Open, Finished };

  struct call_state {
    visit Visit = visit::Unseen;
    /// Services on the longest chain that starts here.
    std::size_t Depth = 1;
  };

  void fault(const std::string &Path, const std::string &Reason) {
    Faults.push_back({Path, Reason});
  }

  template <class Entries>
  void checkNames(const std::string &Section, const Entries &List) {
    std::unordered_set<std::string> Seen;
    for (const auto &Entry : List)
      if (!Seen.insert(Entry.Name.str()).second)
        fault(Section + "." + Entry.Name.str(), "name is used twice");
  }

  void checkZones() {
    for (const availability_zone &Zone : Configuration.Zones)
      if (Zone.Region.empty())
        fault("availability_zones." + Zone.Name.str() + ".region",
              "is missing; every zone belongs to a region");
  }

  void checkLimits(const service &Service) {
    if (Service.Limits.Slots > Service.Limits.Connections)
      fault("services." + Service.Name.str() + ".limits.slots",
            std::to_string(Service.Limits.Slots) + " slots are more than the " +
                std::to_string(Service.Limits.Connections) + " connections");
  }

  void checkRoutes() {
    std::unordered_set<std::string> Prefixes;
    for (const route &Route : Configuration.Routes) {
      std::string Path = "routes." + Route.Name.str();
      const service *Service = findService(Configuration, Route.Service);
      if (Service)
        checkDeadline(Route, *Service);
      else
        fault(Path + ".service",
              "names the unknown service \"" + Route.Service.str() + "\"");
      if (!Prefixes.insert(Route.PathPrefix).second)
        fault(Path + ".path", "\"" + Route.PathPrefix + "\" is used twice");
    }
  }

  /// A call can need a new connection and come from another zone.
  void checkDeadline(const route &Route, const service &Service) {
    std::chrono::microseconds Least =
        Service.Limits.ConnectCost + Configuration.ZoneRoundTrip;
    if (Route.Deadline <= Least)
      fault("routes." + Route.Name.str() + ".deadline_ms",
            "no queue can meet " + std::to_string(Route.Deadline.count()) +
                " ms: a connection and a round trip between zones take " +
                std::to_string(Least.count()) + " us");
  }

  void checkRollouts() {
    std::unordered_set<service_name> Seen;
    for (const rollout &Rollout : Configuration.Rollouts) {
      std::string Path = "rollouts." + Rollout.Service.str();
      const service *Service = findService(Configuration, Rollout.Service);
      if (!Service)
        fault(Path + ".service", "names an unknown service");
      else if (Service->Version == Rollout.Version)
        fault(Path + ".version", "is the version already in service");
      if (!Seen.insert(Rollout.Service).second)
        fault(Path, "service has two rollouts");
    }
  }

  void checkCalls() {
    States.resize(Configuration.Services.size());
    for (std::size_t Index = 0; Index < States.size(); ++Index)
      if (States[Index].Visit == visit::Unseen)
        walkCalls(Index);
    for (std::size_t Index = 0; Index < States.size(); ++Index)
      if (States[Index].Depth == MaxCallDepth + 1)
        fault(callsPath(Index), "starts a chain of more than " +
                                    std::to_string(MaxCallDepth) + " services");
  }

  std::string callsPath(std::size_t Index) const {
    return "services." + Configuration.Services[Index].Name.str() + ".calls";
  }

  /// A service on the walk, with the call to follow next.
  struct call_step {
    std::size_t Service = 0;
    std::size_t NextCall = 0;
  };

  /// Walks depth first with a stack of its own, since chains can be long.
  void walkCalls(std::size_t Start) {
    std::vector<call_step> Stack{{Start, 0}};
    States[Start].Visit = visit::Open;
    while (!Stack.empty()) {
      call_step &Step = Stack.back();
      const service &Service = Configuration.Services[Step.Service];
      if (Step.NextCall == Service.Calls.size()) {
        States[Step.Service].Visit = visit::Finished;
        Stack.pop_back();
        continue;
      }
      const service *Callee =
          findService(Configuration, Service.Calls[Step.NextCall]);
      if (!Callee) {
        fault(callsPath(Step.Service), "names the unknown service \"" +
                                           Service.Calls[Step.NextCall].str() +
                                           "\"");
        ++Step.NextCall;
        continue;
      }
      followCall(Stack, std::size_t(Callee - Configuration.Services.data()));
    }
  }

  /// Enters an unseen callee; takes the depth of a finished one.
  void followCall(std::vector<call_step> &Stack, std::size_t Callee) {
    call_step &Step = Stack.back();
    if (States[Callee].Visit == visit::Unseen) {
      States[Callee].Visit = visit::Open;
      Stack.push_back({Callee, 0});
      return;
    }
    ++Step.NextCall;
    if (States[Callee].Visit == visit::Open)
      return fault(callsPath(Step.Service),
                   "the call to \"" +
                       Configuration.Services[Callee].Name.str() +
                       "\" closes a cycle");
    States[Step.Service].Depth =
        std::max(States[Step.Service].Depth, States[Callee].Depth + 1);
  }

  const site_configuration &Configuration;
  std::vector<config_fault> Faults;
  /// By index of the service.
  std::vector<call_state> States;
};

} // namespace

std::vector<config_fault> checkWhole(const site_configuration &Configuration) {
  return checker(Configuration).run();
}

std::vector<config_fault>
checkFinishTimes(const site_configuration &Configuration, wall_time Now,
                 const std::set<std::string> &InForce) {
  std::vector<config_fault> Faults;
  for (const rollout &Rollout : Configuration.Rollouts) {
    if (InForce.count(Rollout.id()))
      continue;
    std::string Path = "rollouts." + Rollout.Service.str() + ".finish_by";
    if (Rollout.FinishBy <= Now)
      Faults.push_back({Path, "has passed"});
    else if (Rollout.FinishBy < Now + MinRolloutTime)
      Faults.push_back({Path, "is nearer than " +
                                  std::to_string(MinRolloutTime.count()) +
                                  " s, too near to decide the rollout"});
  }
  return Faults;
}

} // namespace gentianlug::config
