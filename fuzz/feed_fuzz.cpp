#include "gentianlug/gateway/mesh_feed.h"
#include "gentianlug/gateway/usage_messages.h"

#include <cstdlib>

using namespace gentianlug;

/// Decodes the input. An accepted value must be unchanged by another encoding
/// and decoding, because nodes forward decoded values to each other.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  auto Value = gateway::GENTIANLUG_FUZZ_DECODER(Text);
  if (!Value)
    return 0;
  std::string Encoded = gateway::GENTIANLUG_FUZZ_ENCODER(*Value);
  auto Redecoded = gateway::GENTIANLUG_FUZZ_DECODER(Encoded);
  if (!Redecoded || gateway::GENTIANLUG_FUZZ_ENCODER(*Redecoded) != Encoded)
    std::abort();
  return 0;
}
