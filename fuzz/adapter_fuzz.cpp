#include "codecs.h"
#include "field_reader.h"
#include "settings.h"
#include "usage_duty_client.h"

#include <algorithm>
#include <cstdlib>

using namespace gentianlug;

/// Checks that a server record is unchanged by encoding and decoding, since all
/// nodes must read the records that one node stores.
static void checkServer(const adapter::stored_object &Object) {
  auto Record = adapter::decodeServer(Object);
  if (!Record)
    return;
  adapter::stored_object Reencoded = Object;
  Reencoded.Spec = adapter::encodeServer(*Record);
  auto Redecoded = adapter::decodeServer(Reencoded);
  if (!Redecoded || *Redecoded != *Record)
    std::abort();
}

/// Encodes what was decoded, as the node does for the store: the encoder throws
/// on text that is not UTF-8.
static void encodeAnnounced(std::string_view Text, const std::string &Id) {
  auto Announcement = adapter::decodeAnnouncement(Text, Id);
  if (!Announcement)
    return;
  mesh::server_record Record;
  Record.Instance = Announcement->Instance;
  Record.Service = Announcement->Service;
  Record.Version = Announcement->Version;
  Record.Zone = Announcement->Zone;
  (void)adapter::encodeServer(Record).dump();
}

/// Reads the input as the path and the body of a message to the node, separated
/// by a line feed.
static void decodeMessage(std::string_view Text) {
  std::size_t End = std::min(Text.find('\n'), Text.size());
  std::string Target = "/instances/" + std::string(Text.substr(0, End)) + "/x";
  auto Id = adapter::decodeInstanceId(Target, "/x");
  if (Id)
    encodeAnnounced(Text.substr(std::min(End + 1, Text.size())), *Id);
}

/// Reads the input as a response of the store and encodes what was decoded.
static void decodeStoreResponse(std::string_view Text) {
  nlohmann::json Value = adapter::parseSharedJson(Text);
  auto Object = adapter::decodeObject(Value, store_era{});
  if (!Object)
    return;
  (void)adapter::percentEncode(Object->Name);
  if (auto Server = adapter::decodeServer(*Object))
    (void)adapter::encodeServer(*Server).dump();
  if (auto Rollout = adapter::decodeRollout(*Object))
    (void)adapter::encodeRolloutStatus(*Rollout).dump();
}

/// Checks that the object of the usage duty is unchanged by encoding and
/// decoding, since the next holder continues with what it decodes.
static void checkUsageDuty(const nlohmann::json &Value) {
  auto Duty = adapter::decodeUsageDuty(Value);
  if (!Duty)
    return;
  auto Redecoded = adapter::decodeUsageDuty(adapter::encodeUsageDuty(*Duty));
  if (!Redecoded || Redecoded->Lease != Duty->Lease ||
      Redecoded->Progress != Duty->Progress)
    std::abort();
}

/// Feeds the input to each decoder for values from the platform or a server.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  (void)adapter::decodeSettings(Text);
  decodeMessage(Text);
  decodeStoreResponse(Text);
  nlohmann::json Value = adapter::parseJson(Text);
  (void)adapter::decodeConfiguration(Value);
  checkUsageDuty(Value);
  adapter::stored_object Synthetic;
  Synthetic.Name = "node";
  Synthetic.Spec = Value;
  Synthetic.Status = Value;
  (void)adapter::decodeRollout(Synthetic);
  checkServer(Synthetic);
  if (auto Object = adapter::decodeObject(Value, store_era{})) {
    (void)adapter::decodeRollout(*Object);
    checkServer(*Object);
  }
  return 0;
}
