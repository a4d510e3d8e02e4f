#include "gentianlug/wire/control_messages.h"
#include "gentianlug/wire/lease_values.h"
#include "gentianlug/wire/load_header.h"
#include "gentianlug/wire/platform_messages.h"
#include "gentianlug/wire/platform_values.h"
#include "gentianlug/wire/rollout_values.h"
#include "gentianlug/wire/server_announcement.h"

#include <cstdlib>

using namespace gentianlug;

namespace gentianlug::wire {

[[maybe_unused]] static std::string encode(object_revision Revision) {
  return encodeRevision(Revision);
}

[[maybe_unused]] static std::string encode(const routing::reported_load &Load) {
  return encodeLoad(Load);
}

} // namespace gentianlug::wire

/// Decodes the input. An accepted value must be unchanged by another encoding
/// and decoding, because processes forward decoded values to each other.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  auto Value = wire::GENTIANLUG_FUZZ_DECODER(Text);
  if (!Value)
    return 0;
  std::string Encoded = wire::encode(*Value);
  auto Redecoded = wire::GENTIANLUG_FUZZ_DECODER(Encoded);
  if (!Redecoded || wire::encode(*Redecoded) != Encoded)
    std::abort();
  return 0;
}
