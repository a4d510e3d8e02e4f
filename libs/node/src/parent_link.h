#ifndef GENTIANLUG_NODE_PARENT_LINK_H
#define GENTIANLUG_NODE_PARENT_LINK_H

#include "control_context.h"
#include "gentianlug/distribution/tree_attachment.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"

#include <functional>

namespace gentianlug::node {

/// The way of a node to the root: finds a parent, polls it, and sends records
/// toward the root.
class parent_link {
public:
  struct outputs {
    std::function<void(const distribution::update_outcome &)> Changed;
    /// The parent or the path to the root changed.
    std::function<void()> PathChanged;
    /// A relay slot of the own zone is free, or its holder is silent.
    std::function<void(std::uint32_t Slot)> SlotFree;
    std::function<distribution::subtree_report()> Report;
    /// Searches for root relays; the callback runs once.
    std::function<void(
        std::function<void(std::vector<distribution::relay_entry>)>)>
        FindRelays;
    /// No relay of the own zone answered.
    std::function<void()> OwnZoneUnresponsive;
    /// The parent answered a poll and reported its newest version.
    std::function<void(config_version)> Answered;
    /// A parent has taken all records that waited to be sent up.
    std::function<void()> UpstreamDelivered;
  };

  parent_link(control_context &Context, outputs Outputs);

  /// Starts to look for a parent.
  void start();

  /// Gives up the parent, for a node that becomes a root relay.
  void stop();

  /// Gives up the parent for one below \p Relays.
  void reattach(const std::vector<distribution::relay_entry> &Relays);

  bool attached() const { return Attachment.attached(); }
  const std::vector<node_id> &parentPath() const {
    return Attachment.parentPath();
  }

  /// Sends records toward the root: changed ones from below, or the own one.
  /// They are kept and sent again until a parent took them, up to a bound.
  void sendUpstream(const std::vector<membership::member_record> &Records);

  std::uint64_t bytes() const { return Client.bytes(); }

private:
  void step();
  void find();
  void attach(const address &Target);
  void poll(const address &Target);
  void onPollAnswer(const result<net::http_response> &Answer);
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
  /// Answers to requests of an earlier start are ignored.
  std::uint64_t Generation = 0;
  distribution::log_cursor Cursor;
  distribution::subtree_report SentReport;
  /// Whether the last answer had no news.
  bool Quiet = false;
  /// Nodes whose records wait to be sent up.
  std::map<node_id, membership::member_record> Pending;
  bool UpstreamSendActive = false;
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_PARENT_LINK_H
