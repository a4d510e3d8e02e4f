#include "codecs.h"
#include "field_reader.h"
#include "settings.h"

#include <cstdlib>

using namespace gentianlug;

/// Decodes a record of a server; what a node stores, all must read alike.
static void checkServer(const adapter::stored_object &Object) {
  auto Record = adapter::decodeServer(Object);
  if (!Record)
    return;
  adapter::stored_object Next = Object;
  Next.Spec = adapter::encodeServer(*Record);
  auto Again = adapter::decodeServer(Next);
  if (!Again || *Again != *Record)
    std::abort();
}

/// Decodes any text as each value that the platform or a server sends.
// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  (void)adapter::decodeSettings(Text);
  (void)adapter::decodeAnnouncement(Text, "instance");
  nlohmann::json Value = adapter::parseJson(Text);
  (void)adapter::decodeConfiguration(Value);
  adapter::stored_object Own;
  Own.Name = "node";
  Own.Spec = Value;
  Own.Status = Value;
  (void)adapter::decodeRollout(Own);
  checkServer(Own);
  if (auto Object = adapter::decodeObject(Value)) {
    (void)adapter::decodeRollout(*Object);
    checkServer(*Object);
  }
  return 0;
}
