#include "gentianlug/core/text.h"
#include "gentianlug/gateway/peer_call.h"

#include <cstdlib>

using namespace gentianlug;

/// Removes the first line from \p Text and returns it without the line feed.
static std::string takeLine(std::string_view &Text) {
  std::size_t End = Text.find('\n');
  std::string Line(Text.substr(0, End));
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Line;
}

/// Decodes the input as the headers between nodes, and checks that a call with
/// names from the input is unchanged after encoding and decoding, or refused if
/// they are no text.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  http1::request Request;
  Request.Headers.add("gl-call", std::string(Text));
  (void)gateway::extractPeerCall(Request);
  http1::response Response;
  Response.Headers.add("gl-serving", std::string(Text));
  (void)gateway::decodeServingResult(std::move(Response));

  gateway::peer_call Call;
  Call.Instance = takeLine(Text);
  Call.Route = route_name(takeLine(Text));
  Call.CallerService = service_name(takeLine(Text));
  Call.CallId = takeLine(Text);
  http1::request Forwarded;
  gateway::writePeerCall(Forwarded, Call);
  auto Decoded = gateway::extractPeerCall(Forwarded);
  bool IsText = isValidUtf8(Call.Instance) && isValidUtf8(Call.Route.str()) &&
                isValidUtf8(Call.CallerService.str());
  if (Decoded.has_value() != IsText || (Decoded && *Decoded != Call))
    std::abort();
  return 0;
}
