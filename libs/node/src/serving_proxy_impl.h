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

/// State and behaviour of `serving_proxy`; serving_proxy.cpp holds the server's
/// state and the requests, serving_answers.cpp the life of a call.
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
  bool EvidenceDue = false;
  /// Start of the known life of the server, by its incarnation.
  steady_time IncarnationStart{};
  std::unordered_map<call_ticket, std::unique_ptr<serving_call>> Calls;
  std::unordered_map<call_id, call_ticket> Tickets;
  /// Answers to other calls than those that their connections carried.
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
  void onVersionQuarantine(const version_quarantine &Cut);
  /// Takes over what the server and the configuration say now.
  void configure();

  // Requests of the peer listener.

  void onRequest(const net::http_exchange &Exchange);
  void onCall(const net::http_exchange &Exchange);
  /// Answers a call that must not run again.
  bool mayBegin(const net::http_exchange &Exchange,
                const call_details &Details);
  std::optional<std::string> refusalReason(const call_details &Details) const;
  void onCallStateQuery(const net::http_exchange &Exchange, const call_id &Id);

  // Life of a call.

  /// Lets one more copy of a call wait for its answer.
  void join(call_ticket Ticket, const net::http_exchange &Exchange);
  void advance();
  void start(call_ticket Ticket);
  /// Returns whether \p Head answers the call that its connection carried. An
  /// answer without an id counts as such.
  bool isOwnAnswer(call_ticket Ticket, const net::http_response &Head) const;
  void onHead(call_ticket Ticket, net::http_response Head);
  void onPart(call_ticket Ticket, std::string_view Part);
  void onEnd(call_ticket Ticket, result<void> End);
  /// Gives an answer to the call that it names; the call whose connection it
  /// came on waits for its own.
  void onMismatchedResponse(call_ticket Ticket, response_forwarder Answer);
  void onMismatchTimeout(call_ticket Ticket);
  /// Ends a call with the answer of its relay or with an error.
  void conclude(call_ticket Ticket, result<void> End);
  void deliver(serving_call &Call);
  void deliverUnknown(serving_call &Call, const std::string &Reason);
  /// The client of one exchange has gone.
  void onClientDisconnected(call_ticket Ticket);
  std::unique_ptr<serving_call> take(call_ticket Ticket);
  void refuseCall(call_ticket Ticket, const std::string &Reason);
  /// Refuses a call of which no byte has reached the server.
  void refuseAll(const serving_call &Call, const std::string &Reason);
  void refuseQueued(const std::string &Reason);
  void reportIfIdle();

  // Answers.

  std::string load() const;
  void describe(net::http_response &Answer, const call_id &Id,
                const char *Outcome) const;
  void refuse(const net::http_exchange &Exchange, const call_id &Id,
              const std::string &Reason);
  net::http_response unknownAnswer(const call_id &Id,
                                   const std::string &Reason) const;
  static void replyAll(const serving_call &Call,
                       const net::http_response &Answer);

  // Evidence.

  void addEvidence(const route_name &Route, bool Failed,
                   std::optional<std::chrono::microseconds> Latency);
  void sendEvidence();
};

} // namespace gentianlug::node

#endif // GENTIANLUG_NODE_SERVING_PROXY_IMPL_H
