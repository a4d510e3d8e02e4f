#include "command_groups.h"
#include "detail/conditional_update.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/state_changes.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/rollout_values.h"
#include "report_json.h"
#include "report_text.h"

namespace gentianlug::operator_cli {

using rollout::rollout_state;

static result<command_report> reportState(command_context &Context,
                                          const service_name &Service) {
  auto Observed = detail::observe(Context.Store, store::rolloutKey(Service),
                                  wire::decodeRolloutState);
  if (!Observed)
    return Observed.failure();
  command_report Report;
  if (!Observed->Value) {
    Report.add("No rollout of " + Service.str() + " has started.");
    Report.ReportJson["rollout"] = nullptr;
    return Report;
  }
  wall_time Now = Context.Driver.wallNow();
  Report.add(describe(*Observed->Value, Now));
  Report.ReportJson["rollout"] = toReportJson(*Observed->Value, Now);
  return Report;
}

static result<command_report> changeRollout(command_context &Context,
                                            const service_name &Service,
                                            rollout_action Action) {
  change_request Request{Context.Options.Author, Context.Options.Reason,
                         drawHexId(Context.Gen), Context.Driver.wallNow()};
  auto Decision = detail::updateConditionally<rollout_state>(
      Context.Store, store::rolloutKey(Service), wire::decodeRolloutState,
      [&](const rollout_state *Current) {
        return decideRolloutAction(Current, Action, Request);
      },
      [&](const rollout_state &State) { return describe(State, Request.Now); });
  if (!Decision)
    return Decision.failure();
  if (Decision->Action == update_action::Refused)
    return makeError(operator_errc::Refused, Decision->Reason);
  command_report Report;
  if (Decision->Action == update_action::Unchanged)
    Report.add("Nothing to do: " + Decision->Reason + ".");
  Report.add(describe(Decision->Next, Request.Now));
  Report.ReportJson["changed"] = Decision->Action == update_action::Write;
  Report.ReportJson["rollout"] = toReportJson(Decision->Next, Request.Now);
  return Report;
}

result<command_report> runRollout(command_context &Context) {
  const std::vector<std::string> &Arguments = Context.Options.Arguments;
  if (Arguments.size() != 3)
    return makeError(operator_errc::BadArguments,
                     "rollout takes status, pause, resume or take-back and a "
                     "service");
  service_name Service(Arguments[2]);
  if (Arguments[1] == "status")
    return reportState(Context, Service);
  if (Arguments[1] == "pause")
    return changeRollout(Context, Service, rollout_action::Pause);
  if (Arguments[1] == "resume")
    return changeRollout(Context, Service, rollout_action::Resume);
  if (Arguments[1] == "take-back")
    return changeRollout(Context, Service, rollout_action::RollBack);
  return makeError(operator_errc::BadArguments,
                   "unknown rollout command \"" + Arguments[1] + "\"");
}

} // namespace gentianlug::operator_cli
