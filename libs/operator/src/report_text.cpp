#include "report_text.h"

#include "gentianlug/operator/operator_errc.h"

#include <cstdio>
#include <ctime>

namespace gentianlug::operator_cli {

using config::change_kind;
using config::value_source;
using rollout::rollout_phase;

std::string formatTime(wall_time Time) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  std::tm Fields{};
  gmtime_r(&Seconds, &Fields);
  char Text[40];
  std::strftime(Text, sizeof Text, "%Y-%m-%d %H:%M:%S UTC", &Fields);
  return Text;
}

std::string formatPhase(rollout_phase Phase) {
  switch (Phase) {
  case rollout_phase::Waiting:
    return "waiting";
  case rollout_phase::Progressing:
    return "growing";
  case rollout_phase::Paused:
    return "paused";
  case rollout_phase::Completed:
    return "done";
  case rollout_phase::RolledBack:
    return "taken_back";
  }
  return "unknown";
}

std::string describe(const store::accepted_version &Version) {
  return "Version " + std::to_string(Version.Version) + " was accepted at " +
         formatTime(Version.AcceptedAt) + " by " + Version.Author + ": " +
         Version.Reason + ".";
}

/// Returns the label of an entry of a configuration section.
static std::string sectionLabel(const std::string &Section) {
  if (Section == "availability_zones")
    return "Zone";
  if (Section == "customers")
    return "Customer";
  if (Section == "services")
    return "Service";
  if (Section == "routes")
    return "Route";
  if (Section == "rollouts")
    return "Rollout of";
  return Section;
}

static std::string describeField(const config::field_change &Field) {
  if (Field.Before.empty())
    return Field.Field + " becomes " + Field.After;
  if (Field.After.empty())
    return Field.Field + " (" + Field.Before + ") is removed";
  return Field.Field + " changes from " + Field.Before + " to " + Field.After;
}

std::string describe(const config::config_change &Change) {
  std::string Text = sectionLabel(Change.Section);
  if (Change.Section == "site")
    Text = "The site as a whole";
  else
    Text += " " + Change.Name;
  if (Change.Kind == change_kind::Removed)
    return Text + " is removed.";
  if (Change.Kind == change_kind::Added)
    Text += " is added";
  std::string Separator = ": ";
  for (const config::field_change &Field : Change.Fields) {
    Text += Separator;
    Text += Change.Kind == change_kind::Added ? Field.Field + " " + Field.After
                                              : describeField(Field);
    Separator = ", ";
  }
  return Text + ".";
}

std::string describe(const config::value_origin &Origin) {
  std::string Text = Origin.Path + " is " + Origin.Value;
  if (Origin.Source == value_source::Default)
    return Text + ", by default; no file sets it.";
  return Text + ", set by the " +
         (Origin.Source == value_source::Overlay ? "overlay" : "base") +
         " in " + Origin.File + ", line " + std::to_string(Origin.Line) + ".";
}

std::string describe(const zone_progress &Progress, config_version Version) {
  return "Zone " + Progress.Zone.str() + ": version " +
         std::to_string(Version) + " is in force on " +
         std::to_string(Progress.Current) + " of " +
         std::to_string(Progress.Nodes) + " nodes" +
         (Progress.OutOfService ? "; the zone is out." : ".");
}

std::string describeUnreportedZone(const zone_name &Zone) {
  return "Zone " + Zone.str() + ": no node has reported.";
}

std::string describe(const store::config_refusal &Refusal) {
  return "Node " + Refusal.Node.str() + " refused version " +
         std::to_string(Refusal.Version) + ": " + Refusal.Reason + ".";
}

std::string describe(const zone_name &Zone,
                     const store::out_of_service_zone &Out) {
  return "Zone " + Zone.str() + " is out since " + formatTime(Out.Since) +
         ", by " + Out.Author + ": " + Out.Reason + ".";
}

std::string describe(const store::zone_change &Change) {
  return "Zone " + Change.Zone.str() +
         (Change.OutOfService ? " was taken out at "
                              : " was brought back at ") +
         formatTime(Change.At) + " by " + Change.Author + ": " + Change.Reason +
         ".";
}

std::string describe(const rollout::rollout_state &State, wall_time Now) {
  std::string Name =
      "Rollout of " + State.Service.str() + " to " + State.Version.str();
  if (State.Phase == rollout_phase::Completed)
    return Name + " is done.";
  if (State.Phase == rollout_phase::RolledBack)
    return Name + " was taken back: " +
           (State.Reason.empty() ? "no reason given" : State.Reason) + ".";
  std::string Finish = formatTime(State.FinishBy);
  if (State.FinishBy <= Now)
    return Name + " counts as taken back: it was not done by " + Finish + ".";
  char Share[16];
  std::snprintf(Share, sizeof Share, "%.1f%%", State.Share * 100);
  std::string Text = Name + " is " + formatPhase(State.Phase) + " with " +
                     Share + " of the calls";
  if (State.Phase == rollout_phase::Paused && !State.Reason.empty())
    Text += ", because: " + State.Reason;
  return Text + "; it will be decided by " + Finish + ".";
}

std::string describe(const error &Failure) {
  if (Failure.Code == make_error_code(operator_errc::Refused))
    return "Refused: " + Failure.Detail;
  if (Failure.Code == make_error_code(operator_errc::BadArguments))
    return "Wrong usage: " + Failure.Detail;
  if (Failure.Code == make_error_code(operator_errc::TimedOut))
    return "Timed out: " + Failure.Detail;
  if (Failure.Code == make_error_code(operator_errc::PlatformDown))
    return "The platform does not answer or refuses calls. Nothing new can be "
           "accepted now; everything in force stays in force. (" +
           Failure.Detail + ")";
  return "Refused: " + Failure.message();
}

} // namespace gentianlug::operator_cli
