#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int Argc, char **Argv) {
  // The leak detector reports static caches of the standard library as leaks.
  // The address sanitizer build detects leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(Argc, Argv);
}
