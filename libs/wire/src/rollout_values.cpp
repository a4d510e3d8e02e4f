#include "gentianlug/wire/rollout_values.h"

#include "detail/decoder.h"

namespace gentianlug::wire {

using nlohmann::json;
using settings::object_reader;

static constexpr const char *PhaseNames[] = {"waiting", "growing", "paused",
                                             "done", "taken_back"};

static rollout::rollout_phase readRolloutPhase(object_reader &Reader) {
  std::string Text = Reader.readString("phase");
  for (unsigned Index = 0; Index < std::size(PhaseNames); ++Index)
    if (Text == PhaseNames[Index])
      return rollout::rollout_phase(Index);
  Reader.faults().add(Reader.pathOf("phase"), "is not a known phase");
  return rollout::rollout_phase::Waiting;
}

static rollout::rollout_state readRolloutState(object_reader &Reader) {
  rollout::rollout_state State;
  State.Id = Reader.readString("id");
  State.Service = service_name(Reader.readString("service"));
  State.Version = version_name(Reader.readString("version"));
  State.Phase = readRolloutPhase(Reader);
  State.Share = Reader.readDouble("share", 0, 1);
  State.NonIdempotentShare = Reader.readDouble("non_idempotent_share", 0, 1);
  State.FinishBy = detail::readWallTime(Reader, "finish_by_ms");
  State.Epoch = detail::readUnsigned(Reader, "epoch");
  if (!Reader.readString("controller", "").empty())
    State.ControllerAddress = Reader.readAddress("controller");
  State.ControllerCount =
      std::uint32_t(Reader.readInteger("controllers", 0, UINT32_MAX, 0));
  State.ConfigVersion =
      std::uint64_t(Reader.readInteger("config_version", 0, INT64_MAX, 0));
  State.Reason = Reader.readString("reason", "");
  State.WriteId = Reader.readString("write_id", "");
  return State;
}

result<rollout::rollout_state> decodeRolloutState(std::string_view Text) {
  return detail::decodeObject(Text, "live/rollout", readRolloutState);
}

std::string encode(const rollout::rollout_state &State) {
  return json{{"id", State.Id},
              {"service", State.Service.str()},
              {"version", State.Version.str()},
              {"phase", PhaseNames[unsigned(State.Phase)]},
              {"share", State.Share},
              {"non_idempotent_share", State.NonIdempotentShare},
              {"finish_by_ms", detail::wallTimeMillis(State.FinishBy)},
              {"epoch", State.Epoch},
              {"controller", State.ControllerAddress.Port == 0
                                 ? ""
                                 : State.ControllerAddress.str()},
              {"controllers", State.ControllerCount},
              {"config_version", State.ConfigVersion},
              {"reason", State.Reason},
              {"write_id", State.WriteId}}
      .dump();
}

/// Returns the counts in the array \p Name, zeros if it is missing.
static rollout::latency_counts readLatencyCounts(object_reader &Reader,
                                                 const char *Name) {
  rollout::latency_counts Counts{};
  const json *Array = Reader.findArray(Name);
  if (!Array)
    return Counts;
  if (Array->size() > Counts.size()) {
    Reader.faults().add(Reader.pathOf(Name), "has too many buckets");
    return Counts;
  }
  for (std::size_t Index = 0; Index < Array->size(); ++Index) {
    const json &Count = (*Array)[Index];
    if (Count.is_number_unsigned() && Count.get<std::uint64_t>() <= UINT32_MAX)
      Counts[Index] = Count.get<std::uint32_t>();
    else
      Reader.faults().add(Reader.pathOf(Name), "must hold counts");
  }
  return Counts;
}

static rollout::route_evidence readRouteEvidence(object_reader &Reader) {
  rollout::route_evidence Route;
  Route.Route = route_name(Reader.readString("route"));
  Route.Calls = std::uint32_t(Reader.readInteger("calls", 0, UINT32_MAX));
  Route.Errors = std::uint32_t(Reader.readInteger("errors", 0, UINT32_MAX));
  Route.Latencies = readLatencyCounts(Reader, "latencies");
  Route.Canceled = readLatencyCounts(Reader, "canceled");
  Route.Running = readLatencyCounts(Reader, "running");
  return Route;
}

static rollout::server_evidence readServerEvidence(object_reader &Reader) {
  rollout::server_evidence Evidence;
  Evidence.Node = node_id(Reader.readString("node"));
  Evidence.Service = service_name(Reader.readString("service"));
  Evidence.Version = version_name(Reader.readString("version"));
  Evidence.ServerIncarnation = detail::readUnsigned(Reader, "incarnation");
  Evidence.Sequence = detail::readUnsigned(Reader, "sequence");
  Evidence.ConcurrencyLimit =
      std::uint32_t(Reader.readInteger("allowance", 0, UINT32_MAX));
  Evidence.WarmConcurrencyLimit =
      std::uint32_t(Reader.readInteger("full_allowance", 0, UINT32_MAX));
  Evidence.Quarantined = Reader.readBool("cut", false);
  Evidence.Starts =
      std::uint32_t(Reader.readInteger("starts", 0, UINT32_MAX, 0));
  Evidence.Routes = detail::readList(Reader, "routes", readRouteEvidence);
  return Evidence;
}

result<rollout::server_evidence> decodeServerEvidence(std::string_view Text) {
  return detail::decodeObject(Text, "evidence", readServerEvidence);
}

static json encodeRoute(const rollout::route_evidence &Route) {
  json Value{{"route", Route.Route.str()},
             {"calls", Route.Calls},
             {"errors", Route.Errors},
             {"latencies", Route.Latencies}};
  if (rollout::countCalls(Route.Canceled) > 0)
    Value["canceled"] = Route.Canceled;
  if (rollout::countCalls(Route.Running) > 0)
    Value["running"] = Route.Running;
  return Value;
}

std::string encode(const rollout::server_evidence &Evidence) {
  json Routes = json::array();
  for (const rollout::route_evidence &Route : Evidence.Routes)
    Routes.push_back(encodeRoute(Route));
  return json{{"node", Evidence.Node.str()},
              {"service", Evidence.Service.str()},
              {"version", Evidence.Version.str()},
              {"incarnation", Evidence.ServerIncarnation},
              {"sequence", Evidence.Sequence},
              {"allowance", Evidence.ConcurrencyLimit},
              {"full_allowance", Evidence.WarmConcurrencyLimit},
              {"cut", Evidence.Quarantined},
              {"starts", Evidence.Starts},
              {"routes", Routes}}
      .dump();
}

static rollout::controller_notice readControllerNotice(object_reader &Reader) {
  rollout::controller_notice Notice;
  Notice.RolloutId = Reader.readString("rollout");
  Notice.Service = service_name(Reader.readString("service"));
  Notice.Epoch = detail::readUnsigned(Reader, "epoch");
  Notice.ControllerAddress = Reader.readAddress("controller");
  Notice.LeaseHeld = Reader.readBool("held", false);
  Notice.OldErrorRate = Reader.readDouble("old_error_rate", 0, 1);
  Notice.QuarantineReason = Reader.readString("cut_reason", "");
  return Notice;
}

result<rollout::controller_notice>
decodeControllerNotice(std::string_view Text) {
  return detail::decodeObject(Text, "steering", readControllerNotice);
}

std::string encode(const rollout::controller_notice &Notice) {
  return json{{"rollout", Notice.RolloutId},
              {"service", Notice.Service.str()},
              {"epoch", Notice.Epoch},
              {"controller", Notice.ControllerAddress.str()},
              {"held", Notice.LeaseHeld},
              {"old_error_rate", Notice.OldErrorRate},
              {"cut_reason", Notice.QuarantineReason}}
      .dump();
}

} // namespace gentianlug::wire
