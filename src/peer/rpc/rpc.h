#pragma once

// Wraps libjsonrpccpp, whose headers compile only as C++14. This header is included from C++14 and
// from later C++, so its interface uses only std types that C++14 has.

#include <functional>
#include <memory>
#include <string>

namespace savorywick {
namespace rpc {

// Dispatches JSON-RPC requests to the methods added to it.
//
// Add every method before the first call of handle(). Thread-safe from then on.
//
// Example:
//   Dispatcher dispatcher;
//   dispatcher.addMethod("echo", [](const std::string &parameters) { return parameters; });
//   const std::string response = dispatcher.handle(request);
class Dispatcher
{
public:
    // Takes the text of a JSON object with the parameters and returns the text of the JSON result.
    using Method = std::function<std::string(const std::string &parameters)>;

    Dispatcher();
    ~Dispatcher();

    // Adds the method that clients call as `name`.
    void addMethod(const std::string &name, Method method);
    // Returns the text of the JSON-RPC response to the text of a JSON-RPC request.
    std::string handle(const std::string &request);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// The outcome of a call. `ok` is true if and only if `result` holds the method's JSON result.
struct CallResult
{
    bool ok = false;
    std::string result;
};

// Sends the text of a request and returns the text of the response, or an empty text if there was
// no response.
using Transport = std::function<std::string(const std::string &request)>;

// Calls the method `name` over `transport`; `parameters` is the text of a JSON object. Returns a
// result that is not `ok` if there was no response or the response is an error.
CallResult call(const Transport &transport, const std::string &name, const std::string &parameters);

} // namespace rpc
} // namespace savorywick
