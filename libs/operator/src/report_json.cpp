#include "report_json.h"

#include "report_text.h"

namespace gentianlug::operator_cli {

using nlohmann::json;

std::int64_t unixMilliseconds(wall_time Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

json toReportJson(const store::accepted_version &Version) {
  return {{"version", Version.Version},
          {"author", Version.Author},
          {"reason", Version.Reason},
          {"accepted_at_ms", unixMilliseconds(Version.AcceptedAt)}};
}

json toReportJson(const config::compile_fault &Fault) {
  return {{"file", Fault.File},
          {"line", Fault.Line},
          {"path", Fault.Path},
          {"reason", Fault.Reason}};
}

json toReportJson(const config::config_change &Change) {
  static constexpr const char *Kinds[] = {"added", "changed", "removed"};
  json Fields = json::array();
  for (const config::field_change &Field : Change.Fields) {
    json Item{{"field", Field.Field}};
    if (!Field.Before.empty())
      Item["before"] = json::parse(Field.Before);
    if (!Field.After.empty())
      Item["after"] = json::parse(Field.After);
    Fields.push_back(std::move(Item));
  }
  return {{"kind", Kinds[unsigned(Change.Kind)]},
          {"section", Change.Section},
          {"name", Change.Name},
          {"fields", Fields}};
}

json toReportJson(const config::value_origin &Origin) {
  static constexpr const char *Sources[] = {"base", "overlay", "default"};
  json Json{{"path", Origin.Path},
            {"value", json::parse(Origin.Value)},
            {"source", Sources[unsigned(Origin.Source)]}};
  if (Origin.Source != config::value_source::Default) {
    Json["file"] = Origin.File;
    Json["line"] = Origin.Line;
  }
  return Json;
}

json toReportJson(const zone_progress &Progress) {
  return {{"zone", Progress.Zone.str()},
          {"current", Progress.Current},
          {"nodes", Progress.Nodes},
          {"out", Progress.OutOfService}};
}

json toReportJson(const store::config_refusal &Refusal) {
  return {{"node", Refusal.Node.str()},
          {"version", Refusal.Version},
          {"reason", Refusal.Reason}};
}

json toReportJson(const zone_name &Zone,
                  const store::out_of_service_zone &Out) {
  return {{"zone", Zone.str()},
          {"author", Out.Author},
          {"reason", Out.Reason},
          {"since_ms", unixMilliseconds(Out.Since)}};
}

json toReportJson(const store::zone_change &Change) {
  return {{"zone", Change.Zone.str()},
          {"out", Change.OutOfService},
          {"author", Change.Author},
          {"reason", Change.Reason},
          {"at_ms", unixMilliseconds(Change.At)}};
}

json toReportJson(const rollout::rollout_state &State, wall_time Now) {
  static constexpr const char *Outcomes[] = {"open", "done", "taken_back"};
  return {{"service", State.Service.str()},
          {"version", State.Version.str()},
          {"phase", formatPhase(State.Phase)},
          {"outcome", Outcomes[unsigned(outcomeOf(State, Now))]},
          {"share", State.Share},
          {"reason", State.Reason},
          {"finish_by_ms", unixMilliseconds(State.FinishBy)}};
}

} // namespace gentianlug::operator_cli
