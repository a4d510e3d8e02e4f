#include "gentianlug/core/address.h"
#include "gentianlug/core/bounded_queue.h"
#include "gentianlug/core/core_errc.h"
#include "gentianlug/core/hash.h"
#include "gentianlug/core/random.h"
#include "gentianlug/core/text.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;

TEST_GROUP(address){};

// Guards against an out-of-range port that is truncated to a valid one.
TEST(address, RejectsInvalidHostAndPort) {
  for (const char *Text : {"", "127.0.0.1", ":80", "h:0", "h:65536", "h:8x"})
    CHECK_FALSE(bool(parseAddress(Text)));
  auto Valid = parseAddress("127.0.0.1:8080");
  CHECK(bool(Valid));
  CHECK_EQUAL(8080, Valid->Port);
}

TEST_GROUP(bounded_queue){};

// Guards against a queue that grows without limit.
TEST(bounded_queue, RejectsItemsBeyondCapacity) {
  bounded_queue<int> Queue(2);
  CHECK(Queue.push(1));
  CHECK(Queue.push(2));
  CHECK_FALSE(Queue.push(3));
  CHECK_EQUAL(1, Queue.pop());
}

TEST_GROUP(hash){};

// Guards against a hexadecimal text without its leading zeros.
TEST(hash, HasFixedLength) {
  generator Gen(1);
  for (int Round = 0; Round < 64; ++Round) {
    std::string Id = drawHexId(Gen);
    CHECK_EQUAL(16U, Id.size());
    CHECK_EQUAL(32U, contentHash(Id).size());
  }
}

TEST_GROUP(text){};

// Guards against truncation inside a UTF-8 character, which is invalid in JSON.
TEST(text, TruncatesAtCharacterBoundary) {
  STRCMP_EQUAL("ab", truncateText("ab", 2).c_str());
  STRCMP_EQUAL("a...", truncateText("a\xc5\x88z", 2).c_str());
  STRCMP_EQUAL("a\xc5\x88...", truncateText("a\xc5\x88z", 3).c_str());
  STRCMP_EQUAL("...", truncateText("\x88\x88", 1).c_str());
}

TEST(text, ReplacesNonPrintableBytes) {
  STRCMP_EQUAL("a?b??", replaceNonPrintable("a\nb\xff\x7f").c_str());
}

// Guards against text that the JSON encoder rejects with an exception.
TEST(text, InvalidUtf8IsFoundAndReplaced) {
  for (const char *Valid :
       {"", "abc", "\xC5\xBE", "\xE2\x82\xAC", "\xF0\x9F\x8C\xB1", "\x7f"})
    CHECK_TEXT(isValidUtf8(Valid), Valid);
  // A lone continuation, overlong forms, a surrogate, a value above U+10FFFF
  // and characters that break off.
  for (const char *Invalid :
       {"\x80", "\xC0\x80", "\xE0\x80\x80", "\xED\xA0\x80", "\xF4\x90\x80\x80",
        "\xC5", "\xE2\x82", "\xff\xfe"})
    CHECK_FALSE(isValidUtf8(Invalid));
  STRCMP_EQUAL("i-\xEF\xBF\xBD\xEF\xBF\xBDz",
               replaceInvalidUtf8("i-\xff\xfez").c_str());
  CHECK(isReadableText("i-7f3a91c2 \xC5\xBE"));
  for (const char *Unreadable : {"a\nb", "\x7f", "\xff", "\xEF\xBF\xBD"})
    CHECK_FALSE(isReadableText(Unreadable));
}
