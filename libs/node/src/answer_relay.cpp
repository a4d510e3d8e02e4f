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

void answer_relay::collect(std::string_view Part) {
  if (Answer->Body.size() + Part.size() > MaxCollectedBytes)
    Overflowed = true;
  else
    Answer->Body += Part;
}

} // namespace gentianlug::node
