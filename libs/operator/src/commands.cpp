#include "gentianlug/operator/commands.h"

#include "command_groups.h"
#include "gentianlug/net/platform_client.h"
#include "gentianlug/operator/operator_errc.h"
#include "report_text.h"

#include <iostream>
#include <random>
#include <unistd.h>

namespace gentianlug::operator_cli {

namespace {

/// A command, its function and its help text.
struct command_entry {
  const char *Name;
  result<command_report> (*Run)(command_context &);
  bool NeedsPlatform;
  const char *Summary;
  const char *Help;
};

} // namespace

static constexpr command_entry Commands[] = {
    {"check", runCheck, false, "compile the files and list all faults",
     "gentianlug check --base FILE --overlay SITE=FILE...\n"},
    {"explain", runExplain, false, "show which file and line sets a value",
     "gentianlug explain PATH --base FILE --overlay SITE=FILE...\n"
     "\n"
     "PATH is for example services.commandes.limits.slots, or a prefix of "
     "one.\n"},
    {"explain-request", runExplainRequest, false,
     "show from the nodes' logs how a request ended and why",
     "gentianlug explain-request ID FILE...\n"
     "\n"
     "FILE is the log of a node; pass the logs of all nodes. Calls that\n"
     "succeed are not logged.\n"},
    {"diff", runDiff, true, "show what a change would do",
     "gentianlug diff --platform HOST:PORT --base FILE --overlay "
     "SITE=FILE...\n"
     "gentianlug diff --platform HOST:PORT --back-to VERSION\n"},
    {"apply", runApply, true,
     "accept a configuration or return to an earlier one",
     "gentianlug apply --platform HOST:PORT --base FILE --overlay "
     "SITE=FILE...\n"
     "    --author NAME --reason TEXT [--drop-site SITE]... [--rewrite]\n"
     "    [--after-version NUMBER]\n"
     "gentianlug apply --platform HOST:PORT --back-to VERSION --author NAME\n"
     "    --reason TEXT\n"
     "\n"
     "  --drop-site SITE        remove a site that is in force\n"
     "  --rewrite               write all objects, including those in force\n"
     "  --after-version NUMBER  replace a malformed live/config; NUMBER is "
     "the\n"
     "                          newest version in force\n"},
    {"status", runStatus, true,
     "show what is in force, and where it is not yet",
     "gentianlug status --platform HOST:PORT\n"},
    {"history", runHistory, true, "list the last 10 accepted versions",
     "gentianlug history --platform HOST:PORT\n"},
    {"events", runEvents, true, "list versions, zone changes and rollouts",
     "gentianlug events --platform HOST:PORT\n"},
    {"rollout", runRollout, true, "show, pause, resume or take back a rollout",
     "gentianlug rollout status SERVICE --platform HOST:PORT\n"
     "gentianlug rollout pause|resume|take-back SERVICE --platform HOST:PORT\n"
     "    --author NAME --reason TEXT\n"},
    {"zone", runZone, true, "take a zone out of service or bring it back",
     "gentianlug zone status --platform HOST:PORT\n"
     "gentianlug zone out|in ZONE --platform HOST:PORT --author NAME\n"
     "    --reason TEXT\n"},
    {"wait", runWait, true, "wait for a version or a rollout",
     "gentianlug wait version [NUMBER] --platform HOST:PORT [--timeout-s N]\n"
     "gentianlug wait rollout SERVICE --platform HOST:PORT [--timeout-s N]\n"
     "\n"
     "NUMBER defaults to the newest accepted version. The exit code is 0 when\n"
     "the version is in force everywhere or the rollout is done, 1 when it\n"
     "was refused or taken back, and 4 after N seconds (default 600).\n"},
    {"gc", runGc, true, "remove objects that no retained version needs",
     "gentianlug gc --platform HOST:PORT\n"},
};

static const command_entry *findCommand(const std::string &Name) {
  for (const command_entry &Command : Commands)
    if (Name == Command.Name)
      return &Command;
  return nullptr;
}

static std::string usage() {
  std::string Text = "Usage: gentianlug COMMAND [ARGUMENT...] [OPTION...]\n\n";
  for (const command_entry &Command : Commands) {
    std::string Name = Command.Name;
    constexpr std::size_t NameColumn = 17;
    Name.resize(NameColumn, ' ');
    Text += "  " + Name + Command.Summary + "\n";
  }
  return Text + "\nThe platform is set by --platform HOST:PORT or by the "
                "variable\nGENTIANLUG_PLATFORM. --json prints one JSON "
                "object. COMMAND --help shows its\noptions.\nExit codes: 0 "
                "success, 1 refused, 2 wrong usage, 3 "
                "platform down, 4 timed out.\n";
}

static std::string helpFor(const options &Options) {
  const command_entry *Command =
      Options.Arguments.empty() ? nullptr : findCommand(Options.Arguments[0]);
  if (!Command)
    return usage();
  return std::string(Command->Help) + "\nPurpose: " + Command->Summary + ".\n";
}

result<command_report> runCommand(command_context &Context) {
  const options &Options = Context.Options;
  if (Options.Arguments.empty())
    return makeError(operator_errc::BadArguments, "no command given");
  const command_entry *Command = findCommand(Options.Arguments[0]);
  if (!Command)
    return makeError(operator_errc::BadArguments,
                     "unknown command \"" + Options.Arguments[0] + "\"");
  if (Command->NeedsPlatform && Options.Platform.Port == 0)
    return makeError(
        operator_errc::BadArguments,
        "--platform is missing and GENTIANLUG_PLATFORM is not set");
  return Command->Run(Context);
}

exit_code exitCodeOf(const error &Failure) {
  if (Failure.Code == make_error_code(operator_errc::BadArguments))
    return BadUsage;
  if (Failure.Code == make_error_code(operator_errc::PlatformDown))
    return PlatformDown;
  if (Failure.Code == make_error_code(operator_errc::TimedOut))
    return TimedOut;
  return Refused;
}

static command_report reportFailure(const error &Failure) {
  command_report Report;
  Report.Code = exitCodeOf(Failure);
  Report.add(describe(Failure));
  return Report;
}

static void print(const command_report &Report, const options &Options) {
  if (Options.Json) {
    nlohmann::json Json = Report.ReportJson;
    Json["code"] = int(Report.Code);
    Json["lines"] = Report.Lines;
    // Text from the platform may contain invalid UTF-8.
    std::cout << Json.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << '\n';
    return;
  }
  std::ostream &Out = Report.Code == Success ? std::cout : std::cerr;
  for (const std::string &Line : Report.Lines)
    Out << Line << '\n';
  if (Report.Code == BadUsage)
    Out << "gentianlug --help lists the commands.\n";
}

int runCommandLine(int Argc, char **Argv) {
  auto Options = parseOptions(Argc, Argv);
  if (!Options) {
    print(reportFailure(Options.failure()), {});
    return BadUsage;
  }
  if (Options->ShowHelp) {
    std::cout << helpFor(*Options);
    return Success;
  }
  if (Options->ShowVersion) {
    std::cout << "gentianlug " GENTIANLUG_VERSION "\n";
    return Success;
  }
  net::event_loop Loop;
  net::platform_client Client(Loop, Options->Platform);
  event_loop_driver Driver(Loop);
  generator Gen{std::random_device{}()};
  sync_store Store(Client, Driver, Gen);
  command_context Context{*Options, Store, Driver, Gen, {}};
  if (!Options->Json && isatty(STDERR_FILENO) != 0)
    Context.ShowProgress = [](const std::string &Text) {
      std::cerr << "\r\033[K" << Text << std::flush;
    };
  auto Result = runCommand(Context);
  if (Context.ShowProgress && Options->Arguments.size() > 1 &&
      Options->Arguments[0] == "wait")
    std::cerr << '\n';
  command_report Report =
      Result ? std::move(*Result) : reportFailure(Result.failure());
  print(Report, *Options);
  return Report.Code;
}

} // namespace gentianlug::operator_cli
