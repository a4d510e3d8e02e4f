#include "gentianlug/http1/message_reader.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace gentianlug::http1;

static const std::string Get = "GET /a/b HTTP/1.1\r\nHost: h\r\n\r\n";

static message_reader requestReader(message_limits Limits = {}) {
  return {message_kind::Request, Limits};
}

/// Returns whether a response whose first bytes are \p Start is refused, alone
/// and in single bytes, with a sound response and the connection's end after
/// it.
static bool isRefused(const std::string &Start) {
  const std::string Sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
  message_reader Whole(message_kind::Response, {});
  Whole.feed(Start + Sound);
  Whole.finish();
  message_reader Parts(message_kind::Response, {});
  for (char Byte : Start + Sound)
    Parts.feed({&Byte, 1});
  Parts.finish();
  return Whole.state() == reader_state::Failed &&
         Parts.state() == reader_state::Failed;
}

TEST_GROUP(MessageReader){};

// Guards against bytes of the next request being read as part of this one.
TEST(MessageReader, StopsAfterOneRequest) {
  auto Reader = requestReader();
  UNSIGNED_LONGS_EQUAL(Get.size(), Reader.feed(Get + Get));
  CHECK(Reader.state() == reader_state::Complete);
  request Request = Reader.takeRequest();
  STRCMP_EQUAL("GET", Request.Method.c_str());
  STRCMP_EQUAL("/a/b", Request.Target.c_str());
  STRCMP_EQUAL("h", Request.Headers.find("HOST")->c_str());
  CHECK(Reader.state() == reader_state::Idle);
  Reader.feed(Get);
  CHECK(Reader.state() == reader_state::Complete);
}

// Guards against losing parts of fields that arrive in separate reads.
TEST(MessageReader, ReadsByteByByte) {
  auto Reader = requestReader();
  std::string Bytes = "POST /x HTTP/1.1\r\nHost: h\r\nLong-Name: some value\r\n"
                      "Content-Length: 3\r\n\r\nabc";
  for (char Byte : Bytes)
    Reader.feed({&Byte, 1});
  CHECK(Reader.state() == reader_state::Complete);
  request Request = Reader.takeRequest();
  STRCMP_EQUAL("some value", Request.Headers.find("long-name")->c_str());
  STRCMP_EQUAL("abc", Request.Body.str().c_str());
}

// Guards against request smuggling through framing that two parsers could
// interpret differently.
TEST(MessageReader, RejectsAmbiguousFraming) {
  for (const char *Fields :
       {"Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n", "Content-Length: -1\r\n",
        "Content-Length: 1x\r\n"}) {
    auto Reader = requestReader();
    Reader.feed("POST / HTTP/1.1\r\nHost: h\r\n" + std::string(Fields) +
                "\r\na");
    CHECK_TEXT(Reader.state() == reader_state::Failed, Fields);
  }
}

TEST(MessageReader, ReadsChunkedBody) {
  auto Reader = requestReader();
  Reader.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(Reader.state() == reader_state::Complete);
  STRCMP_EQUAL("abcde", Reader.takeRequest().Body.str().c_str());
}

// Guards against a caller that exhausts the memory of the node.
TEST(MessageReader, LimitsHeadAndBodySize) {
  auto Head = requestReader({.MaxHeadBytes = 100, .MaxBodyBytes = 10});
  Head.feed("GET / HTTP/1.1\r\nHost: " + std::string(200, 'h') + "\r\n\r\n");
  CHECK(Head.fault() == reader_fault::HeadTooLarge);
  auto WithLength = requestReader({.MaxHeadBytes = 100, .MaxBodyBytes = 10});
  WithLength.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  CHECK(WithLength.fault() == reader_fault::BodyTooLarge);
  auto Chunked = requestReader({.MaxHeadBytes = 200, .MaxBodyBytes = 10});
  Chunked.feed(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "b\r\nabcdefghijk\r\n");
  CHECK(Chunked.fault() == reader_fault::BodyTooLarge);
}

// Guards against a request for a tunnel that is passed on to a server: what
// follows it would not be framed as HTTP.
TEST(MessageReader, ConnectRequestsFail) {
  auto Reader = requestReader();
  Reader.feed("CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n" + Get);
  CHECK(Reader.state() == reader_state::Failed);
}

// Guards against heads that take many times their size: a list of fields has
// two strings for each line.
TEST(MessageReader, UnfinishedHeadsTakeNoMoreThanTwiceTheirSize) {
  auto Reader = requestReader();
  std::string Head = "GET / HTTP/1.1\r\nHost: h\r\n";
  while (Head.size() < 16000)
    Head += "a:\r\n";
  Reader.feed(Head);
  CHECK(Reader.state() == reader_state::Head);
  CHECK(Reader.heldBytes() <= 2 * Head.size());
  Reader.feed("\r\n");
  request Request = Reader.takeRequest();
  CHECK(Request.Headers.count("a") > 3000);
  CHECK(Request.Headers.heldBytes() > 2 * Head.size());
  CHECK(Reader.heldBytes() < 100);
}

// Guards against a truncated response being taken for a complete one.
TEST(MessageReader, TruncatedResponseFails) {
  message_reader Reader(message_kind::Response, {});
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  Reader.finish();
  CHECK(Reader.state() == reader_state::Failed);
}

TEST(MessageReader, ResponseWithoutLengthEndsAtClose) {
  message_reader Reader(message_kind::Response, {});
  Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(Reader.state() == reader_state::Body);
  Reader.finish();
  CHECK(Reader.state() == reader_state::Complete);
  response Response = Reader.takeResponse();
  STRCMP_EQUAL("abc", Response.Body.str().c_str());
  CHECK_FALSE(Response.KeepAlive);
}

// Guards against trailers that change the meaning of a message after its
// header fields have been checked.
TEST(MessageReader, TrailersAreNoHeaderFields) {
  auto Reader = requestReader({});
  Reader.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n1\r\na\r\n0\r\nX-Late: 1\r\nHost: other\r\n\r\n");
  CHECK(Reader.state() == reader_state::Complete);
  request Request = Reader.takeRequest();
  STRCMP_EQUAL("a", Request.Body.str().c_str());
  STRCMP_EQUAL("h", Request.Headers.find("host")->c_str());
  POINTERS_EQUAL(nullptr, Request.Headers.find("x-late"));
}

TEST(MessageReader, SkipsInterimResponses) {
  message_reader Reader(message_kind::Response, {});
  Reader.feed("HTTP/1.1 100 Continue\r\n\r\n"
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  CHECK(Reader.state() == reader_state::Complete);
  LONGS_EQUAL(200, Reader.takeResponse().Status);
}

// Guards against a final response whose body begins with that of an interim
// one, which has none.
TEST(MessageReader, InterimResponsesWithABodyFail) {
  for (const char *Framing :
       {"Content-Length: 3\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"})
    CHECK_TEXT(isRefused(std::string("HTTP/1.1 103 Early Hints\r\n") + Framing),
               Framing);
}

// Guards against a connection that ends after an interim response, which looks
// like a response to the request.
TEST(MessageReader, InterimResponseIsNoResponse) {
  message_reader Reader(message_kind::Response, {});
  Reader.feed("HTTP/1.1 100 Continue\r\n\r\n");
  Reader.finish();
  CHECK(Reader.state() == reader_state::Failed);
}

// Guards against a server that sends interim responses until the call's
// deadline.
TEST(MessageReader, InterimResponsesWithoutEndFail) {
  message_reader Reader(message_kind::Response, {});
  constexpr int Many = 1000;
  for (int Count = 0; Count < Many; ++Count)
    Reader.feed("HTTP/1.1 102 Processing\r\n\r\n");
  CHECK(Reader.state() == reader_state::Failed);
}

// Guards against bytes after a response that never has a body: they would be
// passed on behind it and read as the beginning of the next response.
TEST(MessageReader, ResponsesWithoutContentHaveNoBody) {
  for (const char *Line :
       {"HTTP/1.1 204 No Content", "HTTP/1.1 304 Unmodified"}) {
    const std::string Head =
        std::string(Line) + "\r\nContent-Length: 3\r\n\r\n";
    message_reader Reader(message_kind::Response, {});
    UNSIGNED_LONGS_EQUAL(Head.size(), Reader.feed(Head + "abc"));
    CHECK_TEXT(Reader.state() == reader_state::Complete, Line);
    CHECK(Reader.takeResponse().Body.empty());
  }
}

TEST(MessageReader, InvalidResponseFails) {
  message_reader Reader(message_kind::Response, {});
  Reader.feed("\x01\x02garbage\r\n\r\n");
  CHECK(Reader.fault() == reader_fault::Malformed);
}

// Guards against bytes of a server in trouble that are passed on as a response,
// or skipped like an interim one so that a later response takes their place.
TEST(MessageReader, InvalidStatusLinesFail) {
  for (const char *Line :
       {"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 20 Short",
        "HTTP/1.1 2000 Long", "HTTP/1.1 0200 Zero", "HTTP/1.1 600 High",
        "HTTP/1.1 999 High", "HTTP/1.1 -20 Sign", "HTTP/1.1 2OO OK",
        "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1  200 OK", "HTTP/7.9 200 OK",
        "HTTP/0.9 200 OK", "HTTP/11.1 200 OK", "HTTP/1.11 200 OK",
        "HTTP/1.1 101 Other", "\r\nHTTP/1.1 200 OK", "ICY 200 OK"})
    for (const char *Fields : {"Content-Length: 3\r\n\r\nabc", "\r\n"})
      CHECK_TEXT(isRefused(std::string(Line) + "\r\n" + Fields), Line);
}

/// Field names that HTTP does not allow.
static const std::vector<std::string> InvalidNames = {
    "Bad Name", "Bad\tName",       "Bad\x01Name",        " Name",
    "Name ",    "Content-Length ", "Transfer-Encoding ", "Na(me)",
    "Na\"me",   "Na\x7fme",        "Na\xc3\xa9me",       ""};

// Guards against a response with a line that is no header field: the line is
// passed on, or read as one of the fields that frame the body.
TEST(MessageReader, InvalidFieldNamesInResponsesFail) {
  for (const std::string &Name : InvalidNames) {
    CHECK_TEXT(isRefused("HTTP/1.1 200 OK\r\n" + Name +
                         ": 1\r\nContent-Length: 3\r\n\r\nabc"),
               Name.c_str());
    CHECK_TEXT(isRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "1\r\na\r\n0\r\n" +
                         Name + ": 1\r\n\r\n"),
               Name.c_str());
  }
}

// Guards against a line that looks like a field to one reader and like part of
// the field before it to another.
TEST(MessageReader, ContinuedLinesInResponsesFail) {
  for (const char *Line : {" Content-Length: 9", "\tmore", " "})
    for (const char *Before : {"X: y", "X:"})
      CHECK_TEXT(isRefused(std::string("HTTP/1.1 200 OK\r\n") + Before +
                           "\r\n" + Line + "\r\nContent-Length: 3\r\n\r\nabc"),
                 Line);
}

// Guards against request smuggling: a server may read such a line as a field
// that frames the body.
TEST(MessageReader, InvalidFieldNamesInRequestsFail) {
  for (const std::string &Name : InvalidNames) {
    auto Reader = requestReader();
    Reader.feed("POST / HTTP/1.1\r\n" + Name +
                ": 1\r\nHost: h\r\nContent-Length: 1\r\n\r\na");
    CHECK_TEXT(Reader.fault() == reader_fault::Malformed, Name.c_str());
  }
}

// Guards against refusing odd names and values that HTTP allows.
TEST(MessageReader, AllFieldNamesOfHttpPass) {
  auto Reader = requestReader();
  Reader.feed(
      "GET / HTTP/1.1\r\nHost: h\r\n!#$%&'*+-.^_`|~09azAZ: \t x\xc3\t\r\n"
      "Empty:\r\n\r\n");
  CHECK(Reader.state() == reader_state::Complete);
  CHECK(Reader.takeRequest().Headers.find("!#$%&'*+-.^_`|~09azaz") != nullptr);
}

TEST(MessageReader, ValidStatusLinesPass) {
  for (const char *Line :
       {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
        "HTTP/1.1 299 Unknown", "HTTP/1.1 599 Last", "HTTP/1.1 421 a b c"}) {
    message_reader Reader(message_kind::Response, {});
    Reader.feed(std::string(Line) + "\r\nContent-Length: 0\r\n\r\n");
    CHECK_TEXT(Reader.state() == reader_state::Complete, Line);
  }
}

TEST_GROUP(Message){};

// Guards against forwarding the framing fields of one connection on another.
TEST(Message, RemovesHopByHopFields) {
  header_list Headers;
  for (const char *Name : {"Connection", "Keep-Alive", "Content-Length",
                           "Transfer-Encoding", "X-Hop", "Kept"})
    Headers.add(Name, Name == std::string("Connection") ? "close, x-hop" : "1");
  removeHopByHopFields(Headers);
  UNSIGNED_LONGS_EQUAL(1, Headers.size());
  CHECK(Headers.find("kept") != nullptr);
}

// Guards against a request without `Host`, which routing needs, because the
// client has listed it as a field of its connection.
TEST(Message, HostIsNoFieldOfAConnection) {
  header_list Headers;
  Headers.add("Host", "h");
  Headers.add("X-Hop", "1");
  Headers.add("Connection", "HOST, x-hop");
  removeHopByHopFields(Headers);
  CHECK(Headers.find("host") != nullptr);
  UNSIGNED_LONGS_EQUAL(1, Headers.size());
}

// Guards against values of other processes that add fields to a message.
TEST(Message, FieldValuesAddNoFields) {
  request Request;
  Request.Method = "GET";
  Request.Target = "/";
  Request.Headers.add("A", std::string("x\r\nB: y\0z", 9));
  STRCMP_CONTAINS("A: x  B: y z\r\n", encodeHead(Request).c_str());
}

TEST(Message, FramesBodiesByContentLength) {
  request Request;
  Request.Method = "POST";
  Request.Target = "/";
  STRCMP_EQUAL("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
               encodeHead(Request).c_str());
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
               "Connection: close\r\n\r\n",
               encodeHead(makeStatusResponse(503), false).c_str());
}
