#include "gentianlug/config/compile.h"

#include "detail/json_model.h"
#include "gentianlug/config/check.h"
#include "gentianlug/config/config_errc.h"
#include "gentianlug/settings/json_file.h"

namespace gentianlug::config {

using nlohmann::json;

/// Returns the key that identifies entries of a list: rollouts have one entry
/// a service, all other lists have names.
static const char *entryKey(const std::string &Section) {
  return Section == "rollouts" ? "service" : "name";
}

static json *findEntry(json &List, const char *Key, const json &Name) {
  for (json &Entry : List)
    if (Entry.is_object() && Entry.contains(Key) && Entry[Key] == Name)
      return &Entry;
  return nullptr;
}

static void mergeValue(json &Base, const json &Overlay,
                       const std::string &Section);

static void mergeList(json &Base, const json &Overlay,
                      const std::string &Section) {
  const char *Key = entryKey(Section);
  for (const json &Entry : Overlay) {
    bool Named = Entry.is_object() && Entry.contains(Key);
    json *Match = Named ? findEntry(Base, Key, Entry[Key]) : nullptr;
    if (!Match)
      Base.push_back(Entry);
    else if (Entry.value("remove", json(false)) == json(true))
      Base.erase(Base.begin() + (Match - &*Base.begin()));
    else
      mergeValue(*Match, Entry, Section);
  }
}

static void mergeValue(json &Base, const json &Overlay,
                       const std::string &Section) {
  if (Base.is_object() && Overlay.is_object()) {
    for (const auto &Item : Overlay.items())
      mergeValue(Base[Item.key()], Item.value(), Item.key());
    return;
  }
  if (Base.is_array() && Overlay.is_array()) {
    mergeList(Base, Overlay, Section);
    return;
  }
  Base = Overlay;
}

static void checkFinishTimes(const site_configuration &Configuration,
                             wall_time Now, settings::fault_list &Faults) {
  for (const rollout &Rollout : Configuration.Rollouts)
    if (Rollout.FinishBy <= Now)
      Faults.add("rollouts." + Rollout.Service.str() + ".finish_by",
                 "has passed");
}

result<site_configuration> compileSite(const site_name &Site,
                                       const source_file &Base,
                                       const source_file &Overlay,
                                       wall_time Now) {
  auto Merged = settings::parseJson(Base.Text, Base.Path);
  if (!Merged)
    return Merged.failure();
  auto Changes = settings::parseJson(Overlay.Text, Overlay.Path);
  if (!Changes)
    return Changes.failure();
  mergeValue(*Merged, *Changes, "");
  if (Merged->is_object())
    (*Merged)["site"] = Site.str();

  settings::fault_list Faults(Base.Path + " + " + Overlay.Path);
  settings::object_reader Reader(*Merged, "", Faults);
  site_configuration Configuration = detail::readConfiguration(Reader);
  for (const std::string &Fault : checkWhole(Configuration))
    Faults.add("whole configuration", Fault);
  checkFinishTimes(Configuration, Now, Faults);
  if (!Faults.empty())
    return makeError(config_errc::InvalidConfiguration,
                     Faults.toError().Detail);
  return Configuration;
}

} // namespace gentianlug::config
