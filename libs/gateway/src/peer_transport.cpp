#include "peer_transport.h"

#include "response_limits.h"

namespace gentianlug::gateway {

/// Time after which a node that accepts no connection counts as unreachable.
/// The latency between zones is only a few milliseconds.
static constexpr std::chrono::milliseconds PeerConnectTimeout{250};
/// Shorter than the idle timeout after which a serving node closes connections.
static constexpr std::chrono::milliseconds PeerMaxIdle{20000};
/// Time after which unacknowledged bytes count as lost. A retransmission after
/// packet loss takes 200 ms or more.
static constexpr std::chrono::milliseconds PeerUnacknowledgedTimeout{700};

peer_transport::peer_transport(const task_context &Context)
    : Pool(Context.Loop, ResponseLimits,
           {PeerUnacknowledgedTimeout, std::chrono::seconds(1)},
           &Context.Memory) {}

call_transport::ticket peer_transport::send(const mesh::server_record &Target,
                                            const peer_call &Call,
                                            const http1::request &Request,
                                            callback Done) {
  http1::request Copy = Request;
  // The request carries the ID already, and bytes between zones are expensive.
  peer_call Sent = Call;
  Sent.CallId.clear();
  writePeerCall(Copy, Sent);
  return Pool.send(
      Target.NodeAddress, std::move(Copy),
      {PeerConnectTimeout, PeerMaxIdle, ""},
      [Done = std::move(Done)](http1::send_result Result) {
        switch (Result.Outcome) {
        case http1::send_outcome::Responded:
          return Done(decodeServingResult(std::move(Result.Response)));
        case http1::send_outcome::NotSent:
          return Done({serving_outcome::Unreachable,
                       {},
                       "node-unreachable",
                       false,
                       {}});
        case http1::send_outcome::ConnectionLost:
          return Done({serving_outcome::Unknown, {}, "node-lost", false, {}});
        case http1::send_outcome::NoMemory:
          return Done({serving_outcome::Unknown, {}, "no-memory", false, {}});
        case http1::send_outcome::Malformed:
          return Done({serving_outcome::Unknown,
                       {},
                       "malformed-peer-answer",
                       false,
                       {}});
        }
      });
}

void peer_transport::cancel(ticket Ticket) { Pool.cancel(Ticket); }

} // namespace gentianlug::gateway
