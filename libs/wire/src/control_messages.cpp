#include "gentianlug/wire/control_messages.h"

#include "detail/decoder.h"
#include "gentianlug/membership/member_table.h"

namespace gentianlug::wire {

using namespace distribution;
using membership::member_record;
using membership::member_state;
using nlohmann::json;
using settings::object_reader;

// Field names are short, because a snapshot of a full-size fleet contains
// 10,000 records, and an idle poll consists of little more than field names.

static constexpr const char *StateNames[] = {"no_server", "serving", "draining",
                                             "suspect", "left"};
static constexpr const char *RoleNames[] = {"child", "relay", "probe"};
static constexpr const char *VerdictNames[] = {"admitted", "redirected",
                                               "refused"};

/// Reads an enum value by its name, where \p Names is indexed by the enum.
template <class Enum, std::size_t Count>
static Enum readEnum(object_reader &Reader, const std::string &Key,
                     const char *const (&Names)[Count]) {
  std::string Text = Reader.readString(Key);
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Text == Names[Index])
      return Enum(Index);
  Reader.faults().add(Reader.pathOf(Key), "is not a known name");
  return Enum(0);
}

/// Reads an optional list of at most `MaxRecordsPerMessage` objects.
template <class T>
static std::vector<T> readBoundedList(object_reader &Reader,
                                      const std::string &Key,
                                      T (*Read)(object_reader &)) {
  std::vector<T> Items = detail::readList(Reader, Key, Read);
  if (Items.size() > MaxRecordsPerMessage) {
    Reader.faults().add(Reader.pathOf(Key), "has too many records");
    Items.clear();
  }
  return Items;
}

static std::vector<node_id> readNodeIds(object_reader &Reader,
                                        const std::string &Key) {
  std::vector<node_id> Nodes;
  const json *Array = Reader.findArray(Key);
  if (!Array)
    return Nodes;
  for (const json &Item : *Array) {
    if (Item.is_string() && !Item.get_ref<const std::string &>().empty())
      Nodes.emplace_back(Item.get<std::string>());
    else
      Reader.faults().add(Reader.pathOf(Key), "must hold names");
  }
  return Nodes;
}

/// Reads an optional list with at most one integer per digest bucket.
static std::vector<std::uint64_t> readBucketNumbers(object_reader &Reader,
                                                    const std::string &Key) {
  std::vector<std::uint64_t> Numbers;
  const json *Array = Reader.findArray(Key);
  if (!Array)
    return Numbers;
  for (const json &Item : *Array) {
    if (Item.is_number_unsigned() &&
        Numbers.size() < membership::DigestBucketCount)
      Numbers.push_back(Item.get<std::uint64_t>());
    else
      Reader.faults().add(Reader.pathOf(Key), "must hold a few whole numbers");
  }
  return Numbers;
}

static json nodesToJson(const std::vector<node_id> &Nodes) {
  json Array = json::array();
  for (const node_id &Node : Nodes)
    Array.push_back(Node.str());
  return Array;
}

/// Reads the sender of a sync request. Only the node id is required, because
/// polls after the first omit the other fields.
static peer_identity readAbbreviatedIdentity(object_reader &Reader) {
  peer_identity From;
  From.Node = node_id(Reader.readString("node"));
  From.Zone = zone_name(Reader.readString("zone", ""));
  From.Incarnation = detail::readUnsigned(Reader, "life", 0);
  From.ControlAddress = Reader.readAddress("control", address{});
  return From;
}

static peer_identity readIdentity(object_reader &Reader) {
  peer_identity From;
  From.Node = node_id(Reader.readString("node"));
  From.Zone = zone_name(Reader.readString("zone"));
  From.Incarnation = detail::readUnsigned(Reader, "life");
  From.ControlAddress = Reader.readAddress("control");
  return From;
}

static json toJson(const peer_identity &From) {
  return {{"node", From.Node.str()},
          {"zone", From.Zone.str()},
          {"life", From.Incarnation},
          {"control", From.ControlAddress.str()}};
}

static member_record readRecord(object_reader &Reader) {
  member_record Record;
  Record.Node = node_id(Reader.readString("node"));
  Record.Zone = zone_name(Reader.readString("zone"));
  Record.PeerAddress = Reader.readAddress("peer");
  Record.ControlAddress = Reader.readAddress("control");
  Record.Service = service_name(Reader.readString("service", ""));
  Record.Version = version_name(Reader.readString("version", ""));
  Record.Slots = std::uint32_t(Reader.readInteger("slots", 0, UINT32_MAX, 0));
  Record.ServerIncarnation = detail::readUnsigned(Reader, "server_life", 0);
  Record.Incarnation = detail::readUnsigned(Reader, "life");
  Record.Sequence = detail::readUnsigned(Reader, "seq");
  Record.State = readEnum<member_state>(Reader, "state", StateNames);
  Record.Parent = node_id(Reader.readString("parent", ""));
  return Record;
}

static json toJson(const member_record &Record) {
  json Json{{"node", Record.Node.str()},
            {"zone", Record.Zone.str()},
            {"peer", Record.PeerAddress.str()},
            {"control", Record.ControlAddress.str()},
            {"life", Record.Incarnation},
            {"seq", Record.Sequence},
            {"state", StateNames[unsigned(Record.State)]}};
  if (!Record.Parent.empty())
    Json["parent"] = Record.Parent.str();
  if (Record.Service.empty())
    return Json;
  Json["service"] = Record.Service.str();
  Json["version"] = Record.Version.str();
  Json["slots"] = Record.Slots;
  Json["server_life"] = Record.ServerIncarnation;
  return Json;
}

/// Appends \p Records to the JSON object in \p Text as its last field.
///
/// The records are serialized one by one, because building a JSON document of
/// 10,000 records takes several times as long as writing the text.
static std::string appendRecords(std::string Text,
                                 const std::vector<member_record> &Records) {
  if (Records.empty())
    return Text;
  Text.pop_back();
  Text += ",\"members\":[";
  for (const member_record &Record : Records)
    Text.append(toJson(Record).dump()).append(",");
  Text.back() = ']';
  return Text + "}";
}

static log_cursor readCursor(object_reader &Reader) {
  return {detail::readUnsigned(Reader, "epoch", 0),
          detail::readUnsigned(Reader, "number", 0)};
}

/// Number of nodes in a subtree that run a configuration version.
struct subtree_version_count {
  config_version Version = 0;
  std::uint32_t Nodes = 0;
};

static subtree_version_count readSubtreeVersionCount(object_reader &Reader) {
  subtree_version_count Count;
  Count.Version = detail::readUnsigned(Reader, "v");
  Count.Nodes = std::uint32_t(Reader.readInteger("n", 0, 1000000));
  return Count;
}

static refusal_report readRefusal(object_reader &Reader) {
  refusal_report Refusal;
  Refusal.Node = node_id(Reader.readString("node"));
  Refusal.Version = detail::readUnsigned(Reader, "version");
  Refusal.Reason = Reader.readString("reason", "none given");
  return Refusal;
}

static subtree_report readSubtreeReport(object_reader &Reader) {
  subtree_report Report;
  subtree_report PartialReport;
  for (const subtree_version_count &Count :
       detail::readList(Reader, "versions", readSubtreeVersionCount)) {
    PartialReport.NodesByVersion = {{Count.Version, Count.Nodes}};
    Report.merge(PartialReport);
  }
  PartialReport.NodesByVersion.clear();
  PartialReport.Refusals = detail::readList(Reader, "refusals", readRefusal);
  Report.merge(PartialReport);
  return Report;
}

static void addSubtreeReport(json &Json, const subtree_report &Report) {
  for (const auto &[Version, Nodes] : Report.NodesByVersion)
    Json["versions"].push_back({{"v", Version}, {"n", Nodes}});
  for (const refusal_report &Refusal : Report.Refusals)
    Json["refusals"].push_back({{"node", Refusal.Node.str()},
                                {"version", Refusal.Version},
                                {"reason", Refusal.Reason}});
}

static sync_request readSyncRequest(object_reader &Reader) {
  sync_request Request;
  Request.From = readAbbreviatedIdentity(Reader);
  Request.Role = Reader.readString("role", "").empty()
                     ? sync_role::Child
                     : readEnum<sync_role>(Reader, "role", RoleNames);
  Request.PlatformUnreachable = Reader.readBool("cut", false);
  Request.Cursor = readCursor(Reader);
  Request.ConfigVersion = detail::readUnsigned(Reader, "config", 0);
  Request.RefusedVersion = detail::readUnsigned(Reader, "refused", 0);
  Request.MemberDigest = detail::readUnsigned(Reader, "digest", 0);
  Request.BucketDigests = readBucketNumbers(Reader, "buckets");
  if (Reader.findArray("versions") || Reader.findArray("refusals"))
    Request.Report = readSubtreeReport(Reader);
  return Request;
}

result<sync_request> decodeSyncRequest(std::string_view Text) {
  return detail::decodeObject(Text, "sync request", readSyncRequest);
}

std::string encode(const sync_request &Request) {
  json Json = Request.From.ControlAddress.Host.empty()
                  ? json{{"node", Request.From.Node.str()}}
                  : toJson(Request.From);
  if (Request.Role != sync_role::Child)
    Json["role"] = RoleNames[unsigned(Request.Role)];
  if (Request.PlatformUnreachable)
    Json["cut"] = true;
  if (Request.Cursor.Epoch)
    Json["epoch"] = Request.Cursor.Epoch;
  Json["number"] = Request.Cursor.Sequence;
  Json["config"] = Request.ConfigVersion;
  if (Request.RefusedVersion)
    Json["refused"] = Request.RefusedVersion;
  if (Request.MemberDigest)
    Json["digest"] = Request.MemberDigest;
  if (!Request.BucketDigests.empty())
    Json["buckets"] = Request.BucketDigests;
  if (Request.Report)
    addSubtreeReport(Json, *Request.Report);
  return Json.dump();
}

/// Reads a patch of the form [name, front, back, insert], the fields of
/// `part_patch` in order.
static part_patch readPartPatch(const json &Json, settings::fault_list &Faults,
                                const std::string &Path) {
  bool IsValid = Json.is_array() && Json.size() == 4 && Json[0].is_string() &&
                 Json[1].is_number_unsigned() && Json[2].is_number_unsigned() &&
                 Json[3].is_string();
  if (IsValid)
    return {Json[0].get<std::string>(), Json[1].get<std::size_t>(),
            Json[2].get<std::size_t>(), Json[3].get<std::string>()};
  Faults.add(Path, "must hold patches of the form [name, front, back, insert]");
  return {};
}

static config_update readConfigUpdate(object_reader &Reader) {
  config_update Update;
  Update.Version = detail::readUnsigned(Reader, "version");
  Update.RootHash = Reader.readString("root");
  Update.BaseVersion = detail::readUnsigned(Reader, "base", 0);
  if (const json *Changed = Reader.findArray("changed"))
    for (const json &Patch : *Changed)
      Update.ChangedParts.push_back(
          readPartPatch(Patch, Reader.faults(), Reader.pathOf("changed")));
  for (node_id &Name : readNodeIds(Reader, "removed"))
    Update.RemovedParts.push_back(std::move(Name.Value));
  return Update;
}

static json toJson(const config_update &Update) {
  json Json{{"version", Update.Version}, {"root", Update.RootHash}};
  if (Update.BaseVersion)
    Json["base"] = Update.BaseVersion;
  for (const part_patch &Patch : Update.ChangedParts)
    Json["changed"].push_back(
        json::array({Patch.Name, Patch.PrefixLength, Patch.SuffixLength,
                     Patch.Replacement}));
  for (const std::string &Name : Update.RemovedParts)
    Json["removed"].push_back(Name);
  return Json;
}

static live_value readLiveValue(object_reader &Reader) {
  live_value Value;
  Value.Key = Reader.readString("key");
  Value.Revision = detail::readUnsigned(Reader, "revision");
  if (!Reader.readBool("deleted", false))
    Value.Text = Reader.readString("text", "");
  return Value;
}

static json toJson(const live_value &Value) {
  json Json{{"key", Value.Key}, {"revision", Value.Revision}};
  if (Value.Text)
    Json["text"] = *Value.Text;
  else
    Json["deleted"] = true;
  return Json;
}

static sync_response readSyncResponse(object_reader &Reader) {
  sync_response Response;
  state_update &Update = Response.Update;
  Update.Cursor = readCursor(Reader);
  Update.IsSnapshot = Reader.readBool("snapshot", false);
  for (std::uint64_t Bucket : readBucketNumbers(Reader, "buckets"))
    Update.SnapshotBuckets.push_back(Bucket);
  Response.Resync = Reader.readBool("resync", false);
  Update.Members = readBoundedList(Reader, "members", readRecord);
  Update.LiveValues = readBoundedList(Reader, "live", readLiveValue);
  if (const json *Config = Reader.findObject("config")) {
    object_reader Item(*Config, Reader.pathOf("config"), Reader.faults());
    Update.Config = readConfigUpdate(Item);
  }
  if (Reader.findArray("path"))
    Response.Path = readNodeIds(Reader, "path");
  Response.ConfigVersion = detail::readUnsigned(Reader, "version", 0);
  std::int64_t Slot = Reader.readInteger("free_slot", -1, 1000, -1);
  if (Slot >= 0)
    Response.FreeSlot = std::uint32_t(Slot);
  return Response;
}

result<sync_response> decodeSyncResponse(std::string_view Text) {
  return detail::decodeObject(Text, "sync response", readSyncResponse);
}

std::string encode(const sync_response &Response) {
  const state_update &Update = Response.Update;
  json Json{{"number", Update.Cursor.Sequence}};
  if (Update.Cursor.Epoch)
    Json["epoch"] = Update.Cursor.Epoch;
  if (Response.Path)
    Json["path"] = nodesToJson(*Response.Path);
  if (Response.ConfigVersion)
    Json["version"] = Response.ConfigVersion;
  if (Update.IsSnapshot)
    Json["snapshot"] = true;
  for (const live_value &Value : Update.LiveValues)
    Json["live"].push_back(toJson(Value));
  if (Update.Config)
    Json["config"] = toJson(*Update.Config);
  if (Response.FreeSlot)
    Json["free_slot"] = *Response.FreeSlot;
  if (Response.Resync)
    Json["resync"] = true;
  for (std::size_t Bucket : Update.SnapshotBuckets)
    Json["buckets"].push_back(Bucket);
  return appendRecords(Json.dump(), Update.Members);
}

static upstream_message readUpstreamMessage(object_reader &Reader) {
  upstream_message Message;
  Message.From = readIdentity(Reader);
  Message.Members = readBoundedList(Reader, "members", readRecord);
  return Message;
}

result<upstream_message> decodeUpstreamMessage(std::string_view Text) {
  return detail::decodeObject(Text, "up message", readUpstreamMessage);
}

std::string encode(const upstream_message &Message) {
  return appendRecords(toJson(Message.From).dump(), Message.Members);
}

result<peer_identity> decodeAttachRequest(std::string_view Text) {
  return detail::decodeObject(Text, "attach request", readIdentity);
}

std::string encode(const peer_identity &From) { return toJson(From).dump(); }

static attach_response readAttachResponse(object_reader &Reader) {
  attach_response Response;
  Response.Verdict =
      readEnum<attach_response::verdict>(Reader, "verdict", VerdictNames);
  Response.Path = readNodeIds(Reader, "path");
  if (Response.Verdict == attach_response::verdict::Redirected)
    Response.RedirectTo = Reader.readAddress("redirect");
  Response.RetryAfter =
      Reader.readDuration("retry_after_ms", std::chrono::milliseconds(0),
                          std::chrono::milliseconds(60000),
                          std::optional(std::chrono::milliseconds(0)));
  return Response;
}

result<attach_response> decodeAttachResponse(std::string_view Text) {
  return detail::decodeObject(Text, "attach response", readAttachResponse);
}

std::string encode(const attach_response &Response) {
  json Json{{"verdict", VerdictNames[unsigned(Response.Verdict)]},
            {"path", nodesToJson(Response.Path)},
            {"retry_after_ms", Response.RetryAfter.count()}};
  if (Response.Verdict == attach_response::verdict::Redirected)
    Json["redirect"] = Response.RedirectTo.str();
  return Json.dump();
}

static relay_entry readRelayEntry(object_reader &Reader) {
  relay_entry Relay;
  Relay.Node = node_id(Reader.readString("node"));
  Relay.Zone = zone_name(Reader.readString("zone"));
  Relay.ControlAddress = Reader.readAddress("control");
  return Relay;
}

static std::vector<relay_entry> readRelays(object_reader &Reader) {
  return readBoundedList(Reader, "relays", readRelayEntry);
}

result<std::vector<relay_entry>> decodeRelayList(std::string_view Text) {
  return detail::decodeObject(Text, "relay list", readRelays);
}

std::string encode(const std::vector<relay_entry> &Relays) {
  json Array = json::array();
  for (const relay_entry &Relay : Relays)
    Array.push_back({{"node", Relay.Node.str()},
                     {"zone", Relay.Zone.str()},
                     {"control", Relay.ControlAddress.str()}});
  return json{{"relays", Array}}.dump();
}

} // namespace gentianlug::wire
