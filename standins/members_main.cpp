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

constexpr milliseconds ResponseTimeout{8000};
constexpr milliseconds RetryDelay{500};

/// Keeps each message below the body size limit of control listeners.
constexpr std::size_t MaxRecordsPerMessage = 1000;

/// Settings of the stand-in for one node and its descendants.
struct members_settings {
  peer_identity Identity;
  address RelayAddress;
  std::size_t MemberCount = 0;
  std::size_t ServiceCount = 1;
};

/// Treats all child nodes as alive.
struct all_children_live final : child_lookup {
  bool isLiveChild(const node_id &) const override { return true; }
};

/// Speaks the control protocol as one node with many simulated child nodes, so
/// that a test can run a fleet of the design size on one machine.
class simulated_members {
public:
  simulated_members(net::event_loop &Loop, members_settings S)
      : Settings(std::move(S)), Client(Loop),
        RetryTimer(Loop, [this] { attach(Settings.RelayAddress); }),
        State(Settings.Identity.Node, Settings.Identity.Incarnation) {
    State.setChildLookup(&Children);
    std::vector<membership::member_record> Records;
    for (std::size_t Index = 1; Index <= Settings.MemberCount; ++Index)
      Records.push_back(makeRecord(Index));
    State.applyMembers(Records, update_source::Subtree, Clock.steadyNow());
  }

  void start() { attach(Settings.RelayAddress); }

private:
  using response_handler = std::function<void(const std::string &)>;

  void post(const address &Target, const std::string &Path, std::string Body,
            response_handler Done) {
    net::http_request Request;
    Request.Method = "POST";
    Request.Target = Path;
    Request.Body = std::move(Body);
    Client.send(
        Target, Request, ResponseTimeout,
        [this, Done = std::move(Done)](const result<net::http_response> &A) {
          if (A && A->Status == 200)
            return Done(A->Body);
          RetryTimer.startOnce(RetryDelay);
        });
  }

  void attach(const address &Target) {
    post(Target, "/v1/attach", wire::encode(Settings.Identity),
         [this, Target](const std::string &Body) {
           auto Response = wire::decodeAttachResponse(Body);
           using verdict = attach_response::verdict;
           if (!Response || Response->Verdict == verdict::Refused)
             return RetryTimer.startOnce(RetryDelay);
           if (Response->Verdict == verdict::Redirected)
             return attach(Response->RedirectTo);
           Parent = Target;
           Cursor = {};
           membership::member_record SelfRecord = makeRecord(0);
           SelfRecord.Parent = Response->Path.back();
           State.setOwnRecord(SelfRecord, Clock.steadyNow());
           poll();
         });
  }

  membership::member_record makeRecord(std::size_t Index) const {
    membership::member_record Record;
    Record.Node = Settings.Identity.Node;
    Record.Zone = Settings.Identity.Zone;
    Record.PeerAddress = Settings.Identity.ControlAddress;
    Record.ControlAddress = Settings.Identity.ControlAddress;
    Record.Incarnation = Settings.Identity.Incarnation;
    Record.Sequence = 1;
    if (Index == 0)
      return Record;
    Record.Parent = Record.Node;
    Record.Node.Value += "-" + std::to_string(Index);
    Record.Service = service_name(
        "service-" + std::to_string(Index % Settings.ServiceCount));
    Record.Version = version_name("v1");
    Record.Slots = 10;
    Record.ServerIncarnation = Record.Incarnation;
    Record.State = membership::member_state::Serving;
    return Record;
  }

  /// Sends the records from index \p First on to the parent, then polls it.
  void sendRecords(const std::vector<membership::member_record> &Records,
                   std::size_t First) {
    if (First >= Records.size())
      return poll();
    upstream_message Message{Settings.Identity, {}};
    std::size_t End = std::min(First + MaxRecordsPerMessage, Records.size());
    Message.Members.assign(Records.begin() + std::ptrdiff_t(First),
                           Records.begin() + std::ptrdiff_t(End));
    post(Parent, "/v1/up", wire::encode(Message),
         [this, Records, End](const std::string &) {
           sendRecords(Records, End);
         });
  }

  void poll() {
    sync_request Request;
    Request.From = Settings.Identity;
    Request.Cursor = Cursor;
    // The configuration is not needed, so every version counts as refused.
    Request.RefusedVersion = INT64_MAX;
    Request.MemberDigest = State.members().digest();
    const auto &Buckets = State.members().bucketDigests();
    if (Cursor == log_cursor{})
      Request.BucketDigests.assign(Buckets.begin(), Buckets.end());
    post(Parent, "/v1/sync", wire::encode(Request),
         [this](const std::string &Body) {
           auto Response = wire::decodeSyncResponse(Body);
           if (!Response)
             return RetryTimer.startOnce(RetryDelay);
           Cursor.Sequence = Response->Update.Cursor.Sequence;
           if (Response->Update.Cursor.Epoch)
             Cursor.Epoch = Response->Update.Cursor.Epoch;
           if (Response->Resync)
             Cursor = {};
           update_outcome Outcome = State.apply(
               Response->Update, update_source::Upstream, Clock.steadyNow());
           sendRecords(Outcome.RecordsForRoot, 0);
         });
  }

  members_settings Settings;
  net::http_client Client;
  net::timer RetryTimer;
  gentianlug::system_clock Clock;
  all_children_live Children;
  node_state State;
  address Parent;
  log_cursor Cursor;
};

result<members_settings> parseMembersSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  settings::object_reader Reader(Json, "", Faults);
  members_settings Settings;
  Settings.Identity.Node = node_id(Reader.readString("node"));
  Settings.Identity.Zone = zone_name(Reader.readString("availability_zone"));
  Settings.Identity.ControlAddress = Reader.readAddress("control");
  auto Now = gentianlug::system_clock().wallNow().time_since_epoch();
  Settings.Identity.Incarnation =
      incarnation_number(std::chrono::duration_cast<milliseconds>(Now).count());
  Settings.RelayAddress = Reader.readAddress("relay");
  Settings.MemberCount = std::size_t(Reader.readInteger("count", 0, 20000));
  Settings.ServiceCount = std::size_t(Reader.readInteger("services", 1, 10000));
  Reader.reportUnknownKeys();
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
  simulated_members Members(Loop, std::move(*Settings));
  Members.start();
  runUntilSignal(Loop);
  return 0;
}
