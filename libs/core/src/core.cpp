#include "gentianlug/core/address.h"
#include "gentianlug/core/clock.h"
#include "gentianlug/core/core_errc.h"
#include "gentianlug/core/error_table.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/core/random.h"
#include "gentianlug/core/text.h"

#include <charconv>
#include <cstdio>
#include <ctime>
#include <xxhash.h>

namespace gentianlug {

static constexpr error_text CoreTexts[] = {
    {int(core_errc::InvalidAddress), "not an address of the form HOST:PORT"},
};

std::error_code make_error_code(core_errc Code) {
  static const error_table Category("core", CoreTexts);
  return {int(Code), Category};
}

steady_time boottime_clock::steadyNow() const {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return steady_time(std::chrono::seconds(Time.tv_sec) +
                     std::chrono::nanoseconds(Time.tv_nsec));
}

result<address> parseAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return makeError(core_errc::InvalidAddress, std::string(Text));
  std::string_view Digits = Text.substr(Colon + 1);
  unsigned Port = 0;
  auto [End, Failure] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  bool IsNumber =
      Failure == std::errc() && End == Digits.data() + Digits.size();
  if (!IsNumber || Port == 0 || Port > 65535)
    return makeError(core_errc::InvalidAddress, std::string(Text));
  return address{std::string(Text.substr(0, Colon)), std::uint16_t(Port)};
}

static std::string hex64(std::uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Value));
  return Text;
}

std::string contentHash(std::string_view Bytes) {
  XXH128_hash_t Hash = XXH3_128bits(Bytes.data(), Bytes.size());
  return hex64(Hash.high64) + hex64(Hash.low64);
}

std::uint64_t hash64(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

std::string drawHexId(generator &Gen) { return hex64(Gen()); }

static bool isContinuationByte(char Byte) {
  return (static_cast<unsigned char>(Byte) & 0xC0) == 0x80;
}

std::string truncateText(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return std::string(Text);
  while (MaxBytes > 0 && isContinuationByte(Text[MaxBytes]))
    --MaxBytes;
  return std::string(Text.substr(0, MaxBytes)) + "...";
}

std::string replaceNonPrintable(std::string_view Text) {
  std::string Printable(Text);
  for (char &Byte : Printable)
    if (Byte < ' ' || Byte > '~')
      Byte = '?';
  return Printable;
}

} // namespace gentianlug
