#include "response_forwarder.h"

namespace gentianlug::node {

bool response_forwarder::onPart(std::string_view Part,
                                const net::http_exchange &Client) {
  if (Streaming)
    return Client.sendBodyPart(Part) > MaxStreamBacklogBytes;
  Response->Body += Part;
  if (Response->Body.size() <= MaxBufferedResponseBytes)
    return false;
  Streaming = true;
  std::string Buffered = std::exchange(Response->Body, {});
  Client.start(*Response);
  return Client.sendBodyPart(Buffered) > MaxStreamBacklogBytes;
}

void response_forwarder::appendBuffered(std::string_view Part) {
  if (Response->Body.size() + Part.size() > MaxBufferedResponseBytes)
    Overflowed = true;
  else
    Response->Body += Part;
}

} // namespace gentianlug::node
