#include "gentianlug/rollout/slow_share_evaluator.h"

#include "detail/latency_profile.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace gentianlug::rollout {

using detail::latency_profile;
using detail::MedianBucket;
using detail::new_latencies;
using detail::RelativeBucketCount;
using detail::slow_alternative;

/// Faults that are tested: factors of about 3, 5 and 8 in buckets, each of
/// which is a factor of the square root of 2.
static constexpr slow_alternative Alternatives[] = {
    {0.12, 3}, {0.12, 5}, {0.12, 6}, {0.3, 3}, {0.3, 5},
    {0.3, 6},  {0.6, 3},  {0.6, 5},  {0.6, 6}};

/// Weight that earlier calls keep at each period in the recent profile, which
/// covers about 3 s.
static constexpr double RecentDecay = 0.92;
/// Weight of one period in the moving averages of the call rates.
static constexpr double RateWeight = 0.15;
/// Calls of the old version on a route that give its median.
static constexpr std::uint64_t MinRouteCalls = 8;
/// Calls of a server of the old version that give its speed.
static constexpr double MinServerCalls = 12;
/// Routes with calls of either version that are tracked; others are ignored.
static constexpr std::size_t MaxRoutes = 1000;

namespace {

using bucket_counts = std::array<std::uint64_t, LatencyBucketCount>;

/// Calls of the old version on one route so far.
struct route_latencies {
  bucket_counts Old{};
  std::uint64_t OldCalls = 0;

  void add(const latency_counts &Counts);
  std::size_t medianBucket() const;
};

/// Latencies that one server has reported in the period.
struct server_report {
  node_id Node;
  route_evidence Route;
};

void route_latencies::add(const latency_counts &Counts) {
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
    Old[Index] += Counts[Index];
  OldCalls += countCalls(Counts);
}

/// Returns the bucket of the median of \p Counts, which add up to \p Sum.
template <typename counts>
std::size_t medianOf(const counts &Counts, double Sum) {
  double Left = Sum / 2;
  for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
    Left -= double(Counts[Index]);
    if (Left <= 0)
      return Index;
  }
  return Counts.size() - 1;
}

std::size_t route_latencies::medianBucket() const {
  return medianOf(Old, double(OldCalls));
}

std::size_t relativeBucket(std::size_t Bucket, std::size_t Median) {
  std::size_t Relative = Bucket + MedianBucket;
  return std::clamp(Relative, Median, Median + RelativeBucketCount - 1) -
         Median;
}

void addRelative(detail::relative_counts &To, const latency_counts &Counts,
                 std::size_t Median) {
  for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
    To[relativeBucket(Index, Median)] += Counts[Index];
}

} // namespace

struct slow_share_evaluator::impl {
  std::map<route_name, route_latencies> Routes;
  /// Calls of the servers of the old version so far.
  std::map<node_id, detail::relative_counts> OldServers;
  std::vector<server_report> OldReports;
  std::vector<server_report> NewReports;
  latency_profile All{1};
  latency_profile Recent{RecentDecay};
  double OldRate = 0;
  double NewRate = 0;
  double LogRatio = 0;
  double RecentLogRatio = 0;

  void addOld(const node_id &Node, const route_evidence &Evidence) {
    if (!Routes.contains(Evidence.Route) && Routes.size() >= MaxRoutes)
      return;
    route_latencies &Route = Routes[Evidence.Route];
    Route.add(Evidence.Latencies);
    Route.add(Evidence.Canceled);
    OldReports.push_back({Node, Evidence});
  }

  /// Returns the median of the old version on the route, if it is known.
  std::optional<std::size_t> routeMedian(const route_name &Name) const {
    auto Found = Routes.find(Name);
    if (Found == Routes.end() || Found->second.OldCalls < MinRouteCalls)
      return std::nullopt;
    return Found->second.medianBucket();
  }

  /// Returns by how many buckets a server of the old version is slower than the
  /// others.
  int serverShift(const node_id &Node) const {
    auto Found = OldServers.find(Node);
    if (Found == OldServers.end())
      return 0;
    double Calls =
        std::accumulate(Found->second.begin(), Found->second.end(), 0.0);
    if (Calls < MinServerCalls)
      return 0;
    return int(medianOf(Found->second, Calls)) - int(MedianBucket);
  }

  static double countLatencies(const std::vector<server_report> &Reports) {
    double Calls = 0;
    for (const server_report &Report : Reports)
      Calls += double(countCalls(Report.Route.Latencies));
    return Calls;
  }

  void updateRates() {
    OldRate += RateWeight * (countLatencies(OldReports) - OldRate);
    NewRate += RateWeight * (countLatencies(NewReports) - NewRate);
  }

  void updateOldServers() {
    for (const server_report &Report : OldReports)
      if (auto Median = routeMedian(Report.Route.Route))
        addRelative(OldServers[Report.Node], Report.Route.Latencies, *Median);
  }

  void addOldTo(latency_profile &Profile) const {
    if (OldRate <= 0 || NewRate <= 0)
      return;
    for (const server_report &Report : OldReports) {
      auto Median = routeMedian(Report.Route.Route);
      if (!Median)
        continue;
      int Usual = int(*Median) + serverShift(Report.Node);
      auto From =
          std::size_t(std::clamp(Usual, 0, int(LatencyBucketCount) - 1));
      detail::old_latencies &Old = Profile.oldRoute(Report.Route.Route);
      for (std::size_t Index = 0; Index < LatencyBucketCount; ++Index)
        Old.add(relativeBucket(Index, From),
                Report.Route.Latencies[Index] + Report.Route.Canceled[Index],
                NewRate / OldRate);
    }
  }

  void addNewTo(latency_profile &Profile) const {
    for (const server_report &Report : NewReports) {
      auto Median = routeMedian(Report.Route.Route);
      if (!Median)
        continue;
      new_latencies &Calls = Profile.newRoute(Report.Node, Report.Route.Route);
      addRelative(Calls.Finished, Report.Route.Latencies, *Median);
      addRelative(Calls.Canceled, Report.Route.Canceled, *Median);
      addRelative(Calls.Running, Report.Route.Running, *Median);
    }
  }

  void addPeriodTo(latency_profile &Profile) const {
    Profile.startPeriod();
    addOldTo(Profile);
    addNewTo(Profile);
  }

  void closePeriod() {
    updateRates();
    updateOldServers();
    // Without calls of the old version at the same time, the new one can only
    // be compared with the last ones: a fault of all servers that began shortly
    // before is missing in most of the others.
    if (countLatencies(OldReports) > 0)
      addPeriodTo(All);
    addPeriodTo(Recent);
    OldReports.clear();
    NewReports.clear();
  }
};

slow_share_evaluator::slow_share_evaluator() : Impl(std::make_unique<impl>()) {}
slow_share_evaluator::~slow_share_evaluator() = default;

void slow_share_evaluator::start(evaluation_scope) {
  Impl = std::make_unique<impl>();
}

void slow_share_evaluator::add(version_role Role,
                               const server_evidence &Evidence) {
  for (const route_evidence &Route : Evidence.Routes) {
    if (Role == version_role::Old)
      Impl->addOld(Evidence.Node, Route);
    else
      Impl->NewReports.push_back({Evidence.Node, Route});
  }
}

static double maxLogRatio(const latency_profile &Profile) {
  auto Ratios = Profile.logRatios(Alternatives);
  return *std::max_element(Ratios.begin(), Ratios.end());
}

verdict slow_share_evaluator::evaluate() {
  Impl->closePeriod();
  Impl->LogRatio = maxLogRatio(Impl->All);
  Impl->RecentLogRatio = maxLogRatio(Impl->Recent);
  if (std::max(Impl->LogRatio, Impl->RecentLogRatio) >= SlowVerdictBound)
    return {verdict_kind::Fail, "a share of the calls is several times slower "
                                "than those of the old version"};
  if (std::min(Impl->LogRatio, Impl->RecentLogRatio) <= SlowRefutationBound &&
      std::max(Impl->LogRatio, Impl->RecentLogRatio) <= SlowDoubtBound)
    return {verdict_kind::Pass, ""};
  return {};
}

double slow_share_evaluator::logFaultRatio() const { return Impl->LogRatio; }

bool slow_share_evaluator::isFaultUnlikely() const {
  return Impl->LogRatio < 0 && Impl->RecentLogRatio <= SlowDoubtBound;
}

} // namespace gentianlug::rollout
