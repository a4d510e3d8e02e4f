#ifndef GENTIANLUG_DISTRIBUTION_NODE_STATE_H
#define GENTIANLUG_DISTRIBUTION_NODE_STATE_H

#include "gentianlug/config/assembler.h"
#include "gentianlug/distribution/change_log.h"
#include "gentianlug/distribution/config_history.h"
#include "gentianlug/distribution/sync_messages.h"
#include "gentianlug/membership/member_table.h"

#include <algorithm>
#include <map>
#include <memory>

namespace gentianlug::distribution {

/// Maximum number of live values on a node, including deleted ones; further
/// keys are ignored. Exceeds the number of services at design size.
inline constexpr std::size_t MaxLiveValues = 4096;

/// Number of consecutive polls with the same two differing digests after which
/// a snapshot is sent. Digests differ temporarily while records propagate.
inline constexpr unsigned DigestMismatchesBeforeResync = 3;

/// Direction from which an update arrived.
enum class update_source : std::uint8_t {
  /// The parent, a seed peer, or another root relay.
  Upstream,
  /// This node or a node below it.
  Subtree,
};

/// Tells which nodes are children of this node.
class child_lookup {
public:
  virtual ~child_lookup() = default;
  virtual bool isLiveChild(const node_id &Node) const = 0;
};

/// Effect of an update.
struct update_outcome {
  bool MembersChanged = false;
  bool LiveValuesChanged = false;
  bool ConfigChanged = false;
  /// Records to send towards the root: those changed by the subtree, refuted
  /// claims, and records that are missing from a snapshot from upstream.
  std::vector<membership::member_record> RecordsForRoot;
  /// Reason why the configuration of the update was refused.
  std::optional<refusal_report> Refusal;
};

/// The versioned state of a node: configuration in force, member table and
/// live values. Merging never replaces a value with an older one, so that
/// repeated, delayed or reordered updates are harmless.
class node_state {
public:
  /// \param Epoch of the change log; see `change_log`.
  node_state(node_id Self, std::uint64_t Epoch,
             membership::failure_detection_timeouts Times = {});

  /// Sets the lookup of children, which must outlive this object.
  ///
  /// It is used to refute claims from upstream that a node in the subtree has
  /// left or is suspect, so that live nodes do not vanish from routing when a
  /// partition heals.
  void setChildLookup(const child_lookup *Lookup) { Children = Lookup; }

  /// Merges an update.
  update_outcome apply(const state_update &Update, update_source Source,
                       steady_time Now);

  /// Merges member records; returns what changed.
  update_outcome
  applyMembers(const std::vector<membership::member_record> &Records,
               update_source Source, steady_time Now);

  /// Merges live values; returns whether any changed.
  bool applyLiveValues(const std::vector<live_value> &Values,
                       update_source Source);

  /// Puts a complete version in force that is already assembled and checked.
  ///
  /// \returns false, without effect, unless it is newer than the version in
  /// force.
  bool
  activate(config_image Image,
           std::shared_ptr<const config::versioned_configuration> Assembled);

  /// Publishes the record of this node.
  void setOwnRecord(membership::member_record Own, steady_time Now);

  /// Marks a node as suspect; see `member_table::suspect`.
  update_outcome suspect(const node_id &Node, steady_time Now);

  /// Removes expired suspects; returns whether any record changed.
  bool expireSuspects(steady_time Now);

  /// Marks nodes without a live parent as suspect; see
  /// `member_table::suspectOrphans`.
  template <class IsChild, class IsRoot>
  update_outcome suspectOrphans(steady_time Now, IsChild &&Child,
                                IsRoot &&Root) {
    update_outcome Outcome;
    for (const node_id &Node : Members.suspectOrphans(Now, Child, Root)) {
      logMemberChange(Node, update_source::Subtree);
      Outcome.MembersChanged = true;
      Outcome.RecordsForRoot.push_back(*Members.find(Node));
    }
    return Outcome;
  }

  /// Returns the update for the sender of \p Request.
  ///
  /// If the cursor of the request is unknown, the update is a snapshot of the
  /// buckets whose digests differ, or of all if the request has no digests.
  state_update updateFor(const sync_request &Request) const;

  /// Returns whether `updateFor` would return a non-empty update.
  bool hasUpdateFor(const sync_request &Request) const;

  const membership::member_table &members() const { return Members; }
  const std::map<std::string, live_value> &liveValues() const {
    return LiveValues;
  }
  const std::shared_ptr<const config::versioned_configuration> &
  configuration() const {
    return ActiveConfiguration;
  }
  config_version configVersion() const {
    return ActiveConfiguration ? ActiveConfiguration->Version : 0;
  }
  config_version refusedVersion() const { return RefusedVersion; }

  /// Records that \p Version cannot be put in force, so that it is not
  /// requested again.
  void refuseVersion(config_version Version) {
    RefusedVersion = std::max(RefusedVersion, Version);
  }
  log_cursor logHead() const { return Log.head(); }

private:
  void logMemberChange(const node_id &Node, update_source Source);
  bool isLiveDescendant(const node_id &Node) const;
  bool refuteClaim(const membership::member_record &Claim, steady_time Now);
  void applyConfig(const config_update &Update, update_outcome &Outcome);
  void addRecordsForRoot(const state_update &Update,
                         update_outcome &Outcome) const;
  void addSnapshot(const sync_request &Request, state_update &Update) const;

  node_id Self;
  const child_lookup *Children = nullptr;
  membership::member_table Members;
  std::map<std::string, live_value> LiveValues;
  config_history History;
  config::assembler Assembler;
  std::shared_ptr<const config::versioned_configuration> ActiveConfiguration;
  config_version RefusedVersion = 0;
  change_log Log;
};

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_NODE_STATE_H
