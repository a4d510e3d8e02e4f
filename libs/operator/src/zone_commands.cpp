#include "command_groups.h"
#include "detail/conditional_update.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/state_changes.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "report_json.h"
#include "report_text.h"

namespace gentianlug::operator_cli {

using store::zone_state;

static void addZonesOut(const zone_state &State, command_report &Report) {
  Report.ReportJson["zones_out"] = nlohmann::json::array();
  for (const auto &[Zone, Out] : State.OutOfService)
    Report.ReportJson["zones_out"].push_back(toReportJson(Zone, Out));
}

static result<command_report> reportZones(command_context &Context) {
  auto State = readZoneState(Context.Store);
  if (!State)
    return State.failure();
  command_report Report;
  for (const auto &[Zone, Out] : State->OutOfService)
    Report.add(describe(Zone, Out));
  if (State->OutOfService.empty())
    Report.add("No zone is out.");
  addZonesOut(*State, Report);
  return Report;
}

static std::string describeZonesOut(const zone_state &State) {
  std::string Text;
  for (const auto &[Zone, Out] : State.OutOfService)
    Text += (Text.empty() ? "" : " ") + describe(Zone, Out);
  return Text.empty() ? "No zone is out." : Text;
}

/// Reads the zone names that taking a zone out is checked against. Returning a
/// zone to service skips this, so that it also works while the configuration in
/// force cannot be read.
static result<std::set<zone_name>> readConfiguredZones(command_context &Context,
                                                       bool TakeOut) {
  if (!TakeOut)
    return std::set<zone_name>{};
  auto Head = readHead(Context.Store);
  if (!Head)
    return Head.failure();
  return readZoneNames(Context.Store, Head->Head);
}

static result<command_report> changeZone(command_context &Context,
                                         const zone_name &Zone, bool TakeOut) {
  auto ConfiguredZones = readConfiguredZones(Context, TakeOut);
  if (!ConfiguredZones)
    return ConfiguredZones.failure();
  change_request Request{Context.Options.Author, Context.Options.Reason,
                         drawHexId(Context.Gen), Context.Driver.wallNow()};
  auto Decision = detail::updateConditionally<zone_state>(
      Context.Store, store::ZonesKey, wire::decodeZoneState,
      [&](const zone_state *Current) {
        return decideZoneChange(Current, *ConfiguredZones, Zone, TakeOut,
                                Request);
      },
      describeZonesOut);
  if (!Decision)
    return Decision.failure();
  if (Decision->Action == update_action::Refused)
    return makeError(operator_errc::Refused, Decision->Reason);
  command_report Report;
  if (Decision->Action == update_action::Unchanged)
    Report.add("Nothing to do: " + Decision->Reason + ".");
  else if (TakeOut)
    Report.add("Zone " + Zone.str() +
               " is taken out; it gets no new work within 3 s.");
  else
    Report.add("Zone " + Zone.str() +
               " is back; its share of the calls grows over 10 s.");
  Report.ReportJson["changed"] = Decision->Action == update_action::Write;
  addZonesOut(Decision->Next, Report);
  return Report;
}

result<command_report> runZone(command_context &Context) {
  const std::vector<std::string> &Arguments = Context.Options.Arguments;
  if (Arguments.size() == 2 && Arguments[1] == "status")
    return reportZones(Context);
  if (Arguments.size() == 3 && Arguments[1] == "out")
    return changeZone(Context, zone_name(Arguments[2]), true);
  if (Arguments.size() == 3 && Arguments[1] == "in")
    return changeZone(Context, zone_name(Arguments[2]), false);
  return makeError(operator_errc::BadArguments,
                   "zone takes status, out ZONE or in ZONE");
}

} // namespace gentianlug::operator_cli
