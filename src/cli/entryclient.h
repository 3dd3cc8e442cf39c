#pragma once

#include "cli/exitcodes.h"
#include "core/httpclient.h"

#include <string>
#include <string_view>

namespace savorywick {

// The result of a call to an entry.
struct EntryResponse
{
    ExitCode code = ExitCode::Ok;
    std::string body; // The response body; empty if there was no response.
    std::string problem; // The error and its remedy. Empty if and only if the code is Ok.
};

// Sends requests to the callers interface of one entry. Use it in subcommands: it maps each
// response or transport error to an exit code that tells whether the request took effect.
//
// Example:
//   EntryClient client("10.0.0.7:8080");
//   const EntryResponse response = client.call({.path = "/v1/report"});
class EntryClient
{
public:
    // Throws Error(InvalidInput) if `address` is not of the form "IP:PORT".
    explicit EntryClient(std::string address);

    // Sends the request to the entry and returns its response. Sets `call.address`. Transport
    // errors are returned as exit codes: NotRun if the request had no effect, Unknown if it may
    // have had.
    EntryResponse call(HttpCall call);

private:
    std::string m_address;
    HttpClient m_http;
};

} // namespace savorywick
