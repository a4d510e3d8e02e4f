#include "gentianlug/distribution/tree_attachment.h"

#include <algorithm>

namespace gentianlug::distribution {

using std::chrono::milliseconds;

/// Mean delay before the next search after all relays have failed.
static constexpr milliseconds SearchDelay{1000};

/// Mean delay before an attach request to the next relay, so that the children
/// of a failed relay do not attach to another one simultaneously.
static constexpr milliseconds ReattachDelay{200};

/// How long a parent without a path to a root is kept. If it finds a new parent
/// in this time, its subtree does not have to attach again.
static constexpr milliseconds NoRootPathLimit{3000};

tree_attachment::tree_attachment(node_id Self, zone_name Zone)
    : Self(std::move(Self)), Zone(std::move(Zone)) {}

attach_action tree_attachment::next(steady_time Now) {
  if (OperationInFlight || Now < NextOperation)
    return {};
  OperationInFlight = true;
  if (Attached)
    return {attach_operation::Poll, Target};
  if (HasTarget)
    return {attach_operation::Attach, Target};
  return {attach_operation::FindRelays, {}};
}

void tree_attachment::onRelays(const std::vector<relay_entry> &Relays,
                               steady_time Now, generator &Gen) {
  Candidates.clear();
  for (const relay_entry &Relay : Relays)
    if (Relay.Node != Self)
      Candidates.push_back(Relay);
  std::shuffle(Candidates.begin(), Candidates.end(), Gen);
  std::stable_partition(
      Candidates.begin(), Candidates.end(),
      [&](const relay_entry &Relay) { return Relay.Zone == Zone; });
  OwnZoneTried = true;
  OwnZoneAnswered = false;
  tryNextCandidate(Now, Gen);
  if (HasTarget)
    NextOperation = Now;
}

void tree_attachment::tryNextCandidate(steady_time Now, generator &Gen) {
  OperationInFlight = false;
  Attached = false;
  ParentPath.clear();
  Redirects = 0;
  HasTarget = !Candidates.empty();
  if (!HasTarget) {
    NextOperation = Now + drawJitter(Gen, SearchDelay);
    return;
  }
  Target = Candidates.front().ControlAddress;
  TargetInOwnZone = Candidates.front().Zone == Zone;
  Candidates.pop_front();
  NextOperation = Now + drawJitter(Gen, ReattachDelay);
}

bool tree_attachment::isLoopFree(
    const std::vector<node_id> &NewParentPath) const {
  return std::find(NewParentPath.begin(), NewParentPath.end(), Self) ==
         NewParentPath.end();
}

void tree_attachment::onAttachResponse(const attach_response &Response,
                                       steady_time Now, generator &Gen) {
  OperationInFlight = false;
  OwnZoneAnswered = OwnZoneAnswered || TargetInOwnZone;
  switch (Response.Verdict) {
  case attach_response::verdict::Admitted:
    if (!isLoopFree(Response.Path))
      return tryNextCandidate(Now, Gen);
    Attached = true;
    ParentPath = Response.Path;
    LastRootPathTime = Now;
    NextOperation = Now;
    return;
  case attach_response::verdict::Redirected:
    if (++Redirects > MaxRedirects)
      return tryNextCandidate(Now, Gen);
    Target = Response.RedirectTo;
    NextOperation = Now;
    return;
  case attach_response::verdict::Refused:
    // A relay without a path to the root cannot admit children.
    if (Response.Path.empty())
      return tryNextCandidate(Now, Gen);
    NextOperation = Now + drawJitter(Gen, Response.RetryAfter);
    return;
  }
}

void tree_attachment::onAttachFailed(steady_time Now, generator &Gen) {
  tryNextCandidate(Now, Gen);
}

void tree_attachment::onPollResponse(const std::vector<node_id> &NewParentPath,
                                     steady_time Now, generator &Gen) {
  OperationInFlight = false;
  if (!isLoopFree(NewParentPath))
    return tryNextCandidate(Now, Gen);
  if (!NewParentPath.empty())
    LastRootPathTime = Now;
  else if (Now - LastRootPathTime >= NoRootPathLimit)
    return tryNextCandidate(Now, Gen);
  ParentPath = NewParentPath;
  NextOperation = Now;
}

void tree_attachment::onPollFailed(steady_time Now, generator &Gen) {
  tryNextCandidate(Now, Gen);
}

void tree_attachment::detach(steady_time Now, milliseconds Delay) {
  OperationInFlight = false;
  Attached = false;
  HasTarget = false;
  ParentPath.clear();
  Candidates.clear();
  NextOperation = Now + Delay;
}

} // namespace gentianlug::distribution
