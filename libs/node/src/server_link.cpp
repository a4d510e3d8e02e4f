#include "server_link.h"

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/node/call_headers.h"

#include <algorithm>

namespace gentianlug::node {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// High enough to keep every connection: the calls in flight, and with them the
/// connections, are bounded by the slots of the server.
static constexpr std::size_t MaxIdleConnections = 1024;

server_link::server_link(net::event_loop &Loop, const clock &Clock)
    : Loop(Loop), Clock(Clock),
      Client(Loop, {.MaxIdlePerPeer = MaxIdleConnections, .PingTarget = {}}),
      PacingTimer(Loop, [this] { sendQueued(); }) {}

void server_link::configure(const address &NewServer, microseconds ConnectCost,
                            std::uint32_t NewConnections) {
  if (Server != NewServer)
    Client.closeIdle(Server);
  Server = NewServer;
  MaxConnections = NewConnections;
  Pacer.configure(ConnectCost, MaxConnections);
}

void server_link::send(ticket Ticket, net::http_request Request,
                       steady_time Deadline, net::response_callbacks Receiver) {
  QueuedRequests.push_back(
      {Ticket, std::move(Request), Deadline, std::move(Receiver)});
  sendQueued();
}

void server_link::sendQueued() {
  while (!QueuedRequests.empty()) {
    steady_time Now = Clock.steadyNow();
    bool Expired = Now >= QueuedRequests.front().Deadline;
    auto OpenConnections = std::uint32_t(ActiveRequests.size());
    if (!Expired && !Client.hasIdleConnection(Server) &&
        !Pacer.tryOpen(OpenConnections, Now)) {
      // At the connection limit, the end of a call frees a connection and
      // calls this function.
      if (OpenConnections < MaxConnections)
        PacingTimer.startOnce(
            std::max(microseconds(1),
                     duration_cast<microseconds>(Pacer.nextOpen() - Now)));
      return;
    }
    queued_request Call = std::move(QueuedRequests.front());
    QueuedRequests.pop_front();
    if (Expired)
      failExpired(std::move(Call));
    else
      transmit(std::move(Call));
  }
}

void server_link::failExpired(queued_request Call) {
  Loop.defer([End = std::move(Call.Receiver.OnComplete)] {
    End(makeError(net::net_errc::ConnectFailed,
                  "no connection was free before the deadline"));
  });
}

void server_link::transmit(queued_request Call) {
  ticket Ticket = Call.Ticket;
  auto RemainingTime =
      duration_cast<milliseconds>(Call.Deadline - Clock.steadyNow()) +
      milliseconds(1);
  net::response_callbacks Receiver = std::move(Call.Receiver);
  Receiver.OnComplete = [this, Ticket, End = std::move(Receiver.OnComplete)](
                            result<void> Result) {
    ActiveRequests.erase(Ticket);
    End(std::move(Result));
    sendQueued();
  };
  ActiveRequests[Ticket] =
      Client.stream(Server, Call.Request, RemainingTime, std::move(Receiver));
}

void server_link::cancel(ticket Ticket) {
  std::erase_if(QueuedRequests, [&](const queued_request &Call) {
    return Call.Ticket == Ticket;
  });
  auto Entry = ActiveRequests.find(Ticket);
  if (Entry == ActiveRequests.end())
    return;
  Client.cancel(Entry->second);
  ActiveRequests.erase(Entry);
  sendQueued();
}

void server_link::pause(ticket Ticket) {
  if (auto Entry = ActiveRequests.find(Ticket); Entry != ActiveRequests.end())
    Client.pause(Entry->second);
}

void server_link::resume(ticket Ticket) {
  if (auto Entry = ActiveRequests.find(Ticket); Entry != ActiveRequests.end())
    Client.resume(Entry->second);
}

} // namespace gentianlug::node
