#include "server_link.h"

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/node/call_headers.h"

#include <algorithm>

namespace gentianlug::node {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// The slots of the server bound the calls, and so the idle connections.
static constexpr std::size_t MaxIdleConnections = 1024;

server_link::server_link(net::event_loop &Loop, const clock &Clock)
    : Loop(Loop), Clock(Clock),
      Client(Loop, {.MaxIdlePerPeer = MaxIdleConnections, .PingTarget = {}}),
      PaceTimer(Loop, [this] { sendWaiting(); }) {}

void server_link::configure(const address &NewServer, microseconds ConnectCost,
                            std::uint32_t NewConnections) {
  if (Server != NewServer)
    Client.closeIdle(Server);
  Server = NewServer;
  Connections = NewConnections;
  Pacer.configure(ConnectCost, Connections);
}

void server_link::send(ticket Ticket, net::http_request Request,
                       steady_time Deadline, net::response_receiver Receiver) {
  Waiting.push_back(
      {Ticket, std::move(Request), Deadline, std::move(Receiver)});
  sendWaiting();
}

void server_link::sendWaiting() {
  while (!Waiting.empty()) {
    steady_time Now = Clock.steadyNow();
    bool Late = Now >= Waiting.front().Deadline;
    auto Open = std::uint32_t(Active.size());
    if (!Late && !Client.reusesConnection(Server) &&
        !Pacer.tryOpen(Open, Now)) {
      // At the bound a finished call makes room and calls this function.
      if (Open < Connections)
        PaceTimer.startOnce(
            std::max(microseconds(1),
                     duration_cast<microseconds>(Pacer.nextOpen() - Now)));
      return;
    }
    waiting_request Call = std::move(Waiting.front());
    Waiting.pop_front();
    if (Late)
      expire(std::move(Call));
    else
      transmit(std::move(Call));
  }
}

void server_link::expire(waiting_request Call) {
  Loop.defer([End = std::move(Call.Receiver.End)] {
    End(makeError(net::net_errc::ConnectFailed,
                  "no connection was free before the deadline"));
  });
}

void server_link::transmit(waiting_request Call) {
  ticket Ticket = Call.Ticket;
  auto Left = duration_cast<milliseconds>(Call.Deadline - Clock.steadyNow()) +
              milliseconds(1);
  net::response_receiver Receiver = std::move(Call.Receiver);
  Receiver.End = [this, Ticket,
                  End = std::move(Receiver.End)](result<void> Result) {
    Active.erase(Ticket);
    End(std::move(Result));
    sendWaiting();
  };
  Active[Ticket] =
      Client.stream(Server, Call.Request, Left, std::move(Receiver));
}

void server_link::cancel(ticket Ticket) {
  std::erase_if(Waiting, [&](const waiting_request &Call) {
    return Call.Ticket == Ticket;
  });
  auto Entry = Active.find(Ticket);
  if (Entry == Active.end())
    return;
  Client.cancel(Entry->second);
  Active.erase(Entry);
  sendWaiting();
}

void server_link::pause(ticket Ticket) {
  if (auto Entry = Active.find(Ticket); Entry != Active.end())
    Client.pause(Entry->second);
}

void server_link::resume(ticket Ticket) {
  if (auto Entry = Active.find(Ticket); Entry != Active.end())
    Client.resume(Entry->second);
}

} // namespace gentianlug::node
