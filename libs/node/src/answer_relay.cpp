#include "answer_relay.h"

namespace gentianlug::node {

bool answer_relay::onPart(std::string_view Part,
                          const net::http_exchange &Reader) {
  if (Streaming)
    return Reader.sendPart(Part) > MaxWaitingBytes;
  Answer->Body += Part;
  if (Answer->Body.size() <= MaxCollectedBytes)
    return false;
  Streaming = true;
  std::string Collected = std::exchange(Answer->Body, {});
  Reader.start(*Answer);
  return Reader.sendPart(Collected) > MaxWaitingBytes;
}

} // namespace gentianlug::node
