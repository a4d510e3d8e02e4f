#ifndef GENTIANLUG_DISTRIBUTION_CHILD_TABLE_H
#define GENTIANLUG_DISTRIBUTION_CHILD_TABLE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/distribution/node_state.h"
#include "gentianlug/distribution/sync_messages.h"

#include <chrono>
#include <map>
#include <vector>

namespace gentianlug::distribution {

/// Children of one relay; further ones are redirected to a child.
inline constexpr std::size_t MaxChildren = 16;

/// Attaches that a relay answers with a place a second; others are told to
/// try later, so that a storm does not use up the relay's processor share.
inline constexpr unsigned MaxAttachesPerSecond = 20;

/// Time without a poll after which a child counts as missing.
inline constexpr std::chrono::milliseconds ChildTimeout{2000};

/// The same after an answer of up to 10,000 records and a configuration, on a
/// busy machine. Without it a storm of attaches repeats itself.
inline constexpr std::chrono::milliseconds LargeAnswerTimeout{8000};

/// Nodes on the way from the root; deeper trees are refused.
inline constexpr std::size_t MaxPathLength = 6;

/// The children of one node and their admission.
class child_table final : public child_lookup {
public:
  explicit child_table(node_id Self) : Self(std::move(Self)) {}

  /// Decides about a node that wants to attach.
  ///
  /// \param Path nodes from the root to this one; empty without a way there.
  attach_response attach(const peer_identity &From,
                         const std::vector<node_id> &Path, steady_time Now);

  /// Notes a poll. A node that is not a child is admitted while there is room.
  ///
  /// \returns false when the node must attach first.
  bool onPoll(const sync_request &Request, steady_time Now);

  /// Notes that a poll was answered: from now on the next one is due.
  ///
  /// \param Large whether the answer takes the child long to read.
  void onPollAnswered(const node_id &Node, steady_time Now, bool Large);

  /// Removes the children that missed their poll and returns them.
  std::vector<node_id> removeMissing(steady_time Now);

  bool isLiveChild(const node_id &Node) const override {
    return Children.count(Node) > 0;
  }
  std::size_t size() const { return Children.size(); }

  /// Returns the sum of the reports of all children.
  subtree_report report() const;

  /// Returns the children in a stable order.
  std::vector<node_id> childIds() const;

private:
  struct child {
    address ControlAddress;
    incarnation_number Incarnation = 0;
    steady_time LastSeen{};
    /// Whether a poll of the child waits here.
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
