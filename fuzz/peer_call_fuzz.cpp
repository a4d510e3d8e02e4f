#include "gentianlug/gateway/peer_call.h"

#include <cstdlib>

using namespace gentianlug;

/// Takes the next part of \p Text up to a line feed.
static std::string takePart(std::string_view &Text) {
  std::size_t End = Text.find('\n');
  std::string Part(Text.substr(0, End));
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Part;
}

/// Reads any text as the call field, and passes any names from node to node.
// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  http1::request Request;
  Request.Headers.add("gl-call", std::string(Text));
  (void)gateway::extractPeerCall(Request);
  http1::response Answer;
  Answer.Headers.add("gl-serving", std::string(Text));
  (void)gateway::decodeServingResult(std::move(Answer));

  gateway::peer_call Call;
  Call.Instance = takePart(Text);
  Call.Route = route_name(takePart(Text));
  Call.CallerService = service_name(takePart(Text));
  Call.CallId = takePart(Text);
  http1::request Next;
  gateway::writePeerCall(Next, Call);
  auto Taken = gateway::extractPeerCall(Next);
  if (!Taken || *Taken != Call)
    std::abort();
  return 0;
}
