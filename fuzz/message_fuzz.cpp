#include "gentianlug/http1/message_reader.h"

#include <cstdlib>
#include <vector>

using namespace gentianlug;

namespace {

/// Result of parsing a byte stream.
struct parse_result {
  std::vector<std::string> Messages;
  http1::reader_fault Fault = http1::reader_fault::None;

  friend bool operator==(const parse_result &, const parse_result &) = default;
};

} // namespace

static std::string takeMessage(http1::message_reader &Reader,
                               http1::message_kind Kind) {
  if (Kind == http1::message_kind::Response) {
    http1::response Response = Reader.takeResponse();
    return std::to_string(Response.Status) + "\n" + Response.Body.str();
  }
  http1::request Request = Reader.takeRequest();
  return Request.Method + " " + Request.Target + "\n" + Request.Body.str();
}

/// Parses \p Bytes in chunks of at most \p ChunkBytes bytes.
static parse_result parseInChunks(std::string_view Bytes,
                                  http1::message_kind Kind,
                                  std::size_t ChunkBytes) {
  constexpr http1::message_limits Limits{4096, 4096};
  http1::message_reader Reader(Kind, Limits);
  parse_result Result;
  while (!Bytes.empty() && Reader.state() != http1::reader_state::Failed) {
    std::size_t Consumed = Reader.feed(Bytes.substr(0, ChunkBytes));
    Bytes.remove_prefix(Consumed);
    if (Reader.state() == http1::reader_state::Complete)
      Result.Messages.push_back(takeMessage(Reader, Kind));
  }
  Reader.finish();
  if (Reader.state() == http1::reader_state::Complete)
    Result.Messages.push_back(takeMessage(Reader, Kind));
  Result.Fault = Reader.fault();
  return Result;
}

/// Parses the input as requests and as responses. The result must not depend on
/// the chunks in which the bytes arrive.
// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  for (auto Kind :
       {http1::message_kind::Request, http1::message_kind::Response}) {
    constexpr std::size_t SmallChunkBytes = 7;
    parse_result Whole = parseInChunks(Bytes, Kind, Bytes.size());
    if (parseInChunks(Bytes, Kind, 1) != Whole ||
        parseInChunks(Bytes, Kind, SmallChunkBytes) != Whole)
      std::abort();
  }
  return 0;
}
