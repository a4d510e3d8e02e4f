#ifndef GENTIANLUG_DISTRIBUTION_CHILD_TABLE_H
#define GENTIANLUG_DISTRIBUTION_CHILD_TABLE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/distribution/node_state.h"
#include "gentianlug/distribution/sync_messages.h"

#include <chrono>
#include <map>
#include <vector>

namespace gentianlug::distribution {

/// Maximum number of children of a relay; others are redirected to a child.
inline constexpr std::size_t MaxChildren = 16;

/// Maximum number of attach requests per second that a relay admits or
/// redirects. Others are told to retry later, so that a burst of them does not
/// use up the relay's CPU share.
inline constexpr unsigned MaxAttachesPerSecond = 20;

/// Time without a poll after which a child is considered lost.
inline constexpr std::chrono::milliseconds ChildTimeout{2000};

/// Child timeout after a large response. Processing up to 10,000 records and a
/// configuration may exceed `ChildTimeout` on a busy machine; the child would
/// be removed and attach again, which repeats a burst of attach requests.
inline constexpr std::chrono::milliseconds LargeResponseTimeout{8000};

/// Maximum number of nodes on a path from a root relay; attach requests that
/// exceed it are refused.
inline constexpr std::size_t MaxPathLength = 6;

/// Tracks the children of a node and decides which nodes may attach to it.
class child_table final : public child_lookup {
public:
  explicit child_table(node_id Self) : Self(std::move(Self)) {}

  /// Decides on an attach request.
  ///
  /// \param Path nodes from the root to this one; empty if there is no path.
  attach_response attach(const peer_identity &From,
                         const std::vector<node_id> &Path, steady_time Now);

  /// Records a poll. A node that is not a child is admitted if there is room.
  ///
  /// \returns false if the node must attach first.
  bool onPoll(const sync_request &Request, steady_time Now);

  /// Records that a poll was answered; the timeout of the next one starts.
  ///
  /// \param Large whether the response takes the child long to process.
  void onPollAnswered(const node_id &Node, steady_time Now, bool Large);

  /// Removes the children whose next poll is overdue and returns them.
  std::vector<node_id> removeTimedOut(steady_time Now);

  bool isLiveChild(const node_id &Node) const override {
    return Children.count(Node) > 0;
  }
  std::size_t size() const { return Children.size(); }

  /// Returns the sum of the reports of all children.
  subtree_report report() const;

  /// Returns the node ids of the children, sorted.
  std::vector<node_id> childIds() const;

private:
  struct child {
    address ControlAddress;
    incarnation_number Incarnation = 0;
    steady_time LastSeen{};
    /// Whether a poll of the child is waiting for its response.
    bool PollPending = false;
    std::chrono::milliseconds Timeout = ChildTimeout;
    subtree_report Report;
  };

  bool consumeAttachQuota(steady_time Now);

  node_id Self;
  std::map<node_id, child> Children;
  std::size_t NextRedirect = 0;
  steady_time WindowStart{};
  unsigned AttachesInWindow = 0;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_CHILD_TABLE_H
