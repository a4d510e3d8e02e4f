#ifndef GENTIANLUG_BENCH_WORLDS_LEASE_WORLD_H
#define GENTIANLUG_BENCH_WORLDS_LEASE_WORLD_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/store/lease.h"

#include <lua.hpp>
#include <vector>

namespace gentianlug::bench {

/// Simulation of contenders for one lease over a fake store with one object.
///
/// `lease_world(count, seed)` has the methods `advance(ms)`, `pause(i)`,
/// `resume(i)`, `store_down(flag)`, `lose_answers(rate)`, `holder()` (index
/// or 0), `most_holders()` (maximum number of concurrent holders), and
/// `epoch()`.
class lease_world {
public:
  static constexpr const char *TypeName = "gentianlug.lease_world";
  static const luaL_Reg Methods[];

  lease_world(std::size_t Count, std::uint64_t Seed);

  /// Advances the clock in steps of 50 ms and runs every contender in each
  /// step.
  void advance(std::chrono::milliseconds Time);

  /// Suspends or resumes a contender, given by its 1-based index. A paused
  /// contender takes no steps.
  void setPaused(std::size_t Index, bool Paused);

  void setStoreDown(bool Down) { StoreDown = Down; }

  /// Sets the fraction of writes that take effect without the response reaching
  /// the contender.
  void setLostResponseRate(double Rate) { LostResponseRate = Rate; }

  /// Returns the 1-based index of a running contender that holds the lease, or
  /// 0.
  std::size_t holder() const;
  std::size_t maxConcurrentHolders() const { return MaxConcurrentHolders; }
  std::uint64_t epoch() const { return Stored.Value.Epoch; }

private:
  struct contender {
    store::lease_contender Lease;
    bool Paused = false;
  };

  void step(contender &Contender);
  void write(contender &Contender, const store::lease_action &Action);
  std::size_t countHolders() const;

  manual_clock Clock;
  generator Gen;
  std::vector<contender> Contenders;
  store::observed_lease Stored;
  bool StoreDown = false;
  double LostResponseRate = 0;
  std::size_t MaxConcurrentHolders = 0;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_WORLDS_LEASE_WORLD_H
