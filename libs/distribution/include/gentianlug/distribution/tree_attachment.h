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

/// Maximum number of redirects that a node follows from one root relay.
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

/// Operation that the owner of an attachment performs.
struct attach_action {
  attach_operation Operation = attach_operation::Wait;
  address Target;
};

/// Decides how a node finds, keeps and replaces its parent.
///
/// The owner performs the operation returned by `next` and reports its outcome
/// through exactly one of the `on...` functions.
class tree_attachment {
public:
  tree_attachment(node_id Self, zone_name Zone);

  /// Returns the next operation; `Wait` while one is in progress.
  attach_action next(steady_time Now);

  /// The search returned \p Relays; if there are none, it is repeated later.
  void onRelays(const std::vector<relay_entry> &Relays, steady_time Now,
                generator &Gen);

  void onAttachResponse(const attach_response &Response, steady_time Now,
                        generator &Gen);
  void onAttachFailed(steady_time Now, generator &Gen);

  /// The parent answered a poll with its path. The parent is replaced if the
  /// path contains this node, which is a loop, or stays empty, which means that
  /// the parent has no path to a root.
  void onPollResponse(const std::vector<node_id> &NewParentPath,
                      steady_time Now, generator &Gen);
  void onPollFailed(steady_time Now, generator &Gen);

  /// Drops the parent and searches for relays again after \p Delay.
  void detach(steady_time Now, std::chrono::milliseconds Delay);

  bool attached() const { return Attached; }

  /// Returns the nodes from the root to the parent; empty if there is none.
  const std::vector<node_id> &parentPath() const { return ParentPath; }
  const address &parentAddress() const { return Target; }

  /// Returns whether no root relay of the own zone has responded since the last
  /// search, so that a relay lease of the zone may be free.
  bool ownZoneUnresponsive() const { return OwnZoneTried && !OwnZoneAnswered; }

private:
  void tryNextCandidate(steady_time Now, generator &Gen);
  bool isLoopFree(const std::vector<node_id> &NewParentPath) const;

  node_id Self;
  zone_name Zone;
  bool OperationInFlight = false;
  bool Attached = false;
  bool HasTarget = false;
  bool OwnZoneTried = false;
  bool OwnZoneAnswered = false;
  unsigned Redirects = 0;
  address Target;
  std::vector<node_id> ParentPath;
  /// Relays that have not been tried yet, those of the own zone first.
  std::deque<relay_entry> Candidates;
  bool TargetInOwnZone = false;
  steady_time NextOperation{};
  /// Last time at which the parent had a path to a root.
  steady_time LastRootPathTime{};
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_TREE_ATTACHMENT_H
