#pragma once

// The seam to libjsonrpccpp, whose headers compile as C++14 only: std types of C++14 alone here.

#include <functional>
#include <memory>
#include <string>

namespace savorywick {
namespace rpc {

// Answers JSON-RPC requests with methods of ours; parameters and results are JSON text.
//
// Add every method before the first call of answer(). Thread-safe from then on.
class Dispatcher
{
public:
    using Method = std::function<std::string(const std::string &parameters)>;

    Dispatcher();
    ~Dispatcher();

    // Adds a method that takes and returns one JSON object.
    void add(const std::string &name, Method method);
    // Returns the whole JSON-RPC answer to the whole JSON-RPC request.
    std::string answer(const std::string &request);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// What a call gave. `ok` is true if and only if `result` holds the method's JSON result.
struct CallResult
{
    bool ok = false;
    std::string result;
};

// Sends one request's text and returns the answer's text; an empty answer means that none came.
using Transport = std::function<std::string(const std::string &request)>;

// Calls a method of a peer over `transport`; `parameters` is a JSON object as text.
CallResult call(const Transport &transport, const std::string &name, const std::string &parameters);

} // namespace rpc
} // namespace savorywick
