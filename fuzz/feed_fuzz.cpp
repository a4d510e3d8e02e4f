#include "gentianlug/gateway/mesh_feed.h"

#include <cstdlib>

using namespace gentianlug;

/// Decodes any text. What one node decodes, the next must decode too.
// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  auto Value = gateway::GENTIANLUG_FUZZ_DECODER(Text);
  if (!Value)
    return 0;
  std::string Encoded = gateway::GENTIANLUG_FUZZ_ENCODER(*Value);
  auto Again = gateway::GENTIANLUG_FUZZ_DECODER(Encoded);
  if (!Again || gateway::GENTIANLUG_FUZZ_ENCODER(*Again) != Encoded)
    std::abort();
  return 0;
}
