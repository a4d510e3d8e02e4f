#include "command_groups.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/operator/request_trace.h"

#include <fstream>

namespace gentianlug::operator_cli {

result<command_report> runExplainRequest(command_context &Context) {
  const std::vector<std::string> &Arguments = Context.Options.Arguments;
  if (Arguments.size() < 3)
    return makeError(operator_errc::BadArguments,
                     "explain-request takes a request id and the log files of "
                     "the nodes");
  request_trace Trace(Arguments[1]);
  for (std::size_t Index = 2; Index < Arguments.size(); ++Index) {
    std::ifstream File(Arguments[Index]);
    if (!File)
      return makeError(operator_errc::BadArguments,
                       "cannot read " + Arguments[Index]);
    for (std::string Line; std::getline(File, Line);)
      Trace.add(Line);
  }
  if (!Trace.found())
    return makeError(operator_errc::Refused,
                     "no log line contains request " + Arguments[1] +
                         "; successful calls are counted, not logged");
  command_report Report;
  for (std::string &Sentence : Trace.summarize())
    Report.add(std::move(Sentence));
  Report.ReportJson["request"] = Arguments[1];
  Report.ReportJson["cause"] = Trace.cause();
  return Report;
}

} // namespace gentianlug::operator_cli
