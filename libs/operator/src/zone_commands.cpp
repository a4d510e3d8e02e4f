#include "command_groups.h"
#include "detail/conditional_update.h"
#include "facts.h"
#include "gentianlug/operator/mesh_reader.h"
#include "gentianlug/operator/state_changes.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/wire/platform_values.h"
#include "text.h"

namespace gentianlug::operator_cli {

using store::zone_state;

static void addFacts(const zone_state &State, command_report &Report) {
  Report.ReportJson["zones_out"] = nlohmann::json::array();
  for (const auto &[Zone, Out] : State.OutOfService)
    Report.ReportJson["zones_out"].push_back(toReportJson(Zone, Out));
}

static result<command_report> reportZones(command_context &Context) {
  auto State = readZones(Context.Store);
  if (!State)
    return State.failure();
  command_report Report;
  for (const auto &[Zone, Out] : State->OutOfService)
    Report.add(describe(Zone, Out));
  if (State->OutOfService.empty())
    Report.add("No zone is out.");
  addFacts(*State, Report);
  return Report;
}

static std::string describeState(const zone_state &State) {
  std::string Text;
  for (const auto &[Zone, Out] : State.OutOfService)
    Text += (Text.empty() ? "" : " ") + describe(Zone, Out);
  return Text.empty() ? "No zone is out." : Text;
}

/// Bringing a zone back needs no configuration, so that it works also while
/// the version in force cannot be read.
static result<std::set<zone_name>> zonesForMove(command_context &Context,
                                                bool TakeOut) {
  if (!TakeOut)
    return std::set<zone_name>{};
  auto Head = readHead(Context.Store);
  if (!Head)
    return Head.failure();
  return readZoneNames(Context.Store, Head->Head);
}

static result<command_report> moveZone(command_context &Context,
                                       const zone_name &Zone, bool TakeOut) {
  auto Known = zonesForMove(Context, TakeOut);
  if (!Known)
    return Known.failure();
  change_request Request{Context.Options.Author, Context.Options.Reason,
                         drawHexId(Context.Gen), Context.Driver.wallNow()};
  auto Decision = detail::updateConditionally<zone_state>(
      Context.Store, store::ZonesKey, wire::decodeZoneState,
      [&](const zone_state *Current) {
        return decideZoneChange(Current, *Known, Zone, TakeOut, Request);
      },
      describeState);
  if (!Decision)
    return Decision.failure();
  if (Decision->Kind == update_action::Refused)
    return makeError(operator_errc::Refused, Decision->Reason);
  command_report Report;
  if (Decision->Kind == update_action::Unchanged)
    Report.add("Nothing to do: " + Decision->Reason + ".");
  else if (TakeOut)
    Report.add("Zone " + Zone.str() +
               " is taken out; it gets no new work within 3 s.");
  else
    Report.add("Zone " + Zone.str() +
               " is back; its share of the calls grows over 10 s.");
  Report.ReportJson["changed"] = Decision->Kind == update_action::Write;
  addFacts(Decision->Next, Report);
  return Report;
}

result<command_report> runZone(command_context &Context) {
  const std::vector<std::string> &Words = Context.Options.Arguments;
  if (Words.size() == 2 && Words[1] == "status")
    return reportZones(Context);
  if (Words.size() == 3 && Words[1] == "out")
    return moveZone(Context, zone_name(Words[2]), true);
  if (Words.size() == 3 && Words[1] == "in")
    return moveZone(Context, zone_name(Words[2]), false);
  return makeError(operator_errc::BadArguments,
                   "zone takes status, out ZONE or in ZONE");
}

} // namespace gentianlug::operator_cli
