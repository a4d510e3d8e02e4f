#ifndef GENTIANLUG_NODE_SERVING_PROXY_IMPL_H
#define GENTIANLUG_NODE_SERVING_PROXY_IMPL_H

#include "evidence_collector.h"
#include "gentianlug/net/timer.h"
#include "local_server.h"
#include "server_link.h"
#include "serving_call.h"
#include "serving_proxy.h"

namespace gentianlug::node {

using admission::call_ledger;
using admission::call_ticket;

/// Implementation of `serving_proxy`. serving_proxy.cpp handles the state of
/// the server and incoming requests, serving_responses.cpp the progress of a
/// call from admission to its response.
struct serving_proxy::impl {
  context Context;
  outputs Outputs;
  admission::admission_control Admission;
  call_ledger Ledger;
  server_link Link;
  local_server Local;
  evidence_collector Evidence;
  net::timer AdvanceTimer;
  net::timer EvidenceTimer;
  net::timer AnnouncementTimer;
  bool EvidenceScheduled = false;
  /// When the current incarnation of the server was first seen.
  steady_time IncarnationStart{};
  std::unordered_map<call_ticket, std::unique_ptr<serving_call>> Calls;
  std::unordered_map<call_id, call_ticket> TicketsByCallId;
  /// Responses that belong to another call than the request on their
  /// connection, by the ticket of that request.
  std::unordered_map<call_ticket, response_forwarder> MismatchedResponses;
  call_ticket NextTicket = 1;
  steady_time Started = Context.Clock.steadyNow();
  bool Draining = false;

  impl(context C, outputs O);
  steady_time now() const { return Context.Clock.steadyNow(); }

  // State of the server.

  void onSnapshot(std::shared_ptr<const routing_snapshot> Snapshot);
  void onAnnouncement(const wire::server_announcement &Announcement);
  void onAnnouncementTimeout();
  void onVersionQuarantine(const version_quarantine &Quarantine);
  /// Applies the current announcement and configuration.
  void updateServerState();

  // Requests of the peer listener.

  void onRequest(const net::http_exchange &Exchange);
  void onCall(const net::http_exchange &Exchange);
  /// Registers the call in the ledger. A call that must not run again is
  /// answered, and the result is false.
  bool beginInLedger(const net::http_exchange &Exchange,
                     const call_details &Details);
  std::optional<std::string> refusalReason(const call_details &Details) const;
  void onCallStateQuery(const net::http_exchange &Exchange, const call_id &Id);

  // Progress of a call.

  /// Adds an exchange that waits for the response to the call.
  void addClient(call_ticket Ticket, const net::http_exchange &Exchange);
  void advance();
  void sendToServer(call_ticket Ticket);
  /// Returns whether \p Head belongs to the call that was sent on its
  /// connection. A response without a call id counts as belonging to it.
  bool matchesCall(call_ticket Ticket, const net::http_response &Head) const;
  void onHead(call_ticket Ticket, net::http_response Head);
  void onPart(call_ticket Ticket, std::string_view Part);
  void onEnd(call_ticket Ticket, result<void> End);
  /// Assigns a response to the call that its id names. The call that was sent
  /// on its connection keeps waiting for its own response.
  void onMismatchedResponse(call_ticket Ticket, response_forwarder Response);
  void onMismatchTimeout(call_ticket Ticket);
  /// Completes a call with the response of its forwarder or with an error.
  void completeCall(call_ticket Ticket, result<void> End);
  void deliverResponse(serving_call &Call);
  void deliverUnknownOutcome(serving_call &Call, const std::string &Reason);
  /// Called when the client of one exchange has disconnected.
  void onClientDisconnected(call_ticket Ticket);
  std::unique_ptr<serving_call> removeCall(call_ticket Ticket);
  void refuseCall(call_ticket Ticket, const std::string &Reason);
  /// Refuses a call of which no byte has reached the server.
  void refuseAll(const serving_call &Call, const std::string &Reason);
  void refuseQueued(const std::string &Reason);
  void reportIfIdle();

  // Responses.

  std::string loadHeaderValue() const;
  void setResponseHeaders(net::http_response &Response, const call_id &Id,
                          const char *Outcome) const;
  void refuse(const net::http_exchange &Exchange, const call_id &Id,
              const std::string &Reason);
  net::http_response
  makeUnknownOutcomeResponse(const call_id &Id,
                             const std::string &Reason) const;
  static void replyAll(const serving_call &Call,
                       const net::http_response &Response);

  // Evidence.

  void addEvidence(const route_name &Route, bool Failed,
                   std::optional<std::chrono::microseconds> Latency);
  void sendEvidence();
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVING_PROXY_IMPL_H
