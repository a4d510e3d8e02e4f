#include "gentianlug/observe/log.h"
#include "gentianlug/operator/commands.h"

int main(int Argc, char **Argv) {
  gentianlug::observe::startLogging(Argv[0]);
  return gentianlug::operator_cli::runCommandLine(Argc, Argv);
}
