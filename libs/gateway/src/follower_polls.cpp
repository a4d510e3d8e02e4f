#include "follower_polls.h"

#include <utility>

namespace gentianlug::gateway {

void follower_polls::add(std::shared_ptr<http1::exchange> Exchange,
                         const feed_cursor &Since, bool Complete,
                         steady_time Deadline) {
  if (Polls.size() >= MaxPendingPolls)
    return Exchange->respond(
        http1::makeStatusResponse(poll_status::Unavailable));
  if (!Complete || !respondIfChanged(*Exchange, Since))
    Polls.push_back({std::move(Exchange), Since, Deadline});
}

bool follower_polls::respondIfChanged(http1::exchange &Exchange,
                                      const feed_cursor &Since) {
  auto Update = State.changesSince(Since);
  if (!Update)
    return false;
  http1::response Response = http1::makeStatusResponse(poll_status::Ok);
  Response.Body = encodeUpdate(*Update);
  Exchange.respond(std::move(Response));
  return true;
}

void follower_polls::respondToChanges() {
  std::erase_if(Polls, [&](pending_poll &Each) {
    return respondIfChanged(*Each.Exchange, Each.Cursor);
  });
}

void follower_polls::expire(int Status, steady_time Now) {
  std::erase_if(Polls, [&](pending_poll &Each) {
    if (Now < Each.Deadline)
      return false;
    Each.Exchange->respond(http1::makeStatusResponse(Status));
    return true;
  });
}

void follower_polls::rejectAll(int Status) {
  for (pending_poll &Each : std::exchange(Polls, {}))
    Each.Exchange->respond(http1::makeStatusResponse(Status));
}

} // namespace gentianlug::gateway
