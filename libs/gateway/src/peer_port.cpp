#include "peer_port.h"

namespace gentianlug::gateway {

/// A node that does not take a connection within this time is passed over; the
/// way between two zones takes a few milliseconds.
static constexpr std::chrono::milliseconds PeerConnectTimeout{250};
/// Below the idle time after which a serving node closes a connection.
static constexpr std::chrono::milliseconds PeerIdle{20000};
/// Sent bytes that another node does not confirm within this time are lost; a
/// retransmission after a lost packet takes 200 ms or more.
static constexpr std::chrono::milliseconds PeerUnconfirmed{700};

peer_port::peer_port(net::event_loop &Loop)
    : Pool(Loop, {256UL << 10, 128UL << 20},
           {PeerUnconfirmed, std::chrono::seconds(1)}) {}

serving_port::ticket peer_port::send(const mesh::server_record &Target,
                                     const peer_call &Call,
                                     const http1::request &Request,
                                     callback Done) {
  http1::request Copy = Request;
  writePeerCall(Copy, Call);
  return Pool.send(
      Target.NodeAddress, std::move(Copy), {PeerConnectTimeout, PeerIdle, ""},
      [Done = std::move(Done)](http1::send_result Result) {
        switch (Result.End) {
        case http1::send_end::Answered:
          return Done(readServingResult(std::move(Result.Answer)));
        case http1::send_end::NotSent:
          return Done({serving_end::Unreachable, {}, "node-unreachable", {}});
        case http1::send_end::Lost:
          return Done({serving_end::Unknown, {}, "node-lost", {}});
        case http1::send_end::Malformed:
          return Done({serving_end::Unknown, {}, "malformed-peer-answer", {}});
        }
      });
}

void peer_port::cancel(ticket Ticket) { Pool.cancel(Ticket); }

} // namespace gentianlug::gateway
