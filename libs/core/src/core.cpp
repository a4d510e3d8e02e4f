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

static constexpr std::string_view ReplacementCharacter = "\xEF\xBF\xBD";

/// Returns the length of the valid UTF-8 character at the start of \p Text; 0
/// if there is none.
static std::size_t utf8CharacterLength(std::string_view Text) {
  auto ByteAt = [&](std::size_t Index) {
    return Index < Text.size() ? static_cast<unsigned char>(Text[Index]) : 0U;
  };
  auto IsContinuation = [&](std::size_t Index, unsigned Min = 0x80,
                            unsigned Max = 0xBF) {
    return ByteAt(Index) >= Min && ByteAt(Index) <= Max;
  };
  unsigned First = ByteAt(0);
  if (Text.empty() || (First >= 0x80 && First < 0xC2) || First > 0xF4)
    return 0;
  if (First < 0x80)
    return 1;
  if (First < 0xE0)
    return IsContinuation(1) ? 2 : 0;
  // The second byte excludes overlong forms, surrogates and values above
  // U+10FFFF.
  if (First < 0xF0) {
    bool SecondValid = IsContinuation(1, First == 0xE0 ? 0xA0 : 0x80,
                                      First == 0xED ? 0x9F : 0xBF);
    return SecondValid && IsContinuation(2) ? 3 : 0;
  }
  bool SecondValid = IsContinuation(1, First == 0xF0 ? 0x90 : 0x80,
                                    First == 0xF4 ? 0x8F : 0xBF);
  return SecondValid && IsContinuation(2) && IsContinuation(3) ? 4 : 0;
}

bool isValidUtf8(std::string_view Text) {
  while (!Text.empty()) {
    std::size_t Length = utf8CharacterLength(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

std::string replaceInvalidUtf8(std::string_view Text) {
  std::string Valid;
  while (!Text.empty()) {
    std::size_t Length = utf8CharacterLength(Text);
    Valid += Length == 0 ? ReplacementCharacter : Text.substr(0, Length);
    Text.remove_prefix(Length == 0 ? 1 : Length);
  }
  return Valid;
}

bool isReadableText(std::string_view Text) {
  for (char Byte : Text) {
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    auto Code = static_cast<unsigned char>(Byte);
    if (Code < FirstPrintable || Code == Delete)
      return false;
  }
  return isValidUtf8(Text) &&
         Text.find(ReplacementCharacter) == std::string_view::npos;
}

} // namespace gentianlug
