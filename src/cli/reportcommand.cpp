#include "cli/cli.h"
#include "operator/report.h"

#include <ostream>

namespace savorywick {

ExitCode showReport(EntryClient &client, Output &output)
{
    const EntryAnswer answer = client.call({.path = "/v1/report"});
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    if (output.json)
        output.out << answer.body << "\n";
    else
        output.out << formatReport(parseReport(answer.body));
    return ExitCode::Ok;
}

} // namespace savorywick
