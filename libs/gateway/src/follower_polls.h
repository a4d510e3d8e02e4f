#ifndef GENTIANLUG_GATEWAY_FOLLOWER_POLLS_H
#define GENTIANLUG_GATEWAY_FOLLOWER_POLLS_H

#include "gentianlug/core/clock.h"
#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/http1/server.h"
#include "gentianlug/mesh/relay_selection.h"

namespace gentianlug::gateway {

/// HTTP statuses of the responses to a poll of a follower.
namespace poll_status {
inline constexpr int Ok = 200;
/// Nothing changed during the poll.
inline constexpr int NoContent = 204;
inline constexpr int BadRequest = 400;
/// The node is not the relay, or no longer; the server list shows which one is.
inline constexpr int NotRelay = 410;
/// The node cannot tell whether it knows all changes.
inline constexpr int Unavailable = 503;
} // namespace poll_status

/// Response header: time in milliseconds, relative to the arrival of the poll,
/// at which the configuration of the relay was known to be the newest one.
/// Missing if it is not known.
inline constexpr const char *ConfirmedHeader = "gl-confirmed-ms";

/// Long polls that a relay holds until it has a change to send.
///
/// Holds at most `MaxPendingPolls`; further ones are rejected.
class follower_polls {
public:
  /// \param State the state from which the responses are computed.
  explicit follower_polls(const feed_state &State) : State(State) {}

  /// Responds at once if there are changes since \p Since; otherwise holds the
  /// poll, which arrived at \p Now, until \p Deadline.
  ///
  /// \param Complete whether the state may be sent to followers.
  void add(std::shared_ptr<http1::exchange> Exchange, const feed_cursor &Since,
           bool Complete, steady_time Now, steady_time Deadline);
  /// The configuration of the state was the newest one at \p AsOf. Responses
  /// state that time relative to the arrival of the poll.
  void setConfirmedAt(std::optional<steady_time> AsOf) { ConfirmedAt = AsOf; }
  /// Responds to the polls for which there are changes.
  void respondToChanges();
  /// Responds with \p Status to the polls whose deadline has passed.
  void expire(int Status, steady_time Now);
  /// Responds with \p Status to all polls.
  void respondToAll(int Status);
  bool isConfirmed() const { return ConfirmedAt.has_value(); }
  bool empty() const { return Polls.empty(); }

private:
  static constexpr std::size_t MaxPendingPolls = 4 * mesh::NodesPerRelay;

  struct pending_poll {
    std::shared_ptr<http1::exchange> Exchange;
    feed_cursor Cursor;
    steady_time ReceivedAt;
    steady_time Deadline;
  };

  bool respondIfChanged(const pending_poll &Poll);
  void respond(const pending_poll &Poll, http1::response Response) const;

  const feed_state &State;
  std::optional<steady_time> ConfirmedAt;
  std::vector<pending_poll> Polls;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_FOLLOWER_POLLS_H
