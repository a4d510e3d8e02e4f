#include "gentianlug/config/check.h"

#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/error_table.h"

#include <algorithm>
#include <unordered_set>

namespace gentianlug::config {

static constexpr error_text ConfigErrorMessages[] = {
    {int(config_errc::InvalidConfiguration), "invalid configuration"},
    {int(config_errc::UnknownSite), "unknown site"},
    {int(config_errc::MissingPart), "part of the configuration is missing"},
    {int(config_errc::HashMismatch), "content does not match its hash"},
    {int(config_errc::MalformedPart), "malformed part of the configuration"},
    {int(config_errc::UnknownPath), "no value has this path"},
};

std::error_code make_error_code(config_errc Code) {
  static const error_table Category("config", ConfigErrorMessages);
  return {int(Code), Category};
}

namespace {

/// Validates one configuration and collects the faults found.
class configuration_checker {
public:
  explicit configuration_checker(const site_configuration &Configuration)
      : Configuration(Configuration) {}

  std::vector<config_fault> checkAll() {
    checkUniqueNames("availability_zones", Configuration.Zones);
    checkUniqueNames("customers", Configuration.Customers);
    checkUniqueNames("services", Configuration.Services);
    checkUniqueNames("routes", Configuration.Routes);
    checkZones();
    for (const service &Service : Configuration.Services)
      checkLimits(Service);
    checkRoutes();
    checkRollouts();
    checkCallGraph();
    return std::move(Faults);
  }

private:
  /// State of a service in the depth-first search over the call graph.
  enum class visit_state : std::uint8_t { Unvisited, InProgress, Finished };

  struct service_visit {
    visit_state State = visit_state::Unvisited;
    /// Number of services on the longest call chain starting here.
    std::size_t Depth = 1;
  };

  void addFault(const std::string &Path, const std::string &Reason) {
    Faults.push_back({Path, Reason});
  }

  template <class Entries>
  void checkUniqueNames(const std::string &Section, const Entries &List) {
    std::unordered_set<std::string> Seen;
    for (const auto &Entry : List)
      if (!Seen.insert(Entry.Name.str()).second)
        addFault(Section + "." + Entry.Name.str(), "name is used twice");
  }

  void checkZones() {
    for (const availability_zone &Zone : Configuration.Zones)
      if (Zone.Region.empty())
        addFault("availability_zones." + Zone.Name.str() + ".region",
                 "is missing; every zone belongs to a region");
  }

  void checkLimits(const service &Service) {
    if (Service.Limits.Slots > Service.Limits.Connections)
      addFault("services." + Service.Name.str() + ".limits.slots",
               std::to_string(Service.Limits.Slots) + " slots exceed the " +
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
        addFault(Path + ".service",
                 "names the unknown service \"" + Route.Service.str() + "\"");
      if (!Prefixes.insert(Route.PathPrefix).second)
        addFault(Path + ".path", "\"" + Route.PathPrefix + "\" is used twice");
    }
  }

  /// Checks that the deadline allows for a new connection and a round trip to
  /// another zone, which any call may need.
  void checkDeadline(const route &Route, const service &Service) {
    std::chrono::microseconds MinLatency =
        Service.Limits.ConnectCost + Configuration.ZoneRoundTrip;
    if (Route.Deadline <= MinLatency)
      addFault("routes." + Route.Name.str() + ".deadline_ms",
               "is " + std::to_string(Route.Deadline.count()) +
                   " ms, but a new connection and a round trip between zones "
                   "take " +
                   std::to_string(MinLatency.count()) + " us");
  }

  void checkRollouts() {
    std::unordered_set<service_name> Seen;
    for (const rollout &Rollout : Configuration.Rollouts) {
      std::string Path = "rollouts." + Rollout.Service.str();
      const service *Service = findService(Configuration, Rollout.Service);
      if (!Service)
        addFault(Path + ".service", "names an unknown service");
      else if (Service->Version == Rollout.Version)
        addFault(Path + ".version",
                 "is already the current version of the service");
      if (!Seen.insert(Rollout.Service).second)
        addFault(Path, "the service has more than one rollout");
    }
  }

  void checkCallGraph() {
    Visits.resize(Configuration.Services.size());
    for (std::size_t Index = 0; Index < Visits.size(); ++Index)
      if (Visits[Index].State == visit_state::Unvisited)
        visitCallees(Index);
    for (std::size_t Index = 0; Index < Visits.size(); ++Index)
      if (Visits[Index].Depth == MaxCallDepth + 1)
        addFault(callsPath(Index), "starts a call chain of more than " +
                                       std::to_string(MaxCallDepth) +
                                       " services");
  }

  std::string callsPath(std::size_t Index) const {
    return "services." + Configuration.Services[Index].Name.str() + ".calls";
  }

  /// A service being visited and the index of its next call to follow.
  struct stack_frame {
    std::size_t Service = 0;
    std::size_t NextCall = 0;
  };

  /// Visits the call graph depth first from \p Start. The stack is explicit,
  /// because long call chains could overflow the call stack.
  void visitCallees(std::size_t Start) {
    std::vector<stack_frame> Stack{{Start, 0}};
    Visits[Start].State = visit_state::InProgress;
    while (!Stack.empty()) {
      stack_frame &Frame = Stack.back();
      const service &Service = Configuration.Services[Frame.Service];
      if (Frame.NextCall == Service.Calls.size()) {
        Visits[Frame.Service].State = visit_state::Finished;
        Stack.pop_back();
        continue;
      }
      const service *Callee =
          findService(Configuration, Service.Calls[Frame.NextCall]);
      if (!Callee) {
        addFault(callsPath(Frame.Service),
                 "names the unknown service \"" +
                     Service.Calls[Frame.NextCall].str() + "\"");
        ++Frame.NextCall;
        continue;
      }
      visitCallee(Stack, std::size_t(Callee - Configuration.Services.data()));
    }
  }

  /// Follows the next call of the top frame: pushes an unvisited callee,
  /// reports a cycle if the callee is in progress, and otherwise updates the
  /// depth of the caller.
  void visitCallee(std::vector<stack_frame> &Stack, std::size_t Callee) {
    stack_frame &Frame = Stack.back();
    if (Visits[Callee].State == visit_state::Unvisited) {
      Visits[Callee].State = visit_state::InProgress;
      Stack.push_back({Callee, 0});
      return;
    }
    ++Frame.NextCall;
    if (Visits[Callee].State == visit_state::InProgress)
      return addFault(callsPath(Frame.Service),
                      "the call to \"" +
                          Configuration.Services[Callee].Name.str() +
                          "\" closes a cycle");
    Visits[Frame.Service].Depth =
        std::max(Visits[Frame.Service].Depth, Visits[Callee].Depth + 1);
  }

  const site_configuration &Configuration;
  std::vector<config_fault> Faults;
  /// Visit states by service index.
  std::vector<service_visit> Visits;
};

} // namespace

std::vector<config_fault>
checkConfiguration(const site_configuration &Configuration) {
  return configuration_checker(Configuration).checkAll();
}

std::vector<config_fault>
checkFinishTimes(const site_configuration &Configuration, wall_time Now,
                 const std::set<std::string> &ActiveRollouts) {
  std::vector<config_fault> Faults;
  for (const rollout &Rollout : Configuration.Rollouts) {
    if (ActiveRollouts.count(Rollout.id()))
      continue;
    std::string Path = "rollouts." + Rollout.Service.str() + ".finish_by";
    if (Rollout.FinishBy <= Now)
      Faults.push_back({Path, "is in the past"});
    else if (Rollout.FinishBy < Now + MinRolloutTime)
      Faults.push_back(
          {Path, "is nearer than " + std::to_string(MinRolloutTime.count()) +
                     " s, which is too soon to evaluate the rollout"});
  }
  return Faults;
}

} // namespace gentianlug::config
