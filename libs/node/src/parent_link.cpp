#include "parent_link.h"

#include "gentianlug/observe/log.h"
#include "gentianlug/wire/control_messages.h"

namespace gentianlug::node {

using namespace distribution;
using observe::event;
using observe::logEvent;
using std::chrono::milliseconds;

static constexpr milliseconds StepPeriod{50};
static constexpr milliseconds AttachTimeout{1000};

/// A parent holds a poll for up to 1 s, so one that does not respond within 2 s
/// has failed.
static constexpr milliseconds PollTimeout{2000};

/// The first response contains the complete state, up to 10,000 records.
static constexpr milliseconds FirstPollTimeout{8000};

static constexpr milliseconds UpstreamTimeout{2000};

/// Records that change within this time are sent in one message.
static constexpr milliseconds UpstreamDelay{10};
static constexpr milliseconds UpstreamRetryDelay{500};

/// Maximum number of pending records, larger than the fleet of up to 10,000
/// nodes.
static constexpr std::size_t MaxPendingRecords = 20000;

/// Maximum number of records in a message, so that it stays well below the body
/// limit of a listener.
static constexpr std::size_t MaxRecordsPerMessage = 2000;

parent_link::parent_link(control_context &Context, outputs Outputs)
    : Context(Context), Outputs(std::move(Outputs)), Client(Context.Loop),
      StepTimer(Context.Loop, [this] { step(); }),
      UpstreamTimer(Context.Loop, [this] { flushUpstream(); }),
      Attachment(Context.Settings.Node, Context.Settings.Zone) {}

void parent_link::start() {
  if (std::exchange(Running, true))
    return;
  step();
}

void parent_link::stop() {
  ++Generation;
  Running = false;
  StepTimer.cancel();
  UpstreamSendActive = false;
  Attachment.detach(Context.now(), milliseconds(0));
  Cursor = {};
  PendingRecords.clear();
}

void parent_link::reattach(const std::vector<relay_entry> &Relays) {
  if (!Running || !Attachment.attached())
    return;
  ++Generation;
  UpstreamSendActive = false;
  Attachment.detach(Context.now(), milliseconds(0));
  Attachment.onRelays(Relays, Context.now(), Context.Gen);
  step();
}

void parent_link::post(
    const address &Target, const std::string &Path, std::string Body,
    milliseconds Timeout,
    std::function<void(const result<net::http_response> &)> Done) {
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = Path;
  Request.Body = std::move(Body);
  Client.send(Target, Request, Timeout,
              [this, RequestGeneration = Generation,
               Done = std::move(Done)](result<net::http_response> Answer) {
                if (RequestGeneration != Generation)
                  return;
                if (Answer && Answer->Status != 200)
                  Context.Metrics.count(
                      "gentianlug_control_refusals_received_total");
                Done(Answer);
              });
}

void parent_link::step() {
  if (!Running)
    return;
  attach_action Action = Attachment.next(Context.now());
  switch (Action.Operation) {
  case attach_operation::Wait:
    return StepTimer.startOnce(StepPeriod);
  case attach_operation::FindRelays:
    return findRelays();
  case attach_operation::Attach:
    return attach(Action.Target);
  case attach_operation::Poll:
    return poll(Action.Target);
  }
}

void parent_link::findRelays() {
  if (Attachment.ownZoneUnresponsive())
    Outputs.OwnZoneUnresponsive();
  Outputs.FindRelays([this, RequestGeneration = Generation](
                         const std::vector<relay_entry> &Relays) {
    if (RequestGeneration != Generation)
      return;
    Attachment.onRelays(Relays, Context.now(), Context.Gen);
    step();
  });
}

void parent_link::attach(const address &Target) {
  post(Target, "/v1/attach", wire::encode(Context.self()), AttachTimeout,
       [this](const result<net::http_response> &Answer) {
         auto Response =
             Answer && Answer->Status == 200
                 ? wire::decodeAttachResponse(Answer->Body)
                 : result<attach_response>(Answer ? error{} : Answer.failure());
         if (!Response)
           Attachment.onAttachFailed(Context.now(), Context.Gen);
         else
           Attachment.onAttachResponse(*Response, Context.now(), Context.Gen);
         if (Attachment.attached()) {
           logEvent(event::ParentAttached, Attachment.parentAddress().str());
           Cursor = {};
           Outputs.PathChanged();
           flushUpstream();
         }
         step();
       });
}

void parent_link::poll(const address &Target) {
  sync_request Request;
  Request.From = Context.self();
  Request.Cursor = Cursor;
  Request.ConfigVersion = Context.State.configVersion();
  Request.RefusedVersion = Context.State.refusedVersion();
  if (LastUpdateEmpty)
    Request.MemberDigest = Context.State.members().digest();
  subtree_report Report = Outputs.Report();
  bool IsFirstPoll = Cursor == log_cursor{};
  if (IsFirstPoll || Report != SentReport)
    Request.Report = Report;
  const auto &Buckets = Context.State.members().bucketDigests();
  if (IsFirstPoll)
    Request.BucketDigests.assign(Buckets.begin(), Buckets.end());
  else
    Request.From = {Context.Settings.Node, {}, 0, {}};
  SentReport = std::move(Report);
  post(Target, "/v1/sync", wire::encode(Request),
       IsFirstPoll ? FirstPollTimeout : PollTimeout,
       [this](const result<net::http_response> &Answer) {
         onPollResponse(Answer);
         step();
       });
}

void parent_link::onPollResponse(const result<net::http_response> &Answer) {
  auto Response =
      Answer && Answer->Status == 200
          ? wire::decodeSyncResponse(Answer->Body)
          : result<sync_response>(Answer ? error{} : Answer.failure());
  if (!Response) {
    logEvent(event::ParentLost, Attachment.parentAddress().str() + ": " +
                                    (Answer ? std::to_string(Answer->Status)
                                            : Answer.failure().message()));
    Attachment.onPollFailed(Context.now(), Context.Gen);
    return Outputs.PathChanged();
  }
  Cursor.Sequence = Response->Update.Cursor.Sequence;
  if (Response->Update.Cursor.Epoch)
    Cursor.Epoch = Response->Update.Cursor.Epoch;
  if (Response->Resync)
    Cursor = {};
  LastUpdateEmpty = Response->Update.empty();
  std::vector<node_id> PreviousPath = Attachment.parentPath();
  Attachment.onPollResponse(Response->Path ? *Response->Path : PreviousPath,
                            Context.now(), Context.Gen);
  update_outcome Outcome = Context.State.apply(
      Response->Update, update_source::Upstream, Context.now());
  if (Attachment.parentPath() != PreviousPath)
    Outputs.PathChanged();
  Outputs.Changed(Outcome);
  Outputs.ParentResponded(Response->ConfigVersion);
  if (Response->FreeSlot)
    Outputs.SlotFree(*Response->FreeSlot);
}

void parent_link::sendUpstream(
    const std::vector<membership::member_record> &Records) {
  if (Records.empty() || !Running)
    return;
  for (const membership::member_record &Record : Records)
    if (PendingRecords.count(Record.Node) ||
        PendingRecords.size() < MaxPendingRecords)
      PendingRecords[Record.Node] = Record;
  UpstreamTimer.startOnce(UpstreamDelay);
}

void parent_link::flushUpstream() {
  if (PendingRecords.empty() || UpstreamSendActive || !Attachment.attached())
    return;
  upstream_message Message{Context.self(), {}};
  for (const auto &[Node, Record] : PendingRecords)
    if (Message.Members.size() < MaxRecordsPerMessage)
      Message.Members.push_back(Record);
  UpstreamSendActive = true;
  post(
      Attachment.parentAddress(), "/v1/up", wire::encode(Message),
      UpstreamTimeout,
      [this, Sent = Message.Members](const result<net::http_response> &Answer) {
        UpstreamSendActive = false;
        bool Accepted = Answer && Answer->Status == 200;
        for (const membership::member_record &Record : Sent) {
          auto Entry = PendingRecords.find(Record.Node);
          if (Accepted && Entry != PendingRecords.end() &&
              Entry->second == Record)
            PendingRecords.erase(Entry);
        }
        if (!PendingRecords.empty())
          UpstreamTimer.startOnce(Accepted ? UpstreamDelay
                                           : UpstreamRetryDelay);
      });
}

} // namespace gentianlug::node
