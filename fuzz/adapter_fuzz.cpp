#include "codecs.h"
#include "field_reader.h"
#include "settings.h"

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

/// Feeds the input to each decoder for values from the platform or a server.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  (void)adapter::decodeSettings(Text);
  (void)adapter::decodeAnnouncement(Text, "instance");
  nlohmann::json Value = adapter::parseJson(Text);
  (void)adapter::decodeConfiguration(Value);
  adapter::stored_object Synthetic;
  Synthetic.Name = "node";
  Synthetic.Spec = Value;
  Synthetic.Status = Value;
  (void)adapter::decodeRollout(Synthetic);
  checkServer(Synthetic);
  if (auto Object = adapter::decodeObject(Value)) {
    (void)adapter::decodeRollout(*Object);
    checkServer(*Object);
  }
  return 0;
}
