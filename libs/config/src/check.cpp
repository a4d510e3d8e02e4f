#include "gentianlug/config/check.h"

#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/error_table.h"

#include <set>

namespace gentianlug::config {

static constexpr error_text ConfigTexts[] = {
    {int(config_errc::InvalidConfiguration), "invalid configuration"},
    {int(config_errc::UnknownSite), "unknown site"},
    {int(config_errc::MissingPart), "part of the configuration is missing"},
    {int(config_errc::HashMismatch), "content does not match its hash"},
    {int(config_errc::MalformedPart), "malformed part of the configuration"},
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

  std::vector<std::string> run() {
    checkNames("availability_zones", Configuration.Zones);
    checkNames("customers", Configuration.Customers);
    checkNames("services", Configuration.Services);
    checkNames("routes", Configuration.Routes);
    for (const service &Service : Configuration.Services)
      checkLimits(Service);
    checkRoutes();
    checkRollouts();
    return std::move(Faults);
  }

private:
  void fault(const std::string &Path, const std::string &Reason) {
    Faults.push_back(Path + ": " + Reason);
  }

  template <class Entries>
  void checkNames(const std::string &Section, const Entries &List) {
    std::set<std::string> Seen;
    for (const auto &Entry : List)
      if (!Seen.insert(Entry.Name.str()).second)
        fault(Section + "." + Entry.Name.str(), "name is used twice");
  }

  void checkLimits(const service &Service) {
    if (Service.Limits.Slots > Service.Limits.Connections)
      fault("services." + Service.Name.str() + ".limits",
            "more slots than connections");
  }

  void checkRoutes() {
    std::set<std::string> Prefixes;
    for (const route &Route : Configuration.Routes) {
      std::string Path = "routes." + Route.Name.str();
      if (!findService(Configuration, Route.Service))
        fault(Path + ".service",
              "names the unknown service \"" + Route.Service.str() + "\"");
      if (!Prefixes.insert(Route.PathPrefix).second)
        fault(Path + ".path", "\"" + Route.PathPrefix + "\" is used twice");
    }
  }

  void checkRollouts() {
    std::set<service_name> Seen;
    for (const rollout &Rollout : Configuration.Rollouts) {
      std::string Path = "rollouts." + Rollout.Service.str();
      const service *Service = findService(Configuration, Rollout.Service);
      if (!Service)
        fault(Path, "names an unknown service");
      else if (Service->Version == Rollout.Version)
        fault(Path + ".version", "is the version already in service");
      if (!Seen.insert(Rollout.Service).second)
        fault(Path, "service has two rollouts");
    }
  }

  const site_configuration &Configuration;
  std::vector<std::string> Faults;
};

} // namespace

std::vector<std::string> checkWhole(const site_configuration &Configuration) {
  return checker(Configuration).run();
}

} // namespace gentianlug::config
