#pragma once

#include "cli/exitcodes.h"
#include "core/httpclient.h"

#include <string>
#include <string_view>

namespace savorywick {

// An entry's answer to a command.
struct EntryAnswer
{
    ExitCode code = ExitCode::Ok;
    std::string body; // The body of the answer, if there was one.
    std::string problem; // Empty if and only if the code is Ok; what went wrong and what to do.
};

// Calls one entry's callers interface and sorts its answers by what is known of their effect.
//
// Example:
//   EntryClient client("10.0.0.7:8080");
//   const EntryAnswer answer = client.call({.path = "/v1/report"});
class EntryClient
{
public:
    // Throws Error(InvalidInput) if `address` is no "IP:PORT".
    explicit EntryClient(std::string address);

    // Makes the call; its address is filled in.
    EntryAnswer call(HttpCall call);

private:
    std::string m_address;
    HttpClient m_http;
};

} // namespace savorywick
