#include "gentianlug/core/clock.h"
#include "gentianlug/membership/member_table.h"
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

/// Speaks the control protocol as one node with many nodes below it, so that a
/// test has a fleet of the design size on one machine.
class member_crowd {
public:
  member_crowd(net::event_loop &Loop, members_settings Settings)
      : Settings(std::move(Settings)), Client(Loop),
        Retry(Loop, [this] { attach(this->Settings.Relay); }) {}

  void start() { attach(Settings.Relay); }

private:
  void post(const address &Target, const std::string &Path, std::string Body,
            std::function<void(const std::string &)> Done) {
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
           ParentName = Response->Path.back();
           announce(0);
         });
  }

  membership::member_record record(std::size_t Index) const {
    membership::member_record Record;
    Record.Node = Settings.Self.Node;
    Record.Zone = Settings.Self.Zone;
    Record.PeerAddress = Settings.Self.Control;
    Record.ControlAddress = Settings.Self.Control;
    Record.Incarnation = Settings.Self.Incarnation;
    Record.Sequence = 1;
    Record.Parent = ParentName;
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

  void announce(std::size_t First) {
    if (First > Settings.Count)
      return poll({});
    up_message Message{Settings.Self, {}};
    std::size_t End = std::min(First + RecordsPerMessage, Settings.Count + 1);
    for (std::size_t Index = First; Index < End; ++Index)
      Message.Members.push_back(record(Index));
    post(Parent, "/v1/up", wire::encode(Message),
         [this, End](const std::string &) { announce(End); });
  }

  /// Keeps the place below the parent; the answers need no other action.
  void poll(log_cursor Cursor) {
    sync_request Request;
    Request.From = Settings.Self;
    Request.Cursor = Cursor;
    // The configuration is never needed here.
    Request.Refused = INT64_MAX;
    Request.Digest = Table.digest();
    post(Parent, "/v1/sync", wire::encode(Request),
         [this, Cursor](const std::string &Body) {
           auto Response = wire::decodeSyncResponse(Body);
           if (!Response)
             return Retry.startOnce(RetryDelay);
           for (const auto &Record : Response->Update.Members)
             Table.apply(Record, Clock.steadyNow());
           log_cursor Next = Response->Update.Cursor;
           if (Next.Epoch == 0)
             Next.Epoch = Cursor.Epoch;
           poll(Next);
         });
  }

  members_settings Settings;
  net::http_client Client;
  net::timer Retry;
  address Parent;
  node_id ParentName;
  gentianlug::system_clock Clock;
  /// For the digest, so that the parent sees an ordinary child.
  membership::member_table Table{node_id("nobody")};
};

result<members_settings> parseMembersSettings(const nlohmann::json &Json) {
  settings::fault_list Faults("argument");
  settings::object_reader Reader(Json, "", Faults);
  members_settings Settings;
  Settings.Self.Node = node_id(Reader.text("node"));
  Settings.Self.Zone = zone_name(Reader.text("availability_zone"));
  Settings.Self.Control = Reader.endpoint("control");
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
    return failProgram(Json.failure());
  auto Settings = parseMembersSettings(*Json);
  if (!Settings)
    return failProgram(Settings.failure());
  net::event_loop Loop;
  member_crowd Crowd(Loop, std::move(*Settings));
  Crowd.start();
  runUntilSignal(Loop);
  return 0;
}
