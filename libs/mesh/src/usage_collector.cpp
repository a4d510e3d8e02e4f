#include "gentianlug/mesh/usage_collector.h"

#include <algorithm>

namespace gentianlug::mesh {

bool usage_collector::add(const node_usage &Usage, usage_window Current) {
  while (!Windows.empty() &&
         Windows.begin()->first <= Current - KeptUsageWindows) {
    EntryCount -= Windows.begin()->second.size();
    Windows.erase(Windows.begin());
  }
  // The clocks of two nodes differ by less than a window.
  if (Usage.Window <= Current - KeptUsageWindows || Usage.Window > Current + 1)
    return true;
  auto &Processes = Windows[Usage.Window];
  process_key Key{Usage.Node, Usage.Process};
  auto Found = Processes.find(Key);
  if (Found == Processes.end()) {
    if (EntryCount >= MaxEntries)
      return false;
    ++EntryCount;
    Processes.emplace(std::move(Key), entry{Usage, 0});
  } else if (Found->second.Usage.Revision < Usage.Revision) {
    Found->second.Usage = Usage;
  }
  return true;
}

std::vector<node_usage>
usage_collector::unacknowledged(usage_window Last) const {
  std::vector<node_usage> Entries;
  for (const auto &[Window, Processes] : Windows) {
    if (Window > Last)
      break;
    for (const auto &[Key, Entry] : Processes)
      if (Entry.AcknowledgedRevision < Entry.Usage.Revision)
        Entries.push_back(Entry.Usage);
  }
  return Entries;
}

void usage_collector::acknowledge(const std::vector<node_usage> &Entries) {
  for (const node_usage &Usage : Entries) {
    auto Window = Windows.find(Usage.Window);
    if (Window == Windows.end())
      continue;
    auto Found = Window->second.find({Usage.Node, Usage.Process});
    if (Found != Window->second.end())
      Found->second.AcknowledgedRevision =
          std::max(Found->second.AcknowledgedRevision, Usage.Revision);
  }
}

void usage_collector::resetAcknowledged() {
  for (auto &[Window, Processes] : Windows)
    for (auto &[Key, Entry] : Processes)
      Entry.AcknowledgedRevision = 0;
}

std::optional<usage_window> usage_collector::oldestWindow() const {
  if (Windows.empty())
    return std::nullopt;
  return Windows.begin()->first;
}

usage_total usage_collector::total(usage_window Window,
                                   const std::set<node_id> &Expected) const {
  usage_total Total;
  std::set<node_id> Final;
  std::set<node_id> Certain;
  std::set<node_id> Uncertain;
  if (auto Found = Windows.find(Window); Found != Windows.end()) {
    for (const auto &[Key, Entry] : Found->second) {
      for (const auto &[Account, Count] : Entry.Usage.Calls)
        Total.Calls[Account] += Count;
      if (Entry.Usage.IsFinal)
        Final.insert(Entry.Usage.Node);
      (Entry.Usage.MayLackCalls ? Uncertain : Certain).insert(Entry.Usage.Node);
    }
  }
  for (const node_id &Node : Expected) {
    Total.MissingNodes += Final.contains(Node) ? 0 : 1;
    bool IsCertain = Certain.contains(Node) && !Uncertain.contains(Node);
    Total.UncertainNodes += IsCertain ? 0 : 1;
  }
  return Total;
}

} // namespace gentianlug::mesh
