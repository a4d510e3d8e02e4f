#ifndef GENTIANLUG_DISTRIBUTION_TREE_ATTACHMENT_H
#define GENTIANLUG_DISTRIBUTION_TREE_ATTACHMENT_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/distribution/sync_messages.h"

#include <chrono>
#include <deque>
#include <set>
#include <vector>

namespace gentianlug::distribution {

/// Redirects that a node follows before it starts again from a root relay.
inline constexpr unsigned MaxRedirects = 8;

enum class attach_operation : std::uint8_t {
  Wait,
  /// Ask peers and the platform for root relays.
  FindRelays,
  /// Send `POST /v1/attach` to the target.
  Attach,
  /// Send `POST /v1/sync` to the target, the parent.
  Poll,
};

/// What the owner of an attachment does next.
struct attach_action {
  attach_operation Operation = attach_operation::Wait;
  address Target;
};

/// Decides how one node finds, keeps and replaces its parent.
///
/// The owner performs the action of `next` and reports its outcome by exactly
/// one of the `on` functions before the next action.
class tree_attachment {
public:
  tree_attachment(node_id Self, zone_name Zone);

  /// Returns the next operation; `Wait` while one is under way.
  attach_action next(steady_time Now);

  /// Root relays were found; none at all leads to another search later.
  void onRelays(const std::vector<relay_entry> &Relays, steady_time Now,
                generator &Gen);

  void onAttachAnswer(const attach_response &Response, steady_time Now,
                      generator &Gen);
  void onAttachFailed(steady_time Now, generator &Gen);

  /// The parent answered a poll with its path. A path through this node is a
  /// loop, a path that stays empty means that the parent has no way to a root;
  /// both lead to another parent.
  void onPollAnswer(const std::vector<node_id> &ParentPath, steady_time Now,
                    generator &Gen);
  void onPollFailed(steady_time Now, generator &Gen);

  /// Gives up the parent and starts again with a search.
  void detach(steady_time Now, std::chrono::milliseconds Delay);

  bool attached() const { return Attached; }

  /// Returns the nodes from the root to the parent; empty without a parent.
  const std::vector<node_id> &parentPath() const { return Path; }
  const address &parentAddress() const { return Target; }

  /// Returns whether no root relay of the own zone answered since the last
  /// search, so that its lease may be free.
  bool ownZoneUnresponsive() const { return OwnZoneTried && !OwnZoneAnswered; }

private:
  void tryNextCandidate(steady_time Now, generator &Gen);
  bool isLoopFree(const std::vector<node_id> &ParentPath) const;

  node_id Self;
  zone_name Zone;
  bool OperationInFlight = false;
  bool Attached = false;
  bool HasTarget = false;
  bool OwnZoneTried = false;
  bool OwnZoneAnswered = false;
  unsigned Redirects = 0;
  address Target;
  std::vector<node_id> Path;
  /// Relays that are still to be tried, own zone first.
  std::deque<relay_entry> Candidates;
  bool TargetInOwnZone = false;
  steady_time NextOperation{};
  /// Since when the parent has had no way to a root.
  steady_time LastRootPathTime{};
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_TREE_ATTACHMENT_H
