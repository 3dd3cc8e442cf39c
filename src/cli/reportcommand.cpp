#include "cli/cli.h"
#include "operator/report.h"

namespace savorywick {

ExitCode showReport(EntryClient &client, CommandOutput &output)
{
    const auto format = [](const std::string &body) { return formatReport(parseReport(body)); };
    return showResource("/v1/report", format, client, output);
}

} // namespace savorywick
