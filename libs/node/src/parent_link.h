#ifndef GENTIANLUG_NODE_PARENT_LINK_H
#define GENTIANLUG_NODE_PARENT_LINK_H

#include "control_context.h"
#include "gentianlug/distribution/tree_attachment.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <functional>

namespace gentianlug::node {

/// Connection of a node to its parent in the relay tree. It finds a parent,
/// polls it for updates, and sends member records toward the root.
class parent_link {
public:
  struct outputs {
    /// Called after each poll response with the outcome of its update.
    std::function<void(const distribution::update_outcome &)> Changed;
    /// The parent or the path to the root changed.
    std::function<void()> PathChanged;
    /// A relay slot of the own zone is free, or its holder does not respond.
    std::function<void(std::uint32_t Slot)> SlotFree;
    /// Returns the report for the parent.
    std::function<distribution::subtree_report()> Report;
    /// Finds root relays. The callback is called once.
    std::function<void(
        std::function<void(std::vector<distribution::relay_entry>)>)>
        FindRelays;
    /// No relay of the own zone responded.
    std::function<void()> OwnZoneUnresponsive;
    /// The parent answered a poll and reported its newest configuration
    /// version.
    std::function<void(config_version)> ParentResponded;
    /// The parent has accepted all pending records.
    std::function<void()> UpstreamDelivered;
  };

  parent_link(control_context &Context, outputs Outputs);

  /// Starts to search for a parent.
  void start();

  /// Detaches from the parent. Called when this node becomes a root relay.
  void stop();

  /// Detaches from the parent and attaches to a parent below \p Relays.
  void reattach(const std::vector<distribution::relay_entry> &Relays);

  bool attached() const { return Attachment.attached(); }
  const std::vector<node_id> &parentPath() const {
    return Attachment.parentPath();
  }

  /// Sends records toward the root: changed records of the subtree, or the own
  /// record. Up to `MaxPendingRecords` records are kept and sent again until a
  /// parent accepts them.
  void sendUpstream(const std::vector<membership::member_record> &Records);

  std::uint64_t bytes() const { return Client.transferredBytes(); }

private:
  void step();
  void findRelays();
  void attach(const address &Target);
  void poll(const address &Target);
  void onPollResponse(const result<net::http_response> &Answer);
  void flushUpstream();
  void post(const address &Target, const std::string &Path, std::string Body,
            std::chrono::milliseconds Timeout,
            std::function<void(const result<net::http_response> &)> Done);

  control_context &Context;
  outputs Outputs;
  net::http_client Client;
  net::timer StepTimer;
  net::timer UpstreamTimer;
  distribution::tree_attachment Attachment;
  bool Running = false;
  /// Incremented when the node detaches; responses to requests of an earlier
  /// generation are ignored.
  std::uint64_t Generation = 0;
  distribution::log_cursor Cursor;
  distribution::subtree_report SentReport;
  /// Whether the last response contained no update.
  bool LastUpdateEmpty = false;
  /// Records that no parent has accepted yet.
  std::map<node_id, membership::member_record> PendingRecords;
  bool UpstreamSendActive = false;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_PARENT_LINK_H
