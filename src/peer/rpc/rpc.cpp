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

// Passes the text of a request to the library's server and receives the text of its response. It
// listens on nothing: PeerServer owns the HTTP side.
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

// Forwards the calls that the library has parsed to the added methods.
class JsonRpcServer : public jsonrpc::AbstractServer<JsonRpcServer>
{
public:
    explicit JsonRpcServer(TextConnector &connector)
        : jsonrpc::AbstractServer<JsonRpcServer>(connector)
    { }

    void addMethod(const std::string &name, Dispatcher::Method method)
    {
        m_methods[name] = std::move(method);
        bindAndAddMethod(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &JsonRpcServer::unusedHandler);
    }

    void HandleMethodCall(jsonrpc::Procedure &proc, const Json::Value &input,
                          Json::Value &output) override
    {
        output = fromText(m_methods.at(proc.GetProcedureName())(toText(input)));
    }

    // The library requires a member function for each method; HandleMethodCall(), which dispatches
    // by name, overrides its use.
    void unusedHandler(const Json::Value & /*input*/, Json::Value & /*output*/) { }

private:
    std::map<std::string, Dispatcher::Method> m_methods;
};

// Lets the library's client send its requests over a Transport.
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
            throw jsonrpc::JsonRpcException("the peer sent no response");
    }

private:
    const Transport &m_transport;
};

} // namespace

struct Dispatcher::Impl
{
    TextConnector connector;
    JsonRpcServer server{connector};
};

Dispatcher::Dispatcher()
    : m_impl(new Impl)
{ }
Dispatcher::~Dispatcher() = default;

void Dispatcher::addMethod(const std::string &name, Method method)
{
    m_impl->server.addMethod(name, std::move(method));
}

std::string Dispatcher::handle(const std::string &request)
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
