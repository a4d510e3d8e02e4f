#ifndef GENTIANLUG_CORE_CLOCK_H
#define GENTIANLUG_CORE_CLOCK_H

#include <chrono>

namespace gentianlug {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// Source of steady and wall time, replaceable in tests.
class clock {
public:
  virtual ~clock() = default;
  virtual steady_time steadyNow() const = 0;
  virtual wall_time wallNow() const = 0;
};

/// The clocks of the operating system.
class system_clock final : public clock {
public:
  steady_time steadyNow() const override {
    return std::chrono::steady_clock::now();
  }
  wall_time wallNow() const override {
    return std::chrono::system_clock::now();
  }
};

/// The clocks of the operating system, with a steady time that also advances
/// while the machine is suspended. For leases, deadlines and other periods that
/// several machines measure.
class boottime_clock final : public clock {
public:
  steady_time steadyNow() const override;
  wall_time wallNow() const override {
    return std::chrono::system_clock::now();
  }
};

/// A clock that advances only through `advance`.
class manual_clock final : public clock {
public:
  steady_time steadyNow() const override { return Steady; }
  wall_time wallNow() const override { return Wall; }

  /// Advances both times by \p Step.
  void advance(std::chrono::nanoseconds Step) {
    Steady += std::chrono::duration_cast<steady_time::duration>(Step);
    Wall += std::chrono::duration_cast<wall_time::duration>(Step);
  }

private:
  steady_time Steady{std::chrono::hours(1)};
  wall_time Wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace gentianlug

#endif // GENTIANLUG_CORE_CLOCK_H
