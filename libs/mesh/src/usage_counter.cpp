#include "gentianlug/mesh/usage_counter.h"

#include <algorithm>

namespace gentianlug::mesh {

usage_counter::usage_counter(node_id Node, std::uint64_t Process,
                             const usage_terms &Terms, wall_time Now)
    : Node(std::move(Node)), Process(Process), Terms(Terms),
      FirstWindow(Terms.windowAt(Now)) {
  openWindows(FirstWindow);
}

void usage_counter::setHasPredecessor() {
  HasPredecessor = true;
  auto Found = Windows.find(FirstWindow);
  if (Found == Windows.end() || Found->second.MayLackCalls)
    return;
  Found->second.MayLackCalls = true;
  Found->second.Revision = ++Revision;
}

void usage_counter::openWindows(usage_window Current) {
  usage_window Next = Windows.empty() ? FirstWindow : Windows.rbegin()->first;
  for (Next = std::max(Next, Current - KeptUsageWindows); Next <= Current;
       ++Next) {
    auto [Found, Added] = Windows.try_emplace(Next);
    if (!Added)
      continue;
    node_usage &Usage = Found->second;
    Usage.Node = Node;
    Usage.Process = Process;
    Usage.Window = Next;
    Usage.Revision = ++Revision;
    Usage.MayLackCalls = HasPredecessor && Next == FirstWindow;
  }
  while (Windows.size() > std::size_t(KeptUsageWindows))
    Windows.erase(Windows.begin());
}

node_usage *usage_counter::findOpen(usage_window Window) {
  auto Found = Windows.find(Window);
  if (Found == Windows.end() || Found->second.IsFinal)
    return nullptr;
  return &Found->second;
}

void usage_counter::onCallStarted(const account_name &Account, wall_time Now) {
  usage_window Window = Terms.windowAt(Now);
  openWindows(Window);
  if (node_usage *Usage = findOpen(Window)) {
    ++Usage->Calls[Account];
    Usage->Revision = ++Revision;
  }
}

void usage_counter::onCallNotRun(const account_name &Account,
                                 wall_time StartedAt) {
  node_usage *Usage = findOpen(Terms.windowAt(StartedAt));
  if (!Usage)
    return;
  auto Found = Usage->Calls.find(Account);
  if (Found == Usage->Calls.end())
    return;
  if (--Found->second == 0)
    Usage->Calls.erase(Found);
  Usage->Revision = ++Revision;
}

std::vector<node_usage> usage_counter::takeChanges(wall_time Now) {
  openWindows(Terms.windowAt(Now));
  std::vector<node_usage> Changes;
  for (auto &[Window, Usage] : Windows) {
    if (!Usage.IsFinal && Now >= Terms.endOf(Window) + CloseDelay) {
      Usage.IsFinal = true;
      Usage.Revision = ++Revision;
    }
    if (Usage.Revision > TakenRevision)
      Changes.push_back(Usage);
  }
  TakenRevision = Revision;
  return Changes;
}

} // namespace gentianlug::mesh
