#include "gentianlug/observe/event.h"
#include "gentianlug/observe/log_rate_limiter.h"
#include "gentianlug/observe/metrics.h"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <sstream>
#include <string>

using namespace gentianlug::observe;
using namespace std::chrono_literals;

TEST_GROUP(events){};

// Guards against an event that is missing from the operator documentation.
TEST(events, DocumentationListsExactlyTheEvents) {
  std::ifstream File(GENTIANLUG_SOURCE_DIR "/docs/events.md");
  std::stringstream Page;
  Page << File.rdbuf();
  std::string Expected;
  for (const event_description &Row : eventCatalogue()) {
    const char *Level = Row.Level == severity::Info      ? "info"
                        : Row.Level == severity::Warning ? "warning"
                                                         : "error";
    Expected += "| GL" + std::to_string(int(Row.Code)) + " | " +
                std::string(Row.Name) + " | " + Level + " | " +
                std::string(Row.Text) + " |\n";
  }
  std::string Listed;
  for (std::string Line; std::getline(Page, Line);)
    if (Line.rfind("| GL", 0) == 0)
      Listed += Line + "\n";
  STRCMP_EQUAL(Expected.c_str(), Listed.c_str());
}

TEST_GROUP(log_rate_limiter){};

// Guards against logging that slows down request handling when an event occurs
// very often.
TEST(log_rate_limiter, SuppressesAndCountsLinesBeyondLimit) {
  log_rate_limiter Limit(2);
  std::chrono::steady_clock::time_point Now(10s);
  CHECK(Limit.admit(Now).has_value());
  CHECK(Limit.admit(Now).has_value());
  CHECK_FALSE(Limit.admit(Now).has_value());
  CHECK_EQUAL(1U, *Limit.admit(Now + 1s));
}

TEST_GROUP(metrics){};

// Guards against non-cumulative buckets; Prometheus requires cumulative ones.
TEST(metrics, HistogramBucketsAreCumulative) {
  metric_set Metrics;
  Metrics.observe("call_seconds", 1ms);
  Metrics.observe("call_seconds", 100s);
  std::string Text = Metrics.render();
  CHECK(Text.find("call_seconds_bucket{le=\"25.6\"} 1\n") != Text.npos);
  CHECK(Text.find("call_seconds_bucket{le=\"+Inf\"} 2\n") != Text.npos);
}
