#include "cli/cli.h"
#include "operator/report.h"

#include <ostream>

namespace savorywick {

ExitCode showReport(EntryClient &client, CommandOutput &output)
{
    const EntryResponse response = client.call({.path = "/v1/report"});
    if (response.code != ExitCode::Ok)
        return printProblem(response, output);
    if (output.json)
        output.out << response.body << "\n";
    else
        output.out << formatReport(parseReport(response.body));
    return ExitCode::Ok;
}

} // namespace savorywick
