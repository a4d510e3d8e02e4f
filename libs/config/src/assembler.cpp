#include "gentianlug/config/assembler.h"

#include "detail/json_model.h"
#include "gentianlug/config/check.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/settings/json_file.h"

namespace gentianlug::config {

/// Part that holds everything that does not belong to one service.
static constexpr const char *SitePart = "site";

/// Reads one part into a configuration that holds only its content.
static result<site_configuration> readPart(const std::string &Name,
                                           const part &Part) {
  if (contentHash(Part.Text) != Part.Hash)
    return makeError(config_errc::HashMismatch, Name);
  auto Json = settings::parseJson(Part.Text, Name);
  if (!Json || !Json->is_object())
    return makeError(config_errc::MalformedPart, Name);
  // Only the site part names the site.
  if (Name != SitePart)
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
static void append(std::vector<Entry> &Whole, const std::vector<Entry> &Part) {
  Whole.insert(Whole.end(), Part.begin(), Part.end());
}

static void addPart(site_configuration &Whole, const std::string &Name,
                    const site_configuration &Part) {
  if (Name == SitePart) {
    Whole.Site = Part.Site;
    Whole.ZoneRoundTrip = Part.ZoneRoundTrip;
  }
  append(Whole.Zones, Part.Zones);
  append(Whole.Customers, Part.Customers);
  append(Whole.Services, Part.Services);
  append(Whole.Routes, Part.Routes);
  append(Whole.Rollouts, Part.Rollouts);
}

result<site_configuration> assembler::assemble(const part_map &Parts,
                                               const std::string &RootHash) {
  if (rootHash(hashesOf(Parts)) != RootHash)
    return makeError(config_errc::HashMismatch, "root hash");
  if (!Parts.count(SitePart))
    return makeError(config_errc::MissingPart, SitePart);
  std::map<std::string, read_part> Read;
  site_configuration Whole;
  for (const auto &[Name, Part] : Parts) {
    auto Entry = Known.find(Part.Hash);
    read_part Content = Entry == Known.end() ? nullptr : Entry->second;
    if (!Content) {
      auto Fresh = readPart(Name, Part);
      if (!Fresh)
        return Fresh.failure();
      Content = std::make_shared<const site_configuration>(std::move(*Fresh));
    }
    addPart(Whole, Name, *Content);
    Read.emplace(Part.Hash, std::move(Content));
  }
  detail::sortConfiguration(Whole);
  settings::fault_list Faults("accepted configuration");
  for (const config_fault &Fault : checkWhole(Whole))
    Faults.add(Fault.Path, Fault.Reason);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  Known = std::move(Read);
  return Whole;
}

} // namespace gentianlug::config
