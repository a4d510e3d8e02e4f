#ifndef GENTIANLUG_BENCH_WORLDS_LEASE_WORLD_H
#define GENTIANLUG_BENCH_WORLDS_LEASE_WORLD_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/store/lease.h"

#include <lua.hpp>
#include <vector>

namespace gentianlug::bench {

/// Contenders for one lease over a fake store of one object.
///
/// `lease_world(count, seed)` has the methods `advance(ms)`, `pause(i)`,
/// `resume(i)`, `store_down(flag)`, `lose_answers(share)`, `holder()` (index
/// or 0), `most_holders()` (largest number that held at one time), and
/// `epoch()`.
class lease_world {
public:
  static constexpr const char *TypeName = "gentianlug.lease_world";
  static const luaL_Reg Methods[];

  lease_world(std::size_t Count, std::uint64_t Seed);

  /// Moves time forward in steps of 50 ms and lets every contender act.
  void advance(std::chrono::milliseconds Time);

  /// A paused contender neither acts nor sees time pass.
  void setPaused(std::size_t Index, bool Paused);

  void setStoreDown(bool Down) { StoreDown = Down; }
  void setLostAnswers(double Share) { LostAnswers = Share; }

  /// Returns the 1-based index of a contender that holds the lease, or 0.
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
  double LostAnswers = 0;
  std::size_t MaxConcurrentHolders = 0;
};

} // namespace gentianlug::bench

#endif // GENTIANLUG_BENCH_WORLDS_LEASE_WORLD_H
