#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int Argc, char **Argv) {
  // The leak detector counts static caches of the standard library as leaks;
  // the address sanitizer build covers leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
