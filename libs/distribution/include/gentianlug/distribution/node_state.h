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

/// Live values that a node keeps, deleted ones included; further keys are
/// ignored. Above the number of services at design size.
inline constexpr std::size_t MaxLiveValues = 4096;

/// Polls with one and the same difference of digests before a snapshot. A
/// difference is normal while records are on their way.
inline constexpr unsigned DigestMismatchesBeforeResync = 3;

/// Where an update came from.
enum class update_source : std::uint8_t {
  /// The parent, a seed peer, or another root relay.
  Upstream,
  /// This node or a node below it.
  Subtree,
};

/// Tells which nodes poll this node.
class child_lookup {
public:
  virtual ~child_lookup() = default;
  virtual bool isLiveChild(const node_id &Node) const = 0;
};

/// What an update changed.
struct update_outcome {
  bool MembersChanged = false;
  bool LiveChanged = false;
  bool ConfigChanged = false;
  /// Records for the root: changed ones from below, refutations, or records
  /// that are missing from a snapshot from above.
  std::vector<membership::member_record> RecordsForRoot;
  /// Reason why the configuration of the update was refused.
  std::optional<refusal_report> Refusal;
};

/// The versioned state of a node: configuration in force, member table and
/// live values. All parts merge upward only, so that repeated, old or
/// reordered updates change nothing.
class node_state {
public:
  /// \param Epoch of the change log; see `change_log`.
  node_state(node_id Self, std::uint64_t Epoch,
             membership::failure_detection_timeouts Times = {});

  /// Sets the source of knowledge about children; it must outlive the state.
  ///
  /// A claim from above that a node below this one is gone is refuted here, so
  /// that nodes do not vanish from routing when a partition heals.
  void setChildLookup(const child_lookup *Watch) { Children = Watch; }

  /// Merges an update.
  update_outcome apply(const state_update &Update, update_source Source,
                       steady_time Now);

  /// Merges records from below; returns what changed.
  update_outcome
  applyMembers(const std::vector<membership::member_record> &Records,
               update_source Source, steady_time Now);

  /// Merges values that the platform reported.
  bool applyLiveValues(const std::vector<live_value> &Values,
                       update_source Source);

  /// Takes a complete version that was assembled and checked already.
  ///
  /// \returns whether it was newer than the version in force.
  bool
  activate(config_image Image,
           std::shared_ptr<const config::versioned_configuration> Assembled);

  /// Publishes the record of this node.
  void setOwnRecord(membership::member_record Own, steady_time Now);

  /// Marks a node as suspect; see `member_table::suspect`.
  update_outcome suspect(const node_id &Node, steady_time Now);

  /// Removes expired suspects; returns whether a record changed.
  bool expireSuspects(steady_time Now);

  /// Suspects nodes that nobody watches; see `member_table::suspectOrphans`.
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

  /// Returns what the sender of \p Request lacks.
  ///
  /// A request whose cursor is unknown gets the records of the buckets that
  /// differ, or everything when it names no buckets.
  state_update updateFor(const sync_request &Request) const;

  /// Returns whether `updateFor` would return something.
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

  /// Notes that \p Version cannot be put in force, so that it is not tried
  /// again.
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
