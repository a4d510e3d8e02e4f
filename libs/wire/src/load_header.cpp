#include "gentianlug/wire/load_header.h"

#include <charconv>

namespace gentianlug::wire {

std::string encodeLoad(const routing::reported_load &Load) {
  return std::to_string(Load.InFlight) + "/" + std::to_string(Load.Limit) +
         "/" + std::to_string(Load.Queued);
}

std::optional<routing::reported_load> decodeLoad(std::string_view Value) {
  std::uint32_t Numbers[3] = {};
  for (std::uint32_t &Number : Numbers) {
    auto Start = Value.find_first_of("0123456789");
    if (Start == std::string_view::npos)
      return std::nullopt;
    Value.remove_prefix(Start);
    auto [End, Failure] =
        std::from_chars(Value.data(), Value.data() + Value.size(), Number);
    if (Failure != std::errc())
      return std::nullopt;
    Value.remove_prefix(std::size_t(End - Value.data()));
  }
  return routing::reported_load{Numbers[0], Numbers[1], Numbers[2]};
}

} // namespace gentianlug::wire
