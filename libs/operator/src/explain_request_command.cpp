#include "command_groups.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/operator/request_trace.h"

#include <fstream>

namespace gentianlug::operator_cli {

result<command_report> runExplainRequest(command_context &Context) {
  const std::vector<std::string> &Words = Context.Options.Arguments;
  if (Words.size() < 3)
    return makeError(operator_errc::BadArguments,
                     "explain-request takes the id of a request and the files "
                     "of the nodes' logs");
  request_trace Story(Words[1]);
  for (std::size_t Index = 2; Index < Words.size(); ++Index) {
    std::ifstream File(Words[Index]);
    if (!File)
      return makeError(operator_errc::BadArguments,
                       "cannot read " + Words[Index]);
    for (std::string Line; std::getline(File, Line);)
      Story.add(Line);
  }
  if (!Story.found())
    return makeError(operator_errc::Refused,
                     "no line names request " + Words[1] +
                         "; calls that succeed are counted, not logged");
  command_report Report;
  for (std::string &Sentence : Story.summarize())
    Report.add(std::move(Sentence));
  Report.ReportJson["request"] = Words[1];
  Report.ReportJson["cause"] = Story.cause();
  return Report;
}

} // namespace gentianlug::operator_cli
