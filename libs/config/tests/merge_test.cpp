#include "gentianlug/config/compile.h"
#include "gentianlug/config/explain.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace gentianlug;
using namespace gentianlug::config;

static const std::string BaseText = R"({
  "services": [
    {"name": "commandes", "version": "v1",
     "limits": {"slots": 10}},
    {"name": "catalogue", "version": "v1"}
  ],
  "routes": [
    {"name": "orders", "path": "/commandes", "service": "commandes"}
  ]
})";

TEST_GROUP(merge){
    compile_output compile(const std::string &Base, const std::string &Overlay){
        compile_input Input{{"base.json", Base},
                            {{site_name("east"), {"east.json", Overlay}}},
                            wall_time{},
                            {}};
return compileAll(Input);
}

bool hasFault(const compile_output &Output, const std::string &Text) {
  return std::any_of(Output.Faults.begin(), Output.Faults.end(),
                     [&](const compile_fault &Fault) {
                       return Fault.str().find(Text) != std::string::npos;
                     });
}
}
;

// Guards against an overlay that removes or changes entries it does not name.
TEST(merge, ChangesAddsAndRemovesEntriesByName) {
  auto Output = compile(BaseText, R"({"services": [
      {"name": "catalogue", "remove": true},
      {"name": "commandes", "limits": {"connections": 50}},
      {"name": "inventaire", "version": "v3"}]})");
  CHECK(Output.Faults.empty());
  const auto &Services = Output.Sites.at(0).Services;
  CHECK_EQUAL(2U, Services.size());
  CHECK_EQUAL(10U, Services[0].Limits.Slots);
  CHECK_EQUAL(50U, Services[0].Limits.Connections);
  STRCMP_EQUAL("v3", Services[1].Version.str().c_str());
}

// Guards against compilation stopping at the first fault, so that operators
// would have to compile once per mistake.
TEST(merge, ReportsAllFaultsWithFileLineAndPath) {
  auto Output = compile(BaseText, R"({
    "services": [
      {"name": "archiv", "remove": true},
      {"version": "v2"},
      {"name": "commandes", "limits": {"slots": "ten"}},
      {"name": "commandes"},
      {"name": "catalogue", "limits": [1],
       "version": 7}
    ],
    "routes": {"name": "x"},
    "zone_round_trip_us": 1, "zone_round_trip_us": 2,
    "custommers": []
  })");
  static const char *const Expected[] = {
      "east.json:3: services.archiv: removes an entry",
      "east.json:4: services[1]: needs a \"name\"",
      "east.json:5: services.commandes.limits.slots: is a string, but",
      "east.json:6: services[3]: the name \"commandes\" is used twice",
      "east.json:7: services.catalogue.limits: must be an object",
      "east.json:8: services.catalogue.version: is a number",
      "east.json:10: routes: is an object, but the base has a list",
      "east.json:11: zone_round_trip_us: is given twice",
      "east.json:12: custommers: is not a known key"};
  for (const char *Text : Expected)
    CHECK_TRUE_TEXT(hasFault(Output, Text), Text);
  CHECK_EQUAL(9U, Output.Faults.size());
}

// Guards against faults in the base hiding those in an overlay, and against
// a malformed file stopping the compilation.
TEST(merge, ReportsMalformedBaseAndOverlay) {
  auto Output = compile("{\"services\": [}", "{,}");
  CHECK(hasFault(Output, "base.json:1: malformed JSON"));
  CHECK(hasFault(Output, "east.json:1: malformed JSON"));
}

// Guards against crashes on unexpected JSON types.
TEST(merge, ReportsUnexpectedTypesAsFaults) {
  for (const char *Unexpected :
       {"null", "7", "[]", "\"x\"", R"({"services": {}})",
        R"({"services": [null, 1, []]})", R"({"rollouts": [{"service": 1}]})",
        R"({"services": [{"name": "commandes", "remove": 1}]})",
        R"({"services": [{"name": {"name": 1}}]})", R"({"routes": "x"})"}) {
    CHECK_TRUE_TEXT(!compile(BaseText, Unexpected).Faults.empty(), Unexpected);
    CHECK_TRUE_TEXT(!compile(Unexpected, BaseText).Faults.empty(), Unexpected);
  }
}

static const value_origin &at(const std::vector<value_origin> &Origins,
                              const std::string &Path) {
  return *std::find_if(
      Origins.begin(), Origins.end(),
      [&](const value_origin &Origin) { return Origin.Path == Path; });
}

TEST_GROUP(explain){};

// Guards against directing an operator to a file that does not provide the
// effective value.
TEST(explain, ReportsFileLineAndSourceOfValues) {
  source_file Overlay{"east.json", "{\"services\": [\n"
                                   "{\"name\": \"commandes\",\n"
                                   " \"limits\": {\"connections\": 50}}]}"};
  auto Origins = explainPath(site_name("east"), {"base.json", BaseText},
                             Overlay, "services.commandes", wall_time{});
  CHECK(bool(Origins));
  CHECK((value_origin{"services.commandes.limits.slots", "10",
                      value_source::Base, "base.json", 4}) ==
        at(*Origins, "services.commandes.limits.slots"));
  CHECK((value_origin{"services.commandes.limits.connections", "50",
                      value_source::Overlay, "east.json", 3}) ==
        at(*Origins, "services.commandes.limits.connections"));
  CHECK(value_source::Default ==
        at(*Origins, "services.commandes.limits.queue_length").Source);
}

// Guards against an empty result for a misspelled path.
TEST(explain, RejectsUnknownPaths) {
  for (const char *Path : {"services.commande", "",
                           "services.commandes.limits."
                           "slots.x"})
    CHECK_FALSE(bool(explainPath(site_name("east"), {"base.json", BaseText},
                                 {"east.json", "{}"}, Path, wall_time{})));
}
