#include "gentianlug/settings/json_file.h"
#include "gentianlug/settings/object_reader.h"
#include "gentianlug/settings/position_index.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::settings;

TEST_GROUP(position_index){};

// Guards against brackets and quotes in strings and comments being taken for
// tokens, which would shift the lines of all later values.
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

// Guards against duplicate keys whose first value is silently discarded.
TEST(position_index, ReportsDuplicateKeys) {
  position_index Index(R"({"a": 1, "b": {"a": 2}, "a": 3})");
  CHECK_EQUAL(1U, Index.duplicateKeys().size());
  STRCMP_EQUAL("a", Index.duplicateKeys()[0].c_str());
}

// Guards against reading past the end of truncated text.
TEST(position_index, AcceptsTextTruncatedAtAnyOffset) {
  std::string Text = R"({"a\"": [1, {"b": "c"}], /* x */ "d": // e)";
  for (std::size_t Size = 0; Size <= Text.size(); ++Size)
    position_index Index(std::string_view(Text).substr(0, Size));
}

// Guards against a stack overflow when copying a deeply nested document.
TEST(position_index, RejectsExcessiveNesting) {
  std::string Deep(100000, '[');
  Deep += std::string(100000, ']');
  CHECK_FALSE(bool(parseJson(Deep, "deep.json")));
  position_index Index(Deep);
  CHECK(bool(parseJson(std::string(MaxNestingDepth, '[') +
                           std::string(MaxNestingDepth, ']'),
                       "ok.json")));
}

TEST_GROUP(parse_json){};

// Guards against a crash on a number outside the range of a double.
TEST(parse_json, RejectsNumbersOutOfRange) {
  CHECK_FALSE(bool(parseJson("32E99999", "x")));
}

// Guards against error messages that are not valid UTF-8, and so cannot be
// encoded as JSON, or that are as long as the malformed value.
TEST(parse_json, MessagesAreShortAndPrintable) {
  std::string Text = "{\"\xff" + std::string(5000, 'x');
  auto Parsed = parseJson(Text, "x");
  CHECK_FALSE(bool(Parsed));
  std::string Message = Parsed.failure().message();
  CHECK(Message.size() < 500);
  CHECK(Message.find('\xff') == std::string::npos);
}

// Guards against a rejection text that is too large for the status of a zone.
TEST(parse_json, LimitsTextOfFaultLists) {
  fault_list Faults("file");
  for (int Number = 0; Number < 10000; ++Number)
    Faults.add("path", "reason");
  CHECK(Faults.toError().Detail.size() <= MaxFaultTextBytes + 3);
  CHECK_EQUAL(10000U, Faults.list().size());
}
