#include "response_forwarder.h"

namespace gentianlug::node {

bool response_forwarder::onPart(std::string_view Part,
                                const net::http_exchange &Reader) {
  if (Streaming)
    return Reader.sendPart(Part) > MaxStreamBacklogBytes;
  Response->Body += Part;
  if (Response->Body.size() <= MaxBufferedResponseBytes)
    return false;
  Streaming = true;
  std::string Collected = std::exchange(Response->Body, {});
  Reader.start(*Response);
  return Reader.sendPart(Collected) > MaxStreamBacklogBytes;
}

void response_forwarder::collect(std::string_view Part) {
  if (Response->Body.size() + Part.size() > MaxBufferedResponseBytes)
    Overflowed = true;
  else
    Response->Body += Part;
}

} // namespace gentianlug::node
