#ifndef GENTIANLUG_CORE_RANDOM_H
#define GENTIANLUG_CORE_RANDOM_H

#include <chrono>
#include <cstddef>
#include <random>
#include <string>

namespace gentianlug {

/// The generator that decision libraries draw from; the caller seeds it.
using generator = std::mt19937_64;

/// Draws an index below \p Count, which must not be 0.
inline std::size_t drawIndex(generator &Gen, std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Gen);
}

/// Draws true with \p Probability (0 to 1).
inline bool drawChance(generator &Gen, double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Gen) < Probability;
}

/// Draws a duration between half and one and a half times \p Mean.
inline std::chrono::milliseconds drawJitter(generator &Gen,
                                            std::chrono::milliseconds Mean) {
  auto Low = Mean.count() / 2;
  return std::chrono::milliseconds(
      std::uniform_int_distribution<long long>(Low, Low + Mean.count())(Gen));
}

/// Draws 16 hexadecimal digits, for write ids and call ids.
std::string drawHexId(generator &Gen);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_RANDOM_H
