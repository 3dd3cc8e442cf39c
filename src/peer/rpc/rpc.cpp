#include "peer/rpc/rpc.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <map>

namespace savorywick {
namespace rpc {

namespace {

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value fromText(const std::string &text)
{
    Json::Value value;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

// Hands the text of a request to the library and takes the text of its answer.
class TextConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

class MethodServer : public jsonrpc::AbstractServer<MethodServer>
{
public:
    explicit MethodServer(TextConnector &connector)
        : jsonrpc::AbstractServer<MethodServer>(connector)
    { }

    void add(const std::string &name, Dispatcher::Method method)
    {
        m_methods[name] = std::move(method);
        bindAndAddMethod(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &MethodServer::unused);
    }

    void HandleMethodCall(jsonrpc::Procedure &proc, const Json::Value &input,
                          Json::Value &output) override
    {
        output = fromText(m_methods.at(proc.GetProcedureName())(toText(input)));
    }

    // The library wants a pointer for each method; calls go through HandleMethodCall() instead.
    void unused(const Json::Value & /*input*/, Json::Value & /*output*/) { }

private:
    std::map<std::string, Dispatcher::Method> m_methods;
};

class TextTransport : public jsonrpc::IClientConnector
{
public:
    explicit TextTransport(const Transport &transport)
        : m_transport(transport)
    { }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = m_transport(message);
        if (result.empty())
            throw jsonrpc::JsonRpcException("no answer");
    }

private:
    const Transport &m_transport;
};

} // namespace

struct Dispatcher::Impl
{
    TextConnector connector;
    MethodServer server{connector};
};

Dispatcher::Dispatcher()
    : m_impl(new Impl)
{ }
Dispatcher::~Dispatcher() = default;

void Dispatcher::add(const std::string &name, Method method)
{
    m_impl->server.add(name, std::move(method));
}

std::string Dispatcher::answer(const std::string &request)
{
    std::string response;
    m_impl->connector.OnRequest(request, &response);
    return response;
}

CallResult call(const Transport &transport, const std::string &name, const std::string &parameters)
{
    TextTransport connector(transport);
    jsonrpc::Client client(connector);
    try {
        return {true, toText(client.CallMethod(name, fromText(parameters)))};
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace rpc
} // namespace savorywick
