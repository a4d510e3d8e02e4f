#include "gentianlug/http1/message_reader.h"

#include <http_parser.h>
#include <utility>

namespace gentianlug::http1 {

struct message_reader::impl {
  message_kind Kind;
  message_limits Limits;
  http_parser Parser{};
  reader_state State = reader_state::Idle;
  reader_fault Fault = reader_fault::None;
  std::string Method;
  std::string Target;
  std::string Reason;
  header_list Headers;
  std::string Name;
  std::string Value;
  std::string Body;
  std::size_t HeadBytes = 0;
  bool ValueSeen = false;
  bool KeepAlive = true;
  bool NoBody = false;
  bool WaitsForContinue = false;

  impl(message_kind Kind, message_limits Limits) : Kind(Kind), Limits(Limits) {
    restart();
  }

  void restart() {
    http_parser_init(&Parser, Kind == message_kind::Request ? HTTP_REQUEST
                                                            : HTTP_RESPONSE);
    Parser.data = this;
    State = reader_state::Idle;
    Fault = reader_fault::None;
    Method.clear();
    Target.clear();
    Reason.clear();
    Headers = {};
    Name.clear();
    Value.clear();
    Body.clear();
    HeadBytes = 0;
    ValueSeen = false;
    WaitsForContinue = false;
  }

  int fail(reader_fault Why) {
    State = reader_state::Failed;
    Fault = Why;
    return 1;
  }

  int addHead(std::string &Part, const char *Data, std::size_t Size) {
    HeadBytes += Size;
    if (HeadBytes > Limits.MaxHeadBytes)
      return fail(reader_fault::HeadTooLarge);
    Part.append(Data, Size);
    return 0;
  }

  void endField() {
    if (!ValueSeen)
      return;
    Headers.add(std::exchange(Name, {}), std::exchange(Value, {}));
    ValueSeen = false;
  }

  int onHeadersComplete() {
    endField();
    for (const header_field &Field : Headers)
      if (Field.Value.find_first_of("\r\n") != std::string::npos)
        return fail(reader_fault::Malformed);
    State = reader_state::Body;
    KeepAlive = http_should_keep_alive(&Parser) != 0;
    if (Kind == message_kind::Request) {
      Method = http_method_str(http_method(Parser.method));
      // A tunnel has no place in front of services, and its bytes no framing.
      if (Parser.method == HTTP_CONNECT)
        return fail(reader_fault::Malformed);
      const std::string *Expect = Headers.find("expect");
      WaitsForContinue = Expect && sameName(*Expect, "100-continue");
    }
    constexpr auto Unknown = std::uint64_t(-1);
    if (Parser.content_length != Unknown &&
        Parser.content_length > Limits.MaxBodyBytes) {
      fail(reader_fault::BodyTooLarge);
      return -1;
    }
    return NoBody ? 1 : 0;
  }

  int onBody(const char *Data, std::size_t Size) {
    if (Body.size() + Size > Limits.MaxBodyBytes)
      return fail(reader_fault::BodyTooLarge);
    Body.append(Data, Size);
    return 0;
  }

  int onMessageComplete() {
    constexpr int FirstFinal = 200;
    constexpr int SwitchingProtocols = 101;
    if (Kind == message_kind::Response && Parser.status_code < FirstFinal) {
      if (Parser.status_code == SwitchingProtocols)
        return fail(reader_fault::Malformed);
      Headers = {};
      Reason.clear();
      HeadBytes = 0;
      State = reader_state::Head;
      return 0;
    }
    State = reader_state::Complete;
    http_parser_pause(&Parser, 1);
    return 0;
  }

  static impl &self(http_parser *Parser) {
    return *static_cast<impl *>(Parser->data);
  }

  static const http_parser_settings &settings() {
    static const http_parser_settings Settings = [] {
      http_parser_settings Next;
      http_parser_settings_init(&Next);
      Next.on_url = [](http_parser *P, const char *Data, std::size_t Size) {
        return self(P).addHead(self(P).Target, Data, Size);
      };
      Next.on_status = [](http_parser *P, const char *Data, std::size_t Size) {
        return self(P).addHead(self(P).Reason, Data, Size);
      };
      Next.on_header_field = [](http_parser *P, const char *Data,
                                std::size_t Size) {
        self(P).endField();
        return self(P).addHead(self(P).Name, Data, Size);
      };
      Next.on_header_value = [](http_parser *P, const char *Data,
                                std::size_t Size) {
        self(P).ValueSeen = true;
        return self(P).addHead(self(P).Value, Data, Size);
      };
      Next.on_headers_complete = [](http_parser *P) {
        return self(P).onHeadersComplete();
      };
      Next.on_body = [](http_parser *P, const char *Data, std::size_t Size) {
        return self(P).onBody(Data, Size);
      };
      Next.on_message_complete = [](http_parser *P) {
        return self(P).onMessageComplete();
      };
      return Next;
    }();
    return Settings;
  }
};

message_reader::message_reader(message_kind Kind, message_limits Limits)
    : Impl(std::make_unique<impl>(Kind, Limits)) {}
message_reader::~message_reader() = default;
message_reader::message_reader(message_reader &&) noexcept = default;
message_reader &message_reader::operator=(message_reader &&) noexcept = default;

std::size_t message_reader::feed(std::string_view Bytes) {
  if (Impl->State == reader_state::Complete ||
      Impl->State == reader_state::Failed || Bytes.empty())
    return 0;
  if (Impl->State == reader_state::Idle)
    Impl->State = reader_state::Head;
  std::size_t Used = http_parser_execute(&Impl->Parser, &impl::settings(),
                                         Bytes.data(), Bytes.size());
  http_errno Error = HTTP_PARSER_ERRNO(&Impl->Parser);
  if (Error == HPE_HEADER_OVERFLOW)
    Impl->fail(reader_fault::HeadTooLarge);
  else if (Error != HPE_OK && Error != HPE_PAUSED &&
           Impl->State != reader_state::Failed)
    Impl->fail(reader_fault::Malformed);
  return Used;
}

void message_reader::finish() {
  if (Impl->State != reader_state::Body) {
    if (Impl->State == reader_state::Head)
      Impl->fail(reader_fault::Malformed);
    return;
  }
  http_parser_execute(&Impl->Parser, &impl::settings(), nullptr, 0);
  if (Impl->State != reader_state::Complete)
    Impl->fail(reader_fault::Malformed);
}

void message_reader::expectNoBody() { Impl->NoBody = true; }

reader_state message_reader::state() const { return Impl->State; }

reader_fault message_reader::fault() const { return Impl->Fault; }

bool message_reader::waitsForContinue() const {
  return Impl->WaitsForContinue && Impl->State == reader_state::Body;
}

request message_reader::takeRequest() {
  request Request{std::move(Impl->Method), std::move(Impl->Target),
                  std::move(Impl->Headers), std::move(Impl->Body),
                  Impl->KeepAlive};
  Impl->restart();
  return Request;
}

response message_reader::takeResponse() {
  response Answer{int(Impl->Parser.status_code), std::move(Impl->Reason),
                  std::move(Impl->Headers), std::move(Impl->Body),
                  Impl->KeepAlive};
  Impl->NoBody = false;
  Impl->restart();
  return Answer;
}

} // namespace gentianlug::http1
