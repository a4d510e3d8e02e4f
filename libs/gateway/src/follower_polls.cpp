#include "follower_polls.h"

#include <string>
#include <utility>

namespace gentianlug::gateway {

void follower_polls::add(std::shared_ptr<http1::exchange> Exchange,
                         const feed_cursor &Since, bool Complete,
                         steady_time Now, steady_time Deadline) {
  if (Polls.size() >= MaxPendingPolls)
    return Exchange->respond(
        http1::makeStatusResponse(poll_status::Unavailable));
  pending_poll Poll{std::move(Exchange), Since, Now, Deadline};
  if (!Complete || !respondIfChanged(Poll))
    Polls.push_back(std::move(Poll));
}

void follower_polls::respond(const pending_poll &Poll,
                             http1::response Response) const {
  if (ConfirmedAt) {
    auto Offset = std::chrono::floor<std::chrono::milliseconds>(
        *ConfirmedAt - Poll.ReceivedAt);
    Response.Headers.add(ConfirmedHeader, std::to_string(Offset.count()));
  }
  Poll.Exchange->respond(std::move(Response));
}

bool follower_polls::respondIfChanged(const pending_poll &Poll) {
  auto Update = State.changesSince(Poll.Cursor);
  if (!Update)
    return false;
  http1::response Response = http1::makeStatusResponse(poll_status::Ok);
  Response.Body = encodeUpdate(*Update);
  respond(Poll, std::move(Response));
  return true;
}

void follower_polls::respondToChanges() {
  std::erase_if(
      Polls, [&](const pending_poll &Each) { return respondIfChanged(Each); });
}

void follower_polls::expire(int Status, steady_time Now) {
  std::erase_if(Polls, [&](pending_poll &Each) {
    if (Now < Each.Deadline)
      return false;
    respond(Each, http1::makeStatusResponse(Status));
    return true;
  });
}

void follower_polls::respondToAll(int Status) {
  for (const pending_poll &Each : std::exchange(Polls, {}))
    respond(Each, http1::makeStatusResponse(Status));
}

} // namespace gentianlug::gateway
