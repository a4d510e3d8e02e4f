#include "gentianlug/http1/message_reader.h"

#include "detail/field_text.h"
#include "detail/response_head_check.h"
#include "gentianlug/net/http_syntax.h"

#include <http_parser.h>
#include <utility>

namespace gentianlug::http1 {

/// Maximum number of interim responses before the final one.
static constexpr std::size_t MaxInterimResponses = 16;
/// Value of http_parser for a message without `Content-Length`.
static constexpr auto UnknownLength = std::uint64_t(-1);

struct message_reader::impl {
  message_kind Kind;
  message_limits Limits;
  http_parser Parser{};
  detail::response_head_check HeadCheck;
  reader_state State = reader_state::Idle;
  reader_fault Fault = reader_fault::None;
  std::string Method;
  std::string Target;
  std::string Reason;
  detail::field_text Fields;
  body_builder Body;
  std::size_t HeadBytes = 0;
  std::size_t InterimResponses = 0;
  bool KeepAlive = true;
  bool SkipBody = false;
  bool ExpectsContinue = false;

  impl(message_kind Kind, message_limits Limits) : Kind(Kind), Limits(Limits) {
    reset();
  }

  void resetParser() {
    http_parser_init(&Parser, Kind == message_kind::Request ? HTTP_REQUEST
                                                            : HTTP_RESPONSE);
    Parser.data = this;
    HeadCheck = {};
  }

  void reset() {
    resetParser();
    State = reader_state::Idle;
    Fault = reader_fault::None;
    Method.clear();
    Target.clear();
    Reason.clear();
    Fields = {};
    Body.clear();
    HeadBytes = 0;
    InterimResponses = 0;
    ExpectsContinue = false;
  }

  /// Returns the value by which every callback of http_parser reports an error.
  int fail(reader_fault Cause) {
    State = reader_state::Failed;
    Fault = Cause;
    return -1;
  }

  /// Trailer fields are counted, but not kept: they must not change a message
  /// whose header fields have been checked.
  bool inTrailer() const { return State == reader_state::Body; }

  int countHeadBytes(std::size_t Size) {
    HeadBytes += Size;
    return HeadBytes > Limits.MaxHeadBytes ? fail(reader_fault::HeadTooLarge)
                                           : 0;
  }

  int appendToLine(std::string &Text, std::string_view Bytes) {
    if (int Failure = countHeadBytes(Bytes.size()))
      return Failure;
    Text.append(Bytes);
    return 0;
  }

  int onFieldName(std::string_view Bytes) {
    if (!net::isFieldNamePart(Bytes))
      return fail(reader_fault::Malformed);
    if (!inTrailer())
      Fields.appendToName(Bytes);
    return countHeadBytes(Bytes.size());
  }

  int onFieldValue(std::string_view Bytes) {
    if (Bytes.find_first_of("\r\n") != std::string_view::npos)
      return fail(reader_fault::Malformed);
    if (!inTrailer())
      Fields.appendToValue(Bytes);
    return countHeadBytes(Bytes.size());
  }

  int onHeadersComplete() {
    State = reader_state::Body;
    KeepAlive = http_should_keep_alive(&Parser) != 0;
    if (Kind == message_kind::Response && !isValidResponseHead())
      return fail(reader_fault::Malformed);
    if (Kind == message_kind::Request) {
      Method = http_method_str(http_method(Parser.method));
      // Tunnels are not supported; the bytes after a CONNECT request would not
      // be framed as HTTP.
      if (Parser.method == HTTP_CONNECT)
        return fail(reader_fault::Malformed);
      auto Expect = Fields.find("expect");
      ExpectsContinue = Expect && equalIgnoringCase(*Expect, "100-continue");
    }
    if (Parser.content_length != UnknownLength &&
        Parser.content_length > Limits.MaxBodyBytes && !hasNoContent())
      return fail(reader_fault::BodyTooLarge);
    return SkipBody || hasNoContent() ? 1 : 0;
  }

  bool isValidResponseHead() const {
    int Status = int(Parser.status_code);
    if (!net::isInterimStatus(Status))
      return net::isValidStatus(Status);
    bool HasBody =
        (Parser.content_length != UnknownLength && Parser.content_length > 0) ||
        Fields.find("transfer-encoding");
    return !HasBody && InterimResponses < MaxInterimResponses;
  }

  /// Returns whether the response has no body, whatever its fields say.
  bool hasNoContent() const {
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    return Kind == message_kind::Response &&
           (Parser.status_code == NoContent ||
            Parser.status_code == NotModified);
  }

  int onBody(const char *Data, std::size_t Size) {
    if (Body.size() + Size > Limits.MaxBodyBytes)
      return fail(reader_fault::BodyTooLarge);
    Body.append({Data, Size});
    return 0;
  }

  int onMessageComplete() {
    State = reader_state::Complete;
    http_parser_pause(&Parser, 1);
    return 0;
  }

  bool hasInterimResponse() const {
    return Kind == message_kind::Response && State == reader_state::Complete &&
           net::isInterimStatus(int(Parser.status_code));
  }

  /// Prepares for the final response after an interim one.
  void skipInterimResponse() {
    constexpr unsigned SwitchingProtocols = 101;
    if (Parser.status_code == SwitchingProtocols) {
      fail(reader_fault::Malformed);
      return;
    }
    ++InterimResponses;
    resetParser();
    Fields = {};
    Reason.clear();
    HeadBytes = 0;
    State = reader_state::Head;
  }

  /// Parses bytes up to the end of the current message, also of an interim
  /// response. Returns the number of bytes consumed.
  std::size_t parse(std::string_view Bytes) {
    if (Kind == message_kind::Response && !HeadCheck.accept(Bytes)) {
      fail(reader_fault::Malformed);
      return 0;
    }
    std::size_t Consumed =
        http_parser_execute(&Parser, &settings(), Bytes.data(), Bytes.size());
    http_errno Error = HTTP_PARSER_ERRNO(&Parser);
    if (Error == HPE_HEADER_OVERFLOW)
      fail(reader_fault::HeadTooLarge);
    else if (Error != HPE_OK && Error != HPE_PAUSED &&
             State != reader_state::Failed)
      fail(reader_fault::Malformed);
    return Consumed;
  }

  static impl &self(http_parser *Parser) {
    return *static_cast<impl *>(Parser->data);
  }

  static const http_parser_settings &settings() {
    static const http_parser_settings Settings = [] {
      http_parser_settings Callbacks;
      http_parser_settings_init(&Callbacks);
      Callbacks.on_url = [](http_parser *P, const char *Data,
                            std::size_t Size) {
        return self(P).appendToLine(self(P).Target, {Data, Size});
      };
      Callbacks.on_status = [](http_parser *P, const char *Data,
                               std::size_t Size) {
        return self(P).appendToLine(self(P).Reason, {Data, Size});
      };
      Callbacks.on_header_field = [](http_parser *P, const char *Data,
                                     std::size_t Size) {
        return self(P).onFieldName({Data, Size});
      };
      Callbacks.on_header_value = [](http_parser *P, const char *Data,
                                     std::size_t Size) {
        return self(P).onFieldValue({Data, Size});
      };
      Callbacks.on_headers_complete = [](http_parser *P) {
        return self(P).onHeadersComplete();
      };
      Callbacks.on_body = [](http_parser *P, const char *Data,
                             std::size_t Size) {
        return self(P).onBody(Data, Size);
      };
      Callbacks.on_message_complete = [](http_parser *P) {
        return self(P).onMessageComplete();
      };
      return Callbacks;
    }();
    return Settings;
  }
};

message_reader::message_reader(message_kind Kind, message_limits Limits)
    : Impl(std::make_unique<impl>(Kind, Limits)) {}
message_reader::~message_reader() = default;
message_reader::message_reader(message_reader &&) noexcept = default;
message_reader &message_reader::operator=(message_reader &&) noexcept = default;

std::size_t message_reader::bodyBytes() const { return Impl->Body.size(); }

std::size_t message_reader::heldBytes() const {
  if (Impl->State == reader_state::Idle)
    return 0;
  return Impl->Fields.heldBytes() + Impl->Target.capacity() +
         Impl->Reason.capacity() + Impl->Body.heldBytes();
}

void message_reader::discard() { Impl->reset(); }

std::size_t message_reader::feed(std::string_view Bytes) {
  if (Impl->State == reader_state::Complete ||
      Impl->State == reader_state::Failed || Bytes.empty())
    return 0;
  if (Impl->State == reader_state::Idle)
    Impl->State = reader_state::Head;
  std::size_t Consumed = Impl->parse(Bytes);
  while (Impl->hasInterimResponse()) {
    Impl->skipInterimResponse();
    if (Impl->State == reader_state::Head && Consumed < Bytes.size())
      Consumed += Impl->parse(Bytes.substr(Consumed));
  }
  return Consumed;
}

void message_reader::finish() {
  if (Impl->State != reader_state::Body) {
    if (Impl->State == reader_state::Head)
      Impl->fail(reader_fault::Malformed);
    return;
  }
  Impl->parse({});
  if (Impl->State != reader_state::Complete)
    Impl->fail(reader_fault::Malformed);
}

void message_reader::expectNoBody() { Impl->SkipBody = true; }

reader_state message_reader::state() const { return Impl->State; }

reader_fault message_reader::fault() const { return Impl->Fault; }

bool message_reader::expectsContinue() const {
  return Impl->ExpectsContinue && Impl->State == reader_state::Body;
}

request message_reader::takeRequest() {
  request Request{std::move(Impl->Method), std::move(Impl->Target),
                  Impl->Fields.takeHeaders(), Impl->Body.take(),
                  Impl->KeepAlive};
  Impl->reset();
  return Request;
}

response message_reader::takeResponse() {
  response Response{int(Impl->Parser.status_code), std::move(Impl->Reason),
                    Impl->Fields.takeHeaders(), Impl->Body.take(),
                    Impl->KeepAlive};
  Impl->SkipBody = false;
  Impl->reset();
  return Response;
}

} // namespace gentianlug::http1
