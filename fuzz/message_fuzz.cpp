#include "gentianlug/http1/message_reader.h"

#include <cstdlib>
#include <vector>

using namespace gentianlug;

namespace {

/// What a stream of bytes amounts to.
struct reading {
  std::vector<std::string> Messages;
  http1::reader_fault Fault = http1::reader_fault::None;

  friend bool operator==(const reading &, const reading &) = default;
};

} // namespace

static std::string take(http1::message_reader &Reader,
                        http1::message_kind Kind) {
  if (Kind == http1::message_kind::Response) {
    http1::response Answer = Reader.takeResponse();
    return std::to_string(Answer.Status) + "\n" + Answer.Body;
  }
  http1::request Request = Reader.takeRequest();
  return Request.Method + " " + Request.Target + "\n" + Request.Body;
}

/// Reads \p Bytes in pieces of \p Piece bytes.
static reading readInPieces(std::string_view Bytes, http1::message_kind Kind,
                            std::size_t Piece) {
  constexpr http1::message_limits Limits{4096, 4096};
  http1::message_reader Reader(Kind, Limits);
  reading Result;
  while (!Bytes.empty() && Reader.state() != http1::reader_state::Failed) {
    std::size_t Used = Reader.feed(Bytes.substr(0, Piece));
    Bytes.remove_prefix(Used);
    if (Reader.state() == http1::reader_state::Complete)
      Result.Messages.push_back(take(Reader, Kind));
  }
  Reader.finish();
  if (Reader.state() == http1::reader_state::Complete)
    Result.Messages.push_back(take(Reader, Kind));
  Result.Fault = Reader.fault();
  return Result;
}

/// Reads any bytes. How they arrive must not change what is read.
// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  for (auto Kind :
       {http1::message_kind::Request, http1::message_kind::Response}) {
    constexpr std::size_t SmallPiece = 7;
    reading Whole = readInPieces(Bytes, Kind, Bytes.size());
    if (readInPieces(Bytes, Kind, 1) != Whole ||
        readInPieces(Bytes, Kind, SmallPiece) != Whole)
      std::abort();
  }
  return 0;
}
