#ifndef GENTIANLUG_CORE_HASH_H
#define GENTIANLUG_CORE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianlug {

/// Returns the 128-bit XXH3 hash of \p Bytes as 32 hexadecimal digits.
std::string contentHash(std::string_view Bytes);

/// Returns the 64-bit XXH3 hash of \p Bytes.
std::uint64_t hash64(std::string_view Bytes);

} // namespace gentianlug

#endif // GENTIANLUG_CORE_HASH_H
