#ifndef GENTIANLUG_CORE_RANDOM_H
#define GENTIANLUG_CORE_RANDOM_H

#include <chrono>
#include <cstddef>
#include <random>
#include <string>

namespace gentianlug {

/// Random number generator, seeded by the caller so that decisions are
/// reproducible.
using generator = std::mt19937_64;

/// Returns a random index below \p Count, which must not be 0.
inline std::size_t drawIndex(generator &Gen, std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Gen);
}

/// Returns true with the probability \p Probability, from 0 to 1.
inline bool drawBool(generator &Gen, double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Gen) < Probability;
}

/// Returns a random duration between 0.5 and 1.5 times \p Mean.
inline std::chrono::milliseconds drawJitter(generator &Gen,
                                            std::chrono::milliseconds Mean) {
  auto Low = Mean.count() / 2;
  return std::chrono::milliseconds(
      std::uniform_int_distribution<long long>(Low, Low + Mean.count())(Gen));
}

/// Returns 16 random hexadecimal digits, for write ids and call ids.
std::string drawHexId(generator &Gen);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_RANDOM_H
