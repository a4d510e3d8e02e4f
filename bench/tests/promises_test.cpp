#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

// Redefines new, so the standard headers come first.
#include <CppUTest/TestHarness.h>

namespace {

/// What docs/promises.md lists: the ids of its rows and the scenarios and
/// experiments that they name.
struct promises_page {
  std::set<std::string> Ids;
  std::set<std::string> RowsWithoutScenario;
  std::set<std::string> Scenarios;
  std::set<std::string> Experiments;
};

} // namespace

/// Returns the words in back quotes of a table cell.
static std::set<std::string> quotedWords(const std::string &Cell) {
  std::set<std::string> Words;
  std::stringstream Parts(Cell);
  bool Quoted = false;
  for (std::string Part; std::getline(Parts, Part, '`'); Quoted = !Quoted)
    if (Quoted)
      Words.insert(Part);
  return Words;
}

static void readRow(const std::string &Line, promises_page &Page) {
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
  std::set<std::string> Named = quotedWords(Scenarios);
  if (Named.empty())
    Page.RowsWithoutScenario.insert(Id);
  Page.Scenarios.merge(Named);
  Page.Experiments.merge(quotedWords(Experiments));
}

static promises_page readPage() {
  std::ifstream File(GENTIANLUG_SOURCE_DIR "/docs/promises.md");
  promises_page Page;
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("| P") || Line.starts_with("| F"))
      readRow(Line, Page);
  return Page;
}

static std::set<std::string> scriptsIn(const std::string &Folder) {
  std::set<std::string> Names;
  for (const auto &Entry : std::filesystem::directory_iterator(
           std::string(GENTIANLUG_SOURCE_DIR "/") + Folder))
    if (Entry.path().extension() == ".lua")
      Names.insert(Entry.path().stem().string());
  return Names;
}

TEST_GROUP(promises) { promises_page Page = readPage(); };

// Guards against a promise or a fault without a scenario.
TEST(promises, EveryPromiseAndFaultHasAScenario) {
  for (char Kind : {'P', 'F'})
    for (int Number = 1; Number <= 12; ++Number) {
      std::string Id = Kind + std::to_string(Number);
      CHECK_TEXT(Page.Ids.count(Id) == 1, Id.c_str());
    }
  for (const std::string &Id : Page.RowsWithoutScenario)
    FAIL(("no scenario for " + Id).c_str());
}

// Guards against a page that names scenarios or experiments which are gone.
TEST(promises, EveryNamedScriptExists) {
  std::set<std::string> Scenarios = scriptsIn("scenarios");
  for (const std::string &Name : Page.Scenarios)
    CHECK_TEXT(Scenarios.count(Name) == 1, Name.c_str());
  std::set<std::string> Experiments = scriptsIn("bench/experiments");
  for (const std::string &Name : Page.Experiments)
    CHECK_TEXT(Experiments.count(Name) == 1, Name.c_str());
}

// Guards against a scenario that the page forgets.
TEST(promises, EveryScenarioIsOnThePage) {
  for (const std::string &Name : scriptsIn("scenarios"))
    CHECK_TEXT(Page.Scenarios.count(Name) == 1, Name.c_str());
}
