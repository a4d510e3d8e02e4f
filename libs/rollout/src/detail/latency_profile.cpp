#include "detail/latency_profile.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gentianlug::rollout::detail {

/// Weights of a bucket and of its neighbors in a smoothed distribution.
static constexpr double CenterWeight = 0.8;
static constexpr double NeighborWeight = 0.1;
/// Calls that each bucket is assumed to hold in addition.
static constexpr double PriorCallsPerBucket = 0.05;
/// Calls with which the distribution of all routes counts for each route.
static constexpr double AllRoutesCalls = 30;
/// Calls of the old version from which on a route has a distribution of its
/// own; the other routes share that of all routes.
static constexpr double MinOwnDistributionCalls = 60;
/// Number of routes with a distribution of their own.
static constexpr std::size_t MaxOwnDistributions = 12;
/// Largest ratio of the probabilities of one bucket, as a logarithm. It keeps a
/// few calls that were slow for another reason from deciding.
static constexpr double MaxLogRatioPerBucket = 2;
/// A server may be slower or faster as a whole by this number of buckets, a
/// factor of 2.8.
static constexpr int MaxServerShift = 3;
/// Cost of each such bucket, as a logarithm of a probability.
static constexpr double ServerShiftCost = 1;
/// Number of servers from which on the one with the strongest evidence counts
/// no more than the next.
static constexpr std::size_t MinServersToLimit = 3;

static double sum(const relative_counts &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), 0.0);
}

static void scaleCounts(relative_counts &Counts, double Factor) {
  for (double &Count : Counts)
    Count *= Factor;
}

void old_latencies::add(std::size_t Bucket, double Count, double CallWeight) {
  Calls[Bucket] += Count * CallWeight;
  Weight += Count * CallWeight;
  SquaredWeight += Count * CallWeight * CallWeight;
}

void old_latencies::add(const old_latencies &Other) {
  for (std::size_t Index = 0; Index < RelativeBucketCount; ++Index)
    Calls[Index] += Other.Calls[Index];
  Weight += Other.Weight;
  SquaredWeight += Other.SquaredWeight;
}

void old_latencies::scale(double Factor) {
  scaleCounts(Calls, Factor);
  Weight *= Factor;
  SquaredWeight *= Factor * Factor;
}

double old_latencies::effectiveCalls() const {
  return SquaredWeight > 0 ? Weight * Weight / SquaredWeight : 0;
}

void new_latencies::scale(double Factor) {
  scaleCounts(Finished, Factor);
  scaleCounts(Canceled, Factor);
}

void latency_profile::startPeriod() {
  for (auto &[Name, Route] : Old)
    Route.scale(Decay);
  for (auto &[Node, Routes] : New)
    for (auto &[Name, Route] : Routes) {
      Route.scale(Decay);
      Route.Running = {};
    }
}

static void normalize(relative_counts &Counts) {
  scaleCounts(Counts, 1 / sum(Counts));
}

/// Returns the smoothed counts of \p Latencies as effective calls.
static relative_counts smoothedCalls(const old_latencies &Latencies) {
  double Scale =
      Latencies.Weight > 0 ? Latencies.effectiveCalls() / Latencies.Weight : 0;
  const relative_counts &Calls = Latencies.Calls;
  relative_counts Result{};
  for (std::size_t Index = 0; Index < RelativeBucketCount; ++Index) {
    double Below = Index > 0 ? Calls[Index - 1] : 0;
    double Above = Index + 1 < RelativeBucketCount ? Calls[Index + 1] : 0;
    Result[Index] = Scale * (CenterWeight * Calls[Index] +
                             NeighborWeight * (Below + Above)) +
                    PriorCallsPerBucket;
  }
  return Result;
}

/// Returns the distribution of each route with enough calls. That of all routes
/// has an empty name.
std::map<route_name, relative_counts>
latency_profile::routeDistributions() const {
  old_latencies Sum;
  for (const auto &[Name, Route] : Old)
    Sum.add(Route);
  std::map<route_name, relative_counts> Result;
  relative_counts All = smoothedCalls(Sum);
  normalize(All);
  for (const auto &[Name, Route] : Old) {
    if (Result.size() >= MaxOwnDistributions ||
        Route.effectiveCalls() < MinOwnDistributionCalls)
      continue;
    relative_counts Own = smoothedCalls(Route);
    for (std::size_t Index = 0; Index < RelativeBucketCount; ++Index)
      Own[Index] += AllRoutesCalls * All[Index];
    normalize(Own);
    Result.emplace(Name, Own);
  }
  Result.emplace(route_name(), All);
  return Result;
}

/// Returns the distribution moved up by \p Shift buckets.
static relative_counts shifted(const relative_counts &From, int Shift) {
  relative_counts Result{};
  constexpr int Last = int(RelativeBucketCount) - 1;
  for (int Index = 0; Index <= Last; ++Index)
    Result[std::size_t(std::clamp(Index + Shift, 0, Last))] +=
        From[std::size_t(Index)];
  double Smallest = *std::min_element(From.begin(), From.end());
  for (double &Probability : Result)
    Probability = std::max(Probability, Smallest);
  return Result;
}

/// Returns the mixture of \p Usual with a share of slower calls.
static relative_counts mixed(const relative_counts &Usual,
                             const slow_alternative &Alternative) {
  relative_counts Slow = shifted(Usual, int(Alternative.Shift));
  for (std::size_t Index = 0; Index < RelativeBucketCount; ++Index)
    Slow[Index] = std::min((1 - Alternative.Share) * Usual[Index] +
                               Alternative.Share * Slow[Index],
                           Usual[Index] * std::exp(MaxLogRatioPerBucket));
  return Slow;
}

namespace {

/// Logarithms of the probabilities of one route.
struct log_distribution {
  /// Of a call in the bucket.
  relative_counts Finished{};
  /// Of a call in the bucket or above it.
  relative_counts AtLeast{};

  explicit log_distribution(const relative_counts &Probabilities);
  double logLikelihood(const new_latencies &Calls) const;
};

log_distribution::log_distribution(const relative_counts &Probabilities) {
  double Above = 0;
  for (std::size_t Index = RelativeBucketCount; Index-- > 0;) {
    Above = std::min(1.0, Above + Probabilities[Index]);
    Finished[Index] = std::log(Probabilities[Index]);
    AtLeast[Index] = std::log(Above);
  }
}

double log_distribution::logLikelihood(const new_latencies &Calls) const {
  double Log = 0;
  for (std::size_t Index = 0; Index < RelativeBucketCount; ++Index)
    Log += Calls.Finished[Index] * Finished[Index] +
           (Calls.Canceled[Index] + Calls.Running[Index]) * AtLeast[Index];
  return Log;
}

/// A hypothesis about one server: the distributions of its routes, and how
/// likely it is before any evidence.
struct server_hypothesis {
  std::map<route_name, log_distribution> Routes;
  double Cost = 0;

  double logLikelihood(const server_latencies &Server) const;
};

double server_hypothesis::logLikelihood(const server_latencies &Server) const {
  double Log = -Cost;
  for (const auto &[Name, Calls] : Server) {
    auto Found = Routes.find(Name);
    if (Found == Routes.end())
      Found = Routes.find(route_name());
    Log += Found->second.logLikelihood(Calls);
  }
  return Log;
}

} // namespace

/// Returns one hypothesis for each shift of a whole server.
static std::vector<server_hypothesis>
serverHypotheses(const std::map<route_name, relative_counts> &Usual,
                 const slow_alternative *Alternative) {
  std::vector<server_hypothesis> Result;
  for (int Shift = -MaxServerShift; Shift <= MaxServerShift; ++Shift) {
    server_hypothesis &Hypothesis = Result.emplace_back();
    Hypothesis.Cost = ServerShiftCost * std::abs(Shift);
    for (const auto &[Name, Distribution] : Usual) {
      relative_counts Base = shifted(Distribution, Shift);
      Hypothesis.Routes.emplace(
          Name,
          log_distribution(Alternative ? mixed(Base, *Alternative) : Base));
    }
  }
  return Result;
}

static double
maxLogLikelihood(const server_latencies &Server,
                 const std::vector<server_hypothesis> &Hypotheses) {
  double Best = -INFINITY;
  for (const server_hypothesis &Each : Hypotheses)
    Best = std::max(Best, Each.logLikelihood(Server));
  return Best;
}

/// Adds up the evidence of the servers, of which no single one decides.
static double combine(std::vector<double> Ratios) {
  std::sort(Ratios.begin(), Ratios.end());
  if (Ratios.size() >= MinServersToLimit)
    Ratios.back() = std::min(Ratios.back(), std::max(0.0, Ratios.end()[-2]));
  return std::accumulate(Ratios.begin(), Ratios.end(), 0.0);
}

std::vector<double> latency_profile::logRatios(
    std::span<const slow_alternative> Alternatives) const {
  auto Distributions = routeDistributions();
  auto Usual = serverHypotheses(Distributions, nullptr);
  std::vector<double> UsualLogs;
  for (const auto &[Node, Server] : New)
    UsualLogs.push_back(maxLogLikelihood(Server, Usual));
  std::vector<double> Result;
  for (const slow_alternative &Alternative : Alternatives) {
    auto Slow = serverHypotheses(Distributions, &Alternative);
    std::vector<double> Ratios;
    for (const auto &[Node, Server] : New)
      Ratios.push_back(maxLogLikelihood(Server, Slow) -
                       UsualLogs[Ratios.size()]);
    Result.push_back(combine(std::move(Ratios)));
  }
  return Result;
}

} // namespace gentianlug::rollout::detail
