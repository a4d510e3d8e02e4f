#include "gentianlug/config/explain.h"
#include "gentianlug/config/parts.h"

#include <cstdlib>

using namespace gentianlug;
using namespace gentianlug::config;

/// Separates the base from the overlay within an input.
static constexpr std::string_view Separator = "\n---\n";

static void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// Compiles the input as a base with an overlay. Each fault must have a reason
/// and a line; a valid configuration must be unchanged after it was split into
/// objects and reassembled, as for its transfer through the platform.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  auto SeparatorStart = Text.find(Separator);
  source_file Base{"base", Text.substr(0, SeparatorStart)};
  source_file Overlay{"overlay", "{}"};
  if (SeparatorStart != std::string::npos)
    Overlay.Text = Text.substr(SeparatorStart + Separator.size());
  site_name Site("site");
  compile_output Output =
      compileAll({Base, {{Site, Overlay}}, wall_time{}, {}});
  for (const compile_fault &Fault : Output.Faults)
    require(!Fault.Reason.empty() && Fault.Line > 0);
  if (!Output.Faults.empty())
    return 0;
  part_map Parts = splitIntoParts(Output.Sites.front());
  auto Assembled = assemble(Parts, rootHash(hashesOf(Parts)));
  require(bool(Assembled) && *Assembled == Output.Sites.front());
  require(bool(
      explainPath(Site, Base, Overlay, "zone_round_trip_us", wall_time{})));
  return 0;
}
