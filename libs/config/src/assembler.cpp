#include "gentianlug/config/assembler.h"

#include "detail/json_model.h"
#include "gentianlug/config/check.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/settings/json_file.h"

namespace gentianlug::config {

/// Part with the settings and entries that do not belong to a single service.
static constexpr const char *SitePartName = "site";

/// Parses one part into a configuration that contains only its entries.
static result<site_configuration> parsePart(const std::string &Name,
                                            const part &Part) {
  if (contentHash(Part.Text) != Part.Hash)
    return makeError(config_errc::HashMismatch, Name);
  auto Json = settings::parseJson(Part.Text, Name);
  if (!Json || !Json->is_object())
    return makeError(config_errc::MalformedPart, Name);
  // The site name is required, but only the site part contains it. The
  // placeholder is not copied to the result.
  if (Name != SitePartName)
    (*Json)["site"] = Name;
  settings::fault_list Faults(Name);
  settings::object_reader Reader(*Json, "", Faults);
  site_configuration Content = detail::readConfiguration(Reader);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  return Content;
}

template <class Entry>
static void appendEntries(std::vector<Entry> &Target,
                          const std::vector<Entry> &Source) {
  Target.insert(Target.end(), Source.begin(), Source.end());
}

static void addPart(site_configuration &Configuration, const std::string &Name,
                    const site_configuration &Part) {
  if (Name == SitePartName) {
    Configuration.Site = Part.Site;
    Configuration.ZoneRoundTrip = Part.ZoneRoundTrip;
  }
  appendEntries(Configuration.Zones, Part.Zones);
  appendEntries(Configuration.Customers, Part.Customers);
  appendEntries(Configuration.Services, Part.Services);
  appendEntries(Configuration.Routes, Part.Routes);
  appendEntries(Configuration.Rollouts, Part.Rollouts);
}

result<site_configuration> assembler::assemble(const part_map &Parts,
                                               const std::string &RootHash) {
  if (rootHash(hashesOf(Parts)) != RootHash)
    return makeError(config_errc::HashMismatch, "root hash");
  if (!Parts.count(SitePartName))
    return makeError(config_errc::MissingPart, SitePartName);
  std::map<std::string, parsed_part> NewParsedParts;
  site_configuration Configuration;
  for (const auto &[Name, Part] : Parts) {
    auto Entry = ParsedParts.find(Part.Hash);
    parsed_part Content = Entry == ParsedParts.end() ? nullptr : Entry->second;
    if (!Content) {
      auto Parsed = parsePart(Name, Part);
      if (!Parsed)
        return Parsed.failure();
      Content = std::make_shared<const site_configuration>(std::move(*Parsed));
    }
    addPart(Configuration, Name, *Content);
    NewParsedParts.emplace(Part.Hash, std::move(Content));
  }
  detail::sortConfiguration(Configuration);
  settings::fault_list Faults("accepted configuration");
  for (const config_fault &Fault : checkConfiguration(Configuration))
    Faults.add(Fault.Path, Fault.Reason);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  ParsedParts = std::move(NewParsedParts);
  return Configuration;
}

} // namespace gentianlug::config
