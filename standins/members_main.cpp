#include "gentianlug/core/clock.h"
#include "gentianlug/distribution/node_state.h"
#include "gentianlug/net/http_client.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/wire/control_messages.h"
#include "program.h"

#include <algorithm>

using namespace gentianlug;
using namespace gentianlug::standins;
using namespace gentianlug::distribution;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AnswerTimeout{8000};
constexpr milliseconds RetryDelay{500};

/// Records of one message, below the body limit of a control listener.
constexpr std::size_t RecordsPerMessage = 1000;

/// Settings of a stand-in for the nodes below one node.
struct members_settings {
  peer_identity Self;
  address Relay;
  std::size_t Count = 0;
  std::size_t Services = 1;
};

/// Every node below this one is alive.
struct all_alive final : child_lookup {
  bool isLiveChild(const node_id &) const override { return true; }
};

/// Speaks the control protocol as one node with many nodes below it, so that a
/// test has a fleet of the design size on one machine.
class member_crowd {
public:
  member_crowd(net::event_loop &Loop, members_settings S)
      : Settings(std::move(S)), Client(Loop),
        Retry(Loop, [this] { attach(Settings.Relay); }),
        State(Settings.Self.Node, Settings.Self.Incarnation) {
    State.setChildLookup(&Children);
    std::vector<membership::member_record> Records;
    for (std::size_t Index = 1; Index <= Settings.Count; ++Index)
      Records.push_back(record(Index));
    State.applyMembers(Records, update_source::Subtree, Clock.steadyNow());
  }

  void start() { attach(Settings.Relay); }

private:
  using next_step = std::function<void(const std::string &)>;

  void post(const address &Target, const std::string &Path, std::string Body,
            next_step Done) {
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = Path;
    Request.Body = std::move(Body);
    Client.send(
        Target, Request, AnswerTimeout,
        [this, Done = std::move(Done)](const result<net::http_response> &A) {
          if (A && A->Status == 200)
            return Done(A->Body);
          Retry.startOnce(RetryDelay);
        });
  }

  void attach(const address &Target) {
    post(Target, "/v1/attach", wire::encode(Settings.Self),
         [this, Target](const std::string &Body) {
           auto Response = wire::decodeAttachResponse(Body);
           using verdict = attach_response::verdict;
           if (!Response || Response->Verdict == verdict::Refused)
             return Retry.startOnce(RetryDelay);
           if (Response->Verdict == verdict::Redirected)
             return attach(Response->RedirectTo);
           Parent = Target;
           Cursor = {};
           membership::member_record Own = record(0);
           Own.Parent = Response->Path.back();
           State.setOwnRecord(Own, Clock.steadyNow());
           poll();
         });
  }

  membership::member_record record(std::size_t Index) const {
    membership::member_record Record;
    Record.Node = Settings.Self.Node;
    Record.Zone = Settings.Self.Zone;
    Record.PeerAddress = Settings.Self.ControlAddress;
    Record.ControlAddress = Settings.Self.ControlAddress;
    Record.Incarnation = Settings.Self.Incarnation;
    Record.Sequence = 1;
    if (Index == 0)
      return Record;
    Record.Parent = Record.Node;
    Record.Node.Value += "-" + std::to_string(Index);
    Record.Service =
        service_name("service-" + std::to_string(Index % Settings.Services));
    Record.Version = version_name("v1");
    Record.Slots = 10;
    Record.ServerIncarnation = Record.Incarnation;
    Record.State = membership::member_state::Serving;
    return Record;
  }

  /// Sends the records that the parent lacks, then polls.
  void sendUp(const std::vector<membership::member_record> &Records,
              std::size_t First) {
    if (First >= Records.size())
      return poll();
    upstream_message Message{Settings.Self, {}};
    std::size_t End = std::min(First + RecordsPerMessage, Records.size());
    Message.Members.assign(Records.begin() + std::ptrdiff_t(First),
                           Records.begin() + std::ptrdiff_t(End));
    post(Parent, "/v1/up", wire::encode(Message),
         [this, Records, End](const std::string &) { sendUp(Records, End); });
  }

  void poll() {
    sync_request Request;
    Request.From = Settings.Self;
    Request.Cursor = Cursor;
    // The configuration is never needed here.
    Request.RefusedVersion = INT64_MAX;
    Request.MemberDigest = State.members().digest();
    const auto &Buckets = State.members().bucketDigests();
    if (Cursor == log_cursor{})
      Request.BucketDigests.assign(Buckets.begin(), Buckets.end());
    post(Parent, "/v1/sync", wire::encode(Request),
         [this](const std::string &Body) {
           auto Response = wire::decodeSyncResponse(Body);
           if (!Response)
             return Retry.startOnce(RetryDelay);
           Cursor.Sequence = Response->Update.Cursor.Sequence;
           if (Response->Update.Cursor.Epoch)
             Cursor.Epoch = Response->Update.Cursor.Epoch;
           if (Response->Resync)
             Cursor = {};
           update_outcome Outcome = State.apply(
               Response->Update, update_source::Upstream, Clock.steadyNow());
           sendUp(Outcome.RecordsForRoot, 0);
         });
  }

  members_settings Settings;
  net::http_client Client;
  net::timer Retry;
  gentianlug::system_clock Clock;
  all_alive Children;
  node_state State;
  address Parent;
  log_cursor Cursor;
};

result<members_settings> parseMembersSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  settings::object_reader Reader(Json, "", Faults);
  members_settings Settings;
  Settings.Self.Node = node_id(Reader.text("node"));
  Settings.Self.Zone = zone_name(Reader.text("availability_zone"));
  Settings.Self.ControlAddress = Reader.endpoint("control");
  auto Now = gentianlug::system_clock().wallNow().time_since_epoch();
  Settings.Self.Incarnation =
      incarnation_number(std::chrono::duration_cast<milliseconds>(Now).count());
  Settings.Relay = Reader.endpoint("relay");
  Settings.Count = std::size_t(Reader.number("count", 0, 20000));
  Settings.Services = std::size_t(Reader.number("services", 1, 10000));
  Reader.finish();
  if (!Faults.empty())
    return Faults.toError();
  return Settings;
}

} // namespace

/// Usage: standin-members '{"node": "NAME", "availability_zone": "ZONE",
/// "control": "HOST:PORT", "relay": "HOST:PORT", "count": N, "services": N}'
int main(int Argc, char **Argv) {
  auto Json = readArgument(Argc, Argv);
  if (!Json)
    return reportFailure(Json.failure());
  auto Settings = parseMembersSettings(*Json);
  if (!Settings)
    return reportFailure(Settings.failure());
  net::event_loop Loop;
  member_crowd Crowd(Loop, std::move(*Settings));
  Crowd.start();
  runUntilSignal(Loop);
  return 0;
}
