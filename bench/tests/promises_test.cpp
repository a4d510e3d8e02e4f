#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

// Redefines new, so the standard headers come first.
#include <CppUTest/TestHarness.h>

namespace {

/// Content of docs/promises.md: the row ids, and the scenarios and experiments
/// that the rows reference.
struct promises_page {
  std::set<std::string> Ids;
  std::set<std::string> RowsWithoutScenario;
  std::set<std::string> Scenarios;
  std::set<std::string> Experiments;
};

} // namespace

/// Returns the Markdown code spans of a table cell.
static std::set<std::string> codeSpans(const std::string &Cell) {
  std::set<std::string> Spans;
  std::stringstream Parts(Cell);
  bool InSpan = false;
  for (std::string Part; std::getline(Parts, Part, '`'); InSpan = !InSpan)
    if (InSpan)
      Spans.insert(Part);
  return Spans;
}

static void parseRow(const std::string &Line, promises_page &Page) {
  std::stringstream Cells(Line);
  std::string Empty, Id, Promise, Mechanism, Scenarios, Experiments;
  std::getline(Cells, Empty, '|');
  std::getline(Cells, Id, '|');
  std::getline(Cells, Promise, '|');
  std::getline(Cells, Mechanism, '|');
  std::getline(Cells, Scenarios, '|');
  std::getline(Cells, Experiments, '|');
  Id.erase(0, Id.find_first_not_of(' '));
  Id.erase(Id.find_last_not_of(' ') + 1);
  Page.Ids.insert(Id);
  std::set<std::string> ScenarioNames = codeSpans(Scenarios);
  if (ScenarioNames.empty())
    Page.RowsWithoutScenario.insert(Id);
  Page.Scenarios.merge(ScenarioNames);
  Page.Experiments.merge(codeSpans(Experiments));
}

static promises_page parsePage() {
  std::ifstream File(GENTIANLUG_SOURCE_DIR "/docs/promises.md");
  promises_page Page;
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("| P") || Line.starts_with("| F"))
      parseRow(Line, Page);
  return Page;
}

static std::set<std::string> listScripts(const std::string &Folder) {
  std::set<std::string> Names;
  for (const auto &Entry : std::filesystem::directory_iterator(
           std::string(GENTIANLUG_SOURCE_DIR "/") + Folder))
    if (Entry.path().extension() == ".lua")
      Names.insert(Entry.path().stem().string());
  return Names;
}

TEST_GROUP(promises) { promises_page Page = parsePage(); };

// Detects a promise or fault without a scenario.
TEST(promises, EveryPromiseAndFaultHasAScenario) {
  for (char Kind : {'P', 'F'})
    for (int Number = 1; Number <= 12; ++Number) {
      std::string Id = Kind + std::to_string(Number);
      CHECK_TEXT(Page.Ids.count(Id) == 1, Id.c_str());
    }
  for (const std::string &Id : Page.RowsWithoutScenario)
    FAIL(("no scenario for " + Id).c_str());
}

// Detects references to scenarios or experiments that no longer exist.
TEST(promises, EveryNamedScriptExists) {
  std::set<std::string> Scenarios = listScripts("scenarios");
  for (const std::string &Name : Page.Scenarios)
    CHECK_TEXT(Scenarios.count(Name) == 1, Name.c_str());
  std::set<std::string> Experiments = listScripts("bench/experiments");
  for (const std::string &Name : Page.Experiments)
    CHECK_TEXT(Experiments.count(Name) == 1, Name.c_str());
}

// Detects a scenario that the page does not reference.
TEST(promises, EveryScenarioIsOnThePage) {
  for (const std::string &Name : listScripts("scenarios"))
    CHECK_TEXT(Page.Scenarios.count(Name) == 1, Name.c_str());
}
