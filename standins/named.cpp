// The object store and the membership list: both keep whole values by name.
#include "routes.h"

#include <map>

namespace savorywick::standin {

namespace {

struct NamedValues
{
    std::mutex mutex;
    std::map<std::string, std::string> values;
};

// Adds PUT and DELETE of the values below `path`.
std::shared_ptr<NamedValues> addNamedValues(Server &server, const std::string &path)
{
    auto named = std::make_shared<NamedValues>();
    server.route("PUT", path + "/(.+)", [named](const Call &call) {
        const std::lock_guard lock{named->mutex};
        named->values[call.tail] = call.body;
        return Reply{.status = 204};
    });
    server.route("DELETE", path + "/(.+)", [named](const Call &call) {
        const std::lock_guard lock{named->mutex};
        named->values.erase(call.tail);
        return Reply{.status = 204};
    });
    return named;
}

} // namespace

void addObjects(Server &server)
{
    const auto objects = addNamedValues(server, "/objects");
    server.route("GET", "/objects/(.+)", [objects](const Call &call) {
        const std::lock_guard lock{objects->mutex};
        const auto it = objects->values.find(call.tail);
        return it == objects->values.end() ? Reply{.status = 404} : Reply{.body = it->second};
    });
}

void addMembership(Server &server)
{
    const auto hosts = addNamedValues(server, "/membership");
    server.route("GET", "/membership", [hosts](const Call &) {
        const std::lock_guard lock{hosts->mutex};
        Json::Value list{Json::arrayValue};
        for (const auto &[id, host] : hosts->values)
            list.append(parseObject(host));
        return jsonReply(object({{"hosts", list}}));
    });
}

} // namespace savorywick::standin
