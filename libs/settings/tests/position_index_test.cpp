#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"
#include "gentianlug/settings/position_index.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::settings;

TEST_GROUP(position_index){};

// Guards against brackets and quotes inside strings and comments that shift
// every later line.
TEST(position_index, CommentsStringsAndEscapesDoNotShiftLines) {
  position_index Index("{ // \"x\": {\n"
                       "\"a\": \"}\\\"]\", /* [\n"
                       "{ */ \"b\": [1,\n"
                       "  {\"c\": true}],\n"
                       "\"\\u0064\": {}}");
  CHECK_EQUAL(2U, *Index.lineOf("a"));
  CHECK_EQUAL(3U, *Index.lineOf("b"));
  CHECK_EQUAL(3U, *Index.lineOf("b[0]"));
  CHECK_EQUAL(4U, *Index.lineOf("b[1].c"));
  CHECK_EQUAL(5U, *Index.lineOf("d"));
  CHECK_FALSE(bool(Index.lineOf("x")));
  CHECK_EQUAL(4U, Index.nearestLine("b[1].missing.deeper"));
}

// Guards against a first value that a later one replaces without a word.
TEST(position_index, ReportsKeysGivenTwice) {
  position_index Index(R"({"a": 1, "b": {"a": 2}, "a": 3})");
  CHECK_EQUAL(1U, Index.duplicates().size());
  STRCMP_EQUAL("a", Index.duplicates()[0].c_str());
}

// Guards against reading past the end of text that stops anywhere.
TEST(position_index, AcceptsTextCutAnywhere) {
  std::string Text = R"({"a\"": [1, {"b": "c"}], /* x */ "d": // e)";
  for (std::size_t Size = 0; Size <= Text.size(); ++Size)
    position_index Index(std::string_view(Text).substr(0, Size));
}

// Guards against a stack overflow when a deeply nested document is copied.
TEST(position_index, DeepNestingIsMalformed) {
  std::string Deep(100000, '[');
  Deep += std::string(100000, ']');
  CHECK_FALSE(bool(parseJson(Deep, "deep.json")));
  position_index Index(Deep);
  CHECK(bool(parseJson(
      std::string(MaxNesting, '[') + std::string(MaxNesting, ']'), "ok.json")));
}

TEST_GROUP(parse_json){};

// Guards against a crash on a number that no double can hold.
TEST(parse_json, NumbersOutOfRangeAreMalformed) {
  CHECK_FALSE(bool(parseJson("32E99999", "x")));
}

// Guards against a message that cannot travel as JSON, or that is as long as
// the malformed value.
TEST(parse_json, MessagesAreShortAndPrintable) {
  std::string Text = "{\"\xff" + std::string(5000, 'x');
  auto Parsed = parseJson(Text, "x");
  CHECK_FALSE(bool(Parsed));
  std::string Message = Parsed.failure().message();
  CHECK(Message.size() < 500);
  CHECK(Message.find('\xff') == std::string::npos);
}

// Guards against a refusal that is too large for the status of a zone.
TEST(parse_json, ListsOfFaultsAreBounded) {
  fault_list Faults("file");
  for (int Number = 0; Number < 10000; ++Number)
    Faults.add("path", "reason");
  CHECK(Faults.toError().Detail.size() <= MaxFaultBytes + 3);
  CHECK_EQUAL(10000U, Faults.list().size());
}
