#include "gentianlug/mesh/usage_duty.h"

namespace gentianlug::mesh {

/// Progress after \p Window has been left out.
static usage_progress skippedTo(usage_window Window) {
  return {Window, std::nullopt, true};
}

usage_action nextUsageStep(const usage_progress &Stored,
                           const usage_collector &Collected,
                           const std::set<node_id> &Expected,
                           const usage_terms &Terms, wall_time Now,
                           bool CountsMayBeOnTheWay) {
  usage_window Current = Terms.windowAt(Now);
  if (Stored.DecidedWindow == 0)
    return {usage_step::Decide,
            skippedTo(Collected.oldestWindow().value_or(Current) - 1), 0, 0};
  usage_window OldestKept = Current - KeptUsageWindows + 1;
  bool Pending = !Stored.IsAccepted && Stored.Calls;
  if (Pending && Stored.DecidedWindow >= OldestKept)
    return {usage_step::Report, Stored, 0, 0};
  usage_window Window = Stored.DecidedWindow + 1;
  if (Window < OldestKept)
    return {usage_step::Decide, skippedTo(OldestKept - 1), OldestKept - Window,
            0};
  wall_time End = Terms.endOf(Window);
  if (Now < End)
    return {};
  usage_total Total = Collected.total(Window, Expected);
  if (Total.MissingNodes > 0 &&
      (CountsMayBeOnTheWay || Now < End + Terms.ReportDeadline / 2))
    return {};
  if (Total.UncertainNodes * 2 > Expected.size())
    return {usage_step::Decide, skippedTo(Window), 1, Total.UncertainNodes};
  return {usage_step::Decide,
          {Window, std::move(Total.Calls), false},
          0,
          Total.UncertainNodes};
}

} // namespace gentianlug::mesh
