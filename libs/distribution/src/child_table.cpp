#include "gentianlug/distribution/child_table.h"

#include <algorithm>
#include <iterator>

namespace gentianlug::distribution {

using std::chrono::milliseconds;
using verdict = attach_response::verdict;

/// Retry delay for a node that was refused because of the path to the root.
static constexpr milliseconds NoRootRetryDelay{500};

/// Time window of `MaxAttachesPerSecond`.
static constexpr milliseconds AttachWindow{1000};

bool child_table::consumeAttachQuota(steady_time Now) {
  if (Now - WindowStart >= AttachWindow) {
    WindowStart = Now;
    AttachesInWindow = 0;
  }
  if (AttachesInWindow >= MaxAttachesPerSecond)
    return false;
  ++AttachesInWindow;
  return true;
}

attach_response child_table::attach(const peer_identity &From,
                                    const std::vector<node_id> &Path,
                                    steady_time Now) {
  attach_response Response;
  Response.Path = Path;
  bool Loop = std::find(Path.begin(), Path.end(), From.Node) != Path.end();
  if (Path.empty() || Loop || Path.size() >= MaxPathLength) {
    Response.RetryAfter = NoRootRetryDelay;
    return Response;
  }
  if (!consumeAttachQuota(Now)) {
    Response.RetryAfter = AttachWindow;
    return Response;
  }
  if (!isLiveChild(From.Node) && Children.size() >= MaxChildren) {
    auto Target = std::next(Children.begin(),
                            std::ptrdiff_t(NextRedirect++ % Children.size()));
    Response.Verdict = verdict::Redirected;
    Response.RedirectTo = Target->second.ControlAddress;
    return Response;
  }
  child &Child = Children[From.Node];
  Child = {From.ControlAddress, From.Incarnation, Now, false, ChildTimeout, {}};
  Response.Verdict = verdict::Admitted;
  return Response;
}

bool child_table::onPoll(const sync_request &Request, steady_time Now) {
  auto Entry = Children.find(Request.From.Node);
  if (Entry == Children.end()) {
    // Only the first poll of a peer carries its control address; without one,
    // the sender is a child that was removed and must attach again.
    if (Children.size() >= MaxChildren ||
        Request.From.ControlAddress.Host.empty())
      return false;
    Entry = Children.emplace(Request.From.Node, child{}).first;
  }
  child &Child = Entry->second;
  if (!Request.From.ControlAddress.Host.empty()) {
    Child.ControlAddress = Request.From.ControlAddress;
    Child.Incarnation = Request.From.Incarnation;
  }
  Child.LastSeen = Now;
  Child.PollPending = true;
  if (Request.Report)
    Child.Report = *Request.Report;
  return true;
}

void child_table::onPollAnswered(const node_id &Node, steady_time Now,
                                 bool Large) {
  auto Entry = Children.find(Node);
  if (Entry == Children.end())
    return;
  Entry->second.LastSeen = Now;
  Entry->second.PollPending = false;
  Entry->second.Timeout = Large ? LargeResponseTimeout : ChildTimeout;
}

std::vector<node_id> child_table::removeTimedOut(steady_time Now) {
  std::vector<node_id> Missing;
  for (const auto &[Node, Child] : Children)
    if (!Child.PollPending && Now - Child.LastSeen >= Child.Timeout)
      Missing.push_back(Node);
  for (const node_id &Node : Missing)
    Children.erase(Node);
  return Missing;
}

subtree_report child_table::report() const {
  subtree_report Sum;
  for (const auto &[Node, Child] : Children)
    Sum.merge(Child.Report);
  return Sum;
}

std::vector<node_id> child_table::childIds() const {
  std::vector<node_id> Nodes;
  for (const auto &[Node, Child] : Children)
    Nodes.push_back(Node);
  return Nodes;
}

} // namespace gentianlug::distribution
